package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"github.com/samber/lo"
)

// Problem is a validation error in a settings file. Path is the JSON path of the value.
type Problem struct {
	Path string
	Text string
}

// String formats the problem as a single line.
func (p Problem) String() string {
	return p.Path + ": " + p.Text
}

// Parse parses and validates a settings tree and fills in defaults. It returns either the tree or all problems found.
func Parse(data []byte) (*Tree, []Problem) {
	var t Tree
	problems := decode(data, &t, func(v *validator) { v.tree(&t) })
	if len(problems) > 0 {
		return nil, problems
	}
	applyDefaults(&t)
	return &t, nil
}

// decode decodes data into a value and validates it. It omits problems found by check at a path that already has a
// decoding problem.
func decode(data []byte, into any, check func(v *validator)) []Problem {
	problems := unknownKeys(data, into)
	err := json.Unmarshal(data, into)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil || (errors.As(err, &typeErr) && len(problems) > 0):
	case len(problems) > 0:
		return problems
	default:
		return []Problem{decodeProblem(err)}
	}
	v := &validator{}
	check(v)
	reported := lo.SliceToMap(problems, func(p Problem) (string, bool) { return p.Path, true })
	return append(problems, lo.Reject(v.problems, func(p Problem, _ int) bool { return reported[p.Path] })...)
}

func decodeProblem(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Problem{Path: "$." + typeErr.Field, Text: fmt.Sprintf("is a %s, want a %s", typeErr.Value, typeErr.Type)}
	}
	return Problem{Path: "$", Text: err.Error()}
}

func applyDefaults(t *Tree) {
	for name, tm := range t.Teams {
		t.Teams[name] = withTeamDefaults(tm)
	}
}

func withTeamDefaults(tm Team) Team {
	tm.Worth = lo.CoalesceOrEmpty(tm.Worth, DefaultWorth)
	tm.Objective.Latency = lo.CoalesceOrEmpty(tm.Objective.Latency, Duration(DefaultDeadline))
	tm.Objective.Coverage = lo.CoalesceOrEmpty(tm.Objective.Coverage, DefaultObjectiveCoverage)
	tm.Objective.GoodShare = lo.CoalesceOrEmpty(tm.Objective.GoodShare, DefaultObjectiveGoodShare)
	for name, g := range tm.Groups {
		g.Deadline = lo.CoalesceOrEmpty(g.Deadline, Duration(DefaultDeadline))
		tm.Groups[name] = g
	}
	for name, sv := range tm.Services {
		sv.ColdAllowance = lo.CoalesceOrEmpty(sv.ColdAllowance, DefaultColdAllowance)
		sv.BatchLimit = lo.CoalesceOrEmpty(sv.BatchLimit, DefaultBatchLimit)
		sv.QueueLimit = lo.CoalesceOrEmpty(sv.QueueLimit, DefaultQueueLimit)
		tm.Services[name] = sv
	}
	return tm
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	sort.Strings(keys)
	return keys
}
