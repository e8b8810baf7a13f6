package retrybudget

import (
	"math"
	"sync"
	"time"
)

const (
	// buckets is the number of time buckets that are counted. There is one more than the window has, so that the
	// window is always covered completely.
	buckets = 21
	// usedShare is the share of the fleet's allowance that is used; the rest covers daemons whose member counts
	// differ.
	usedShare = 0.85
)

// Rule is the fleet's allowance of additional sends (hedges and retries) to one service.
type Rule struct {
	// Ratio is the number of additional sends allowed per request.
	Ratio float64
	// Slack is the number of additional sends allowed in any window, regardless of the requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Share is one daemon's share of a service's allowance.
type Share struct {
	// Ratio is the share, 0 to 1, of the rule's ratio for each request that this daemon counts.
	Ratio float64
	// Slack is the share, 0 to 1, of the rule's slack.
	Slack float64
}

const (
	// aggregatorSlack is the share of a service's slack that its aggregators divide among them. The other daemons,
	// which query targets themselves only when no aggregator takes the search, divide the rest.
	aggregatorSlack = 0.9
	// aggregatorRatio is the share of a service's ratio that aggregators use for the requests that they receive. The
	// other daemons use the rest for the requests that they send to targets themselves.
	aggregatorRatio = 0.8
)

// AggregatorShare returns one daemon's share of a service that has aggregators; isAggregator is set if the daemon is one
// of them.
func AggregatorShare(isAggregator bool, aggregators, daemons int) Share {
	if isAggregator {
		return Share{Ratio: aggregatorRatio, Slack: aggregatorSlack / float64(max(aggregators, 1))}
	}
	return Share{Ratio: 1 - aggregatorRatio, Slack: (1 - aggregatorSlack) / float64(max(daemons, 1))}
}

// Budget counts requests and additional sends by service; its zero value allows no additional sends.
type Budget struct {
	// Restarted is set if an earlier process may have used this daemon's share of the slack a short while ago.
	Restarted bool

	mu   sync.Mutex
	rule Rule
	// shares holds the shares that were in force within the last window, the latest one last.
	shares  []shares
	windows map[string]*window
	start   time.Time
}

// shares are the shares of all services from a point in time on.
type shares struct {
	from time.Time
	of   func(service string) Share
}

type window struct {
	requests [buckets]int
	// additional counts the additional sends.
	additional [buckets]int
	// current is the number of the latest bucket.
	current int64
}

// SetRule replaces the rule and this daemon's share of each service's allowance. A larger share of the slack is used only
// after it has been in force for one window, because the daemon that had it before may have used it. In the first window
// after a first start it is used at once.
func (b *Budget) SetRule(r Rule, shareOf func(service string) Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.rule = r
	b.bucket(now)
	if b.shares == nil && b.Restarted {
		b.shares = append(b.shares, shares{from: now, of: func(string) Share { return Share{} }})
	}
	// Nobody has used the slack before a first start, and the shares change until the daemons know each other.
	if !b.Restarted && now.Sub(b.start) < r.Window {
		b.shares = nil
	}
	for len(b.shares) > 1 && now.Sub(b.shares[1].from) > r.Window {
		b.shares = b.shares[1:]
	}
	b.shares = append(b.shares, shares{from: now, of: shareOf})
}

// slack returns the smallest share of a service's slack that was in force within the last window. The caller must hold mu.
func (b *Budget) slack(service string, now time.Time) float64 {
	smallest := math.Inf(1)
	for i, s := range b.shares {
		if last := i == len(b.shares)-1; last || now.Sub(b.shares[i+1].from) <= b.rule.Window {
			smallest = min(smallest, s.of(service).Slack)
		}
	}
	return smallest
}

// EqualShares returns the shares when all daemons send to every service and each counts only its own requests.
func EqualShares(daemons int) func(service string) Share {
	share := Share{Ratio: 1, Slack: 1 / float64(max(daemons, 1))}
	return func(string) Share { return share }
}

// CountRequest counts one caller's request to a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.current%buckets]++
}

// Spend reports whether one more additional send is allowed, and counts it if so.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if len(b.shares) == 0 {
		return false
	}
	requests, additional := sum(w.requests), sum(w.additional)
	ratio := b.shares[len(b.shares)-1].of(service).Ratio
	allowed := usedShare * (ratio*b.rule.Ratio*float64(requests) + b.slack(service, now)*b.rule.Slack)
	if float64(additional+1) > allowed {
		return false
	}
	w.additional[w.current%buckets]++
	return true
}

func (b *Budget) window(service string, now time.Time) *window {
	w := b.windows[service]
	if w == nil {
		if b.windows == nil {
			b.windows = map[string]*window{}
		}
		w = &window{current: b.bucket(now)}
		b.windows[service] = w
	}
	w.advance(b.bucket(now))
	return w
}

// bucket returns the number of the current bucket. It uses the monotonic clock, so that a change of the wall clock
// has no effect.
func (b *Budget) bucket(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now
	}
	width := b.rule.Window / (buckets - 1)
	if width <= 0 {
		width = time.Second
	}
	return int64(now.Sub(b.start) / width)
}

// advance empties the buckets that have left the window.
func (w *window) advance(to int64) {
	if to-w.current > buckets {
		w.current = to - buckets
	}
	for w.current < to {
		w.current++
		w.requests[w.current%buckets] = 0
		w.additional[w.current%buckets] = 0
	}
}

func sum(counts [buckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
