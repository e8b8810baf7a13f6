package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/burn"
	"github.com/knapweedpoint/knapweedpoint/internal/metrics"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
)

func TestOperatorContract(t *testing.T) {
	n := node.New(node.Options{Name: "vm-a1", Incarnation: "1", Exchanger: &peer.Client{}})
	ledger := &burn.Ledger{}
	ledger.Add(burn.Sample{Team: "t", Group: "g", Answered: true, Covered: true, InTime: true, Worth: 1}, time.Now())
	h := &Handler{Node: n, Zone: "a", Ledger: ledger, Reporter: &metrics.Reporter{}}
	h.Reporter.ReportCounter("answers", map[string]string{"team": "t"}, 2)
	cases := []struct {
		name, method, path string
		status             int
		mentions           string
	}{
		{"health", http.MethodGet, PathHealth, http.StatusOK, `"healthy":true`},
		{"not ready while starting", http.MethodGet, PathReady, http.StatusServiceUnavailable, "starting"},
		{"status", http.MethodGet, PathStatus, http.StatusOK, `"phase":"starting"`},
		{"metrics", http.MethodGet, PathMetrics, http.StatusOK, `"total":2`},
		{"burn", http.MethodGet, PathBurn, http.StatusOK, `"good":1`},
		{"write", http.MethodPost, PathStatus, http.StatusMethodNotAllowed, "only GET"},
		{"unknown page", http.MethodGet, "/v1/other", http.StatusNotFound, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, http.NoBody))
			require.Equal(t, c.status, w.Code)
			require.Contains(t, w.Body.String(), c.mentions)
		})
	}
	n.Board.SetPhase(blackboard.Serving{})
	require.Equal(t, "noConfiguration", NotReadyReason(n, "a", time.Now()))
}
