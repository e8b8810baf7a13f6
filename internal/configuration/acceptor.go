package configuration

import (
	"encoding/json"
	"sync"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Verdict is the result of offering a tree: Accepted, Unchanged, Outdated or Refused.
type Verdict interface {
	verdict()
}

// Accepted is the verdict on a tree that was put in force.
type Accepted struct{}

// Unchanged is the verdict on a tree with the revision that is in force already.
type Unchanged struct{}

// Outdated is the verdict on a tree with an earlier revision than the one in force.
type Outdated struct{}

// Refused is the verdict on a tree that is not valid.
type Refused struct {
	Problems []settings.Problem
}

func (Accepted) verdict()  {}
func (Unchanged) verdict() {}
func (Outdated) verdict()  {}
func (Refused) verdict()   {}

// maxLoggedProblems limits the problems in one log line.
const maxLoggedProblems = 10

// Acceptor validates offered trees and puts them in force on the blackboard.
type Acceptor struct {
	Board *blackboard.Board
	Log   *zap.Logger

	mu  sync.Mutex
	raw []byte
}

// Offer validates a published tree and puts it in force if its revision is later; source says where the tree came from.
func (a *Acceptor) Offer(raw []byte, source string) Verdict {
	return a.offer(raw, source, false)
}

// OfferRepublished validates a tree that was published in place of another one under the same revision and puts it in force
// unless a later one is.
func (a *Acceptor) OfferRepublished(raw []byte, source string) Verdict {
	return a.offer(raw, source, true)
}

func (a *Acceptor) offer(raw []byte, source string, republished bool) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.Revision()
	offered, ok := revisionOf(raw)
	if later := offered > current || republished && offered == current; ok && !later && current > 0 {
		return a.notLater(offered, current, source)
	}
	tree, problems := settings.Parse(raw)
	if len(problems) > 0 {
		events.ConfigurationRefused.Log(a.Log, zap.String("source", source), zap.Uint64("inForce", current),
			zap.Int("count", len(problems)), zap.Stringers("problems", lo.Slice(problems, 0, maxLoggedProblems)))
		return Refused{Problems: problems}
	}
	a.raw = raw
	a.Board.Tree.Set(tree)
	events.ConfigurationTaken.Log(a.Log, zap.String("source", source), zap.Uint64("revision", tree.Revision))
	return Accepted{}
}

func (a *Acceptor) notLater(offered, current uint64, source string) Verdict {
	if offered == current {
		return Unchanged{}
	}
	events.ConfigurationOlder.Log(a.Log, zap.String("source", source), zap.Uint64("offered", offered), zap.Uint64("inForce", current))
	return Outdated{}
}

// Revision returns the revision in force, or 0 if there is none.
func (a *Acceptor) Revision() uint64 {
	if t := a.Board.Tree.Get(); t != nil {
		return t.Revision
	}
	return 0
}

// Raw returns the tree in force as it was published, with its revision.
func (a *Acceptor) Raw() ([]byte, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.raw, a.Revision()
}

func revisionOf(raw []byte) (uint64, bool) {
	var head struct {
		Revision uint64 `json:"revision"`
	}
	err := json.Unmarshal(raw, &head)
	return head.Revision, err == nil
}
