package metrics

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// NewTextHandler returns a handler that writes all metrics as text, one a line: name, tags and value.
func NewTextHandler(r *Reporter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A reader that left needs no answer.
		_, _ = w.Write([]byte(r.Text()))
	})
}

// Text returns all metrics as text.
func (r *Reporter) Text() string {
	var b strings.Builder
	for _, v := range r.Values() {
		tags := tagText(v.Tags)
		fmt.Fprintf(&b, "%s%s %s\n", v.Name, tags, strconv.FormatFloat(v.Total, 'g', -1, 64))
		if v.Count > 0 {
			fmt.Fprintf(&b, "%s_count%s %d\n", v.Name, tags, v.Count)
		}
	}
	return b.String()
}

func tagText(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k+"="+strconv.Quote(tags[k]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}
