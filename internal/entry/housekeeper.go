package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/choice"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/permission"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/suspension"
)

const (
	// housekeepEvery is the time between two rounds of upkeep; a change of members is noticed within one.
	housekeepEvery = 250 * time.Millisecond
	// sweepRounds is how many rounds pass between two sweeps of idle connections and forgotten targets.
	sweepRounds = 4
	// leastMembers is how many daemons the retry budget is shared among while a daemon knows few of them,
	// as after its start.
	leastMembers = 8
)

// housekeeper passes on what changes slowly: members, shares of budgets, lost time, idle connections.
type housekeeper struct {
	daemon   *Daemon
	book     *choice.Book
	gate     *permission.Gate
	budget   *retrybudget.Budget
	roster   *roster.Roster
	detector suspension.Detector
	members  int
	// assigned are the names of the daemons among which shards were shared out last.
	assigned []string
	// assignedHomes are the zones in which searches were gathered then, knownHomes those of the published state with the
	// revision homesOf and the configuration's version homesVersion.
	assignedHomes, knownHomes []string
	homesOf, homesVersion     uint64
	begun                     time.Time
}

// Run keeps house until ctx ends.
func (h *housekeeper) Run(ctx context.Context) {
	ticker := time.NewTicker(housekeepEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		h.round(round)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *housekeeper) round(round int) {
	now := time.Now()
	d := h.daemon
	if lost := h.detector.Lost(now); lost > 0 {
		events.ClockSuspended.Log(d.o.Log, zap.Duration("lost", lost))
		d.syncer.syncer.Doubt()
	}
	h.shareOut(now)
	if round%sweepRounds == 0 {
		h.sweep(now)
	}
}

// shareOut passes the live daemons on to what is shared among them.
func (h *housekeeper) shareOut(now time.Time) {
	d := h.daemon
	alive := h.roster.Alive(now)
	h.assign(alive)
	r := d.Settings().Rules
	h.gate.SetMembers(d.Settings().Name, h.senders(now))
	if table := d.State().Orders.Table; table != nil {
		d.o.Pool.SetKept(d.connectionShare(len(alive)))
		h.gate.SetRules(permission.Rules{Rates: table.ColdRates(), Overshoot: r.ColdOvershoot, Slack: r.ColdSlack})
	}
	rule := retrybudget.Rule{Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: r.RetryWindow.Std()}
	h.budget.SetRule(rule, d.retryShare(len(alive)))
	if len(alive) != h.members {
		events.MembersChanged.Log(d.o.Log, zap.Int("before", h.members), zap.Int("members", len(alive)))
		h.members = len(alive)
	}
}

// assign shares the shards out anew when the live daemons have changed.
func (h *housekeeper) assign(alive []roster.Member) {
	names := lo.Map(alive, func(m roster.Member, _ int) string { return m.Name })
	slices.Sort(names)
	homes := h.homes()
	if slices.Equal(names, h.assigned) && slices.Equal(homes, h.assignedHomes) {
		return
	}
	h.assigned, h.assignedHomes = names, homes
	h.daemon.assign(alive, homes)
}

// homes returns the zones in which searches are gathered; they are found anew when the published state has changed.
func (h *housekeeper) homes() []string {
	s := h.daemon.State()
	if s.Inventory.Revision != h.homesOf || s.Orders.Version() != h.homesVersion {
		h.homesOf, h.homesVersion = s.Inventory.Revision, s.Orders.Version()
		h.knownHomes = h.daemon.homes()
	}
	return h.knownHomes
}

// senders returns the daemons that share a cold target's allowance; none while this daemon has just started and
// cannot know the others.
func (h *housekeeper) senders(now time.Time) []string {
	if h.begun.IsZero() {
		h.begun = now
	}
	if now.Sub(h.begun) < roster.AliveFor {
		return nil
	}
	return h.roster.Recent()
}

func (h *housekeeper) sweep(now time.Time) {
	d := h.daemon
	inv := d.State().Inventory
	known := func(id string) bool {
		_, ok := inv.Target(id)
		return ok
	}
	d.o.Pool.Sweep(now, known)
	h.book.Keep(known)
	h.gate.Keep(known)
	if n := d.o.DroppedLines(); n > 0 {
		events.LogLinesDropped.Log(d.o.Log, zap.String("lines", strconv.FormatInt(n, 10)))
	}
	d.o.Scope.Gauge("idleConnections").Update(float64(d.o.Pool.Len()))
	d.o.Scope.Gauge("members").Update(float64(h.members))
	d.o.Scope.Gauge("configurationVersion").Update(float64(d.State().Orders.Version()))
	d.o.Scope.Gauge("targets").Update(float64(inv.Len()))
}
