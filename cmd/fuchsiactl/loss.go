package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loss"
)

// newLoss builds the command that tells from logs where requests were lost.
func newLoss() *cobra.Command {
	var asCSV bool
	var plot string
	cmd := &cobra.Command{
		Use:   "loss FILE...",
		Short: "Tell where requests were lost, by the instances' logs",
		Long: `Loss reads the logs of all instances of a run in JSON, as explain does, and counts the
requests that were refused, failed, late, partial, or ended by nobody: by reason, with
the number that would come back if that reason alone were gone, by shard and by second.

A late answer's reason is the part of its time without which it would have been in time.
"instance short of processor time" is what neither queue, leaf nor hand-over took.
Clocks of the instances are taken for equal.`,
		Example: "  fuchsiactl loss --plot losses.svg front-1.log front-2.log",
		Args:    usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args)
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return &usageError{errors.New("the logs have no line in JSON")}
			}
			losses := loss.Find(lines)
			if plot != "" {
				if err := losses.WritePlot(plot); err != nil {
					return fmt.Errorf("--plot: %w", err)
				}
			}
			if asCSV {
				return losses.WriteCSV(cmd.OutOrStdout())
			}
			return losses.WriteTable(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&asCSV, "csv", false, "write a row for each reason of each lost request, in place of the table")
	cmd.Flags().StringVar(&plot, "plot", "", "draw the losses over time into this file, such as losses.svg")
	return cmd
}
