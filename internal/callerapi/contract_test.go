package callerapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
)

// fakeAnswerer returns the same answer to every question and records the last question.
type fakeAnswerer struct {
	answer caller.Answer
	asked  *root.Question
}

func (a *fakeAnswerer) Ask(_ context.Context, q root.Question) caller.Answer {
	a.asked = &q
	return a.answer
}

func (a *fakeAnswerer) BookingOutcome(q root.Question) caller.Answer {
	return a.Ask(context.Background(), q)
}

func TestCallerContract(t *testing.T) {
	done := caller.NewAnswer(outcome.Done{})
	cases := []struct {
		name, method, path, key, body string
		answer                        caller.Answer
		status                        int
		asked                         bool
		mentions                      string
	}{
		{"search", "POST", "/v1/teams/t/search/g", "", `{"body":{"a":1},"deadline":"90ms"}`, done, 200, true, `"done"`},
		{"look-up", "POST", "/v1/teams/t/lookup/g", "", `{"body":[1]}`, done, 200, true, `"done"`},
		{"booking", "POST", "/v1/teams/t/booking/g", "k", `{"body":{}}`, done, 200, true, `"done"`},
		{"enquiry", "GET", "/v1/teams/t/booking/g/k", "", "", done, 200, true, `"done"`},
		{"booking without a key", "POST", "/v1/teams/t/booking/g", "", `{"body":{}}`, done, 422, false, "Idempotency-Key"},
		{"no body", "POST", "/v1/teams/t/search/g", "", `{}`, done, 422, false, "body"},
		{"unknown field", "POST", "/v1/teams/t/search/g", "", `{"body":1,"dead":"1s"}`, done, 422, false, "dead"},
		{"deadline not a duration", "POST", "/v1/teams/t/search/g", "", `{"body":1,"deadline":"soon"}`, done, 422, false, "body.deadline"},
		{"deadline too long", "POST", "/v1/teams/t/search/g", "", `{"body":1,"deadline":"2h"}`, done, 422, false, "body.deadline"},
		{"not JSON", "POST", "/v1/teams/t/search/g", "", `{"body":`, done, 400, false, ""},
		{"too large", "POST", "/v1/teams/t/search/g", "", `{"body":"` + strings.Repeat("x", MaxQuestionBytes) + `"}`, done, 413, false, ""},
		{"not run", "POST", "/v1/teams/t/search/g", "", `{"body":1}`, caller.NewAnswer(outcome.NotRun{Reason: caller.ReasonOverload, RetryAfter: time.Second}), 503, true, `"overload"`},
		{"unknown", "POST", "/v1/teams/t/search/g", "", `{"body":1}`, caller.NewAnswer(outcome.Unknown{Reason: caller.ReasonConnectionLost}), 504, true, `"unknown"`},
		{"unknown group", "POST", "/v1/teams/t/search/g", "", `{"body":1}`, caller.NewAnswer(outcome.NotRun{Reason: caller.ReasonUnknownGroup}), 404, true, `"unknownGroup"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &fakeAnswerer{answer: c.answer}
			s := httptest.NewServer(NewHandler(a))
			t.Cleanup(s.Close)
			req, err := http.NewRequest(c.method, s.URL+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			req.Header.Set("Content-Type", "application/json")
			if c.key != "" {
				req.Header.Set(caller.HeaderIdempotencyKey, c.key)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode, string(data))
			require.Equal(t, c.asked, a.asked != nil)
			require.Contains(t, string(data), c.mentions)
			if c.status == http.StatusServiceUnavailable {
				require.Equal(t, "1", resp.Header.Get("Retry-After"))
			}
		})
	}
}

func FuzzQuestion(f *testing.F) {
	f.Add([]byte(`{"body":{"a":1},"deadline":"90ms"}`))
	f.Add([]byte(`{"body":null}`))
	f.Add([]byte(`{"deadline":1}`))
	a := &fakeAnswerer{answer: caller.NewAnswer(outcome.Done{})}
	h := NewHandler(a)
	f.Fuzz(func(t *testing.T, data []byte) {
		a.asked = nil
		w := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodPost, "/v1/teams/t/search/g", strings.NewReader(string(data)))
		req.Header.Set("Content-Type", "application/json")
		h.ServeHTTP(w, req)
		require.Equal(t, a.asked != nil, w.Code == http.StatusOK)
		require.True(t, a.asked == nil || json.Valid(a.asked.Body))
	})
}
