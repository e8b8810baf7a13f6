package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Version is the program's version.
const Version = "0.1.0"

// New returns the knapweedpoint program's command.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "knapweedpoint",
		Short:         "A query tier over many shards",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newServe(), newCheck(), newSearch(), newLookup(), newBook(), newStatus(), newReport(), newVersion())
	return c
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "knapweedpoint", Version)
			return err
		},
	}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
