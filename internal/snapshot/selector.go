package snapshot

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// AvoidFor is how long a snapshot that targets lack is passed over for the next one.
const AvoidFor = time.Second

// Selector records which snapshots targets lack; its zero value records none.
type Selector struct {
	mu        sync.Mutex
	missingAt map[string]time.Time
}

// Pick returns the first of the group's snapshots that targets were not recently found to lack, or the first of all
// snapshots if there is none.
func (s *Selector) Pick(team, group string, g settings.Group, now time.Time) settings.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, snap := range g.Snapshots {
		if now.Sub(s.missingAt[snapshotKey(team, group, snap.Name)]) > AvoidFor {
			return snap
		}
	}
	return g.Snapshots[0]
}

// MarkMissing records that for some partition no target has the snapshot.
func (s *Selector) MarkMissing(team, group, name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingAt == nil {
		s.missingAt = map[string]time.Time{}
	}
	for key, at := range s.missingAt {
		if now.Sub(at) > AvoidFor {
			delete(s.missingAt, key)
		}
	}
	s.missingAt[snapshotKey(team, group, name)] = now
}

// Next returns the snapshot after the named one in the group's order of preference.
func Next(g settings.Group, name string) (settings.Snapshot, bool) {
	for i, s := range g.Snapshots {
		if s.Name == name && i+1 < len(g.Snapshots) {
			return g.Snapshots[i+1], true
		}
	}
	return settings.Snapshot{}, false
}

func snapshotKey(team, group, name string) string {
	return team + "\x00" + group + "\x00" + name
}
