package main

import (
	"bytes"
	"fmt"
	"net/http"
)

// finding is one broken rule.
type finding struct{ rule, text string }

// check compares what was sent and answered with what ran.
func (cs *clients) check(all *runs) []finding {
	var out []finding
	sent := map[string]*attempt{}
	for _, a := range cs.attempts {
		sent[a.id] = a
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	for id, rs := range all.byID {
		a := sent[id]
		if a == nil {
			out = append(out, finding{"UNASKED", "id=" + id + " was not sent"})
			continue
		}
		for _, r := range rs {
			if r.method != a.method || r.path != a.path || r.body != a.body {
				out = append(out, finding{"UNASKED", fmt.Sprintf("id=%s ran as %s %s %q", id, r.method, r.path, r.body)})
			}
		}
		if !a.idempotent && len(rs) > 1 {
			out = append(out, finding{"TWICE", fmt.Sprintf("id=%s ran %d times, at %s and %s; answered %d by %s", id, len(rs), rs[0].replica, rs[1].replica, a.status, a.daemon)})
		}
	}
	for _, a := range cs.attempts {
		rs := all.byID[a.id]
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if !a.idempotent && len(rs) > 0 {
				out = append(out, finding{"REFUSED", fmt.Sprintf("id=%s answered %d by %s and ran at %s", a.id, a.status, a.daemon, rs[0].replica)})
			}
		case http.StatusOK:
			if a.class == "lot" {
				continue
			}
			if text := cs.wrong(a, rs); text != "" {
				out = append(out, finding{"MIXED", fmt.Sprintf("id=%s %s", a.id, text)})
			}
		}
	}
	return out
}

// wrong says what is wrong with the success of a single replica.
func (cs *clients) wrong(a *attempt, rs []run) string {
	given := a.header.Get("X-Server-Stamp")
	for _, r := range rs {
		if given != stamp(r.replica, a.id) {
			continue
		}
		if !bytes.Equal(a.answer, records(r.service, a.path, a.id)) {
			return "has a body that is not the replica's"
		}
		return ""
	}
	return fmt.Sprintf("has the stamp %q of no run of it", given)
}
