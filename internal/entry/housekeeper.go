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
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

const (
	// housekeepInterval is the time between two rounds, and the longest time until a change of members is detected.
	housekeepInterval = 250 * time.Millisecond
	// sweepRounds is the number of rounds between two sweeps of idle connections and removed targets.
	sweepRounds = 4
	// minMembers is the minimum number of daemons among which the retry budget is divided, because a daemon that has just
	// started knows few others.
	minMembers = 8
	// settleAfter is how long a daemon runs before its peers take it for an issuer of permits.
	settleAfter = 2 * roster.LivenessTimeout
	// handover is how long a settled daemon issues only a share of each limit. Another daemon that has missed the
	// announcement may issue the whole limit for as long again, and the sum over 4 s stays below one and a half limits.
	handover = roster.LivenessTimeout / 2
)

// housekeeper does the periodic work: it updates what depends on the members, such as the shares of budgets, detects
// suspensions of the process and sweeps idle connections.
type housekeeper struct {
	daemon      *Daemon
	selector    *targetselect.Selector
	gate        *sendgate.Gate
	budget      *retrybudget.Budget
	roster      *roster.Roster
	detector    suspension.Detector
	memberCount int
	// assigned are the names of the daemons at the last assignment of shards.
	assigned []string
	// assignedHomeZones are the home zones at that assignment. knownHomeZones are those computed from the inventory of
	// homeZonesEra and homeZonesRevision and the configuration of version homeZonesVersion.
	assignedHomeZones, knownHomeZones                 []string
	homeZonesEra, homeZonesRevision, homeZonesVersion uint64
	firstRound                                        time.Time
	// settled is set once this daemon has run for settleAfter.
	settled bool
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
		events.ClockSuspended.Log(d.options.Log, zap.Duration("lost", lost))
		d.sync.syncer.Invalidate()
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
	// Daemons that are leaving still send to targets.
	sending := len(h.roster.PeersAndLeaving(now)) + 1
	h.assign(alive)
	r := d.Settings().Rules
	h.gate.SetMembers(d.Settings().Name, h.senders(now))
	h.settle(now)
	d.assignIssuers(h.roster.Serving(now), h.roster.RecentCount())
	if table := d.State().OperatorState.Table; table != nil {
		d.options.Pool.SetMaxIdle(d.connectionShare(sending))
		d.setColdRules(table)
	}
	rule := retrybudget.Rule{Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: r.RetryWindow.Std()}
	h.budget.SetRule(rule, d.retryShare(sending))
	if len(alive) != h.memberCount {
		events.MembersChanged.Log(d.options.Log, zap.Int("before", h.memberCount), zap.Int("members", len(alive)))
		h.memberCount = len(alive)
	}
}

// assign reassigns the shards if the live daemons or the home zones have changed.
func (h *housekeeper) assign(alive []roster.Member) {
	names := lo.Map(alive, func(m roster.Member, _ int) string { return m.Name })
	slices.Sort(names)
	homeZones := h.homeZones()
	if slices.Equal(names, h.assigned) && slices.Equal(homeZones, h.assignedHomeZones) {
		return
	}
	h.assigned, h.assignedHomeZones = names, homeZones
	h.daemon.assign(alive, homeZones)
}

// homeZones returns the zones in which searches are gathered. They are recomputed when the platform state has changed.
func (h *housekeeper) homeZones() []string {
	s := h.daemon.State()
	if s.Inventory.Compare(h.homeZonesEra, h.homeZonesRevision) != 0 || s.OperatorState.Version() != h.homeZonesVersion {
		h.homeZonesEra, h.homeZonesRevision, h.homeZonesVersion = s.Inventory.Era, s.Inventory.Revision, s.OperatorState.Version()
		h.knownHomeZones = h.daemon.homeZones()
	}
	return h.knownHomeZones
}

// settle lets this daemon issue permits once it has run for roster.LivenessTimeout, and makes it an issuer for its peers
// after settleAfter.
func (h *housekeeper) settle(now time.Time) {
	if h.settled {
		return
	}
	settledAt := h.firstRound.Add(settleAfter)
	knownFrom, fullFrom := h.firstRound.Add(roster.LivenessTimeout), settledAt.Add(handover)
	h.daemon.permitIssuer.SetStart(knownFrom, fullFrom)
	h.daemon.quota.SetStart(knownFrom)
	if !now.Before(settledAt) {
		h.settled = true
		h.daemon.sync.gossiper.AnnounceSettled()
	}
}

// senders returns the daemons that share a cold target's allowance. During the first roster.LivenessTimeout after its
// start, this daemon cannot know the others, so the result is empty.
func (h *housekeeper) senders(now time.Time) []string {
	if h.firstRound.IsZero() {
		h.firstRound = now
	}
	if now.Sub(h.firstRound) < roster.LivenessTimeout {
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
	d.options.Pool.Sweep(now, known)
	h.selector.Retain(known)
	for _, t := range h.gate.Retain(inv.Target, now) {
		d.logNotice(t, storeSource, targetnotice.LeavingRevoked{})
	}
	d.sweepLimits(known)
	d.logLimitedSends()
	if n := d.options.DroppedLines(); n > 0 {
		events.LogLinesDropped.Log(d.options.Log, zap.String("lines", strconv.FormatInt(n, 10)))
	}
	d.options.Scope.Gauge("idleConnections").Update(float64(d.options.Pool.Len()))
	d.options.Scope.Gauge("members").Update(float64(h.memberCount))
	d.options.Scope.Gauge("configurationVersion").Update(float64(d.State().OperatorState.Version()))
	d.options.Scope.Gauge("targets").Update(float64(inv.Len()))
	if d.Settings().Overload.LearnCapacity {
		learned := h.selector.Capacity(now)
		d.options.Scope.Gauge("learnedCapacity").Update(learned.Limit)
		d.options.Scope.Gauge("callsAtTargets").Update(learned.InFlight)
		d.options.Scope.Gauge("fullTargets").Update(float64(learned.Full))
		d.recordQueue(d.forwarder.TakeQueueUsage())
	}
	leaving, holding := h.gate.LeftOut(inv.All(), now)
	for reason, n := range map[string]int{"leaving": leaving, "holdsOff": holding} {
		d.options.Scope.Tagged(map[string]string{"reason": reason}).Gauge("targetsLeftOut").Update(float64(n))
	}
}
