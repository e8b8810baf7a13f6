package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

const (
	balancerDelay = time.Second
	drainLimit    = 4 * time.Second
	// afterBalancerDelay is a time after a signal at which the daemon takes only requests that can end in time.
	afterBalancerDelay = balancerDelay + 300*time.Millisecond
	// longDeadline exceeds the whole stop.
	longDeadline = 20 * time.Second
	// longDrainLimit leaves requests with longDeadline their time, even if they come late.
	longDrainLimit = time.Minute
)

// connection is a caller's TCP connection. Unlike http.Client, it never repeats a request by itself.
type connection struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// answer is an answer as read from a connection.
type answer struct {
	caller.Answer
	status     int
	retryAfter string
	closes     bool
}

func startStoppingFleet(t *testing.T) *fleet {
	t.Helper()
	return startStoppingFleetWith(t, drainLimit)
}

func startStoppingFleetWith(t *testing.T, limit time.Duration) *fleet {
	t.Helper()
	return startFleetWith(t, true, func(d settings.Daemon) settings.Daemon {
		d.BalancerDelay = settings.Duration(balancerDelay)
		d.DrainLimit = settings.Duration(limit)
		return d
	})
}

// stops sends SIGTERM to a daemon and waits until it drains.
func (f *fleet) stops(d *daemon) {
	f.signal(d.name, syscall.SIGTERM)
	f.eventually(func() bool { return !f.ready(d) }, "%s is not ready", d.name)
}

func (f *fleet) connect(d *daemon) *connection {
	c, err := net.Dial("tcp", d.callers)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return &connection{t: f.t, Conn: c, reader: bufio.NewReader(c)}
}

func (f *fleet) setFaults(faults faketarget.Faults) {
	for _, address := range f.targets {
		f.put(address, faketarget.PathFaults, faults)
	}
}

func (f *fleet) runs(key string) int {
	n := 0
	for name := range f.targets {
		n += f.record(name).Runs[key]
	}
	return n
}

// exits waits for a stopping daemon and requires that no request was cut off.
func (f *fleet) exits(d *daemon) {
	require.NoError(f.t, f.processes[d.name].Wait())
	require.NotContains(f.t, f.read(d.name+".out"), "drainOverdue")
}

func request(verb, group, key string, deadline time.Duration) string {
	body, _ := json.Marshal(question(key, deadline))
	return fmt.Sprintf("POST /v1/teams/visits/%s/%s HTTP/1.1\r\nHost: fleet\r\nContent-Type: application/json\r\n"+
		"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", verb, group, key, len(body), body)
}

func (c *connection) write(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// read reads one whole answer.
func (c *connection) read() answer {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection ended without an answer")
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), closes: resp.Close}
	data, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err, "the answer ended early")
	require.NoError(c.t, json.Unmarshal(data, &a.Answer), string(data))
	return a
}

// Guards against requests whose connection ended without an answer at the end of a stop, because their target was slow.
func TestStopAnswersRequestsStillInFlightAtItsEnd(t *testing.T) {
	f := startStoppingFleet(t)
	f.setFaults(faketarget.Faults{Frozen: true})
	d := f.daemons[0]
	search, lookup, booking := f.connect(d), f.connect(d), f.connect(d)
	search.write(request("search", "visitSearch", "search", longDeadline))
	lookup.write(request("lookup", "jobCards", "lookup", longDeadline))
	booking.write(request("booking", "grants", "booked", longDeadline))
	f.eventually(func() bool { return f.runs("booked") == 1 }, "the booking has reached its target")
	f.signal(d.name, syscall.SIGTERM)
	for _, c := range []*connection{search, lookup, booking} {
		a := c.read()
		require.Equal(t, http.StatusGatewayTimeout, a.status)
		require.Equal(t, "unknown", a.Outcome)
		require.True(t, a.closes)
	}
	// The booking may still run, so drainOverdue is in place.
	require.NoError(t, f.processes[d.name].Wait())
	require.Equal(t, 1, f.runs("booked"))
}

// Guards against requests that are cut without an answer because SIGHUP ends the process at once, before a stop or in it.
func TestHangUpStopsWithoutCuttingRequests(t *testing.T) {
	f := startStoppingFleet(t)
	f.setFaults(faketarget.Faults{Frozen: true})
	d := f.daemons[0]
	booking := f.connect(d)
	booking.write(request("booking", "grants", "booked", longDeadline))
	f.eventually(func() bool { return f.runs("booked") == 1 }, "the booking has reached its target")
	for range 2 {
		f.signal(d.name, syscall.SIGHUP)
		f.eventually(func() bool { return !f.ready(d) }, "%s is not ready", d.name)
	}
	a := booking.read()
	require.Equal(t, "unknown", a.Outcome)
	require.True(t, a.closes)
	require.NoError(t, f.processes[d.name].Wait())
	require.Equal(t, 1, f.runs("booked"))
}

// Guards against requests that are cut without an answer because the process had no processor time while answers were due.
func TestStopAnswersRequestsAfterAStall(t *testing.T) {
	f := startStoppingFleet(t)
	f.setFaults(faketarget.Faults{Frozen: true})
	d := f.daemons[0]
	var connections []*connection
	for i := range 20 {
		c := f.connect(d)
		c.write(request("lookup", "jobCards", fmt.Sprint("stalled-", i), longDeadline))
		connections = append(connections, c)
	}
	f.signal(d.name, syscall.SIGTERM)
	time.Sleep(balancerDelay + drainLimit*3/4 - 300*time.Millisecond)
	f.signal(d.name, syscall.SIGSTOP)
	time.Sleep(drainLimit/4 + 500*time.Millisecond)
	f.signal(d.name, syscall.SIGCONT)
	for _, c := range connections {
		require.NotEqual(t, "done", c.read().Outcome)
	}
	require.NoError(t, f.processes[d.name].Wait())
}

// Guards against requests that are cut by SIGKILL because the process had no processor time when the signal to stop came, and
// counted its stop from the end of the stall.
func TestStopCountsFromASignalDuringAStall(t *testing.T) {
	f := startStoppingFleet(t)
	f.setFaults(faketarget.Faults{Frozen: true})
	d := f.daemons[0]
	var connections []*connection
	for i := range 20 {
		c := f.connect(d)
		c.write(request("lookup", "jobCards", fmt.Sprint("stalled-", i), longDeadline))
		connections = append(connections, c)
	}
	booking := f.connect(d)
	booking.write(request("booking", "grants", "stalled", longDeadline))
	f.eventually(func() bool { return f.runs("stalled") == 1 }, "the booking has reached its target")
	connections = append(connections, booking)
	f.signal(d.name, syscall.SIGSTOP)
	time.Sleep(drainLimit / 20)
	f.signal(d.name, syscall.SIGTERM)
	kill := time.AfterFunc(balancerDelay+drainLimit, func() { _ = f.processes[d.name].command.Process.Kill() })
	defer kill.Stop()
	time.Sleep((balancerDelay + drainLimit) * 3 / 10)
	f.signal(d.name, syscall.SIGCONT)
	for _, c := range connections {
		require.NotEqual(t, "done", c.read().Outcome)
	}
	require.NoError(t, f.processes[d.name].Wait())
}

// Guards against false answers about bookings, and a stop without end, while a peer that relays them is frozen.
func TestStopBesideAFrozenPeerIsTruthful(t *testing.T) {
	f := startStoppingFleet(t)
	d := f.daemons[0]
	f.signal(f.daemons[1].name, syscall.SIGSTOP)
	var connections []*connection
	for i := range 20 {
		c := f.connect(d)
		c.write(request("booking", "grants", fmt.Sprint("beside-", i), longDeadline))
		connections = append(connections, c)
	}
	f.signal(d.name, syscall.SIGTERM)
	for i, c := range connections {
		a, runs := c.read(), f.runs(fmt.Sprint("beside-", i))
		require.True(t, a.Outcome == "unknown" || runs == lo.Ternary(a.Outcome == "done", 1, 0), "%s, %d runs", a.Outcome, runs)
	}
	require.NoError(t, f.processes[d.name].Wait())
	f.signal(f.daemons[1].name, syscall.SIGCONT)
}

// Guards against requests that were accepted late in a stop, passed on to a target and then cut off without an answer.
func TestStopRefusesRequestsThatCannotEndInTime(t *testing.T) {
	f := startStoppingFleetWith(t, longDeadline*3/4)
	f.setFaults(faketarget.Faults{Frozen: true})
	d := f.daemons[0]
	search, booking := f.connect(d), f.connect(d)
	f.stops(d)
	search.write(request("search", "visitSearch", "late", longDeadline)[:40])
	booking.write(request("booking", "grants", "late", longDeadline)[:40])
	time.Sleep(afterBalancerDelay)
	search.write(request("search", "visitSearch", "late", longDeadline)[40:])
	booking.write(request("booking", "grants", "late", longDeadline)[40:])
	for _, c := range []*connection{search, booking} {
		a := c.read()
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, "notRun", a.Outcome)
		require.NotEmpty(t, a.retryAfter)
		require.Positive(t, a.RetryAfterMs)
		require.True(t, a.closes)
	}
	f.exits(d)
	f.setFaults(faketarget.Faults{})
	require.Zero(t, f.runs("late"))
}

// Guards against a connection that was closed as idle although a request had begun on it.
func TestStopAnswersRequestsThatHaveBegun(t *testing.T) {
	f := startStoppingFleetWith(t, longDrainLimit)
	d := f.daemons[0]
	kept, fresh := f.connect(d), f.connect(d)
	kept.write(request("lookup", "jobCards", "first", longDeadline))
	require.Equal(t, "done", kept.read().Outcome)
	text := request("lookup", "jobCards", "second", longDeadline)
	kept.write(text[:40])
	fresh.write(text[:40])
	f.signal(d.name, syscall.SIGTERM)
	time.Sleep(afterBalancerDelay)
	for _, c := range []*connection{kept, fresh} {
		c.write(text[40:])
		a := c.read()
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, "done", a.Outcome)
		require.True(t, a.closes)
	}
	f.exits(d)
}

// Guards against a connection that is cut in the middle of a request without an answer, so that its caller cannot know
// whether the request runs.
func TestStopAnswersRequestsThatNeverArriveWhole(t *testing.T) {
	f := startStoppingFleet(t)
	d := f.daemons[0]
	text := request("booking", "grants", "half", 300*time.Millisecond)
	head, body := f.connect(d), f.connect(d)
	f.stops(d)
	head.write(text[:40])
	body.write(text[:len(text)-5])
	for _, c := range []*connection{head, body} {
		resp, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err, "the connection ended without an answer")
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.True(t, resp.Close)
	}
	f.exits(d)
	require.Zero(t, f.runs("half"))
}

// Guards against callers that keep a connection to a stopping daemon until it is cut, because no answer tells them to close it.
func TestStopTellsCallersToCloseTheirConnections(t *testing.T) {
	f := startStoppingFleetWith(t, longDrainLimit)
	d := f.daemons[0]
	c := f.connect(d)
	c.write(request("lookup", "jobCards", "before", longDeadline))
	require.False(t, c.read().closes)
	f.stops(d)
	c.write(request("lookup", "jobCards", "during", longDeadline))
	a := c.read()
	require.Equal(t, "done", a.Outcome)
	require.True(t, a.closes)
	f.exits(d)
}

// Guards against a stop that waits for a connection on which nothing was ever sent, and then reports cut requests.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	f := startStoppingFleet(t)
	d := f.daemons[0]
	f.stops(d)
	unused := f.connect(d)
	f.exits(d)
	_, err := unused.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a booking that ran during a stop and whose outcome no other daemon knows afterwards.
func TestStopKeepsTheOutcomeOfBookings(t *testing.T) {
	f := startStoppingFleetWith(t, longDrainLimit)
	d := f.daemons[0]
	c := f.connect(d)
	text := request("booking", "grants", "kept", longDeadline)
	c.write(text[:40])
	f.stops(d)
	c.write(text[40:])
	require.Equal(t, "done", c.read().Outcome)
	f.exits(d)
	enquiry := f.connect(f.daemons[1])
	enquiry.write("GET /v1/teams/visits/booking/grants/kept HTTP/1.1\r\nHost: fleet\r\n\r\n")
	a := enquiry.read()
	require.Equal(t, "done", a.Outcome)
	require.NotEmpty(t, a.Items)
	require.Equal(t, 1, f.runs("kept"))
}

// Guards against requests that are lost, or answered falsely, while callers use their connections until all daemons, which
// stop one after the other, are gone.
func TestStopsInSeriesLoseNoRequest(t *testing.T) {
	const (
		callersPerDaemon = 8
		// lossSlack is how long after its last byte a request that crosses the end of its connection may get no answer.
		lossSlack = 200 * time.Millisecond
	)
	f := startStoppingFleet(t)
	f.setFaults(faketarget.Faults{SlowFactor: 40})
	var group sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]string{}
	for i, d := range f.daemons {
		for j := range callersPerDaemon {
			group.Go(func() {
				for n := 0; ; n++ {
					raw, err := net.Dial("tcp", d.callers)
					if err != nil {
						return
					}
					c := &connection{t: t, Conn: raw, reader: bufio.NewReader(raw)}
					for k := 0; ; k++ {
						key := fmt.Sprintf("series-%d-%d-%d-%d", i, j, n, k)
						deadline := []time.Duration{100 * time.Millisecond, time.Second, longDeadline}[k%3]
						outcome, took, open := c.try(request("booking", "grants", key, deadline))
						mu.Lock()
						outcomes[key] = outcome
						mu.Unlock()
						if outcome == "" && took > lossSlack {
							t.Errorf("%s: closed without an answer after %s", key, took)
						}
						if !open {
							break
						}
					}
					_ = raw.Close()
				}
			})
		}
	}
	for _, d := range f.daemons {
		time.Sleep(time.Second)
		f.signal(d.name, syscall.SIGTERM)
	}
	for _, d := range f.daemons {
		f.exits(d)
	}
	group.Wait()
	runs := map[string]int{}
	for name := range f.targets {
		for key, n := range f.record(name).Runs {
			runs[key] += n
		}
	}
	counts := map[string]int{}
	for key, outcome := range outcomes {
		counts[outcome]++
		switch outcome {
		case "done":
			require.Equal(t, 1, runs[key], key)
		case "unknown":
			require.LessOrEqual(t, runs[key], 1, key)
		default:
			require.Zero(t, runs[key], "%s: %s", key, outcome)
		}
	}
	require.Positive(t, counts["done"])
	require.Positive(t, counts["notRun"])
	t.Log(counts)
}

// try sends a request and returns the outcome in its answer, which is empty if there is none, the time that it took, and
// whether the connection stays open.
func (c *connection) try(text string) (string, time.Duration, bool) {
	began := time.Now()
	_ = c.SetDeadline(began.Add(waitTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		return "", time.Since(began), false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", time.Since(began), false
	}
	defer func() { _ = resp.Body.Close() }()
	var a caller.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return "", time.Since(began), false
	}
	return a.Outcome, time.Since(began), !resp.Close
}
