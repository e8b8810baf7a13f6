package cli

import (
	"fmt"
	"os"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

func newCheck() *cobra.Command {
	var daemon, entry bool
	c := &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a settings tree, or a daemon's own settings",
		Long:    "Validate a settings tree, with --daemon a daemon's own settings, or with --entry an entry daemon's. Prints every problem with its JSON path and exits 1 when there is one.",
		Example: "  knapweedpoint check tree.json\n  knapweedpoint check --daemon vm-a1.json\n  knapweedpoint check --entry entry.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return errorx.ExternalError.Wrap(err, "read settings")
			}
			problems := check(data, daemon, entry)
			for _, p := range problems {
				_, _ = fmt.Fprintln(c.OutOrStdout(), p)
			}
			if len(problems) > 0 {
				return errorx.IllegalArgument.New("%s: %d problems", args[0], len(problems))
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "valid")
			return err
		},
	}
	c.Flags().BoolVar(&daemon, "daemon", false, "the file holds a daemon's own settings")
	c.Flags().BoolVar(&entry, "entry", false, "the file holds an entry daemon's settings")
	c.MarkFlagsMutuallyExclusive("daemon", "entry")
	return c
}

// check validates settings of the kind that the flags select, by default a settings tree.
func check(data []byte, daemon, entry bool) []settings.Problem {
	if entry {
		_, problems := settings.ParseEntry(data)
		return problems
	}
	if daemon {
		_, problems := settings.ParseDaemon(data)
		return problems
	}
	_, problems := settings.Parse(data)
	return problems
}
