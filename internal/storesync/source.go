package storesync

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

// ErrCompacted is the type of errors of a Source that no longer has the requested history.
var ErrCompacted = errorx.DataUnavailable.NewSubtype("history_forgotten")

// Source reads the platform state. The era rises when the store is restored from a backup; it is 0 if the store does not
// say.
type Source interface {
	// Read returns the whole state.
	Read(ctx context.Context) (FullState, error)
	// Changes returns the changes after a revision. On ErrCompacted, and if the result is of another era than the revision,
	// the caller has to read the whole state.
	Changes(ctx context.Context, after uint64) (Delta, error)
	// LatestConfiguration returns the configuration in force.
	LatestConfiguration(ctx context.Context) (LatestConfiguration, error)
	// Configuration decodes a configuration document received from a peer.
	Configuration(document []byte) (*routetable.Table, error)
}

// FullState is the whole published state at a revision.
type FullState struct {
	Era, Revision uint64
	Targets       []inventory.Target
	OperatorState operatorstate.State
}

// LatestConfiguration is the configuration in force at a revision. Its table is nil if there is none that can be decoded.
type LatestConfiguration struct {
	Era, Revision uint64
	operatorstate.Configuration
}

// Delta is a list of changes up to a revision, in order.
type Delta struct {
	Era, Revision uint64
	// Whole is set if the delta leads from any earlier state to the whole state at the revision.
	Whole bool
	// More is set when the response may have left out changes.
	More bool
	// ConfigurationsAfter is the revision after which the delta is known to lack no configuration, up to Revision. A copy whose
	// configuration is the latest up to that revision has the latest one after the delta.
	ConfigurationsAfter uint64
	Targets             []inventory.Change
	OperatorState       []operatorstate.Change
}
