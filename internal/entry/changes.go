package entry

import (
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
)

// stateChanged applies the differences between two copies of the platform state.
func (d *Daemon) stateChanged(before, after platformstate.State) {
	if after.OperatorState.Version() != before.OperatorState.Version() {
		d.callers.SetLimits(after.OperatorState.Table.Limits)
		d.setColdRules(after.OperatorState.Table)
		d.quota.SetAccounts(after.OperatorState.Table.Accounts())
	}
	if after.OperatorState.Version() != before.OperatorState.Version() || !slices.Equal(after.OperatorState.ZonesOut, before.OperatorState.ZonesOut) {
		events.OrdersTaken.Log(d.options.Log, zap.Uint64("version", after.OperatorState.Version()), zap.Uint64("before", before.OperatorState.Version()),
			zap.Strings("zonesOut", after.OperatorState.ZonesOut), zap.Uint64("revision", after.Inventory.Revision))
	}
	r := d.Settings().Rules
	// A zone that is back in service may have cold targets. Each publishes that it is cold with its next heartbeat, which
	// is read within the drain bound.
	coldUntil := time.Now().Add(2*r.Heartbeat.Std() + r.DrainBound.Std())
	d.forwarder.Gate.SetZonesTakenOut(after.OperatorState.ZonesOut, coldUntil)
	d.markLeaving(after.Inventory, time.Now())
	d.logTargets(before.Inventory, after.Inventory)
}

// setColdRules bounds the load of cold targets by the rates of a route table.
func (d *Daemon) setColdRules(t *routetable.Table) {
	r := d.Settings().Rules
	d.forwarder.Gate.SetRules(sendgate.Rules{Rates: t.ColdRates(), Overshoot: r.ColdOvershoot, Slack: r.ColdSlack})
}

// logTargets logs an event for each target that was published, changed or withdrawn.
func (d *Daemon) logTargets(before, after inventory.Inventory) {
	if before.Revision == 0 {
		return
	}
	now := time.Now()
	for _, t := range after.All() {
		if old, ok := before.Target(t.ID); !ok || old != t {
			events.TargetPublished.Log(d.options.Log, zap.String("target", t.ID), zap.String("service", t.Service),
				zap.Bool("draining", t.Draining), zap.Bool("cold", t.Cold(now)), zap.Uint64("revision", t.Revision))
		}
	}
	for _, t := range before.All() {
		next, ok := after.Target(t.ID)
		if !ok || next.StartMillis != t.StartMillis {
			d.targetLost(t, lo.Ternary(ok, evidenceRestarted, evidenceWithdrawn), now)
		}
		if !ok {
			events.TargetWithdrawn.Log(d.options.Log, zap.String("target", t.ID), zap.String("service", t.Service), zap.Uint64("revision", after.Revision))
		}
	}
}

// HandleDatagram handles a datagram from a peer.
func (d *Daemon) HandleDatagram(from roster.Member, m *gossippb.Datagram, arrivedAfter time.Time) {
	if p := m.GetPush(); p != nil {
		d.sync.syncer.ReceivePush(from, p, arrivedAfter)
	}
	if v := m.GetVersion(); v > 0 {
		d.sync.syncer.ObservePeer(from, v, m.GetEra(), m.GetSince())
	}
	d.handleParts(from, m)
	now := time.Now()
	d.mergeLimits(from, m.GetLimits(), now)
	d.handlePermits(from, m, now)
	d.mergeLosses(from, m, now)
	for _, x := range m.GetStalls() {
		if t, ok := d.State().Inventory.Target(x.GetTarget()); ok {
			d.forwarder.Selector.RecordStallHint(t, from.Name, now)
		}
	}
}

// sendStallHint sends a stall hint to peers for a target that did not respond in time, unless only aggregators query it.
func (d *Daemon) sendStallHint(t inventory.Target) {
	if d.usesAggregators(t.Service) {
		return
	}
	d.hints.NotifyStalled(t.ID, time.Now())
}
