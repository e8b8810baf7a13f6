package policy

import "github.com/joomcode/errorx"

// Policy is a way to reach targets: Relayed, Direct or Plain.
type Policy interface {
	policy()
}

// Relayed sends through the one relay that serves a target, with hedges, ramp-up and leases; it is the default.
type Relayed struct {
	// Without disables mechanisms, to test what breaks without them.
	Without Mechanisms
}

// Mechanisms are the protection mechanisms that can be disabled one by one.
type Mechanisms struct {
	// Ramp limits the load of a cold target.
	Ramp bool
	// Lease gives one relay at a time the right to send to a cold target.
	Lease bool
	// Freshness stops new work under a configuration that is not confirmed as current.
	Freshness bool
	// Witness records bookings before they run.
	Witness bool
	// Canary runs unproven requests on one target first, and Quarantine refuses those that crashed two.
	Canary     bool
	Quarantine bool
}

// Direct sends from every daemon directly to the targets, with hedges and with each daemon's own ramp-up.
type Direct struct{}

// Plain sends directly to a random replica and retries once, without hedges, ramp-up, leases or canaries.
type Plain struct{}

func (Relayed) policy() {}
func (Direct) policy()  {}
func (Plain) policy()   {}

// Parse returns the policy with the given name, Relayed for an empty name, and an errorx.IllegalArgument error for any
// other name.
func Parse(name string) (Policy, error) {
	switch name {
	case "", "relayed":
		return Relayed{}, nil
	case "direct":
		return Direct{}, nil
	case "plain":
		return Plain{}, nil
	default:
		return nil, errorx.IllegalArgument.New("unknown policy %q: it must be \"relayed\", \"direct\" or \"plain\"", name)
	}
}

// Omitted returns the mechanisms that a policy disables.
func Omitted(p Policy) Mechanisms {
	switch v := p.(type) {
	case Relayed:
		return v.Without
	case Direct:
		return Mechanisms{Lease: true}
	case Plain:
		return Mechanisms{Ramp: true, Lease: true, Canary: true}
	default:
		return Mechanisms{}
	}
}
