package coverage

import (
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Tally records which partitions of one snapshot were read; its zero value records none.
type Tally struct {
	covered map[string]bool
	reasons map[string]string
}

// Cover records that a partition was read completely; it returns false if that was recorded before.
func (t *Tally) Cover(partition string) bool {
	if t.covered[partition] {
		return false
	}
	if t.covered == nil {
		t.covered = map[string]bool{}
	}
	t.covered[partition] = true
	return true
}

// Covered reports whether a partition is recorded as read.
func (t *Tally) Covered(partition string) bool {
	return t.covered[partition]
}

// Miss records why a partition was not read.
func (t *Tally) Miss(partition, reason string) {
	if t.reasons == nil {
		t.reasons = map[string]string{}
	}
	t.reasons[partition] = reason
}

// Coverage computes the coverage from the recorded partitions and the snapshot's manifest.
func (t *Tally) Coverage(s settings.Snapshot) caller.Coverage {
	c := caller.Coverage{Records: s.Records()}
	for _, p := range s.Partitions {
		if t.covered[p.Name] {
			c.Covered += p.Records
			continue
		}
		c.Missing = append(c.Missing, caller.Missing{Partition: p.Name, Records: p.Records, Reason: t.reason(p.Name)})
	}
	c.Share = share(c)
	return c
}

func (t *Tally) reason(partition string) string {
	if r, ok := t.reasons[partition]; ok {
		return r
	}
	return caller.ReasonDeadline
}

func share(c caller.Coverage) float64 {
	switch {
	case len(c.Missing) == 0:
		return 1
	case c.Records == 0:
		return 0
	default:
		return float64(c.Covered) / float64(c.Records)
	}
}
