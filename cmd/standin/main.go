package main

import (
	"fmt"
	"os"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/standincli"
	"github.com/knapweedpoint/knapweedpoint/platform/command"
)

const exitCrashed = 3

func main() {
	c := standincli.New()
	c.AddCommand(command.NewSite())
	err := c.Execute()
	switch {
	case err == nil:
	case errorx.IsOfType(err, faketarget.Crashed):
		os.Exit(exitCrashed)
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
