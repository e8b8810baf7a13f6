package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedhttp"
	"github.com/knapweedpoint/knapweedpoint/internal/gracefulhttp"
)

// server is one HTTP interface of a daemon.
type server struct {
	http    http.Server
	tracker gracefulhttp.Tracker
	closing atomic.Bool
}

func newServer(h http.Handler) *server {
	s := &server{}
	s.http = http.Server{
		Handler: s.tellToClose(h), ConnState: s.tracker.Hook,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: boundedhttp.MaxHeaderBytes,
	}
	return s
}

// serve accepts connections from the listener until the server stops.
func (s *server) serve(l net.Listener) error {
	err := s.http.Serve(s.tracker.Listener(l))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errorx.ExternalError.Wrap(err, "serve %s", l.Addr())
}

// stop stops listening, closes the connections without a request and waits for the others. Requests that have not arrived
// completely at abortAt are given up. When ctx ends, it closes what is left and returns an error.
func (s *server) stop(ctx context.Context, abortAt time.Time) error {
	s.closing.Store(true)
	s.tracker.Stop()
	abort := time.AfterFunc(time.Until(abortAt), s.tracker.Abort)
	defer abort.Stop()
	return errors.Join(s.tracker.Wait(ctx), s.http.Close())
}

// tellToClose returns a handler whose answers tell clients to close their connections once the server closes.
func (s *server) tellToClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, closing: &s.closing}, req)
	})
}

// closingWriter adds the header Connection: close to an answer that begins while the server closes.
type closingWriter struct {
	http.ResponseWriter
	closing *atomic.Bool
	begun   bool
}

// WriteHeader sends the head of the answer.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) begin() {
	if !w.begun && w.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
