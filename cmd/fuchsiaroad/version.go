package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/entry/node"
)

// newVersion builds the command that prints the version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintf(cmd.OutOrStdout(), "fuchsiaroad %s %s\n", node.Version, runtime.Version())
			return nil
		},
	}
}
