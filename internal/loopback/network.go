package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"

	"github.com/joomcode/errorx"
)

const (
	// firstNetwork and networks are the range of the second byte of the addresses.
	firstNetwork = 100
	networks     = 100
	// reservedPort is the port that a reserved network listens on.
	reservedPort = 7001
	// firstBlock is the third byte of the first hosts, and hostsPerBlock the number of hosts with the same third byte.
	firstBlock    = 200
	hostsPerBlock = 200
)

// Network is a range of loopback hosts. Outgoing connections on loopback have the source 127.0.0.1, so that they never take
// a port of its hosts.
type Network struct {
	number      int
	reservation *net.TCPListener
}

// Reserve returns a network that no other process or caller has until Close.
func Reserve() (*Network, error) {
	start := rand.IntN(networks)
	for i := range networks {
		n := firstNetwork + (start+i)%networks
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, byte(n), 0, 1), Port: reservedPort})
		switch {
		case err == nil:
			return &Network{number: n, reservation: l}, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, errorx.ExternalError.Wrap(err, "reserve loopback network %d", n)
		}
	}
	return nil, errorx.ExternalError.New("all %d loopback networks are in use", networks)
}

// Host returns the IP address of the host with index i.
func (n *Network) Host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.number, firstBlock+i/hostsPerBlock, 2+i%hostsPerBlock)
}

// File returns a file for a process to inherit. The network stays reserved until every such process has ended, even if the
// one that reserved it is killed before.
func (n *Network) File() (*os.File, error) {
	f, err := n.reservation.File()
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "file of loopback network %d", n.number)
	}
	return f, nil
}

// Close gives the network back.
func (n *Network) Close() error {
	return n.reservation.Close()
}
