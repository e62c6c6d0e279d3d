package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/entryclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// queryFlags are the flags of the query command.
type queryFlags struct {
	body     string
	bodyFile string
	key      string
	deadline time.Duration
	results  bool
}

// newQuery builds the command that asks a query service.
func newQuery(o *options) *cobra.Command {
	f := &queryFlags{}
	cmd := &cobra.Command{
		Use:   "query SERVICE",
		Short: "Ask a query service",
		Long: `Query asks a query service and prints what the answer covers and what is missing.

Exit codes: 0 complete or partial; 1 failed; 3 not run; 4 unknown.`,
		Example: `  fuchsiactl query advice --entry 127.0.0.1:8080 --body 'title 1204'
  fuchsiactl query family-notice --key notice-77 --body-file notice.txt`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error { return runQuery(cmd, o, f, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.body, "body", "", "body of the request")
	flags.StringVar(&f.bodyFile, "body-file", "", "file with the body; - is standard input")
	flags.StringVar(&f.key, "key", "", "Idempotency-Key")
	flags.DurationVar(&f.deadline, "deadline", 0, "most to wait; 0 is the service's deadline")
	flags.BoolVar(&f.results, "results", false, "print the results' bodies too")
	cmd.MarkFlagsMutuallyExclusive("body", "body-file")
	return cmd
}

func runQuery(cmd *cobra.Command, o *options, f *queryFlags, service string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	body, err := f.readBody(cmd.InOrStdin())
	if err != nil {
		return err
	}
	answer, err := client.Query(cmd.Context(), entryclient.Query{
		Service: service, Token: o.token, Body: body, Key: f.key, Deadline: f.deadline,
	})
	if err != nil {
		return unproved(err)
	}
	if err := o.print(cmd.OutOrStdout(), answer, answerTable(answer, f.results)); err != nil {
		return err
	}
	return outcomeError(answer)
}

// unproved marks a refusal that does not state that nothing ran, such as a fault
// of the instance: the request may have run.
func unproved(err error) error {
	var refused *entryclient.ProblemError
	if errors.As(err, &refused) && query.Outcome(refused.Problem.Outcome) != query.NotRun {
		return &exitError{exitUnknown, err}
	}
	return err
}

// readBody takes the body from the flag, a file or standard input.
func (f *queryFlags) readBody(stdin io.Reader) ([]byte, error) {
	if f.bodyFile == "" {
		return []byte(f.body), nil
	}
	if f.bodyFile == "-" {
		return io.ReadAll(stdin)
	}
	body, err := os.ReadFile(f.bodyFile)
	if err != nil {
		return nil, &usageError{fmt.Errorf("--body-file: %w", err)}
	}
	return body, nil
}

// outcomeError gives an outcome its exit code.
func outcomeError(a *callerapi.Answer) error {
	err := fmt.Errorf("outcome %s", a.Outcome)
	if a.Reason != "" {
		err = fmt.Errorf("outcome %s: %s", a.Outcome, a.Reason)
	}
	switch query.Outcome(a.Outcome) {
	case query.Complete, query.Partial:
		return nil
	case query.NotRun:
		return &exitError{exitNotRun, err}
	case query.Unknown:
		return &exitError{exitUnknown, err}
	case query.Failed:
	}
	return err
}

// answerTable lists the answer's parts.
func answerTable(a *callerapi.Answer, results bool) *table {
	t := &table{}
	t.add("request", a.Request)
	t.add("outcome", a.Outcome)
	if a.Replayed {
		t.add("replayed", "yes: the outcome of an earlier request with this key")
	}
	t.add("version", strconv.FormatUint(a.Version, 10))
	t.add("share", fmt.Sprintf("%.4f", a.Share))
	t.add("time", (time.Duration(a.Timing.TotalUS) * time.Microsecond).String())
	t.add("sent", fmt.Sprintf("%d, of these %d hedges, %d retries", a.Work.Sent, a.Work.Hedges, a.Work.Retries))
	for _, p := range a.Covered {
		t.add("covered", p.Upstream+" "+p.Range.String())
	}
	for _, m := range a.Missing {
		t.add("missing", m.Upstream+" "+m.Range.String()+": "+m.Reason)
	}
	if results {
		for _, r := range a.Results {
			t.add("result", r.Upstream+" "+r.Range.String()+": "+strconv.Quote(string(r.Body)))
		}
	}
	return t
}
