package settings

import "slices"

// States of availability zones and targets in the published settings.
const (
	ZoneIn        = "in"
	ZoneOut       = "out"
	TargetServing = "serving"
	TargetDrain   = "drain"
)

// Kinds of request that a group serves.
const (
	KindSearch  = "search"
	KindLookup  = "lookup"
	KindBooking = "booking"
)

// Tree is a complete, valid revision of the settings. It is immutable after Parse.
type Tree struct {
	// Revision orders trees. A tree may only be replaced by one with a higher revision.
	Revision uint64 `json:"revision"`
	// Fleet holds the settings that apply to all teams.
	Fleet Fleet `json:"fleet"`
	// Teams holds one subtree per team, by team name.
	Teams map[string]Team `json:"teams"`
}

// Fleet holds the settings that apply to all teams.
type Fleet struct {
	AvailabilityZones []AvailabilityZone `json:"availabilityZones"`
}

// AvailabilityZone is one availability zone. Its state is ZoneIn or ZoneOut.
type AvailabilityZone struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Team is the settings subtree of one team.
type Team struct {
	// Worth is the weight of the team's requests under overload. It is above 0; 0 stands for the default of 1.
	Worth float64 `json:"worth,omitempty"`
	// Objective is the service level that the burn report measures against.
	Objective Objective `json:"objective,omitzero"`
	// Groups holds the service groups that callers address, by name.
	Groups map[string]Group `json:"groups"`
	// Services holds the shards that the groups consist of, by name.
	Services map[string]Service `json:"services"`
}

// Objective is a service level objective (SLO).
type Objective struct {
	// Latency is the time within which a good answer arrives.
	Latency Duration `json:"latency,omitempty"`
	// Coverage is the minimum share of the records, 0 to 1, that a good answer covers.
	Coverage float64 `json:"coverage,omitempty"`
	// GoodShare is the share of requests, 0 to 1, that must be good.
	GoodShare float64 `json:"goodShare,omitempty"`
}

// Group is a set of services that callers address as one.
type Group struct {
	// Kind is KindSearch, KindLookup or KindBooking.
	Kind string `json:"kind"`
	// Snapshots lists the published snapshots in order of preference.
	Snapshots []Snapshot `json:"snapshots"`
	// Deadline applies to requests whose caller sets none. The default is 150 ms.
	Deadline Duration `json:"deadline,omitempty"`
	// SkipCanary sends searches to all services at once, also those that have not yet run to completion on a target. Without
	// it, such a search first goes to one service only, as a canary.
	SkipCanary bool `json:"skipCanary,omitempty"`
}

// Snapshot is the manifest of one consistent state of the records.
type Snapshot struct {
	Name       string      `json:"name"`
	Partitions []Partition `json:"partitions"`
}

// Partition is a part of a snapshot, with its number of records and the services that hold it.
type Partition struct {
	Name     string   `json:"name"`
	Records  int64    `json:"records"`
	Services []string `json:"services"`
}

// Service is one shard with its replicas.
type Service struct {
	// Slots is how many requests one target runs concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections one target accepts.
	Connections int `json:"connections"`
	// ColdAllowance is how many concurrent requests a target can take during its cold start. The default is 1.
	ColdAllowance int `json:"coldAllowance,omitempty"`
	// BatchLimit is how many sub-requests may be batched into one request to a target. The default is 1.
	BatchLimit int `json:"batchLimit,omitempty"`
	// QueueLimit is how many sub-requests may wait for one target at a relay. The default is 64.
	QueueLimit int `json:"queueLimit,omitempty"`
	// Targets are the replicas.
	Targets []Target `json:"targets"`
}

// Target is one replica of a service.
type Target struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	// State is TargetServing, the default, or TargetDrain.
	State string `json:"state,omitempty"`
}

// Records returns the number of records in the snapshot.
func (s Snapshot) Records() int64 {
	var sum int64
	for _, p := range s.Partitions {
		sum += p.Records
	}
	return sum
}

// ZoneTakenOut reports whether operators have taken the named availability zone out.
func (t *Tree) ZoneTakenOut(name string) bool {
	return slices.ContainsFunc(t.Fleet.AvailabilityZones, func(z AvailabilityZone) bool {
		return z.Name == name && z.State == ZoneOut
	})
}

// TargetEligible reports whether new requests may be sent to the target: it is not draining and its zone is not taken out.
func (t *Tree) TargetEligible(tg Target) bool {
	return tg.State != TargetDrain && !t.ZoneTakenOut(tg.AvailabilityZone)
}

// FindTarget returns the named target of a team's service.
func (t *Tree) FindTarget(team, service, target string) (Service, Target, bool) {
	sv, ok := t.Teams[team].Services[service]
	if !ok {
		return Service{}, Target{}, false
	}
	for _, tg := range sv.Targets {
		if tg.Name == target {
			return sv, tg, true
		}
	}
	return Service{}, Target{}, false
}

// WithRevision returns a copy of the tree with another revision.
func (t Tree) WithRevision(revision uint64) Tree {
	t.Revision = revision
	return t
}

// WithZoneState returns a copy of the tree in which one availability zone has another state.
func (t Tree) WithZoneState(zone, state string) Tree {
	t.Fleet.AvailabilityZones = slices.Clone(t.Fleet.AvailabilityZones)
	for i := range t.Fleet.AvailabilityZones {
		if t.Fleet.AvailabilityZones[i].Name == zone {
			t.Fleet.AvailabilityZones[i].State = state
		}
	}
	return t
}
