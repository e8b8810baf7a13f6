package layout

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Deployment is one user's fleet: its VMs, availability zones and services.
type Deployment struct {
	Team string
	// Zones and VMs are counts.
	Zones int
	VMs   int
	// ZoneDelay and CallerDelay are the one-way delays between zones and to callers.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Groups      []Group
}

// Group is a group of identical services.
type Group struct {
	Name     string
	Kind     string
	Services int
	Replicas int
	Slots    int
	// Connections is the number of connections that one replica accepts; ConnectTime is how long a new one takes.
	Connections int
	ConnectTime time.Duration
	ServiceTime time.Duration
	// BatchLimit is the number of sub-requests that may share a request; 0 selects the settings' default.
	BatchLimit int
	// Single makes each service a group of its own, which is addressed individually.
	Single bool
}

const recordsPerPartition = 1000

// Tochtwering is the deployment of Vereniging Tochtwering Nederland.
func Tochtwering() Deployment {
	return Deployment{
		Team: "visits", Zones: 3, VMs: 15, ZoneDelay: 1500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Groups: []Group{
			{Name: "visitSearch", Kind: settings.KindSearch, Services: 20, Replicas: 2, Slots: 2, Connections: 50, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond},
			{Name: "portal", Kind: settings.KindLookup, Services: 30, Replicas: 2, Slots: 2, Connections: 50, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Single: true},
			{Name: "jobCards", Kind: settings.KindLookup, Services: 1, Replicas: 10, Slots: 4, Connections: 200, ConnectTime: time.Millisecond, ServiceTime: 2 * time.Millisecond},
			{Name: "grants", Kind: settings.KindBooking, Services: 1, Replicas: 4, Slots: 4, Connections: 200, ConnectTime: time.Millisecond, ServiceTime: 2 * time.Millisecond},
		},
	}
}

// Pommeraie is the deployment of Pommeraie Contractuelle de Cornouaille.
func Pommeraie() Deployment {
	return Deployment{
		Team: "contracts", Zones: 3, VMs: 13, ZoneDelay: time.Millisecond, CallerDelay: time.Millisecond,
		Groups: []Group{
			{Name: "pressDesk", Kind: settings.KindSearch, Services: 20, Replicas: 2, Slots: 2, Connections: 55, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond},
			{Name: "buyerLedger", Kind: settings.KindLookup, Services: 30, Replicas: 2, Slots: 2, Connections: 55, ConnectTime: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Single: true},
			{Name: "growerFile", Kind: settings.KindLookup, Services: 1, Replicas: 5, Slots: 3, Connections: 85, ConnectTime: time.Millisecond, ServiceTime: 2 * time.Millisecond},
			{Name: "harvest", Kind: settings.KindBooking, Services: 1, Replicas: 3, Slots: 3, Connections: 85, ConnectTime: time.Millisecond, ServiceTime: 2 * time.Millisecond},
		},
	}
}

// Small is a deployment that is small enough to run as processes on one machine: three VMs and four search services.
func Small() Deployment {
	d := Tochtwering()
	d.VMs = 3
	search := d.Groups[0].WithCounts(4, 2)
	search.BatchLimit = 8
	d.Groups = []Group{search, d.Groups[2].WithCounts(1, 3), d.Groups[3].WithCounts(1, 2)}
	return d
}

// WithCounts returns a copy of the group with the given numbers of services and replicas.
func (g Group) WithCounts(services, replicas int) Group {
	g.Services = services
	g.Replicas = replicas
	return g
}

// WithVMs returns a copy of the deployment with the given number of VMs.
func (d Deployment) WithVMs(n int) Deployment {
	d.VMs = n
	return d
}

// WithGroups returns a copy of the deployment with other groups.
func (d Deployment) WithGroups(gs ...Group) Deployment {
	d.Groups = gs
	return d
}

// Zone returns the name of the i-th availability zone; i wraps around after the last zone.
func (d Deployment) Zone(i int) string {
	return string(rune('a' + i%d.Zones))
}

// ServiceName returns the name of the i-th service of a group.
func (g Group) ServiceName(i int) string {
	return fmt.Sprintf("%s-%02d", g.Name, i+1)
}

// TargetName returns the name of the r-th replica of the i-th service of a group.
func (g Group) TargetName(i, r int) string {
	return fmt.Sprintf("%s-%02d-%d", g.Name, i+1, r+1)
}

// Tree returns the deployment's settings tree; address gives each target's address by name.
func (d Deployment) Tree(address func(target string) string) settings.Tree {
	team := settings.Team{Groups: map[string]settings.Group{}, Services: map[string]settings.Service{}}
	for _, g := range d.Groups {
		for i := range g.Services {
			team.Services[g.ServiceName(i)] = d.service(g, i, address)
			if g.Single {
				team.Groups[g.ServiceName(i)] = group(g, []settings.Partition{partition(g, i)})
			}
		}
		if !g.Single {
			team.Groups[g.Name] = group(g, lo.Times(g.Services, func(i int) settings.Partition { return partition(g, i) }))
		}
	}
	zones := lo.Times(d.Zones, func(i int) settings.AvailabilityZone {
		return settings.AvailabilityZone{Name: d.Zone(i), State: settings.ZoneIn}
	})
	return settings.Tree{Revision: 1, Fleet: settings.Fleet{AvailabilityZones: zones}, Teams: map[string]settings.Team{d.Team: team}}
}

func (d Deployment) service(g Group, i int, address func(string) string) settings.Service {
	return settings.Service{
		Slots: g.Slots, Connections: g.Connections, BatchLimit: g.BatchLimit,
		Targets: lo.Times(g.Replicas, func(r int) settings.Target {
			name := g.TargetName(i, r)
			return settings.Target{Name: name, Address: address(name), AvailabilityZone: d.Zone(i + r)}
		}),
	}
}

func group(g Group, ps []settings.Partition) settings.Group {
	return settings.Group{Kind: g.Kind, Snapshots: []settings.Snapshot{{Name: "s1", Partitions: ps}}}
}

func partition(g Group, i int) settings.Partition {
	name := g.ServiceName(i)
	return settings.Partition{Name: "p-" + name, Records: recordsPerPartition, Services: []string{name}}
}

// VMList returns the deployment's VMs; address gives each one's peer address.
func (d Deployment) VMList(address func(vm string) string) []platform.VM {
	return lo.Times(d.VMs, func(i int) platform.VM {
		name := d.VMName(i)
		return platform.VM{Name: name, AvailabilityZone: d.Zone(i), Region: "one", PeerAddress: address(name), State: platform.VMLive}
	})
}

// VMName returns the name of the i-th VM.
func (d Deployment) VMName(i int) string {
	return fmt.Sprintf("vm-%s%d", d.Zone(i), i/d.Zones+1)
}

// TargetOptions returns the options of every target.
func (d Deployment) TargetOptions() []faketarget.Options {
	var out []faketarget.Options
	for _, g := range d.Groups {
		for i := range g.Services {
			for r := range g.Replicas {
				out = append(out, faketarget.Options{
					Name: g.TargetName(i, r), Slots: g.Slots, Connections: g.Connections,
					ConnectTime: settings.Duration(g.ConnectTime), ServiceTime: settings.Duration(g.ServiceTime),
					Seed: uint64(len(out)) + 1,
				})
			}
		}
	}
	return out
}
