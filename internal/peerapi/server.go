package peerapi

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Server serves a node's peer protocol to the other daemons.
type Server struct {
	node *node.Node
}

// NewServer returns the HTTP handler of a node's peer protocol.
func NewServer(n *node.Node) http.Handler {
	return peerpb.NewPeerServer(&Server{node: n})
}

// Exchange handles one envelope. An envelope for another VM, whose address this daemon may have taken over, fails with
// twirp.FailedPrecondition.
func (s *Server) Exchange(_ context.Context, e *peerpb.Envelope) (*peerpb.Ack, error) {
	if self := s.node.Board.View.Get().Self; e.To != self {
		return nil, twirp.FailedPrecondition.Errorf("this is %s, not %s", self, e.To)
	}
	return s.node.Receive(e), nil
}

// Configuration returns the configuration and the VM list, each only if it is later than the one that the peer has.
func (s *Server) Configuration(_ context.Context, q *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return s.node.Configuration(q), nil
}
