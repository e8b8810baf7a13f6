package standincli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// New returns the root command of the standin program.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "standin",
		Short:         "Fakes of the platform and the targets, for tests and demonstrations",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newPlatform(), newTarget(), newLoad(), newLayout())
	return c
}

func newPlatform() *cobra.Command {
	var listen, treePath, vmsPath string
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Run a configuration service and a list of VMs, both for reading and watching only",
		Example: "  standin platform --listen 127.0.0.1:7100 --tree tree.json --vms vms.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p := &fakeplatform.Platform{}
			if err := publishFiles(p, treePath, vmsPath); err != nil {
				return err
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errorx.ExternalError.Wrap(err, "listen on %s", listen)
			}
			s := &http.Server{Handler: fakeplatform.NewHandler(p)}
			return untilSignal(c.Context(), func() error { return s.Serve(l) }, s.Close, func() {
				_, _ = fmt.Fprintf(c.OutOrStdout(), "{\"reads\":%d}\n", p.Reads())
			})
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "address to listen on")
	c.Flags().StringVar(&treePath, "tree", "", "file with the settings tree to publish at the start")
	c.Flags().StringVar(&vmsPath, "vms", "", "file with the list of VMs to publish at the start")
	return c
}

func publishFiles(p *fakeplatform.Platform, treePath, vmsPath string) error {
	if treePath != "" {
		raw, err := os.ReadFile(treePath)
		if err != nil {
			return errorx.ExternalError.Wrap(err, "read tree")
		}
		if err := p.Publish(raw); err != nil {
			return err
		}
	}
	if vmsPath == "" {
		return nil
	}
	raw, err := os.ReadFile(vmsPath)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "read VMs")
	}
	var vms []platform.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return errorx.IllegalFormat.Wrap(err, "read VMs")
	}
	p.PublishVMs(vms)
	return nil
}

func newTarget() *cobra.Command {
	var listen, optionsPath string
	var o faketarget.Options
	c := &cobra.Command{
		Use:     "target",
		Short:   "Run one target; when it ends it prints a record of its work, and it exits with status 3 after a crash",
		Example: "  standin target --listen 127.0.0.1:7201 --name visit-01-a --slots 2",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if optionsPath != "" {
				raw, err := os.ReadFile(optionsPath)
				if err != nil {
					return errorx.ExternalError.Wrap(err, "read options")
				}
				if err := json.Unmarshal(raw, &o); err != nil {
					return errorx.IllegalFormat.Wrap(err, "read options")
				}
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errorx.ExternalError.Wrap(err, "listen on %s", listen)
			}
			s := faketarget.NewServer(faketarget.New(o))
			return untilSignal(c.Context(), func() error { return s.Serve(l) }, s.Close, func() {
				_ = json.NewEncoder(c.OutOrStdout()).Encode(s.Target.Record())
			})
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7201", "address to listen on")
	f.StringVar(&optionsPath, "options", "", "file with the target's options as JSON")
	f.StringVar(&o.Name, "name", "target", "name of the target")
	f.IntVar(&o.Slots, "slots", faketarget.DefaultSlots, "batches that run concurrently")
	f.IntVar(&o.Connections, "connections", faketarget.DefaultConnections, "connections accepted concurrently")
	f.DurationVar((*time.Duration)(&o.ConnectTime), "connect-time", faketarget.DefaultConnectTime, "time to set up a new connection")
	f.DurationVar((*time.Duration)(&o.ServiceTime), "service", faketarget.DefaultServiceTime, "mean service time of a batch")
	f.IntVar(&o.WarmupBatches, "cold-runs", faketarget.DefaultWarmupBatches, "batches after which the cold start is over")
	f.BoolVar(&o.StartWarm, "start-warm", false, "start without a cold start")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random service times")
	return c
}

// untilSignal serves until a signal arrives or serving fails, and then calls printRecord.
func untilSignal(ctx context.Context, serve, closeServer func() error, printRecord func()) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	undo := context.AfterFunc(ctx, func() { _ = closeServer() })
	defer undo()
	err := serve()
	printRecord()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
