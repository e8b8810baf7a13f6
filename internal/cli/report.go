package cli

import (
	"fmt"
	"io"
	"maps"
	"text/tabwriter"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/knapweedpoint/knapweedpoint/internal/burn"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorapi"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

func newReport() *cobra.Command {
	var addresses []string
	var asJSON bool
	var plotPath string
	c := &cobra.Command{
		Use:   "report",
		Short: "Print the burn rate of each team's error budget, from the daemons' counts",
		Example: `  knapweedpoint report --address 127.0.0.1:7003 --address 127.0.0.1:7013
  knapweedpoint report --address 127.0.0.1:7003 --plot burn.svg`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := collect(c, addresses)
			if err != nil {
				return err
			}
			if plotPath != "" {
				if err := plotRows(rows, plotPath); err != nil {
					return err
				}
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), rows)
			}
			return printRows(c.OutOrStdout(), rows)
		},
	}
	c.Flags().StringArrayVar(&addresses, "address", []string{"127.0.0.1:7003"}, "a daemon's address for operators; give one per daemon")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().StringVar(&plotPath, "plot", "", "also plot the burn rates to this SVG file")
	return c
}

// collect reads the counts of all daemons and returns the report. It lists the daemons that do not answer on the error stream,
// and fails only when none answers.
func collect(c *cobra.Command, addresses []string) ([]burn.Row, error) {
	var series []burn.Series
	objectives := map[string]settings.Objective{}
	answered := 0
	for _, address := range addresses {
		var page operatorapi.BurnPage
		if err := fetch(c.Context(), address, operatorapi.PathBurn, &page); err != nil {
			_, _ = fmt.Fprintln(c.ErrOrStderr(), "daemon left out of the report:", err)
			continue
		}
		answered++
		series = append(series, page.Series...)
		maps.Copy(objectives, page.Objectives)
	}
	if answered == 0 {
		return nil, errorx.ExternalError.New("no daemon answered")
	}
	return burn.Report(series, objectives), nil
}

func printRows(out io.Writer, rows []burn.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TEAM\tGROUP\tANSWERS\tOBJECTIVE\tGOOD\tGOOD WORTH\tLATE\tPARTIAL\tFAILED\tBUDGET LEFT\tBURN 5m\tBURN 1h")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%.1f%%\t%.2f\t%.2f\n",
			r.Team, r.Group, r.Long.Answers, r.Objective, r.GoodShare, r.GoodWorthShare,
			r.Long.Late, r.Long.Partial, r.Long.Failed, 100*r.BudgetLeft, r.ShortBurn, r.LongBurn)
	}
	return w.Flush()
}

func plotRows(rows []burn.Row, path string) error {
	p := plot.New()
	p.Title.Text = "Burn rate by team and group"
	p.X.Label.Text = "minutes before now"
	p.Y.Label.Text = "error rate / allowed error rate"
	var lines []any
	for _, r := range rows {
		xys := make(plotter.XYs, len(r.Rates))
		for i, rate := range r.Rates {
			xys[i].X = -float64(len(r.Rates)-1-i) * burn.BucketSpan.Minutes()
			xys[i].Y = rate
		}
		lines = append(lines, r.Team+" "+r.Group, xys)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errorx.InternalError.Wrap(err, "plot")
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errorx.ExternalError.Wrap(err, "write %s", path)
	}
	return nil
}
