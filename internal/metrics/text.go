package metrics

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// NewTextHandler returns a handler that serves the text format of Reporter.Text.
func NewTextHandler(r *Reporter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A write error means that the client has disconnected.
		_, _ = w.Write([]byte(r.Text()))
	})
}

// Text formats all metrics as lines of name, tags and value. Timers and histograms have a second line with their count.
func (r *Reporter) Text() string {
	var b strings.Builder
	for _, v := range r.Values() {
		tags := formatTags(v.Tags)
		fmt.Fprintf(&b, "%s%s %s\n", v.Name, tags, strconv.FormatFloat(v.Total, 'g', -1, 64))
		if v.Count > 0 {
			fmt.Fprintf(&b, "%s_count%s %d\n", v.Name, tags, v.Count)
		}
	}
	return b.String()
}

func formatTags(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k+"="+strconv.Quote(tags[k]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}
