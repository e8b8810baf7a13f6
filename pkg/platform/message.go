package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// URL paths of the platform contract.
const (
	PathConfiguration = "/v1/configuration"
	PathTeams         = "/v1/configuration/teams/"
	PathVMs           = "/v1/vms"
)

// States of a VM in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// Index is the part of the configuration that daemons watch. They fetch the subtree of a team only when its digest changes.
type Index struct {
	// Revision is the revision of the whole configuration.
	Revision uint64 `json:"revision"`
	// Fleet is the subtree of the fleet.
	Fleet settings.Fleet `json:"fleet"`
	// Branches lists the subtrees of all teams.
	Branches []Branch `json:"branches"`
}

// Branch identifies a version of one team's subtree.
type Branch struct {
	Team string `json:"team"`
	// Digest is the digest of the subtree's bytes.
	Digest string `json:"digest"`
}

// VMList is the platform's list of VMs. It lags behind the actual state of the VMs.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VM is one entry VM.
type VM struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region,omitempty"`
	// PeerAddress is the address on which the VM's daemon listens for other daemons.
	PeerAddress string `json:"peerAddress"`
	// State is VMLive or VMLeaving.
	State string `json:"state"`
}

// Source reads and watches the platform's services. Index and VMs are watches: they return when a revision other than after is
// published, or after the wait.
type Source interface {
	Index(ctx context.Context, after uint64, wait time.Duration) (Index, error)
	Team(ctx context.Context, b Branch) (json.RawMessage, error)
	VMs(ctx context.Context, after uint64, wait time.Duration) (VMList, error)
}
