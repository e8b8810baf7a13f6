package operatorapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/burn"
	"github.com/knapweedpoint/knapweedpoint/internal/metrics"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// URL paths of the operators' interface.
const (
	PathHealth  = "/v1/health"
	PathReady   = "/v1/ready"
	PathStatus  = "/v1/status"
	PathMetrics = "/v1/metrics"
	PathBurn    = "/v1/burn"
)

// BurnPage is the response of PathBurn. Objectives is keyed by team name.
type BurnPage struct {
	Series     []burn.Series                 `json:"series"`
	Objectives map[string]settings.Objective `json:"objectives"`
}

// Handler is the HTTP handler of a daemon's interface for operators.
type Handler struct {
	Node     *node.Node
	Zone     string
	Ledger   *burn.Ledger
	Reporter *metrics.Reporter
}

// ServeHTTP serves GET and HEAD requests for the five paths.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet && req.Method != http.MethodHead {
		http.Error(w, "only GET is served here", http.StatusMethodNotAllowed)
		return
	}
	switch req.URL.Path {
	case PathHealth:
		writeJSON(w, http.StatusOK, map[string]bool{"healthy": true})
	case PathReady:
		h.ready(w)
	case PathStatus:
		writeJSON(w, http.StatusOK, NewStatus(h.Node, h.Zone))
	case PathMetrics:
		writeJSON(w, http.StatusOK, h.Reporter.Values())
	case PathBurn:
		writeJSON(w, http.StatusOK, h.burnPage())
	default:
		http.NotFound(w, req)
	}
}

func (h *Handler) ready(w http.ResponseWriter) {
	if reason := NotReadyReason(h.Node, h.Zone, time.Now()); reason != "" {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

func (h *Handler) burnPage() BurnPage {
	page := BurnPage{Series: h.Ledger.Series(time.Now()), Objectives: map[string]settings.Objective{}}
	if tree := h.Node.Board.Tree.Get(); tree != nil {
		for name, t := range tree.Teams {
			page.Objectives[name] = t.Objective
		}
	}
	return page
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
