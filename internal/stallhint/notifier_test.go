package stallhint_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/stallhint"
)

func TestHintsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		n := stallhint.Notifier{Broadcast: func(*gossippb.Datagram) { sent++ }}
		n.NotifyStalled("a", time.Now())
		n.NotifyStalled("a", time.Now())
		require.Equal(t, 1, sent, "a second hint about the same target at once")
		time.Sleep(40 * time.Millisecond)
		n.NotifyStalled("a", time.Now())
		require.Equal(t, 2, sent, "a second hint about the same target after the interval")
		for i := range 1000 {
			n.NotifyStalled(fmt.Sprint(i), time.Now())
		}
		require.Equal(t, 40, sent, "all hints of one second")
	})
}
