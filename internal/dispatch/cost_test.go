package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/grace"
	"github.com/knapweedpoint/knapweedpoint/internal/inflight"
)

// BenchmarkAccounting measures what each request costs so that a stopping daemon can answer it.
func BenchmarkAccounting(b *testing.B) {
	var period grace.Period
	var register inflight.Register
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		_, release := period.Bind(context.Background())
		remove := register.Add("id", "route", now)
		period.Admit(now, now.Add(time.Second))
		remove()
		release()
	}
}
