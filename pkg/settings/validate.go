package settings

import (
	"fmt"
	"regexp"
	"time"
)

// Defaults and limits of the settings tree.
const (
	DefaultWorth              = 1.0
	DefaultDeadline           = 150 * time.Millisecond
	DefaultColdAllowance      = 1
	DefaultBatchLimit         = 1
	DefaultQueueLimit         = 64
	DefaultObjectiveCoverage  = 0.999
	DefaultObjectiveGoodShare = 0.99

	MaxSlots       = 64
	MaxConnections = 10_000
	MaxBatch       = 256
	MaxQueue       = 4096
	MaxDeadline    = time.Minute
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validator collects the problems of one settings file.
type validator struct {
	problems []Problem
	// zones holds the names of the availability zones.
	zones map[string]bool
	// targets maps the name of each target to its JSON path.
	targets map[string]string
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.add(path, "%q is not a name: 1 to 63 letters, digits, dots, dashes or underscores", name)
	}
}

func (v *validator) between(path string, n, low, high int) {
	if n < low || n > high {
		v.add(path, "%d is outside %d to %d", n, low, high)
	}
}

func (v *validator) share(path string, f float64) {
	if f < 0 || f > 1 {
		v.add(path, "%g is outside 0 to 1", f)
	}
}

func (v *validator) tree(t *Tree) {
	v.zones = map[string]bool{}
	v.targets = map[string]string{}
	if t.Revision == 0 {
		v.add("$.revision", "must be 1 or more")
	}
	v.fleet(t.Fleet)
	for _, name := range sortedKeys(t.Teams) {
		v.name("$.teams."+name, name)
		v.team("$.teams."+name, t.Teams[name])
	}
}

func (v *validator) fleet(f Fleet) {
	if len(f.AvailabilityZones) == 0 {
		v.add("$.fleet.availabilityZones", "must list at least one availability zone")
	}
	for i, z := range f.AvailabilityZones {
		path := fmt.Sprintf("$.fleet.availabilityZones[%d]", i)
		v.name(path+".name", z.Name)
		if v.zones[z.Name] {
			v.add(path+".name", "%q is listed twice", z.Name)
		}
		v.zones[z.Name] = true
		if z.State != ZoneIn && z.State != ZoneOut {
			v.add(path+".state", "%q is neither %q nor %q", z.State, ZoneIn, ZoneOut)
		}
	}
}

func (v *validator) team(path string, t Team) {
	if t.Worth < 0 {
		v.add(path+".worth", "%g is below 0", t.Worth)
	}
	v.share(path+".objective.coverage", t.Objective.Coverage)
	v.share(path+".objective.goodShare", t.Objective.GoodShare)
	for _, name := range sortedKeys(t.Services) {
		v.name(path+".services."+name, name)
		v.service(path+".services."+name, t.Services[name])
	}
	for _, name := range sortedKeys(t.Groups) {
		v.name(path+".groups."+name, name)
		v.group(path+".groups."+name, t, t.Groups[name])
	}
}

func (v *validator) service(path string, s Service) {
	v.between(path+".slots", s.Slots, 1, MaxSlots)
	v.between(path+".connections", s.Connections, 1, MaxConnections)
	v.between(path+".coldAllowance", s.ColdAllowance, 0, max(s.Slots, 1))
	v.between(path+".batchLimit", s.BatchLimit, 0, MaxBatch)
	v.between(path+".queueLimit", s.QueueLimit, 0, MaxQueue)
	if len(s.Targets) == 0 {
		v.add(path+".targets", "must list at least one target")
	}
	for i, tg := range s.Targets {
		v.target(fmt.Sprintf("%s.targets[%d]", path, i), tg)
	}
}

func (v *validator) target(path string, t Target) {
	v.name(path+".name", t.Name)
	if first, duplicate := v.targets[t.Name]; duplicate {
		v.add(path+".name", "%q is already the name of %s", t.Name, first)
	}
	v.targets[t.Name] = path
	v.address(path+".address", t.Address)
	if !v.zones[t.AvailabilityZone] {
		v.add(path+".availabilityZone", "%q is not in fleet.availabilityZones", t.AvailabilityZone)
	}
	v.oneOf(path+".state", t.State, "", TargetServing, TargetDrain)
}

func (v *validator) group(path string, t Team, g Group) {
	if g.Kind == "" {
		v.add(path+".kind", "must be set")
	}
	v.oneOf(path+".kind", g.Kind, "", KindSearch, KindLookup, KindBooking)
	if d := g.Deadline.Std(); d < 0 || d > MaxDeadline {
		v.add(path+".deadline", "%s is outside 0 to %s", d, MaxDeadline)
	}
	if len(g.Snapshots) == 0 {
		v.add(path+".snapshots", "must list at least one snapshot")
	}
	seen := map[string]bool{}
	for i, s := range g.Snapshots {
		at := fmt.Sprintf("%s.snapshots[%d]", path, i)
		if seen[s.Name] {
			v.add(at+".name", "%q is listed twice", s.Name)
		}
		seen[s.Name] = true
		v.snapshot(at, t, s)
	}
}

func (v *validator) snapshot(path string, t Team, s Snapshot) {
	v.name(path+".name", s.Name)
	if len(s.Partitions) == 0 {
		v.add(path+".partitions", "must list at least one partition")
	}
	seen := map[string]bool{}
	for i, p := range s.Partitions {
		at := fmt.Sprintf("%s.partitions[%d]", path, i)
		v.name(at+".name", p.Name)
		if seen[p.Name] {
			v.add(at+".name", "%q is listed twice", p.Name)
		}
		seen[p.Name] = true
		if p.Records < 0 {
			v.add(at+".records", "%d is below 0", p.Records)
		}
		v.partitionServices(at, t, p)
	}
}

func (v *validator) partitionServices(path string, t Team, p Partition) {
	if len(p.Services) == 0 {
		v.add(path+".services", "must name at least one service")
	}
	for j, name := range p.Services {
		if _, ok := t.Services[name]; !ok {
			v.add(fmt.Sprintf("%s.services[%d]", path, j), "%q is not a service of this team", name)
		}
	}
}
