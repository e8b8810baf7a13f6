package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// MaxQuestionBytes is the maximum size of a request body.
const MaxQuestionBytes = 1 << 20

// Answerer runs requests of callers. *root.Root implements it.
type Answerer interface {
	Ask(ctx context.Context, q root.Question) caller.Answer
	BookingOutcome(q root.Question) caller.Answer
}

// GroupPath holds the path parameters that identify a group of a team.
type GroupPath struct {
	Team  string `path:"team" maxLength:"63"`
	Group string `path:"group" maxLength:"63"`
}

type readInput struct {
	GroupPath
	Body caller.Question
}

type bookInput struct {
	GroupPath
	Key  string `header:"Idempotency-Key" required:"true" minLength:"1" maxLength:"256"`
	Body caller.Question
}

type bookingOutcomeInput struct {
	GroupPath
	Key string `path:"key" minLength:"1" maxLength:"256"`
}

type output struct {
	Status     int
	RetryAfter string `header:"Retry-After"`
	Body       caller.Answer
}

type api struct {
	answerer Answerer
}

// NewHandler returns the HTTP handler of the caller contract.
func NewHandler(answerer Answerer) http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("knapweedpoint", "1")
	config.DocsPath = ""
	config.CreateHooks = nil
	humaAPI := humago.New(mux, config)
	a := &api{answerer: answerer}
	register(humaAPI, "search", http.MethodPost, "/v1/teams/{team}/search/{group}", a.readHandler(settings.KindSearch))
	register(humaAPI, "lookup", http.MethodPost, "/v1/teams/{team}/lookup/{group}", a.readHandler(settings.KindLookup))
	register(humaAPI, "book", http.MethodPost, "/v1/teams/{team}/booking/{group}", a.book)
	register(humaAPI, "booking", http.MethodGet, "/v1/teams/{team}/booking/{group}/{key}", a.bookingOutcome)
	return mux
}

func register[I any](humaAPI huma.API, id, method, path string, f func(context.Context, *I) (*output, error)) {
	huma.Register(humaAPI, huma.Operation{OperationID: id, Method: method, Path: path, MaxBodyBytes: MaxQuestionBytes}, f)
}

// readHandler returns the handler of searches or look-ups.
func (a *api) readHandler(kind string) func(context.Context, *readInput) (*output, error) {
	return func(ctx context.Context, in *readInput) (*output, error) {
		q, err := newQuestion(in.GroupPath, kind, in.Body)
		if err != nil {
			return nil, err
		}
		return newOutput(a.answerer.Ask(ctx, q)), nil
	}
}

func (a *api) book(ctx context.Context, in *bookInput) (*output, error) {
	q, err := newQuestion(in.GroupPath, settings.KindBooking, in.Body)
	if err != nil {
		return nil, err
	}
	q.Key = in.Key
	return newOutput(a.answerer.Ask(ctx, q)), nil
}

func (a *api) bookingOutcome(_ context.Context, in *bookingOutcomeInput) (*output, error) {
	q := root.Question{Team: in.Team, Group: in.Group, Kind: settings.KindBooking, Key: in.Key}
	return newOutput(a.answerer.BookingOutcome(q)), nil
}

// newQuestion validates the body of a request and converts it.
func newQuestion(path GroupPath, kind string, in caller.Question) (root.Question, error) {
	q := root.Question{Team: path.Team, Group: path.Group, Kind: kind, Body: in.Body}
	if len(q.Body) == 0 || !json.Valid(q.Body) {
		return q, validationError("body.body", "must be JSON", string(q.Body))
	}
	if in.Deadline == "" {
		return q, nil
	}
	d, err := time.ParseDuration(in.Deadline)
	if err != nil || d <= 0 || d > settings.MaxDeadline {
		return q, validationError("body.deadline", fmt.Sprintf("must be a duration above 0 and up to %s", settings.MaxDeadline), in.Deadline)
	}
	q.Deadline = d
	return q, nil
}

func validationError(location, message, value string) error {
	return huma.Error422UnprocessableEntity("validation failed", &huma.ErrorDetail{Location: location, Message: message, Value: value})
}

// newOutput maps an answer to an HTTP status and headers.
func newOutput(a caller.Answer) *output {
	out := &output{Status: http.StatusOK, Body: a}
	switch {
	case a.Outcome == "unknown":
		out.Status = http.StatusGatewayTimeout
	case a.Outcome == "notRun":
		out.Status = notRunStatus(a.Reason)
		out.RetryAfter = fmt.Sprint((a.RetryAfterMs + 999) / 1000)
	}
	return out
}

// notRunStatus returns the HTTP status of a request that was not run.
func notRunStatus(reason string) int {
	switch reason {
	case caller.ReasonUnknownGroup:
		return http.StatusNotFound
	case caller.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case caller.ReasonBodyChanged:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
