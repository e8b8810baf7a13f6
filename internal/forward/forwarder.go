package forward

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/choice"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/permission"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Forwarder sends jobs to targets; all fields but Report are needed.
type Forwarder struct {
	Sender targetcall.Sender
	Book   *choice.Book
	Gate   *permission.Gate
	Budget *retrybudget.Budget
	// Inventory returns the targets known at the moment.
	Inventory func() inventory.Inventory
	// Group runs the sends, which may outlast their job.
	Group *errgroup.Group
	// Report is told how each send ended.
	Report func(t inventory.Target, r targetcall.Result)
	// Overdue is told when a target's call is overdue.
	Overdue func(t inventory.Target)
}

// Run answers a job; it returns at the latest when the job's time is up or ctx ends because the caller left.
func (f *Forwarder) Run(ctx context.Context, j Job) (Outcome, Trace) {
	r := &run{forwarder: f, job: j, results: make(chan ended, maxSends), tried: map[string]bool{}}
	f.Budget.Request(j.Service, time.Now())
	defer r.release()
	out := r.loop(ctx)
	return out, r.trace
}

// Reachable reports whether any target of the service may receive work now.
func (f *Forwarder) Reachable(service string) bool {
	now := time.Now()
	for _, t := range f.Gate.Allowed(f.Inventory().Of(service), now) {
		if !f.Book.Down(t.ID, now) {
			return true
		}
	}
	return false
}
