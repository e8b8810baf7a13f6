package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/connguard"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

const (
	// requestTimeout is the time within which peers and operators must send a request.
	requestTimeout = 5 * time.Second
	// answerTimeout is the time limit for an answer; the longest is a copy of a few hundred kilobytes.
	answerTimeout = 30 * time.Second
	// maxInternalHeaderBytes is the size limit of a request header; peers send about 300 bytes.
	maxInternalHeaderBytes = 4 << 10
	// maxInternalConnections is the number of open connections of one interface. A daemon that starts fetches one copy, and a
	// stalled connection gives way to others.
	maxInternalConnections = 256
)

// internalServer is a server for peers or operators, whose requests are short.
type internalServer struct {
	http.Server
	guard connguard.Guard
}

func newServer(h http.Handler, budget *readbudget.Budget) *internalServer {
	s := &internalServer{guard: connguard.Guard{MaxConnections: maxInternalConnections, Budget: budget, EvictActive: true}}
	s.Server = http.Server{
		Handler: h, ReadTimeout: requestTimeout, WriteTimeout: answerTimeout, MaxHeaderBytes: maxInternalHeaderBytes,
		ConnState: s.guard.Hook,
	}
	return s
}

// Serve accepts connections within the limits.
func (s *internalServer) Serve(l net.Listener) error { return s.Server.Serve(s.guard.Listener(l)) }
