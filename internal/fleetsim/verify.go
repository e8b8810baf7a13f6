package fleetsim

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// maxViolations bounds the violations that Verify returns.
const maxViolations = 20

// Verify checks the fleet's targets and the answers of its traffic against the guarantees of the daemons. It returns at
// most maxViolations violations, each as a line that begins with the name of the guarantee.
func Verify(f *Fleet, traffic ...*Traffic) []string {
	var out []string
	runs, bodies := map[string]int{}, map[string]int{}
	for name, t := range f.Targets {
		r := t.Record()
		if r.ColdPeakConcurrency > r.ColdCapacity {
			out = append(out, fmt.Sprintf("cold start: %s received %d batches at a time and has a capacity of %d while cold", name, r.ColdPeakConcurrency, r.ColdCapacity))
		}
		if r.BatchesWhileOut > 0 {
			out = append(out, fmt.Sprintf("taken out: %s received %d batches while taken out", name, r.BatchesWhileOut))
		}
		for k, n := range r.Runs {
			runs[k] += n
		}
		for b, n := range r.Bodies {
			bodies[b] += n
		}
	}
	for k, n := range runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("at most once: key %s ran %d times", k, n))
		}
	}
	for _, t := range traffic {
		for _, s := range t.Samples {
			out = append(out, verifySample(f, t, s, runs, bodies)...)
		}
	}
	return lo.Slice(out, 0, maxViolations)
}

func verifySample(f *Fleet, t *Traffic, s Sample, runs, bodies map[string]int) []string {
	switch {
	case t.Kind == settings.KindBooking:
		return verifyBooking(t, s, runs)
	case s.Answer.Outcome == "notRun" && t.DistinctBodies == 0 && bodies[s.Body] > 0:
		return []string{fmt.Sprintf("not run: request %s ran %d times although the answer says not run (%s)", s.Body, bodies[s.Body], s.Answer.Reason)}
	case s.Answer.Outcome == "done":
		return verifyRead(f, t, s)
	default:
		return nil
	}
}

func verifyBooking(t *Traffic, s Sample, runs map[string]int) []string {
	switch {
	case s.Answer.Outcome == "done" && runs[s.Key] != 1:
		return []string{fmt.Sprintf("booking: the answer says done, but key %s ran %d times", s.Key, runs[s.Key])}
	case s.Answer.Outcome == "done" && !strings.Contains(string(s.Answer.Items), s.Key):
		return []string{fmt.Sprintf("whole answer: items of the answer to key %s do not contain the key: %s", s.Key, s.Answer.Items)}
	case s.Answer.Outcome == "notRun" && t.Resends == 0 && runs[s.Key] > 0:
		return []string{fmt.Sprintf("not run: key %s ran although the answer says not run (%s)", s.Key, s.Answer.Reason)}
	default:
		return nil
	}
}

func verifyRead(f *Fleet, t *Traffic, s Sample) []string {
	var out []string
	items, err := Items(s.Answer)
	if err != nil {
		return []string{fmt.Sprintf("whole answer: items of the answer to %s: %v", s.Body, err)}
	}
	g := f.Tree.Teams[f.Options.Deployment.Team].Groups[t.Group]
	snap, known := lo.Find(g.Snapshots, func(x settings.Snapshot) bool { return x.Name == s.Answer.Snapshot })
	records := lo.SliceToMap(snap.Partitions, func(p settings.Partition) (string, int64) { return p.Name, p.Records })
	seen := map[string]bool{}
	var covered int64
	for _, x := range items {
		if x.Snapshot != s.Answer.Snapshot {
			out = append(out, fmt.Sprintf("one snapshot: answer to %s has items of snapshot %s and names snapshot %s", s.Body, x.Snapshot, s.Answer.Snapshot))
		}
		if string(x.Body) != s.Body {
			out = append(out, fmt.Sprintf("own answer: answer to %s has an item of request %s", s.Body, x.Body))
		}
		if seen[x.Partition] {
			out = append(out, fmt.Sprintf("whole answer: answer to %s has partition %s twice", s.Body, x.Partition))
		}
		seen[x.Partition] = true
		covered += records[x.Partition]
	}
	c := s.Answer.Coverage
	if known && (c.Covered != covered || c.Records != snap.Records()) {
		out = append(out, fmt.Sprintf("coverage: answer to %s names %d of %d records, its items cover %d of %d", s.Body, c.Covered, c.Records, covered, snap.Records()))
	}
	if known && (c.Share == 1) != (len(seen) == len(records)) {
		out = append(out, fmt.Sprintf("coverage: answer to %s names a share of %g with %d of %d partitions", s.Body, c.Share, len(seen), len(records)))
	}
	return out
}
