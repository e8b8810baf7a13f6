package crashreport

import (
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

const (
	// maxPerDatagram bounds the losses and the cleared requests in a datagram, at about 100 bytes each.
	maxPerDatagram = 12
	// maxPending bounds those that wait to be sent; further ones are dropped.
	maxPending = 256
	// burst is the number of datagrams that may be sent at once. Then there is one every intervalPerMember for each daemon
	// that gets them, so that a daemon receives 200 a second at most, whatever the size of the fleet.
	burst             = 10
	intervalPerMember = 5 * time.Millisecond
)

// Reporter sends losses and cleared requests to all peers at once, and at a limited rate if there are many.
type Reporter struct {
	// Broadcast sends a datagram to all peers.
	Broadcast func(*gossippb.Datagram)
	// Members returns the number of live daemons.
	Members func() int
	// Log is optional.
	Log *zap.Logger

	mu      sync.Mutex
	losses  []crashguard.Record
	cleared []*gossippb.ClearedRequest
	// budgetSpentUntil is when all datagrams of a burst may be sent again. scheduled is set while a flush is planned.
	budgetSpentUntil time.Time
	scheduled        bool
	dropped          int
}

// Report sends losses to all peers.
func (r *Reporter) Report(records ...crashguard.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted := records[:min(len(records), maxPending-len(r.losses))]
	r.losses = append(r.losses, accepted...)
	r.dropped += len(records) - len(accepted)
	r.schedule()
}

// ReportAnswer tells all peers that a service has answered a suspected request.
func (r *Reporter) ReportAnswer(fingerprint uint64, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.cleared) >= maxPending {
		r.dropped++
		return
	}
	r.cleared = append(r.cleared, &gossippb.ClearedRequest{Fingerprint: fingerprint, Service: service})
	r.schedule()
}

// schedule plans a flush if anything is pending. The caller must hold mu.
func (r *Reporter) schedule() {
	if r.scheduled || len(r.losses)+len(r.cleared) == 0 {
		return
	}
	r.scheduled = true
	time.AfterFunc(time.Until(r.budgetSpentUntil.Add(-(burst-1)*r.interval())), r.flush)
}

// interval returns the time between two datagrams after a burst.
func (r *Reporter) interval() time.Duration {
	return time.Duration(r.Members()) * intervalPerMember
}

func (r *Reporter) flush() {
	r.mu.Lock()
	now := time.Now()
	n, m := min(len(r.losses), maxPerDatagram), min(len(r.cleared), maxPerDatagram)
	d := &gossippb.Datagram{Crashes: EncodeLosses(r.losses[:n], now), Cleared: r.cleared[:m]}
	r.losses, r.cleared = r.losses[n:], r.cleared[m:]
	r.budgetSpentUntil = lo.Latest(r.budgetSpentUntil, now).Add(r.interval())
	r.scheduled = false
	r.schedule()
	dropped := r.dropped
	r.dropped = 0
	r.mu.Unlock()
	if dropped > 0 {
		events.LossesDropped.Log(r.Log, zap.Int("losses", dropped))
	}
	r.Broadcast(d)
}
