package entry

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

// retryUnknownTarget is when a peer may ask again for a permit of a target that this daemon does not know yet.
const retryUnknownTarget = 100 * time.Millisecond

// requestPermit sends a request for a permit to an issuer, with the limit in case the issuer does not know it.
func (d *Daemon) requestPermit(name string, r *gossippb.PermitRequest) {
	if to, ok := d.sync.roster.Find(name); ok {
		d.sync.gossiper.Send(to, &gossippb.Datagram{PermitRequest: r, Limits: d.knownLimit(r.GetTarget())})
	}
}

// issuePermit replies to a peer's request for a permit, with the limit in case the peer's one is out of date.
func (d *Daemon) issuePermit(from roster.Member, r *gossippb.PermitRequest, now time.Time) {
	grant := permit.Grant{Issuer: d.Settings().Name, Requester: from.Name, ID: r.GetId()}
	var decision permit.Decision
	switch {
	case r.GetReturned():
		if a, ok := d.accounts().Find(r.GetAccount()); ok {
			d.permitIssuer.Return(permit.ForAccount(a, d.quotaRules()), grant, now)
		}
		return
	case r.GetAccount() != "":
		decision = d.decideAccountPermit(r.GetAccount(), grant, now)
	default:
		decision = d.decidePermit(r.GetTarget(), now)
	}
	reply := &gossippb.PermitReply{Id: r.GetId()}
	switch x := decision.(type) {
	case permit.Granted:
		reply.Granted = true
	case permit.Denied:
		// Rounded up, so that a permit is available by then.
		reply.RetryMillis = uint32(math.Ceil(x.RetryAfter.Seconds() * 1000))
	case permit.NoIssuer:
	}
	d.sync.gossiper.Send(from, &gossippb.Datagram{PermitReply: reply, Limits: d.knownLimit(r.GetTarget())})
}

// decidePermit decides about one send to a target. Without a limit, a send needs no permit.
func (d *Daemon) decidePermit(target string, now time.Time) permit.Decision {
	t, ok := d.State().Inventory.Target(target)
	if !ok {
		return permit.Denied{RetryAfter: retryUnknownTarget}
	}
	limit := d.limits.Limit(t)
	if limit == 0 {
		return permit.Granted{}
	}
	return d.permitIssuer.Issue(permit.ForTarget(t.ID, t.AvailabilityZone, limit), permit.Grant{}, now)
}

// decideAccountPermit decides about one request of an account. A daemon whose configuration does not have the account does
// not decide: it may be behind the one that asks.
func (d *Daemon) decideAccountPermit(name string, g permit.Grant, now time.Time) permit.Decision {
	a, ok := d.accounts().Find(name)
	switch {
	case !ok:
		return permit.NoIssuer{}
	case !a.Quota.Limited():
		return permit.Granted{}
	default:
		return d.permitIssuer.Issue(permit.ForAccount(a, d.quotaRules()), g, now)
	}
}

// accounts returns the client accounts of the configuration in force.
func (d *Daemon) accounts() account.Table { return d.State().OperatorState.Table.Accounts() }

func (d *Daemon) quotaRules() permit.Rules {
	r := d.Settings().Rules
	return permit.Rules{Window: r.QuotaWindow.Std(), Overshoot: r.QuotaOvershoot, Slack: r.QuotaSlack}
}

// handlePermits handles a request for a permit, or the reply to one, in a peer's datagram.
func (d *Daemon) handlePermits(from roster.Member, m *gossippb.Datagram, now time.Time) {
	if r := m.GetPermitRequest(); r != nil {
		d.issuePermit(from, r, now)
	}
	if r := m.GetPermitReply(); r != nil {
		d.permits.HandleReply(from.Name, r)
	}
}

// assignIssuers assigns the targets that have rate limits and the accounts that have quotas to issuers among the settled daemons,
// or among all serving ones if none is settled yet. recent is the number of daemons that were alive recently.
func (d *Daemon) assignIssuers(serving []roster.Member, recent int) {
	settled := lo.Filter(serving, func(m roster.Member, _ int) bool { return m.Settled })
	if len(settled) == 0 {
		settled = serving
	}
	members := lo.Map(settled, func(m roster.Member, _ int) issuertable.Member {
		return issuertable.Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone}
	})
	reachable := float64(len(serving)) / float64(max(recent, len(serving)))
	if !d.issuers.Get().Same(members, reachable) {
		d.issuers.Set(issuertable.New(d.Settings().Name, members, reachable))
	}
}

// sweepLimits removes the rate limits of targets that are not known any more, and the permits of targets and accounts without
// a limit.
func (d *Daemon) sweepLimits(known func(target string) bool) {
	d.limits.Retain(known)
	accounts := d.accounts()
	limited := func(id string) bool {
		if name, ok := permit.AccountName(id); ok {
			a, _ := accounts.Find(name)
			return a.Quota.Limited()
		}
		s, ok := d.limits.Find(id)
		return ok && s.Limited()
	}
	d.permitIssuer.Retain(limited)
	d.permits.Retain(limited)
}
