package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of a Register. The oldest proven requests and the suspects with the fewest losses are evicted at their bounds, and
// a suspicion expires SuspicionTTL after its latest loss.
const (
	MaxSuspects  = 4096
	MaxProven    = 65536
	SuspicionTTL = time.Hour
	// RefuseThreshold is the number of losses at which a request is refused.
	RefuseThreshold = 2
)

// Verdict is how a request may run: Proven, Unproven, Suspect or Refused.
type Verdict interface {
	verdict()
}

// Proven requests have run to completion before and may share batches with others.
type Proven struct{}

// Unproven requests first run alone on one target.
type Unproven struct{}

// Suspect requests were in flight when a target was lost; they run alone, once.
type Suspect struct{}

// Refused requests were in flight when RefuseThreshold losses of targets occurred; they do not run.
type Refused struct{}

func (Proven) verdict()   {}
func (Unproven) verdict() {}
func (Suspect) verdict()  {}
func (Refused) verdict()  {}

type loss struct {
	target, name string
}

type suspicion struct {
	losses   map[loss]bool
	lastLoss time.Time
}

// Register holds suspect and proven requests by fingerprint; its zero value is empty.
type Register struct {
	mu          sync.Mutex
	suspects    map[uint64]*suspicion
	proven      map[uint64]bool
	provenOrder []uint64
}

// RecordLoss records that a target was lost while it ran the request, and reports whether the loss was not yet known.
// The name identifies the loss, so that one received from several daemons counts once.
func (r *Register) RecordLoss(fingerprint uint64, target, name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects == nil {
		r.suspects = map[uint64]*suspicion{}
	}
	s := r.suspects[fingerprint]
	if s == nil {
		r.evictIfFull()
		s = &suspicion{losses: map[loss]bool{}}
		r.suspects[fingerprint] = s
	}
	l := loss{target: target, name: name}
	if s.losses[l] {
		return false
	}
	s.losses[l] = true
	s.lastLoss = now
	delete(r.proven, fingerprint)
	return true
}

// LostTargets returns the targets that were lost while they ran a request.
func (r *Register) LostTargets(fingerprint uint64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspects[fingerprint]
	if s == nil {
		return nil
	}
	var targets []string
	for l := range s.losses {
		targets = append(targets, l.target)
	}
	return targets
}

// MarkProven records that a request ran to completion on a target.
func (r *Register) MarkProven(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proven[fingerprint] {
		return
	}
	if r.proven == nil {
		r.proven = map[uint64]bool{}
	}
	if len(r.provenOrder) >= MaxProven {
		delete(r.proven, r.provenOrder[0])
		r.provenOrder = r.provenOrder[1:]
	}
	r.proven[fingerprint] = true
	r.provenOrder = append(r.provenOrder, fingerprint)
}

// Verdict returns how a request may run.
func (r *Register) Verdict(fingerprint uint64, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspects[fingerprint]
	if s != nil && now.Sub(s.lastLoss) > SuspicionTTL {
		delete(r.suspects, fingerprint)
		s = nil
	}
	switch {
	case s != nil && len(s.losses) >= RefuseThreshold:
		return Refused{}
	case r.proven[fingerprint]:
		return Proven{}
	case s != nil:
		return Suspect{}
	default:
		return Unproven{}
	}
}

// Len returns the number of suspect requests.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects)
}

// evictIfFull makes room for another suspicion: it evicts a quarter of them, those with the fewest losses, of these the
// oldest.
func (r *Register) evictIfFull() {
	if len(r.suspects) < MaxSuspects {
		return
	}
	order := slices.SortedFunc(maps.Keys(r.suspects), func(a, b uint64) int {
		x, y := r.suspects[a], r.suspects[b]
		return cmp.Or(cmp.Compare(len(x.losses), len(y.losses)), x.lastLoss.Compare(y.lastLoss))
	})
	for _, fingerprint := range order[:MaxSuspects/4] {
		delete(r.suspects, fingerprint)
	}
}
