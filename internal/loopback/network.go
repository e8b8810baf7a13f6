package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"

	"github.com/joomcode/errorx"
)

const (
	// firstNetwork and networks are the range of the second byte of the addresses.
	firstNetwork = 100
	networks     = 100
	// hostsPerBlock is the number of hosts with the same third byte.
	hostsPerBlock = 200
)

// Network is a range of loopback hosts. Outgoing connections on loopback have the source 127.0.0.1, so that they never take
// a port of its hosts.
type Network struct {
	number      int
	reservation net.Listener
}

// Reserve returns a network that no other process or caller has until Close.
func Reserve() (*Network, error) {
	start := rand.IntN(networks)
	for i := range networks {
		n := firstNetwork + (start+i)%networks
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:7001", n))
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
	return fmt.Sprintf("127.%d.%d.%d", n.number, 1+i/hostsPerBlock, 2+i%hostsPerBlock)
}

// Close gives the network back.
func (n *Network) Close() error {
	return n.reservation.Close()
}
