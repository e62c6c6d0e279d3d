package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/demo"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
)

// newDemo builds the command that shows a whole site.
func newDemo(o *options) *cobra.Command {
	d := demo.Options{}
	var extra string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole site on this machine and show what callers get",
		Long: `Demo starts a platform stand-in, the leaf stand-ins of a site at its size of today,
and 8 entries, each as a process of its own on the loopback address. It sends an
opening burst, loses a replica and changes the index version, and compares what
callers were answered with what the leaves recorded. It takes under a minute and needs
only Go. It ends the processes that it started, also on Ctrl-C.

Exit codes: 0 every promise was kept; 1 one was broken, or the demo failed.`,
		Example: `  go run ./cmd/fuchsiactl demo
  go run ./cmd/fuchsiactl demo --site capbon --output json
  go run ./cmd/fuchsiactl demo --extra-settings baseline.toml`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if d.Site != demo.Recife && d.Site != demo.CapBon {
				return &usageError{fmt.Errorf("--site: %q is neither %s nor %s", d.Site, demo.Recife, demo.CapBon)}
			}
			if d.Entries < 1 || d.Rate <= 0 || d.Length < time.Second {
				return &usageError{fmt.Errorf("--entries and --rate must be above 0, --length at least 1s")}
			}
			if extra != "" {
				text, err := os.ReadFile(extra)
				if err != nil {
					return &usageError{fmt.Errorf("--extra-settings: %w", err)}
				}
				d.ExtraSettings = string(text)
			}
			return runDemo(cmd, o, d)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&d.Site, "site", demo.Recife, "site: recife or capbon")
	flags.IntVar(&d.Entries, "entries", 8, "number of entries")
	flags.Float64Var(&d.Rate, "rate", 40, "steady rate, in queries a second")
	flags.Float64Var(&d.Peak, "peak", 200, "rate at the opening, in queries a second")
	flags.DurationVar(&d.Length, "length", 8*time.Second, "length of the opening; the other phases take three quarters of it")
	flags.Uint64Var(&d.Seed, "seed", 1, "seed of the load and of the leaves")
	flags.StringVar(&d.Fuchsiaroad, "fuchsiaroad", "", "program of the entry; built with go build if empty")
	flags.StringVar(&extra, "extra-settings", "", "TOML file added to the settings of every entry, such as a [policy] table")
	flags.BoolVar(&d.Keep, "keep", false, "keep the folder of settings and logs")
	_ = cmd.RegisterFlagCompletionFunc("site", cobra.FixedCompletions([]string{demo.Recife, demo.CapBon}, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

// runDemo shows the site and prints the tables.
func runDemo(cmd *cobra.Command, o *options, d demo.Options) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("demo: find this program: %w", err)
	}
	d.Fuchsiactl = self
	d.Log = cmd.ErrOrStderr()
	outcome, err := demo.Run(cmd.Context(), d)
	if err != nil {
		return err
	}
	if err := o.print(cmd.OutOrStdout(), outcome, demoTable(outcome)); err != nil {
		return err
	}
	if broken := outcome.Broken(); len(broken) > 0 {
		return fmt.Errorf("demo: promises broken: %s", strings.Join(broken, "; "))
	}
	return nil
}

// demoTable has a row for each service in each phase, and the checks below.
func demoTable(o *demo.Outcome) *table {
	t := &table{header: []string{"PHASE", "SERVICE", "QUERIES", "COMPLETE", "PARTIAL", "NOT RUN", "UNKNOWN", "FAILED", "NO ANSWER",
		"P50", "P99", "COVERAGE", "EXTRA LOAD", "MIXED VERSIONS"}}
	for _, p := range o.Phases {
		for _, r := range p.Reports {
			t.add(p.Name, r.Service, strconv.Itoa(r.Queries), count(r, loadgen.Complete), count(r, loadgen.Partial),
				count(r, loadgen.NotRun), count(r, loadgen.Unknown), count(r, loadgen.Failed),
				strconv.Itoa(r.Count(loadgen.Unreached)+r.Count(loadgen.Broken)+r.Count(loadgen.Unsent)),
				latencyText(r.Answered, r.Answered.P50), latencyText(r.Answered, r.Answered.P99),
				percent(r.Coverage), percent(r.ExtraLoad), strconv.Itoa(mixed(r)))
		}
	}
	e := o.Executions
	t.add()
	t.add(fmt.Sprintf("idempotency keys: %d, %d of them sent twice; most executions of one: %d", e.Keys, e.Resends, e.MaxPerKey))
	t.add(fmt.Sprintf("queries refused as not run: %d; of these run by a leaf: %d", e.Refused, e.RefusedButRan))
	t.add(fmt.Sprintf("keys answered that no leaf had run: %d", e.AnsweredNotRan))
	var refused []string
	for _, p := range o.Phases {
		refused = append(refused, fmt.Sprintf("%s %d", p.Name, p.Refused))
	}
	t.add(fmt.Sprintf("leaves that refused a connection over their limit: %d of %d (connections refused: %s)",
		len(o.OverLimit), o.Leaves, strings.Join(refused, ", ")))
	t.add(fmt.Sprintf("calls to the platform in %d s: %d reads, %d writes; %d of them over its rates",
		o.Platform.Seconds, o.Platform.Reads, o.Platform.Writes, o.Platform.Limited))
	t.add(fmt.Sprintf("latest that the load generator itself was: %s (p99 of a phase)", milli(worstLag(o))))
	if broken := o.Broken(); len(broken) > 0 {
		t.add("BROKEN: " + strings.Join(broken, "; "))
	} else {
		t.add("every promise was kept")
	}
	return t
}

// worstLag is the generator's lag in the phase where it was highest, in
// microseconds. On a busy machine it stands in all latencies.
func worstLag(o *demo.Outcome) int64 {
	var worst int64
	for _, p := range o.Phases {
		for _, r := range p.Reports {
			worst = max(worst, r.LagP99)
		}
	}
	return worst
}

// mixed counts the answers that mix versions.
func mixed(r loadgen.Report) int {
	for _, f := range r.Faults {
		if f.Fault == loadgen.FaultMixed {
			return f.Count
		}
	}
	return 0
}
