package cli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/knapweedpoint/knapweedpoint/internal/operatorapi"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
)

func newStatus() *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{
		Use:     "status",
		Short:   "Print a daemon's view: configuration, members, relayed targets and their states",
		Example: "  knapweedpoint status --address 127.0.0.1:7003",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s operatorapi.Status
			if err := fetch(c.Context(), address, operatorapi.PathStatus, &s); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), s)
			}
			return printStatus(c.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7003", "the daemon's address for operators")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printStatus(out io.Writer, s operatorapi.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "vm\t%s\nphase\t%s\nready\t%t %s\n", s.Name, s.Phase, s.Ready, s.Reason)
	_, _ = fmt.Fprintf(w, "configuration\t%d, confirmed %d ms ago\nvm list\t%d\n", s.ConfigurationRevision, s.ConfirmedAgeMs, s.ListRevision)
	_, _ = fmt.Fprintf(w, "in flight\t%d\nsends\t%d first, %d extra, %d target requests\n", s.InFlight, s.FirstSends, s.ExtraSends, s.TargetRequests)
	_, _ = fmt.Fprintf(w, "suspects\t%d\nbooking keys\t%d\n", s.Suspects, s.BookingKeys)
	_, _ = fmt.Fprintln(w, "\nMEMBER\tZONE\tSTATE\tHEARD\tREVISION")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d ms\t%d\n", m.Name, m.AvailabilityZone, m.State, m.LastSeenAgeMs, m.Revision)
	}
	_, _ = fmt.Fprintln(w, "\nTARGET\tZONE\tSTATE\tIN FLIGHT\tPEAK\tQUEUED\tSLOTS\tTYPICAL\tLEASED\tLEFT OUT\tINCARNATION")
	for _, t := range s.Targets {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f ms\t%t\t%s\t%s\n",
			t.Target, t.Zone, t.State, t.InFlight, t.PeakInFlight, t.Queued, t.Slots, float64(t.TypicalUs)/1000, t.Leased, leftOut(t), t.Incarnation)
	}
	return w.Flush()
}

// leftOut returns why a target is not sent to, and for how long if that is known.
func leftOut(t relay.TargetStatus) string {
	if t.HoldMs > 0 {
		return fmt.Sprintf("%s %d ms", t.LeftOut, t.HoldMs)
	}
	return lo.CoalesceOrEmpty(t.LeftOut, "-")
}
