package loopback_test

import (
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/loopback"
)

// Guards against fleets that run at the same time and have an address in common.
func TestReservedNetworksDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		n, err := loopback.Reserve()
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, n.Close()) })
		for _, i := range []int{0, 1, 199, 200, 201} {
			require.True(t, net.ParseIP(n.Host(i)).IsLoopback())
			require.False(t, seen[n.Host(i)], n.Host(i))
			seen[n.Host(i)] = true
		}
	}
}

// Guards against an outgoing connection that takes the port of a server which starts later.
func TestOutgoingConnectionsLeaveTheHostsPortsFree(t *testing.T) {
	n, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	server, err := net.Listen("tcp4", n.Host(0)+":7001")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	c, err := net.Dial("tcp4", server.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	_, port, err := net.SplitHostPort(c.LocalAddr().String())
	require.NoError(t, err)
	for i := range 3 {
		l, err := net.Listen("tcp4", net.JoinHostPort(n.Host(i), port))
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

// Guards against a fleet that gets the addresses of processes which outlived the test that started them.
func TestNetworkStaysReservedForProcesses(t *testing.T) {
	n, err := loopback.Reserve()
	require.NoError(t, err)
	f, err := n.File()
	require.NoError(t, err)
	process := exec.Command("cat")
	process.ExtraFiles = []*os.File{f}
	input, err := process.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	require.NoError(t, f.Close())
	require.NoError(t, n.Close())
	host := net.ParseIP(n.Host(0)).To4()
	reservation := net.JoinHostPort(net.IPv4(host[0], host[1], 0, 1).String(), "7001")
	_, err = net.Listen("tcp4", reservation)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.NoError(t, input.Close())
	require.NoError(t, process.Wait())
	l, err := net.Listen("tcp4", reservation)
	require.NoError(t, err)
	require.NoError(t, l.Close())
}
