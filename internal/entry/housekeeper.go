package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/suspension"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

const (
	// housekeepInterval is the time between two rounds; a change of members is detected within one.
	housekeepInterval = 250 * time.Millisecond
	// sweepRounds is the number of rounds between two sweeps of idle connections and removed targets.
	sweepRounds = 4
	// minMembers is the minimum number of daemons among which the retry budget is divided, as a daemon knows few others
	// after its start.
	minMembers = 8
)

// housekeeper does the periodic work: it updates what depends on the members, such as the shares of budgets, detects
// suspensions of the process and sweeps idle connections.
type housekeeper struct {
	daemon   *Daemon
	selector *targetselect.Selector
	gate     *sendgate.Gate
	budget   *retrybudget.Budget
	roster   *roster.Roster
	detector suspension.Detector
	members  int
	// assigned are the names of the daemons at the last assignment of shards.
	assigned []string
	// assignedHomes are the home zones at that time. knownHomes are the home zones for the platform state of revision
	// homesRevision with the configuration of version homesVersion.
	assignedHomes, knownHomes   []string
	homesRevision, homesVersion uint64
	begun                       time.Time
}

// Run runs a round at each interval until ctx ends.
func (h *housekeeper) Run(ctx context.Context) {
	ticker := time.NewTicker(housekeepInterval)
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
	if lost := h.detector.SuspendedTime(now); lost > 0 {
		events.ClockSuspended.Log(d.o.Log, zap.Duration("lost", lost))
		d.syncer.syncer.Invalidate()
	}
	h.updateShares(now)
	if round%sweepRounds == 0 {
		h.sweep(now)
	}
}

// updateShares updates everything that is divided among the live daemons.
func (h *housekeeper) updateShares(now time.Time) {
	d := h.daemon
	alive := h.roster.Alive(now)
	h.assign(alive)
	r := d.Settings().Rules
	h.gate.SetMembers(d.Settings().Name, h.senders(now))
	if table := d.State().OperatorState.Table; table != nil {
		d.o.Pool.SetMaxIdle(d.connectionShare(len(alive)))
		h.gate.SetRules(sendgate.Rules{Rates: table.ColdRates(), Overshoot: r.ColdOvershoot, Slack: r.ColdSlack})
	}
	rule := retrybudget.Rule{Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: r.RetryWindow.Std()}
	h.budget.SetRule(rule, d.retryShare(len(alive)))
	if len(alive) != h.members {
		events.MembersChanged.Log(d.o.Log, zap.Int("before", h.members), zap.Int("members", len(alive)))
		h.members = len(alive)
	}
}

// assign reassigns the shards if the live daemons or the home zones have changed.
func (h *housekeeper) assign(alive []roster.Member) {
	names := lo.Map(alive, func(m roster.Member, _ int) string { return m.Name })
	slices.Sort(names)
	homeZones := h.homeZones()
	if slices.Equal(names, h.assigned) && slices.Equal(homeZones, h.assignedHomes) {
		return
	}
	h.assigned, h.assignedHomes = names, homeZones
	h.daemon.assign(alive, homeZones)
}

// homeZones returns the zones in which searches are gathered. They are recomputed when the platform state has changed.
func (h *housekeeper) homeZones() []string {
	s := h.daemon.State()
	if s.Inventory.Revision != h.homesRevision || s.OperatorState.Version() != h.homesVersion {
		h.homesRevision, h.homesVersion = s.Inventory.Revision, s.OperatorState.Version()
		h.knownHomes = h.daemon.homeZones()
	}
	return h.knownHomes
}

// senders returns the daemons that share a cold target's allowance. Right after its start, this daemon cannot know the
// others, so the result is empty.
func (h *housekeeper) senders(now time.Time) []string {
	if h.begun.IsZero() {
		h.begun = now
	}
	if now.Sub(h.begun) < roster.LivenessTimeout {
		return nil
	}
	return h.roster.KnownNames()
}

func (h *housekeeper) sweep(now time.Time) {
	d := h.daemon
	inv := d.State().Inventory
	known := func(id string) bool {
		_, ok := inv.Target(id)
		return ok
	}
	d.o.Pool.Sweep(now, known)
	h.selector.Retain(known)
	h.gate.Retain(known)
	if n := d.o.DroppedLines(); n > 0 {
		events.LogLinesDropped.Log(d.o.Log, zap.String("lines", strconv.FormatInt(n, 10)))
	}
	d.o.Scope.Gauge("idleConnections").Update(float64(d.o.Pool.Len()))
	d.o.Scope.Gauge("members").Update(float64(h.members))
	d.o.Scope.Gauge("configurationVersion").Update(float64(d.State().OperatorState.Version()))
	d.o.Scope.Gauge("targets").Update(float64(inv.Len()))
}
