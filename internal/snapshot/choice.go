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

// Pick returns the first of the group's snapshots that targets were not recently found to lack, or the preferred one if
// there is none.
func (c *Selector) Pick(team, group string, g settings.Group, now time.Time) settings.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range g.Snapshots {
		if now.Sub(c.missingAt[choiceKey(team, group, s.Name)]) > AvoidFor {
			return s
		}
	}
	return g.Snapshots[0]
}

// MarkMissing records that for some partition no target has the snapshot.
func (c *Selector) MarkMissing(team, group, name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.missingAt == nil {
		c.missingAt = map[string]time.Time{}
	}
	for key, at := range c.missingAt {
		if now.Sub(at) > AvoidFor {
			delete(c.missingAt, key)
		}
	}
	c.missingAt[choiceKey(team, group, name)] = now
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

func choiceKey(team, group, name string) string {
	return team + "\x00" + group + "\x00" + name
}
