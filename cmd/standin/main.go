package main

import (
	"fmt"
	"os"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/standcli"
	"github.com/knapweedpoint/knapweedpoint/internal/standtarget"
	"github.com/knapweedpoint/knapweedpoint/platform/command"
)

const exitCrashed = 3

func main() {
	c := standcli.New()
	c.AddCommand(command.NewSite())
	err := c.Execute()
	switch {
	case err == nil:
	case errorx.IsOfType(err, standtarget.Crashed):
		os.Exit(exitCrashed)
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
