// Command probe runs one case of the review. It exits with 1 if a rule was broken, 0 if none was, and 2 if the case could not
// run.
package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// probeCase is one case: the rule that it tries to break, any if it is empty, and what it does.
type probeCase struct {
	rule string
	run  func(f *fleet, trouble bool) ([]finding, error)
}

var cases = map[string]probeCase{
	"gone":    {rule: "DRAIN", run: gone},
	"silent":  {rule: "CONFIG", run: silent},
	"mix":     {run: mix},
	"junk":    {run: junk},
	"roll":    {rule: "LOST", run: roll},
	"gathers": {run: gathers},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD")
		os.Exit(2)
	}
	c := cases[os.Args[1]]
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s trouble=%v", os.Args[1], trouble)
	findings, err := play(log, c.run, trouble)
	broken := 0
	for _, f := range findings {
		if c.rule == "" || f.rule == c.rule {
			broken++
		}
		log.printf("BROKEN %s %s", f.rule, f.text)
		fmt.Println(f.rule, f.text)
	}
	fmt.Printf("%s broken %d times\n", cmp.Or(c.rule, "any rule"), broken)
	if err != nil {
		log.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	log.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

func play(log *record, run func(*fleet, bool) ([]finding, error), trouble bool) ([]finding, error) {
	f, err := newFleet(log)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		findings []finding
		err      error
	}
	done := make(chan result, 1)
	go func() {
		findings, err := run(f, trouble)
		done <- result{findings, err}
	}()
	select {
	case r := <-done:
		return r.findings, r.err
	case s := <-signals:
		return nil, fmt.Errorf("ended by signal %s", s)
	}
}

// spread returns a random time around a mean, as the work of the site's requests varies.
func spread(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration(float64(mean) * (0.5 + rand.Float64())) }
}
