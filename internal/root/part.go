package root

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// maxAttempts limits how often the same sub-request is sent to one target, counting refusals.
const maxAttempts = 4

// part is the share of a query that one service answers.
type part struct {
	service    string
	partitions []settings.Partition
	// attempts counts the sends to each target, by target name; a target with maxAttempts gets no more.
	attempts map[string]int
	// runs counts the sends that a target may have run.
	runs            int
	sends           []*send
	hedged          bool
	started         bool
	closed          bool
	snapshotMissing bool
	reason          string
	retryAt         time.Time
	// canaryNotBefore is the earliest time at which the part may be a canary again.
	canaryNotBefore time.Time
}

// send is one sub-request of a part.
type send struct {
	id     uint64
	part   *part
	target string
	relay  string
	sentAt time.Time
	// expected is the response time that was expected when the sub-request was sent.
	expected time.Duration
	ended    bool
	// warmUp marks a copy that was sent only to let a cold target ramp up.
	warmUp bool
}

func (p *part) partitionNames() []string {
	return lo.Map(p.partitions, func(x settings.Partition, _ int) string { return x.Name })
}

func (p *part) inFlight() []*send {
	return lo.Filter(p.sends, func(s *send, _ int) bool { return !s.ended && !s.warmUp })
}

// plan groups the snapshot's partitions by the service that is to answer them.
func plan(tree *settings.Tree, team settings.Team, snap settings.Snapshot, skip map[string][]string) []*part {
	byService := map[string]*part{}
	var parts []*part
	for _, p := range snap.Partitions {
		name := serviceFor(tree, team, p, skip[p.Name])
		if name == "" {
			continue
		}
		pt := byService[name]
		if pt == nil {
			pt = &part{service: name, attempts: map[string]int{}}
			byService[name] = pt
			parts = append(parts, pt)
		}
		pt.partitions = append(pt.partitions, p)
	}
	return parts
}

// serviceFor returns the first of the partition's services outside skip that accepts new work, or the first one outside
// skip if none does. It returns an empty string if skip contains all of them.
func serviceFor(tree *settings.Tree, team settings.Team, p settings.Partition, skip []string) string {
	remaining := lo.Without(p.Services, skip...)
	for _, name := range remaining {
		if slices.ContainsFunc(team.Services[name].Targets, tree.TargetEligible) {
			return name
		}
	}
	return lo.FirstOrEmpty(remaining)
}

// candidates lists the targets to which the part may be sent now.
func (q *query) candidates(p *part, now time.Time) []replicaselect.Candidate {
	sv := q.team.Services[p.service]
	var out []replicaselect.Candidate
	for _, tg := range sv.Targets {
		if !q.selectable(tg, now) || p.attempts[tg.Name] >= maxAttempts || p.inFlightOn(tg.Name) || q.reservedFromSuspect(sv, tg) {
			continue
		}
		relay, ok := q.root.relayOf(q.tree, tg, now)
		if !ok {
			continue
		}
		out = append(out, replicaselect.Candidate{
			Target: tg.Name, Relay: relay, Slots: sv.Slots,
			Stats: q.root.targetStats.Stats(tg.Name, now), Attempts: p.attempts[tg.Name],
		})
	}
	return out
}

// reservedFromSuspect reports whether a suspect request must not be sent to the target: it is one of a pair, and the
// other replica of the pair was lost while it ran the request.
func (q *query) reservedFromSuspect(sv settings.Service, tg settings.Target) bool {
	if len(sv.Targets) > minUsable || policy.Omitted(q.root.Policy).Quarantine {
		return false
	}
	lost := q.root.Register.LostTargets(q.fingerprint)
	anyLost := slices.ContainsFunc(sv.Targets, func(t settings.Target) bool { return slices.Contains(lost, t.Name) })
	return anyLost && !slices.Contains(lost, tg.Name)
}

func (p *part) inFlightOn(target string) bool {
	return slices.ContainsFunc(p.sends, func(s *send) bool { return s.target == target && !s.ended })
}

// usableTargets counts the service's targets that accept new work and are not known to be down.
func (q *query) usableTargets(service string, now time.Time) int {
	return lo.CountBy(q.team.Services[service].Targets, func(tg settings.Target) bool {
		return q.selectable(tg, now) && !now.Before(q.root.targetStats.Stats(tg.Name, now).DownUntil)
	})
}
