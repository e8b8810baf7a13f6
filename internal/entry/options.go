package entry

import (
	"context"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/metrics"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetpool"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// AnswerFunc answers one request of a caller.
type AnswerFunc func(ctx context.Context, q dispatch.CallerRequest) dispatch.Answer

// CallerServer serves callers, independently of their protocol.
type CallerServer interface {
	// Serve serves requests on the listener until Shutdown.
	Serve(l net.Listener) error
	// SetLimits sets the limits for connections accepted from now on.
	SetLimits(l routetable.Limits)
	// Drain makes each answer announce that its connection will be closed.
	Drain()
	// Connections returns the number of connections by state: "new", "idle" or "active".
	Connections() map[string]int
	// Shutdown stops accepting connections, closes those without a request and waits for the requests in flight. It gives
	// up requests that have not arrived completely at abandonAt.
	Shutdown(ctx context.Context, abandonAt time.Time) error
}

// ReadinessServer serves the readiness checks of the load balancer.
type ReadinessServer interface {
	// Serve serves checks on the listener until Shutdown.
	Serve(l net.Listener) error
	// Shutdown stops serving.
	Shutdown(ctx context.Context) error
}

// Options of a Daemon. All of them are required.
type Options struct {
	Settings settings.Entry
	// Reload reads the settings again.
	Reload func() (settings.Entry, error)
	Source storesync.Source
	Sender targetcall.Sender
	Pool   *targetpool.Pool
	// ReadBudget limits the total size of incomplete messages, in bytes.
	ReadBudget *readbudget.Budget
	// RequestBudget limits the total size of what is held for callers and for requests at the other interfaces, in bytes. It is
	// another one than ReadBudget, so that callers cannot make the answers of targets or of the store fail.
	RequestBudget *readbudget.Budget
	// Meter counts the bytes sent, by kind.
	Meter *traffic.Meter
	// NewCallerServer and NewReadinessServer create the servers of callers and of readiness checks.
	NewCallerServer    func(answer AnswerFunc) CallerServer
	NewReadinessServer func(ready func() bool) ReadinessServer
	Scope              tally.Scope
	Reporter           *metrics.Reporter
	Log                *zap.Logger
	// DroppedLines returns the number of log lines dropped since the last call.
	DroppedLines func() int64
}
