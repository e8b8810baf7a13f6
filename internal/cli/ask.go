package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
)

const (
	callTimeout = time.Minute
	// callArgs is the number of arguments: TEAM, GROUP and BODY.
	callArgs = 3
)

// callFlags holds the flags of a command that sends a request to a daemon.
type callFlags struct {
	address  string
	deadline string
	key      string
	enquire  bool
	json     bool
}

func (f *callFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "address", "127.0.0.1:7001", "a daemon's address for callers")
	c.Flags().StringVar(&f.deadline, "deadline", "", "how long to wait for the answer, such as 150ms")
	c.Flags().BoolVar(&f.json, "json", false, "print the answer as JSON")
	c.Args = cobra.ExactArgs(callArgs)
}

func (f *callFlags) question(body string) (caller.Question, error) {
	if !json.Valid([]byte(body)) {
		return caller.Question{}, errorx.IllegalArgument.New("BODY is not JSON: %s", body)
	}
	return caller.Question{Body: json.RawMessage(body), Deadline: f.deadline}, nil
}

// run makes the call and prints its answer. It returns an error for any outcome other than done, so that the program exits
// with status 1.
func (f *callFlags) run(c *cobra.Command, call func(context.Context, *caller.Client) (caller.Answer, error)) error {
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	began := time.Now()
	answer, err := call(ctx, caller.NewClient(f.address))
	if err != nil {
		return err
	}
	if err := f.print(c.OutOrStdout(), answer, time.Since(began)); err != nil {
		return err
	}
	if answer.Outcome != "done" {
		return errorx.RejectedOperation.New("%s: %s", answer.Outcome, answer.Reason)
	}
	return nil
}

func (f *callFlags) print(w io.Writer, answer caller.Answer, took time.Duration) error {
	if f.json {
		return printJSON(w, answer)
	}
	_, _ = fmt.Fprintf(w, "outcome   %s %s\n", answer.Outcome, answer.Reason)
	if answer.Coverage != nil {
		_, _ = fmt.Fprintf(w, "snapshot  %s\n", answer.Snapshot)
		_, _ = fmt.Fprintf(w, "coverage  %.4f (%d of %d records)\n", answer.Coverage.Share, answer.Coverage.Covered, answer.Coverage.Records)
		for _, m := range answer.Coverage.Missing {
			_, _ = fmt.Fprintf(w, "missing   %s: %d records, %s\n", m.Partition, m.Records, m.Reason)
		}
	}
	if answer.RetryAfterMs > 0 {
		_, _ = fmt.Fprintf(w, "retry     after %d ms\n", answer.RetryAfterMs)
	}
	_, _ = fmt.Fprintf(w, "took      %s\n", took.Round(time.Millisecond/10))
	_, err := fmt.Fprintf(w, "items     %s\n", answer.Items)
	return err
}

func newSearch() *cobra.Command {
	c := newRead((*caller.Client).Search)
	c.Use = "query TEAM GROUP BODY"
	c.Aliases = []string{"search"}
	c.Short = "Search a whole group and print answer, snapshot, coverage and outcome"
	c.Example = `  knapweedpoint query visits visitSearch '{"street":"Dorpsstraat"}' --deadline 150ms`
	return c
}

func newLookup() *cobra.Command {
	c := newRead((*caller.Client).Lookup)
	c.Use = "card TEAM GROUP BODY"
	c.Short = "Look up one record"
	c.Example = `  knapweedpoint card visits jobCards '{"card":"4711"}'`
	return c
}

// newRead returns a command that sends its question with the given client method.
func newRead(method func(*caller.Client, context.Context, string, string, caller.Question) (caller.Answer, error)) *cobra.Command {
	flags := &callFlags{}
	c := &cobra.Command{
		RunE: func(c *cobra.Command, args []string) error {
			q, err := flags.question(args[2])
			if err != nil {
				return err
			}
			return flags.run(c, func(ctx context.Context, cl *caller.Client) (caller.Answer, error) {
				return method(cl, ctx, args[0], args[1], q)
			})
		},
	}
	flags.register(c)
	return c
}

func newBook() *cobra.Command {
	flags := &callFlags{}
	c := &cobra.Command{
		Use:   "book TEAM GROUP BODY",
		Short: "Make a booking under an idempotency key, or query the result of one",
		Example: `  knapweedpoint book visits appointments '{"house":"12","day":"2026-12-09"}'
  knapweedpoint book visits appointments '{}' --key 0193a7c0-0000-7000-8000-000000000001 --enquire`,
		RunE: func(c *cobra.Command, args []string) error {
			q, err := flags.question(args[2])
			if err != nil {
				return err
			}
			if err := flags.ensureKey(c.ErrOrStderr()); err != nil {
				return err
			}
			return flags.run(c, func(ctx context.Context, cl *caller.Client) (caller.Answer, error) {
				if flags.enquire {
					return cl.BookingOutcome(ctx, args[0], args[1], flags.key)
				}
				return cl.Book(ctx, args[0], args[1], flags.key, q)
			})
		},
	}
	flags.register(c)
	c.Flags().StringVar(&flags.key, "key", "", "idempotency key; the default is a new UUIDv7")
	c.Flags().BoolVar(&flags.enquire, "enquire", false, "only query the result of the booking under --key")
	return c
}

// ensureKey generates an idempotency key when none is given, and prints it.
func (f *callFlags) ensureKey(w io.Writer) error {
	if f.key != "" {
		return nil
	}
	if f.enquire {
		return errorx.IllegalArgument.New("--enquire needs --key")
	}
	id, err := uuid.NewV7()
	if err != nil {
		return errorx.ExternalError.Wrap(err, "generate an idempotency key")
	}
	f.key = id.String()
	_, err = fmt.Fprintln(w, "key", f.key)
	return err
}
