package process

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Guards against work of another VM that a stopping daemon accepts as the last one, after its own work has ended, and whose
// result is lost because the daemon exits at once.
func TestStopWaitsForWorkThatArrivesLast(t *testing.T) {
	f := startStoppingFleet(t)
	f.setFaults(faketarget.Faults{Frozen: true})
	d, other := f.daemons[0], f.daemons[1]
	own, problems := settings.ParseDaemon([]byte(f.read("daemon-" + d.name + ".json")))
	require.Empty(t, problems)
	target := slices.Min(lo.Filter(lo.Keys(f.targets), func(name string, _ int) bool { return strings.HasPrefix(name, "grants") }))
	service := target[:strings.LastIndex(target, "-")]
	c, err := net.Dial("tcp", own.Peers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	f.signal(d.name, syscall.SIGTERM)
	time.Sleep(balancerDelay / 2)
	_, err = fmt.Fprintf(c, "POST %sExchange HTTP/1.1\r\nHost: fleet\r\n", peerpb.PeerPathPrefix)
	require.NoError(t, err)
	// By then the daemon has no work of its own, and waits for its peers.
	time.Sleep(balancerDelay/2 + 500*time.Millisecond)
	deadline := time.Now().Add(drainLimit / 2)
	body, err := proto.Marshal(&peerpb.Envelope{From: other.name, To: d.name, Requests: []*peerpb.SubRequest{{
		Id: 1, Team: "visits", Service: service, Target: target, Kind: settings.KindBooking, Key: "last", Body: []byte(`{"n":1}`),
		NotAfterUs: deadline.UnixMicro(), DeadlineUs: deadline.UnixMicro(), Alone: true, Worth: 1,
	}}})
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.StatusCode)
	f.eventually(func() bool { return f.runs("last") == 1 }, "the booking has reached its target")
	f.exits(d)
	require.False(t, time.Now().Before(deadline), "the daemon exited before the work of the other VM had ended")
}
