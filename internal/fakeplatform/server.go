package fakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// Paths of the control interface, through which tests and operators publish and inject faults.
const (
	PathPublish    = "/control/configuration"
	PathPublishVMs = "/control/vms"
	PathFaults     = "/control/faults"
	PathReads      = "/control/reads"
)

// maxWait bounds the wait of one watch.
const maxWait = 30 * time.Second

// NewHandler returns the HTTP handler of a fake platform. It serves the platform contract and the control interface.
func NewHandler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathConfiguration, func(w http.ResponseWriter, req *http.Request) {
		after, wait := watchParams(req)
		index, err := p.Index(req.Context(), after, wait)
		writeJSON(w, index, err)
	})
	mux.HandleFunc("GET "+platform.PathVMs, func(w http.ResponseWriter, req *http.Request) {
		after, wait := watchParams(req)
		list, err := p.VMs(req.Context(), after, wait)
		writeJSON(w, list, err)
	})
	mux.HandleFunc("GET "+platform.PathTeams+"{team}", func(w http.ResponseWriter, req *http.Request) {
		raw, err := p.Team(req.Context(), platform.Branch{Team: req.PathValue("team"), Digest: req.URL.Query().Get("digest")})
		writeJSON(w, raw, err)
	})
	registerControl(mux, p)
	return mux
}

func registerControl(mux *http.ServeMux, p *Platform) {
	mux.HandleFunc("PUT "+PathPublish, func(w http.ResponseWriter, req *http.Request) {
		raw, err := io.ReadAll(req.Body)
		if err == nil {
			err = p.Publish(raw)
		}
		writeStatus(w, err)
	})
	mux.HandleFunc("PUT "+PathPublishVMs, func(w http.ResponseWriter, req *http.Request) {
		var vms []platform.VM
		err := json.NewDecoder(req.Body).Decode(&vms)
		if err == nil {
			p.PublishVMs(vms)
		}
		writeStatus(w, err)
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, req *http.Request) {
		var f Faults
		err := json.NewDecoder(req.Body).Decode(&f)
		if err == nil {
			p.SetFaults(f)
		}
		writeStatus(w, err)
	})
	mux.HandleFunc("GET "+PathReads, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Reads(), nil) })
}

func watchParams(req *http.Request) (uint64, time.Duration) {
	q := req.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(strings.TrimSpace(q.Get("wait")))
	return after, min(wait, maxWait)
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeStatus(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
