package main

import (
	"fmt"
	"os"

	"github.com/knapweedpoint/knapweedpoint/internal/cli"
	"github.com/knapweedpoint/knapweedpoint/platform/command"
)

func main() {
	c := cli.New()
	c.AddCommand(command.NewEntry())
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "knapweedpoint:", err)
		os.Exit(1)
	}
}
