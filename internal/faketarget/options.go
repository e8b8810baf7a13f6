package faketarget

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Options configure a fake target; the defaults are those of a replica of a search service.
type Options struct {
	Name string `json:"name"`
	// Slots is the number of batches that run at a time, by default 2.
	Slots int `json:"slots,omitempty"`
	// Queue is the number of batches that can wait for a slot, by default 16; the target sheds further ones.
	Queue int `json:"queue,omitempty"`
	// Connections is the number of connections that can be open at a time, by default 50.
	Connections int `json:"connections,omitempty"`
	// ConnectTime is the time that setting up a connection takes, by default 6 ms.
	ConnectTime settings.Duration `json:"connectTime,omitempty"`
	// ServiceTime is the mean time to run a batch of one request, by default 5 ms. Service times are log-normally
	// distributed.
	ServiceTime settings.Duration `json:"service,omitempty"`
	// ServiceTimeLogStdDev is the standard deviation of the logarithm of the service time, by default 0.5.
	ServiceTimeLogStdDev float64 `json:"deviation,omitempty"`
	// AddedRequestCost is the share of ServiceTime that each further request of a batch adds to the mean, by default 1.
	AddedRequestCost float64 `json:"perRequest,omitempty"`
	// WarmupBatches is the number of batches that a cold target runs until it is warm, by default 40.
	WarmupBatches int `json:"coldRuns,omitempty"`
	// ColdCapacity is the number of batches at a time that a cold target can take, by default 1.
	ColdCapacity int `json:"coldBears,omitempty"`
	// ColdFactor multiplies the service time of a cold target, by default 3.
	ColdFactor float64 `json:"coldFactor,omitempty"`
	// StartWarm starts the first incarnation warm.
	StartWarm bool `json:"startWarm,omitempty"`
	// Snapshots maps the name of each snapshot that the target holds to its partitions; nil means that it holds all.
	Snapshots map[string][]string `json:"snapshots,omitempty"`
	// Seed makes the service times repeatable.
	Seed uint64 `json:"seed,omitempty"`
}

// MaxBodies bounds the number of distinct request bodies in a Record; from then on, no run of a read is counted there.
const MaxBodies = 200_000

// NoticeTime is the time that a relay has to obey a notice in a reply.
const NoticeTime = 500 * time.Millisecond

// Defaults of Options.
const (
	DefaultSlots                = 2
	DefaultQueue                = 16
	DefaultConnections          = 50
	DefaultConnectTime          = 6 * time.Millisecond
	DefaultServiceTime          = 5 * time.Millisecond
	DefaultServiceTimeLogStdDev = 0.5
	DefaultWarmupBatches        = 40
	DefaultColdCapacity         = 1
	DefaultColdFactor           = 3
	DefaultAddedRequestCost     = 1
)

// WithDefaults returns the options with the default in place of each zero value.
func (o Options) WithDefaults() Options {
	o.Slots = orDefault(o.Slots, DefaultSlots)
	o.Queue = orDefault(o.Queue, DefaultQueue)
	o.Connections = orDefault(o.Connections, DefaultConnections)
	o.ConnectTime = orDefault(o.ConnectTime, settings.Duration(DefaultConnectTime))
	o.ServiceTime = orDefault(o.ServiceTime, settings.Duration(DefaultServiceTime))
	o.ServiceTimeLogStdDev = orDefault(o.ServiceTimeLogStdDev, DefaultServiceTimeLogStdDev)
	o.WarmupBatches = orDefault(o.WarmupBatches, DefaultWarmupBatches)
	o.ColdCapacity = orDefault(o.ColdCapacity, DefaultColdCapacity)
	o.AddedRequestCost = orDefault(o.AddedRequestCost, DefaultAddedRequestCost)
	o.ColdFactor = orDefault(o.ColdFactor, DefaultColdFactor)
	return o
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Faults are the faults that can be injected into a target.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Frozen keeps batches that begin to run from completing until it is cleared.
	Frozen bool `json:"frozen,omitempty"`
	// Draining refuses every new batch as on a draining target.
	Draining bool `json:"draining,omitempty"`
	// Leaving makes every reply say that the target is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// RetryAfter is the hold, in seconds, that every refusal asks for.
	RetryAfter float64 `json:"retryAfter,omitempty"`
	// Shed refuses every new batch as on an overloaded target.
	Shed bool `json:"shed,omitempty"`
	// CrashOn crashes the target when the body of a request contains this text.
	CrashOn string `json:"crashOn,omitempty"`
	// MisreportLoad makes the target report no load and hide that it is cold.
	MisreportLoad bool `json:"mislead,omitempty"`
	// Truncate clears the end mark of every result.
	Truncate bool `json:"truncate,omitempty"`
	// CutHead, if above 0, ends the connection after that many bytes of the head of each reply to a batch that has run.
	CutHead int `json:"cutHead,omitempty"`
	// Duplicate returns every result twice.
	Duplicate bool `json:"duplicate,omitempty"`
	// Reorder returns the results in reverse order.
	Reorder bool `json:"reorder,omitempty"`
	// WrongSnapshot, if set, replaces the snapshot named in every result.
	WrongSnapshot string `json:"wrongSnapshot,omitempty"`
	// TakenOut marks the target as taken out of service: it still runs batches, and Record.BatchesWhileOut counts them.
	TakenOut bool `json:"out,omitempty"`
}

// Record is what a target has received and run so far.
type Record struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Cold        bool   `json:"cold"`
	Batches     int    `json:"batches"`
	Requests    int    `json:"requests"`
	Shed        int    `json:"shed"`
	Crashes     int    `json:"crashes"`
	// PeakConcurrency and ColdPeakConcurrency are the highest numbers of batches running and queued at a time, ever and
	// while cold.
	PeakConcurrency     int `json:"peak"`
	ColdPeakConcurrency int `json:"coldPeak"`
	// ColdCapacity is the number of batches at a time that the target can take while cold.
	ColdCapacity int `json:"coldBears"`
	// BatchesWhileOut counts the batches received while marked as taken out, except those refused as late.
	BatchesWhileOut int `json:"afterOut"`
	// BatchesAfterLeaving counts the batches received later than NoticeTime after the incarnation's first reply that said
	// that the target is leaving.
	BatchesAfterLeaving int `json:"afterLeaving"`
	// BatchesInHold counts the batches received later than NoticeTime after a refusal that asked for a hold and before the
	// end of the hold.
	BatchesInHold int `json:"inHold"`
	// Runs counts the runs of each booking key.
	Runs map[string]int `json:"runs,omitempty"`
	// Bodies counts the runs of reads by request body; it stops counting once it holds MaxBodies bodies.
	Bodies map[string]int `json:"bodies,omitempty"`
}
