package standincli

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// layoutFiles writes the files of a deployment into dir and holds the addresses of its daemons and targets.
type layoutFiles struct {
	dir       string
	addresses map[string]string
}

func newLayout() *cobra.Command {
	var dir, name, host string
	var vms int
	c := &cobra.Command{
		Use:     "layout",
		Short:   "Write settings, a VM list and target options of a deployment on free ports of a loopback address",
		Long:    "Write tree.json, vms.json, one file per daemon and per target, and the lists daemons.txt and targets.txt (name and addresses, one entry per line). The ports are free at the moment; a host of its own, such as 127.9.0.1, keeps them from other programs.",
		Example: "  standin layout --deployment small --dir /tmp/fleet",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			d, err := deployment(name)
			if err != nil {
				return err
			}
			if vms > 0 {
				d = d.WithVMs(vms)
			}
			return writeLayout(d, dir, host)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory to write to")
	c.Flags().StringVar(&name, "deployment", "small", "small, tochtwering or pommeraie")
	c.Flags().StringVar(&host, "host", "127.0.0.1", "IP address of all daemons, targets and the platform")
	c.Flags().IntVar(&vms, "vms", 0, "number of VMs; 0 uses the deployment's own number")
	_ = c.MarkFlagRequired("dir")
	return c
}

func deployment(name string) (layout.Deployment, error) {
	switch name {
	case "small":
		return layout.Small(), nil
	case "tochtwering":
		return layout.Tochtwering(), nil
	case "pommeraie":
		return layout.Pommeraie(), nil
	default:
		return layout.Deployment{}, errorx.IllegalArgument.New("deployment %q is unknown: want small, tochtwering or pommeraie", name)
	}
}

func writeLayout(d layout.Deployment, dir, host string) error {
	ports, err := freePorts(host, 1+3*d.VMs+len(d.TargetOptions()))
	if err != nil {
		return err
	}
	next := func() string {
		a := ports[0]
		ports = ports[1:]
		return a
	}
	f := &layoutFiles{dir: dir, addresses: map[string]string{}}
	platformAddress := next()
	if err := f.targets(d, next); err != nil {
		return err
	}
	if err := f.daemons(d, platformAddress, next); err != nil {
		return err
	}
	if err := f.json("tree.json", d.Tree(f.address)); err != nil {
		return err
	}
	if err := f.json("vms.json", d.VMList(f.address)); err != nil {
		return err
	}
	return f.text("platform.txt", platformAddress+"\n")
}

func (f *layoutFiles) address(name string) string {
	return f.addresses[name]
}

func (f *layoutFiles) targets(d layout.Deployment, next func() string) error {
	list := ""
	for _, o := range d.TargetOptions() {
		f.addresses[o.Name] = next()
		list += fmt.Sprintf("%s %s\n", o.Name, f.addresses[o.Name])
		if err := f.json("target-"+o.Name+".json", o); err != nil {
			return err
		}
	}
	return f.text("targets.txt", list)
}

func (f *layoutFiles) daemons(d layout.Deployment, platformAddress string, next func() string) error {
	list := ""
	for i := range d.VMs {
		s := settings.Daemon{
			Name: d.VMName(i), AvailabilityZone: d.Zone(i), Region: "one",
			Callers: next(), Peers: next(), Operators: next(), Platform: platformAddress,
			BookingMargin: settings.Duration(time.Second), BalancerDelay: settings.Duration(time.Second),
		}
		f.addresses[s.Name] = s.Peers
		list += fmt.Sprintf("%s %s %s %s\n", s.Name, s.Callers, s.Operators, s.AvailabilityZone)
		if err := f.json("daemon-"+s.Name+".json", s); err != nil {
			return err
		}
	}
	return f.text("daemons.txt", list)
}

func (f *layoutFiles) json(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errorx.InternalError.Wrap(err, "encode %s", name)
	}
	return f.text(name, string(data)+"\n")
}

const fileMode = 0o644

func (f *layoutFiles) text(name, text string) error {
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), fileMode); err != nil {
		return errorx.ExternalError.Wrap(err, "write %s", name)
	}
	return nil
}

// firstPort and portCount are a range of ports that the kernel assigns neither to outgoing connections nor to listeners
// without a port: by default, Linux assigns 32768 to 60999.
const (
	firstPort = 10_000
	portCount = 20_000
)

// freePorts returns n addresses with ports that are free at the moment.
func freePorts(host string, n int) ([]string, error) {
	var addresses []string
	start := rand.IntN(portCount)
	for i := 0; len(addresses) < n; i++ {
		if i == portCount {
			return nil, errorx.ExternalError.New("%s has fewer than %d free ports", host, n)
		}
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+(start+i)%portCount))
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, errorx.ExternalError.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
