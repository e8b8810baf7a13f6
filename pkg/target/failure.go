package target

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("target")

// Error types of Run, by what they imply for the batch.
var (
	// NotSent means that no byte of the batch reached a connection: the target did not run it.
	NotSent = namespace.NewType("notHanded")
	// Lost means that the connection broke after the batch was sent: the target may have run it.
	Lost = namespace.NewType("lost")
	// TimedOut means that the deadline passed or the caller cancelled after the batch was sent: the target may have
	// run it.
	TimedOut = namespace.NewType("timedOut", errorx.Timeout())
	// Malformed means that the reply can't be decoded: the target may have run the batch.
	Malformed = namespace.NewType("malformed")
)

// Runner runs batches on targets; every error of Run has one of the error types of this package.
type Runner interface {
	Run(ctx context.Context, address string, b *Batch) (*Reply, error)
	// Health asks the target for its health, which takes no slot.
	Health(ctx context.Context, address string) (Health, error)
}

// isMalformed reports whether net/http has wrapped a Malformed error.
func isMalformed(err error) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(Malformed)
}

// wrapError wraps the error of a failed call in the type that matches how far the batch had come.
func wrapError(ctx context.Context, err error, connected bool) error {
	switch {
	case isMalformed(err):
		return Malformed.Wrap(err, "invalid interim response")
	case !connected:
		return NotSent.Wrap(err, "no connection")
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return TimedOut.Wrap(err, "no reply in time")
	default:
		return Lost.Wrap(err, "connection lost")
	}
}
