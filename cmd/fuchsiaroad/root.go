package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/earlysignal"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // it could not serve
	exitSettings = 2 // wrong usage or settings
)

// usageError marks a fault of the command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	command, err := root.ExecuteC()
	if err == nil {
		return exitOK
	}
	if command == root && !errors.As(err, new(*usageError)) {
		err = &usageError{err} // an unknown command
	}
	fmt.Fprintln(stderr, "fuchsiaroad:", err)
	var faults *fault.List
	var usage *usageError
	if errors.As(err, &faults) || errors.As(err, &usage) {
		return exitSettings
	}
	return exitFailed
}

// newRoot builds the command tree.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "fuchsiaroad",
		Short:         "A query tier over many shards: one entry instance",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return &usageError{errors.New("want a command: serve, hosted, check or version")}
		},
	}
	for _, c := range []*cobra.Command{newCheck(), newVersion()} {
		c.PreRunE = func(*cobra.Command, []string) error { return earlysignal.Restore() }
		root.AddCommand(c)
	}
	root.AddCommand(newServe(), newHosted())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	return root
}
