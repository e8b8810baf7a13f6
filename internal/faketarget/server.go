package faketarget

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// Paths of the control interface, through which tests and operators inject faults and read the record.
const (
	PathFaults    = "/control/faults"
	PathRecord    = "/control/record"
	PathCold      = "/control/cold"
	PathSnapshots = "/control/snapshots"
)

// Server serves a Target over HTTP.
type Server struct {
	Target *Target
	http   http.Server
}

// NewServer returns a server for a target.
func NewServer(t *Target) *Server {
	s := &Server{Target: t}
	s.http.Handler = s.handler()
	return s
}

// Serve serves on a listener until the target crashes or Close is called; after a crash it returns Crashed.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(newLimitedListener(l, s.Target.options))
	if s.Target.Down() {
		return Crashed.New("target crashed")
	}
	return err
}

// Close closes the listener and every connection.
func (s *Server) Close() error {
	return s.http.Close()
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathRun, s.run)
	mux.HandleFunc("GET "+target.PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Target.Health()) })
	mux.HandleFunc("GET "+target.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Target.Load()) })
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Target.Record()) })
	mux.HandleFunc("PUT "+PathFaults, controlHandler(s.Target.SetFaults))
	mux.HandleFunc("PUT "+PathSnapshots, controlHandler(s.Target.SetSnapshots))
	mux.HandleFunc("PUT "+PathCold, controlHandler(func(announced bool) { s.Target.TurnCold(announced) }))
	return mux
}

func (s *Server) run(w http.ResponseWriter, req *http.Request) {
	var b target.Batch
	if err := json.NewDecoder(req.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := s.Target.Run(req.Context(), &b)
	switch {
	case errorx.IsOfType(err, Crashed):
		_ = s.http.Close()
		panic(http.ErrAbortHandler)
	case err != nil:
		panic(http.ErrAbortHandler)
	case reply.Refusal != "":
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(reply)
	case s.Target.Faults().CutHead > 0:
		cutHead(w, s.Target.Faults().CutHead)
	default:
		writeJSON(w, reply)
	}
}

// cutHead sends the first n bytes of the head of a reply and closes the connection.
func cutHead(w http.ResponseWriter, n int) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 128\r\n\r\n"
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c, head[:min(n, len(head)-1)])
	_ = c.Close()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func controlHandler[T any](f func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var v T
		if err := json.NewDecoder(req.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f(v)
		w.WriteHeader(http.StatusNoContent)
	}
}

// limitedListener bounds the number of open connections and delays the first read of each by the connect time.
type limitedListener struct {
	net.Listener
	mu          sync.Mutex
	open        int
	limit       int
	connectTime time.Duration
}

func newLimitedListener(l net.Listener, o Options) *limitedListener {
	return &limitedListener{Listener: l, limit: o.Connections, connectTime: o.ConnectTime.Std()}
}

// Accept returns the next connection. It closes connections beyond the limit at once.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := l.open >= l.limit
		if !full {
			l.open++
		}
		l.mu.Unlock()
		if !full {
			return &slowConn{Conn: c, listener: l}, nil
		}
		_ = c.Close()
	}
}

type slowConn struct {
	net.Conn
	listener    *limitedListener
	delayOnce   sync.Once
	releaseOnce sync.Once
}

// Read waits for the connect time before its first read.
func (c *slowConn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.connectTime) })
	return c.Conn.Read(b)
}

// Close closes the connection; it no longer counts towards the limit.
func (c *slowConn) Close() error {
	c.releaseOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

// Runner is a target.Runner that calls fake targets in process.
type Runner struct {
	// Lookup returns the target at an address, or nil if there is none.
	Lookup func(address string) *Target
	// Delay, if set, returns the one-way network delay to an address.
	Delay func(address string) time.Duration
}

// Run implements target.Runner. The reply passes through JSON and target.DecodeReply, as one received over HTTP does.
func (r *Runner) Run(ctx context.Context, address string, b *target.Batch) (*target.Reply, error) {
	t := r.Lookup(address)
	if t == nil || t.Down() {
		return nil, target.NotSent.New("connection refused")
	}
	if r.Delay != nil {
		time.Sleep(r.Delay(address))
	}
	reply, err := t.Run(ctx, b)
	if r.Delay != nil {
		time.Sleep(r.Delay(address))
	}
	switch {
	case errorx.IsOfType(err, Crashed):
		return nil, target.Lost.Wrap(err, "connection lost")
	case err != nil:
		return nil, target.TimedOut.Wrap(err, "no reply in time")
	case reply.Refusal == "" && t.Faults().CutHead > 0:
		return nil, target.Lost.New("connection lost within the head of the reply")
	}
	data, err := json.Marshal(reply)
	if err != nil {
		return nil, target.Malformed.Wrap(err, "encode reply")
	}
	return target.DecodeReply(data, b)
}

// Health implements target.Runner.
func (r *Runner) Health(_ context.Context, address string) (target.Health, error) {
	t := r.Lookup(address)
	if t == nil || t.Down() {
		return target.Health{}, target.NotSent.New("connection refused")
	}
	if r.Delay != nil {
		time.Sleep(2 * r.Delay(address))
	}
	return t.Health(), nil
}
