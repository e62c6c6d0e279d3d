package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	entries  []string
	services []string
	tokens   []string
	plan     loadgen.Plan
	deadline time.Duration
	patience time.Duration
	returns  int
	maxOpen  int
	verify   bool
	plot     string
	runID    string
}

// newLoad builds the command that generates load.
func newLoad(o *options) *cobra.Command {
	f := &loadFlags{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send queries in an open loop and report what became of them",
		Long: `Load sends queries at planned times, whether or not earlier ones have been
answered: a steady rate with an opening burst on top that dies away. Latency counts
from the planned time. Entries are taken in turn, as a balancer does.

A service is NAME, NAME=WEIGHT, or either with ",key" for an Idempotency-Key with
each query. Send load to systems of your own only.

Exit codes: 0 done; 1 an answer broke a promise (with --verify-standin), or no
query was answered.`,
		Example: `  fuchsiactl load --entry 127.0.0.1:8080 --service advice --rate 50 --duration 30s
  fuchsiactl load --entries 127.0.0.1:8080,127.0.0.1:8081 --tokens a,b \
      --service advice=9 --service record-valuation=1,key --resend-share 0.2 \
      --rate 100 --peak 400 --decay 5s --duration 1m --plot load.svg`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd, o) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.entries, "entries", nil, "addresses of several entries; --entry gives one")
	flags.StringArrayVar(&f.services, "service", nil, "service to ask, NAME[=WEIGHT][,key]; give it again for a mix")
	flags.StringSliceVar(&f.tokens, "tokens", nil, "bearer tokens of the callers, used in turn; --token gives one")
	flags.Float64Var(&f.plan.Profile.Rate, "rate", 10, "steady rate, in queries a second")
	flags.Float64Var(&f.plan.Profile.Peak, "peak", 0, "rate at the opening, in queries a second; 0 is no burst")
	flags.DurationVar(&f.plan.Profile.Decay, "decay", 5*time.Second, "time in which the burst falls to 1/e")
	flags.DurationVar(&f.plan.Profile.Duration, "duration", 10*time.Second, "length of the run")
	flags.IntVar(&f.plan.Callers, "callers", 100, "number of callers")
	flags.Float64Var(&f.plan.ResendShare, "resend-share", 0, "share of queries with a key that are sent twice, to two entries")
	flags.DurationVar(&f.plan.ResendAfter, "resend-after", 0, "when these are sent again, after the first time")
	flags.Uint64Var(&f.plan.Seed, "seed", 1, "seed of the schedule")
	flags.DurationVar(&f.deadline, "deadline", 0, "deadline of each query; 0 is the service's")
	flags.DurationVar(&f.patience, "patience", 30*time.Second, "most to wait for one answer")
	flags.IntVar(&f.returns, "returns", 0, "how often a refused caller comes back when given a time")
	flags.IntVar(&f.maxOpen, "max-open", 20_000, "most queries open at once; more are counted as unsent")
	flags.BoolVar(&f.verify, "verify-standin", false, "check the data of answers, which leaf stand-ins must have made")
	flags.StringVar(&f.plot, "plot", "", "file for a plot of latency over time, such as load.svg")
	flags.StringVar(&f.runID, "run-id", "", "prefix of bodies and idempotency keys; a new one if empty")
	return cmd
}

// complete checks the flags and completes the plan.
func (f *loadFlags) complete(o *options) error {
	if len(f.entries) == 0 && o.entry != "" {
		f.entries = []string{o.entry}
	}
	if len(f.entries) == 0 {
		return errors.New("--entries: want at least one entry")
	}
	if len(f.tokens) == 0 && o.token != "" {
		f.tokens = []string{o.token}
	}
	if f.maxOpen < 1 || f.returns < 0 || f.patience <= 0 {
		return errors.New("--max-open and --patience must be above 0, --returns at least 0")
	}
	if suffix := filepath.Ext(f.plot); f.plot != "" && !slices.Contains([]string{".svg", ".png", ".pdf"}, suffix) {
		return fmt.Errorf("--plot: %q ends in none of .svg, .png, .pdf", f.plot)
	}
	if f.runID == "" {
		f.runID = "load-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	f.plan.Services = nil
	for _, text := range f.services {
		s, err := parseService(text)
		if err != nil {
			return err
		}
		s.Deadline = f.deadline
		f.plan.Services = append(f.plan.Services, s)
	}
	f.plan.Entries = len(f.entries)
	return f.plan.Validate()
}

// parseService reads NAME[=WEIGHT][,key].
func parseService(text string) (loadgen.Service, error) {
	s := loadgen.Service{Weight: 1}
	text, s.Key = strings.CutSuffix(text, ",key")
	name, weight, given := strings.Cut(text, "=")
	s.Name = name
	if name == "" || strings.Contains(text, ",") {
		return s, fmt.Errorf("--service: %q is not NAME[=WEIGHT][,key]", text)
	}
	if !given {
		return s, nil
	}
	var err error
	if s.Weight, err = strconv.ParseFloat(weight, 64); err != nil {
		return s, fmt.Errorf("--service %s: weight %q is not a number", name, weight)
	}
	return s, nil
}

// run sends the load and prints the reports.
func (f *loadFlags) run(cmd *cobra.Command, o *options) error {
	if err := f.complete(o); err != nil {
		return &usageError{err}
	}
	samples := f.send(cmd.Context(), cmd.ErrOrStderr())
	if f.plot != "" {
		title := fmt.Sprintf("%s, %d queries", strings.Join(f.services, " "), len(samples))
		if err := loadgen.WritePlot(f.plot, title, samples, f.plan.Profile.Duration); err != nil {
			return err
		}
	}
	reports := loadgen.Summarize(samples, f.plan.Services)
	if err := o.print(cmd.OutOrStdout(), reports, loadTable(reports)); err != nil {
		return err
	}
	return loadError(reports)
}

// send runs the plan.
func (f *loadFlags) send(ctx context.Context, stderr io.Writer) []loadgen.Sample {
	config := loadgen.SenderConfig{
		Plan: f.plan, Entries: f.entries, Tokens: f.tokens, RunID: f.runID, Patience: f.patience, Transport: loadgen.NewTransport(),
	}
	if f.verify {
		config.Verify = loadgen.VerifyStandin
	}
	options := loadgen.Options{MaxOpen: f.maxOpen, Returns: f.returns, Progress: progressLine(stderr)}
	samples := loadgen.Run(ctx, loadgen.Schedule(f.plan), loadgen.NewEntrySender(config), options)
	if options.Progress != nil {
		fmt.Fprintln(stderr)
	}
	return samples
}

// progressLine writes progress over one line of a terminal; elsewhere it is nil.
func progressLine(w io.Writer) func(due, ended int) {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return nil
	}
	return func(due, ended int) { fmt.Fprintf(w, "\r%d of %d queries ended ", ended, due) }
}

// loadError says what makes a run a failure.
func loadError(reports []loadgen.Report) error {
	if faults := loadgen.Faults(reports); len(faults) > 0 {
		return fmt.Errorf("answers broke promises: %s", faultText(faults))
	}
	total := reports[len(reports)-1]
	if total.Queries > 0 && total.Answered.Count == 0 {
		return errors.New("no query was answered")
	}
	return nil
}

// faultText lists broken promises.
func faultText(faults []loadgen.FaultCount) string {
	if len(faults) == 0 {
		return "none"
	}
	parts := make([]string, len(faults))
	for i, f := range faults {
		parts[i] = fmt.Sprintf("%s: %d", f.Fault, f.Count)
	}
	return strings.Join(parts, ", ")
}

// loadTable has a row for each service and one for all.
func loadTable(reports []loadgen.Report) *table {
	t := &table{header: []string{"SERVICE", "QUERIES", "COMPLETE", "PARTIAL", "NOT RUN", "UNKNOWN", "FAILED", "NO ANSWER", "UNSENT",
		"P50", "P90", "P99", "P99.9", "COVERAGE", "EXTRA LOAD", "RETRY-AFTER", "RETURNS", "REFUSED P99", "LAG P99", "FAULTS"}}
	for _, r := range reports {
		t.add(r.Service, strconv.Itoa(r.Queries), count(r, loadgen.Complete), count(r, loadgen.Partial), count(r, loadgen.NotRun),
			count(r, loadgen.Unknown), count(r, loadgen.Failed),
			strconv.Itoa(r.Count(loadgen.Unreached)+r.Count(loadgen.Broken)), count(r, loadgen.Unsent),
			latencyText(r.Answered, r.Answered.P50), latencyText(r.Answered, r.Answered.P90), latencyText(r.Answered, r.Answered.P99),
			latencyText(r.Answered, r.Answered.P999), percent(r.Coverage), percent(r.ExtraLoad), strconv.Itoa(r.RetryAfter),
			strconv.Itoa(r.Returns), latencyText(r.Refused, r.Refused.P99), milli(r.LagP99), faultText(r.Faults))
	}
	return t
}

func count(r loadgen.Report, kind loadgen.Kind) string { return strconv.Itoa(r.Count(kind)) }

// latencyText is a quantile, or a dash if nothing was counted.
func latencyText(l loadgen.Latency, us int64) string {
	if l.Count == 0 {
		return "-"
	}
	return milli(us)
}

func milli(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }

func percent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }
