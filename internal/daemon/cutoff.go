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
	// wasCutOff is the state at the last check.
	wasCutOff bool
}

func (l *cutOffLogger) check() {
	if l.node.Board.Tree.Get() == nil {
		return
	}
	cutOff := !l.node.Board.Confirmation.Get().Fresh(time.Now())
	if cutOff == l.wasCutOff {
		return
	}
	l.wasCutOff = cutOff
	if cutOff {
		events.CutOff.Log(l.log)
		return
	}
	events.CutOffEnded.Log(l.log)
}
