package main

import (
	"github.com/spf13/cobra"
)

// newInstances builds the command that lists the platform's instances.
func newInstances(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "instances",
		Short: "List entries and leaves as an entry sees them",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.Instances(cmd.Context(), o.token)
			if err != nil {
				return err
			}
			t := &table{header: []string{"ID", "ROLE", "ZONE", "ADDRESS", "STATE"}}
			for _, i := range list.Instances {
				t.add(i.ID, i.Role, i.Zone, i.Address, string(i.State))
			}
			return o.print(cmd.OutOrStdout(), list, t)
		},
	}
}
