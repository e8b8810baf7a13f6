package crashguard

import (
	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Fingerprint returns a hash of the parts of a request that are the same in each attempt: all but its id.
func Fingerprint(r targetcall.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Path} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
