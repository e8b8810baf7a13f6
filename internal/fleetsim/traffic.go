package fleetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Traffic sends requests as a Poisson process and records the answers.
type Traffic struct {
	Fleet *Fleet
	// Group is the group of services that is queried; Kind is the kind of the requests.
	Group string
	Kind  string
	// Rate is the mean number of requests per second.
	Rate float64
	// Resends is the number of additional sends of each request; a daemon is chosen anew for each of them.
	Resends int
	// DistinctBodies is the number of different request bodies; with 0, every request has a body of its own.
	DistinctBodies int
	Seed           uint64
	Deadline       time.Duration
	// Choose returns the daemon for a request; nil means a random one.
	Choose func(r *rand.Rand) *Daemon

	mu      sync.Mutex
	Samples []Sample
	group   sync.WaitGroup
	rng     *rand.Rand
	sent    int
}

// Sample is one answer together with the request's start, latency, body and key.
type Sample struct {
	At      time.Time
	Latency time.Duration
	Body    string
	Key     string
	Answer  caller.Answer
}

// Run sends requests for the given duration and waits for their answers.
func (t *Traffic) Run(duration time.Duration) {
	stop := make(chan struct{})
	timer := time.AfterFunc(duration, func() { close(stop) })
	defer timer.Stop()
	t.RunUntil(stop)
}

// RunUntil sends requests until stop is closed and waits for their answers.
func (t *Traffic) RunUntil(stop <-chan struct{}) {
	if t.rng == nil {
		t.rng = rand.New(rand.NewPCG(t.Seed, 7))
	}
	for {
		t.sent++
		t.send(t.sent, t.rng)
		select {
		case <-time.After(time.Duration(t.rng.ExpFloat64() / t.Rate * float64(time.Second))):
		case <-stop:
			t.group.Wait()
			return
		}
	}
}

func (t *Traffic) send(i int, rng *rand.Rand) {
	n := i
	if t.DistinctBodies > 0 {
		n = rng.IntN(t.DistinctBodies)
	}
	q := root.Question{
		Team: t.Fleet.Options.Deployment.Team, Group: t.Group, Kind: t.Kind, Deadline: t.Deadline,
		Body: []byte(fmt.Sprintf(`{"n":"%s-%d-%d"}`, t.Group, t.Seed, n)),
	}
	if t.Kind == settings.KindBooking {
		q.Key = NewBookingKey(rng, time.Now())
	}
	for r := range t.Resends + 1 {
		d := t.pickDaemon(rng)
		delay := time.Duration(r) * time.Duration(rng.Int64N(int64(maxResendInterval)))
		t.group.Go(func() {
			time.Sleep(delay)
			t.request(d, q)
		})
	}
}

// maxResendInterval bounds the delay of additional sends: the r-th one follows the first send within r times the interval.
const maxResendInterval = 200 * time.Millisecond

func (t *Traffic) pickDaemon(rng *rand.Rand) *Daemon {
	if t.Choose != nil {
		return t.Choose(rng)
	}
	return t.Fleet.RandomDaemon(rng)
}

func (t *Traffic) request(d *Daemon, q root.Question) {
	began := time.Now()
	time.Sleep(t.Fleet.Options.Deployment.CallerDelay)
	d.Link.waitWhilePaused()
	if d.Link.isDead() {
		return
	}
	a := d.Node.Root.Ask(context.Background(), q)
	time.Sleep(t.Fleet.Options.Deployment.CallerDelay)
	d.Link.waitWhilePaused()
	if d.Link.isDead() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Samples = append(t.Samples, Sample{At: began, Latency: time.Since(began), Body: string(q.Body), Key: q.Key, Answer: a})
}

// NewBookingKey returns a UUIDv7 with the given timestamp; its random bits come from rng, so that runs are repeatable.
func NewBookingKey(rng *rand.Rand, at time.Time) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// Latencies returns the latencies of the answers in ascending order.
func (t *Traffic) Latencies() []time.Duration {
	out := lo.Map(t.Samples, func(s Sample, _ int) time.Duration { return s.Latency })
	slices.Sort(out)
	return out
}

// Quantile returns the q-quantile of durations in ascending order, or 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// MeanCoverage returns the mean coverage of the answers; an answer without coverage counts as 0.
func (t *Traffic) MeanCoverage() float64 {
	return lo.SumBy(t.Samples, func(s Sample) float64 {
		if s.Answer.Coverage == nil {
			return 0
		}
		return s.Answer.Coverage.Share
	}) / float64(max(len(t.Samples), 1))
}

// Outcomes counts the answers by outcome and reason.
func (t *Traffic) Outcomes() map[string]int {
	return lo.CountValuesBy(t.Samples, func(s Sample) string { return s.Answer.Outcome + " " + s.Answer.Reason })
}

// Item is one item in the result of a fake target.
type Item struct {
	Partition string          `json:"partition"`
	Snapshot  string          `json:"snapshot"`
	Body      json.RawMessage `json:"body"`
}

// Items decodes the items of an answer.
func Items(a caller.Answer) ([]Item, error) {
	var items []Item
	err := json.Unmarshal(a.Items, &items)
	return items, err
}

// ReplaceInItems replaces text in the sample's items, so that a test can falsify an answer.
func (s *Sample) ReplaceInItems(from, to string) {
	s.Answer.Items = bytes.ReplaceAll(s.Answer.Items, []byte(from), []byte(to))
}
