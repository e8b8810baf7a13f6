// Command review-rig runs one scripted case of the review: it starts entry daemons as processes, plays the platform's
// store, its targets and its callers on loopback addresses, and judges what callers and targets have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a whole case.
const maxDuration = 115 * time.Second

// options are the command-line options of a case.
type options struct {
	binary  string
	record  string
	trouble bool
}

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(r *rig) (bool, error){
	"late-extra-refusal": lateExtraRefusal,
	"cold-after-cut":     coldAfterCut,
	"cold-restart":       restartUnderSameID,
	"turn-cold":          turnCold,
	"restart-at-return":  restartAtReturn,
	"raised-limit":       raisedLimit,
	"change-lost":        changeLost,
	"call-again":         callAgain,
	"two-parts":          twoParts,
}

func main() {
	var o options
	name := flag.String("case", "", "case to run")
	flag.StringVar(&o.binary, "binary", "target/knapweedpoint", "program of the deploy file")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.BoolVar(&o.trouble, "trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*name, o))
}

func run(name string, o options) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	r, err := newRig(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := f(r)
		done <- verdict{broken, err}
	}()
	var v verdict
	select {
	case v = <-done:
	case <-stopped:
		v.err = fmt.Errorf("interrupted")
	case <-time.After(maxDuration):
		v.err = fmt.Errorf("not finished after %v", maxDuration)
	}
	r.close()
	switch {
	case v.err != nil:
		fmt.Println("the case could not run:", v.err)
		return exitNotRun
	case v.broken:
		fmt.Println("the rule was broken; see", o.record)
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
