package standincli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Limits of the load command.
const (
	MaxRate     = 20_000
	MaxDuration = 10 * time.Minute
	maxWorkers  = 2000
)

type load struct {
	addresses []string
	kind      string
	team      string
	group     string
	rate      float64
	duration  time.Duration
	deadline  string
	distinct  int

	mu      sync.Mutex
	results map[string]*resultStats
}

type resultStats struct {
	count       int
	coverageSum float64
	times       []time.Duration
}

func newLoad() *cobra.Command {
	l := &load{}
	c := &cobra.Command{
		Use:     "load",
		Short:   "Send requests at a steady rate and print outcomes, coverage and latency",
		Example: "  standin load --address 127.0.0.1:7001 --kind search --team visits --group visitSearch --rate 100 --for 10s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if l.rate <= 0 || l.rate > MaxRate || l.duration <= 0 || l.duration > MaxDuration {
				return errorx.IllegalArgument.New("--rate must be above 0 and up to %d, --for up to %s", MaxRate, MaxDuration)
			}
			l.run(c.Context())
			return l.print(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringArrayVar(&l.addresses, "address", []string{"127.0.0.1:7001"}, "address of a daemon for callers; repeat for several daemons")
	f.StringVar(&l.kind, "kind", settings.KindSearch, "search, lookup or booking")
	f.StringVar(&l.team, "team", "visits", "team")
	f.StringVar(&l.group, "group", "visitSearch", "group")
	f.Float64Var(&l.rate, "rate", 50, "requests per second")
	f.DurationVar(&l.duration, "for", 10*time.Second, "duration of the load")
	f.StringVar(&l.deadline, "deadline", "", "deadline of each request")
	f.IntVar(&l.distinct, "distinct", 1000, "number of distinct request bodies")
	return c
}

func (l *load) run(ctx context.Context) {
	l.results = map[string]*resultStats{}
	clients := lo.Map(l.addresses, func(a string, _ int) *caller.Client { return caller.NewClient(a) })
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer ticker.Stop()
	end := time.NewTimer(l.duration)
	defer end.Stop()
	var group sync.WaitGroup
	slots := make(chan struct{}, maxWorkers)
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				l.send(ctx, clients[i%len(clients)])
			})
		case <-end.C:
			group.Wait()
			return
		case <-ctx.Done():
			group.Wait()
			return
		}
	}
}

func (l *load) send(ctx context.Context, c *caller.Client) {
	q := caller.Question{Body: json.RawMessage(fmt.Sprintf(`{"n":%d}`, rand.IntN(max(l.distinct, 1)))), Deadline: l.deadline}
	started := time.Now()
	a, err := l.call(ctx, c, q)
	took := time.Since(started)
	label := a.Outcome + " " + a.Reason
	if err != nil {
		label = "error " + errorx.GetTypeName(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.results[label]
	if t == nil {
		t = &resultStats{}
		l.results[label] = t
	}
	t.count++
	t.times = append(t.times, took)
	if a.Coverage != nil {
		t.coverageSum += a.Coverage.Share
	}
}

func (l *load) call(ctx context.Context, c *caller.Client, q caller.Question) (caller.Answer, error) {
	switch l.kind {
	case settings.KindLookup:
		return c.Lookup(ctx, l.team, l.group, q)
	case settings.KindBooking:
		id, err := uuid.NewV7()
		if err != nil {
			return caller.Answer{}, caller.Rejected.Wrap(err, "make a key")
		}
		return c.Book(ctx, l.team, l.group, id.String(), q)
	default:
		return c.Search(ctx, l.team, l.group, q)
	}
}

func (l *load) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "OUTCOME\tCOUNT\tCOVERAGE\tP50\tP99\tP99.9\tMAX")
	labels := lo.Keys(l.results)
	slices.Sort(labels)
	for _, label := range labels {
		t := l.results[label]
		slices.Sort(t.times)
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.5f\t%s\t%s\t%s\t%s\n", label, t.count, t.coverageSum/float64(t.count),
			quantile(t.times, 0.5), quantile(t.times, 0.99), quantile(t.times, 0.999), quantile(t.times, 1))
	}
	return w.Flush()
}

// quantile returns the q-quantile of sorted times.
func quantile(times []time.Duration, q float64) time.Duration {
	i := min(int(q*float64(len(times))), len(times)-1)
	return times[i].Round(time.Millisecond / 10)
}
