package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/entryclient"
)

// Environment variables that stand in for flags.
const (
	envEntry = "FUCHSIAROAD_ENTRY"
	envToken = "FUCHSIAROAD_TOKEN"
)

// options are what all commands share.
type options struct {
	output string // table or json
	entry  string
	token  string
}

// client returns a client of the entry.
func (o *options) client() (*entryclient.Client, error) {
	if o.entry == "" {
		return nil, &usageError{fmt.Errorf("--entry: want the IP:port of an entry, or set %s", envEntry)}
	}
	return entryclient.New(o.entry, http.DefaultTransport), nil
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "fuchsiactl:", err)
	}
	return exitCode(err)
}

// newRoot builds the command tree.
func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "fuchsiactl",
		Short: "Ask, watch and test a fuchsiaroad query tier",
		Long: `Fuchsiactl is the operators' and experimenters' tool of fuchsiaroad.

Exit codes: 0 done; 1 failed; 2 wrong usage, settings or document;
3 refused or not reached: nothing ran; 4 unknown: it may have run.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return &usageError{fmt.Errorf("no command %q; see fuchsiactl --help", args[0])}
			}
			return &usageError{errors.New("want a command; see fuchsiactl --help")}
		},
		PersistentPreRunE: func(*cobra.Command, []string) error { return o.check() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	flags.StringVar(&o.entry, "entry", os.Getenv(envEntry), "address of an entry, IP:port or URL (or "+envEntry+")")
	flags.StringVar(&o.token, "token", os.Getenv(envToken), "bearer token of the caller (or "+envToken+")")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		newConfig(o),
		newQuery(o),
		newInstances(o),
		newServices(o),
		newQuarantine(o),
		newExplain(),
		newLoss(),
		newMetrics(o),
		newLoad(o),
		newDemo(o),
		newStandin(o),
		newSoak(),
		newVersion(o),
	)
	return root
}

// check looks at the flags that all commands share.
func (o *options) check() error {
	if o.output != outputTable && o.output != outputJSON {
		return &usageError{fmt.Errorf("--output: %q is neither table nor json", o.output)}
	}
	return nil
}

// usageArgs makes a wrong number of arguments a fault of usage.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &usageError{fmt.Errorf("%s: %w", cmd.CommandPath(), err)}
		}
		return nil
	}
}
