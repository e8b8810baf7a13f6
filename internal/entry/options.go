package entry

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/intake"
	"github.com/knapweedpoint/knapweedpoint/internal/metrics"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetpool"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// AnswerFunc answers one request of a caller.
type AnswerFunc func(ctx context.Context, q dispatch.Question) dispatch.Answer

// Callers is the interface to callers, in whatever protocol they speak.
type Callers interface {
	// Serve takes requests from the listener until Shutdown.
	Serve(l net.Listener) error
	// SetLimits replaces the bounds for connections that are accepted from now on.
	SetLimits(l routetable.Limits)
	// Drain announces with each answer that its connection ends.
	Drain()
	// Shutdown stops accepting, closes idle connections and waits for requests under way.
	Shutdown(ctx context.Context) error
}

// Readiness tells the balancer whether to send new connections.
type Readiness interface {
	// Serve answers the balancer until Shutdown.
	Serve(l net.Listener) error
	// Shutdown stops answering.
	Shutdown(ctx context.Context) error
}

// Options of a Daemon; all are needed.
type Options struct {
	Settings settings.Entry
	// Reload reads the settings anew.
	Reload func() (settings.Entry, error)
	Source storesync.Source
	Sender targetcall.Sender
	Pool   *targetpool.Pool
	// Intake bounds the bytes of unfinished messages.
	Intake *intake.Budget
	// Meter counts bytes by kind.
	Meter *traffic.Meter
	// NewCallers and NewReadiness make the interfaces that the daemon serves.
	NewCallers   func(answer AnswerFunc) Callers
	NewReadiness func(ready func() bool) Readiness
	Scope        tally.Scope
	Reporter     *metrics.Reporter
	Log          *zap.Logger
	// DroppedLines returns how many log lines were dropped since it was last called.
	DroppedLines func() int64
}
