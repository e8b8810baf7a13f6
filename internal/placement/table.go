package placement

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Table caches each target's ranking of VMs under one VM list; its zero value is ready to use.
type Table struct {
	mu          sync.Mutex
	revision    uint64
	memberCount int
	ranks       map[string][]string
}

// Relay returns the first VM of the target's ranking that may relay new work.
func (t *Table) Relay(v *membership.View, tree *settings.Tree, tg settings.Target, now time.Time) (membership.Member, bool) {
	for _, name := range t.rank(v, tg) {
		m, ok := v.Member(name)
		if !ok || !m.Usable(now) || tree.ZoneTakenOut(m.AvailabilityZone) {
			continue
		}
		return m, true
	}
	return membership.Member{}, false
}

func (t *Table) rank(v *membership.View, tg settings.Target) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ranks == nil || t.revision != v.ListRevision || t.memberCount != len(v.Members) {
		t.revision = v.ListRevision
		t.memberCount = len(v.Members)
		t.ranks = map[string][]string{}
	}
	key := tg.Name + "\x00" + tg.AvailabilityZone
	if r, ok := t.ranks[key]; ok {
		return r
	}
	ranked := rendezvous.RankZoneFirst(tg.Name, tg.AvailabilityZone, v.Members)
	r := lo.Map(ranked, func(m membership.Member, _ int) string { return m.Name })
	t.ranks[key] = r
	return r
}
