package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
)

// cutOffLogger logs when the confirmation that the daemon's configuration is current expires, and when it is renewed.
type cutOffLogger struct {
	node *node.Node
	log  *zap.Logger
	// last is the state at the last check.
	last bool
}

func (w *cutOffLogger) check() {
	if w.node.Board.Tree.Get() == nil {
		return
	}
	cutOff := !w.node.Board.Confirmation.Get().Fresh(time.Now())
	if cutOff == w.last {
		return
	}
	w.last = cutOff
	if cutOff {
		events.CutOff.Log(w.log)
		return
	}
	events.CutOffEnded.Log(w.log)
}
