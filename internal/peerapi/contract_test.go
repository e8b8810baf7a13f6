package peerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/loopback"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// serve returns the address of a daemon vm-a1 with configuration revision 7 and VM list revision 3.
func serve(t *testing.T) string {
	t.Helper()
	n := node.New(node.Options{Name: "vm-a1", Incarnation: "first", Exchanger: &peer.Client{}})
	raw, err := json.Marshal(layout.Small().Tree(func(string) string { return "127.0.0.1:1" }).WithRevision(7))
	require.NoError(t, err)
	n.Acceptor.Offer(raw, "test")
	n.AcceptList(platform.VMList{Revision: 3, VMs: layout.Small().VMList(func(string) string { return "127.0.0.1:1" })})
	s := httptest.NewServer(NewServer(n))
	t.Cleanup(func() { s.Close(); n.Group.Wait() })
	return s.Listener.Addr().String()
}

func TestExchangeContract(t *testing.T) {
	cases := []struct {
		name     string
		envelope *peerpb.Envelope
		failure  *errorx.Type
	}{
		{"heartbeat alone", &peerpb.Envelope{From: "vm-b1", To: "vm-a1"}, nil},
		{"from a VM that is not listed", &peerpb.Envelope{From: "stranger", To: "vm-a1", Beat: &peerpb.Beat{ConfigurationRevision: 99}}, nil},
		{"result that nobody waits for", &peerpb.Envelope{From: "vm-b1", To: "vm-a1", Results: []*peerpb.SubResult{{Id: 1}}}, nil},
		{"cancellation of an unknown sub-request", &peerpb.Envelope{From: "vm-b1", To: "vm-a1", Cancels: []uint64{1}}, nil},
		{"verdict that nobody waits for", &peerpb.Envelope{From: "vm-b1", To: "vm-a1", ClaimReplies: []*peerpb.ClaimReply{{Id: 1}}}, nil},
		{"outcome of an unknown key", &peerpb.Envelope{From: "vm-b1", To: "vm-a1", ClaimOutcomes: []*peerpb.ClaimOutcome{{Key: "k", Release: true}}}, nil},
		{"for another VM", &peerpb.Envelope{From: "vm-b1", To: "vm-a9"}, peer.Unacknowledged},
	}
	address := serve(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ack, err := (&peer.Client{}).Exchange(context.Background(), address, c.envelope)
			if c.failure != nil {
				require.True(t, errorx.IsOfType(err, c.failure), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "first", ack.Beat.Incarnation)
			require.EqualValues(t, 7, ack.Beat.ConfigurationRevision)
			require.EqualValues(t, -1, ack.Beat.ConfirmedAgeMs, "nothing has been confirmed yet")
		})
	}
}

func TestConfigurationContract(t *testing.T) {
	address := serve(t)
	later, err := (&peer.Client{}).Configuration(context.Background(), address, &peerpb.ConfigurationRequest{After: 6, ListAfter: 3})
	require.NoError(t, err)
	require.EqualValues(t, 7, later.Revision)
	require.NotEmpty(t, later.Tree)
	require.Empty(t, later.List)
	same, err := (&peer.Client{}).Configuration(context.Background(), address, &peerpb.ConfigurationRequest{After: 7, ListAfter: 2})
	require.NoError(t, err)
	require.Empty(t, same.Tree)
	require.NotEmpty(t, same.List)
}

func TestMalformedEnvelopeDoesNotStopTheDaemon(t *testing.T) {
	address := serve(t)
	for _, body := range []string{"", "\xff\xff\xff", strings.Repeat("x", 1<<16)} {
		resp, err := http.Post("http://"+address+peerpb.PeerPathPrefix+"Exchange", "application/protobuf", strings.NewReader(body))
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
	}
	_, err := (&peer.Client{}).Exchange(context.Background(), address, &peerpb.Envelope{From: "vm-b1", To: "vm-a1"})
	require.NoError(t, err)
}

func TestExchangeWithoutConnectionIsNotSent(t *testing.T) {
	network, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, network.Close()) })
	_, err = (&peer.Client{}).Exchange(context.Background(), network.Host(0)+":7001", &peerpb.Envelope{})
	require.True(t, errorx.IsOfType(err, peer.NotSent), "%v", err)
}
