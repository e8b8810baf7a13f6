package measure

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Scenario describes one run: a deployment, its load and the faults injected under that load.
type Scenario struct {
	Deployment layout.Deployment
	Policy     policy.Policy
	// Group is the index of the deployment's group that gets the requests.
	Group int
	// Load is the request rate as a fraction of the group's capacity, where each request has a slot of its own.
	Load float64
	// Duration is how long requests are sent and measured.
	Duration time.Duration
	// During injects faults or changes while requests are sent; it may be nil.
	During func(f *fleetsim.Fleet)
	// Deadline replaces the group's deadline. A long one shows latencies that the group's own deadline would cut off.
	Deadline time.Duration
	// Cold starts the fleet with cold targets.
	Cold bool
	Seed uint64
}

// Result holds the measurements of a scenario.
type Result struct {
	Requests int
	// DoneRatio is the fraction of the requests with outcome done.
	DoneRatio float64
	P50       time.Duration
	P99       time.Duration
	P999      time.Duration
	// Coverage is the mean coverage of the answers.
	Coverage float64
	// ExtraRatio is the number of additional requests to targets (hedges and retries) per sub-request.
	ExtraRatio float64
	// ColdPeak is the highest concurrency at a cold target, as a multiple of what a cold target can take.
	ColdPeak float64
	// BatchesWhileOut counts the batches that reached the targets of an availability zone after its evacuation had to be
	// complete.
	BatchesWhileOut int
	// WorstSecond is the lowest DoneRatio of the requests sent in one second.
	WorstSecond float64
	Outcomes    map[string]int
}

const (
	// warmUp is the time between the start of a fleet and its first request.
	warmUp = 6 * time.Second
	// settle is the time that requests in flight get to end before the targets' records are read.
	settle = 100 * time.Millisecond
)

// Run runs the scenario. Requests of the first 2 s aren't measured. Run must be called inside a synctest bubble.
func Run(s Scenario) Result {
	g := s.Deployment.Groups[s.Group]
	f := fleetsim.NewFleet(fleetsim.Options{
		Deployment: s.Deployment.WithGroups(g), Policy: s.Policy, Seed: s.Seed, StartWarm: !s.Cold,
		BookingMargin: time.Second,
	})
	defer f.Close()
	time.Sleep(warmUp)
	t := traffic(f, g, s.Seed)
	t.Rate = s.Load * capacity(g)
	t.Deadline = s.Deadline
	t.Run(2 * time.Second)
	t.Samples = nil
	firstBefore, _ := sends(f)
	requestsBefore := targetRequests(f)
	var group sync.WaitGroup
	if s.During != nil {
		group.Go(func() { s.During(f) })
	}
	t.Run(s.Duration)
	group.Wait()
	time.Sleep(settle)
	return collect(f, t, firstBefore, requestsBefore)
}

func traffic(f *fleetsim.Fleet, g layout.Group, seed uint64) *fleetsim.Traffic {
	t := &fleetsim.Traffic{Fleet: f, Group: g.Name, Kind: g.Kind, Seed: seed}
	if g.Single {
		t.Group = g.ServiceName(0)
	}
	return t
}

// capacity returns how many requests per second the group's slots can serve when each request has a slot of its own.
func capacity(g layout.Group) float64 {
	return float64(g.Replicas*g.Slots) / g.ServiceTime.Seconds()
}

// sends returns the daemons' counts of first sends and of additional sends (hedges and retries).
func sends(f *fleetsim.Fleet) (first, extra uint64) {
	for _, d := range f.Daemons {
		a, b := d.Node.Root.Budget.Counts()
		first += a
		extra += b
	}
	return first, extra
}

// targetRequests returns the number of requests that the targets have run.
func targetRequests(f *fleetsim.Fleet) int {
	return lo.SumBy(lo.Values(f.Targets), func(t *faketarget.Target) int { return t.Record().Requests })
}

// collect returns the result of a run. Its last two arguments are the counts of first sends and of requests at the targets
// before the run.
func collect(f *fleetsim.Fleet, t *fleetsim.Traffic, firstBefore uint64, requestsBefore int) Result {
	times := t.Latencies()
	first, _ := sends(f)
	out := Result{
		Requests: len(t.Samples), DoneRatio: doneRatio(t.Samples), Coverage: t.MeanCoverage(), Outcomes: t.Outcomes(),
		P50: fleetsim.Quantile(times, 0.5), P99: fleetsim.Quantile(times, 0.99), P999: fleetsim.Quantile(times, 0.999),
		WorstSecond: worstSecond(t.Samples),
	}
	if t.Kind != settings.KindBooking && first > firstBefore {
		out.ExtraRatio = float64(targetRequests(f)-requestsBefore)/float64(first-firstBefore) - 1
	}
	for _, tg := range f.Targets {
		r := tg.Record()
		out.ColdPeak = max(out.ColdPeak, float64(r.ColdPeakConcurrency)/float64(r.ColdCapacity))
		out.BatchesWhileOut += r.BatchesWhileOut
	}
	return out
}

func doneRatio(ss []fleetsim.Sample) float64 {
	n := lo.CountBy(ss, func(s fleetsim.Sample) bool { return s.Answer.Outcome == "done" })
	return float64(n) / float64(max(len(ss), 1))
}

// minSamplesPerSecond is how many requests a second must have for WorstSecond to count it.
const minSamplesPerSecond = 20

func worstSecond(ss []fleetsim.Sample) float64 {
	bySecond := lo.GroupBy(ss, func(s fleetsim.Sample) int64 { return s.At.Unix() })
	worst := 1.0
	for _, samples := range bySecond {
		if len(samples) >= minSamplesPerSecond {
			worst = min(worst, doneRatio(samples))
		}
	}
	return worst
}

// AddStragglers makes every n-th target slower by a factor.
func AddStragglers(f *fleetsim.Fleet, n int, factor float64) {
	for i, name := range slices.Sorted(maps.Keys(f.Targets)) {
		if i%n == 0 {
			f.Targets[name].SetFaults(faketarget.Faults{SlowFactor: factor})
		}
	}
}

// ZoneOutAndBack takes an availability zone out and puts it back with its targets restarted, thus cold. From 3 s after the
// publication that takes it out, and for the given outage, its targets count the batches that they still receive.
func ZoneOutAndBack(f *fleetsim.Fleet, zone string, outage time.Duration) {
	f.Publish(f.Tree.WithZoneState(zone, settings.ZoneOut).WithRevision(f.Tree.Revision + 1))
	time.Sleep(evacuationLimit)
	for _, t := range f.TargetsInZone(zone) {
		t.SetFaults(faketarget.Faults{TakenOut: true})
	}
	time.Sleep(outage)
	for _, t := range f.TargetsInZone(zone) {
		t.SetFaults(faketarget.Faults{})
		t.Crash()
		t.Restart()
	}
	f.Publish(f.Tree.WithZoneState(zone, settings.ZoneIn).WithRevision(f.Tree.Revision + 1))
}

// evacuationLimit is the time within which an availability zone that is taken out must be free of new requests; the
// requirement is "a few seconds".
const evacuationLimit = 3 * time.Second
