package main

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"
)

// newQuarantine builds the commands on requests that crash leaves.
func newQuarantine(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "Show and lift the quarantine of requests that crash leaves",
		Args:  cobra.ArbitraryArgs,
		RunE: func(*cobra.Command, []string) error {
			return &usageError{errors.New("quarantine: want list or clear")}
		},
	}
	cmd.AddCommand(newQuarantineList(o), newQuarantineClear(o))
	return cmd
}

func newQuarantineList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the fingerprints in quarantine",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.Quarantine(cmd.Context(), o.token)
			if err != nil {
				return err
			}
			t := &table{header: []string{"FINGERPRINT", "CRASHES", "LEFT"}}
			for _, q := range list.Quarantine {
				t.add(q.Fingerprint, strconv.Itoa(q.Level), milliseconds(q.RemainingMS))
			}
			return o.print(cmd.OutOrStdout(), list, t)
		},
	}
}

func newQuarantineClear(o *options) *cobra.Command {
	var all bool
	cmd := &cobra.Command{
		Use:   "clear FINGERPRINT | --all",
		Short: "Lift the quarantine of a fingerprint, or of all",
		Args:  usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if all == (len(args) == 1) {
				return &usageError{errors.New("quarantine clear: want a fingerprint or --all")}
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			fingerprint := ""
			if !all {
				fingerprint = args[0]
			}
			if err := client.ClearQuarantine(cmd.Context(), o.token, fingerprint); err != nil {
				return fmt.Errorf("quarantine clear: %w", err)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&all, "all", false, "lift all")
	return cmd
}
