package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/standin/soak"
)

// errBroken says that a soak saw a broken promise.
var errBroken = errors.New("a promise was broken: the seed and the logs are above")

// newSoak builds the command that plays random faults against real processes.
func newSoak() *cobra.Command {
	var o soak.Options
	var minutes float64
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Harm real instances at random and check the product's promises",
		Long: `Soak starts instances of the product as separate processes on this machine, with a
stand-in of the users' platform and of leaves, and plays random faults: links that
are delayed, reset, cut one way or silent, processes that are killed, paused and
stopped, a store and leaves that misbehave. It checks what clients and leaves see.
It signals only processes that it started. The same seed plays the same faults; what
they meet still depends on the machine.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.For = time.Duration(minutes * float64(time.Minute))
			if o.Binary == "" {
				self, err := os.Executable()
				if err != nil {
					return fmt.Errorf("find the program: %w", err)
				}
				o.Binary = filepath.Join(filepath.Dir(self), "fuchsiaroad")
			}
			dir, err := os.MkdirTemp("", "fuchsiaroad-soak-")
			if err != nil {
				return fmt.Errorf("make a folder for logs: %w", err)
			}
			o.Dir = dir
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "seed %d, logs in %s\n", o.Seed, dir)
			report, err := soak.Run(o)
			if err != nil {
				return err
			}
			fmt.Fprint(out, report.Text())
			if len(report.Violations) > 0 {
				return errBroken
			}
			return os.RemoveAll(dir)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()), "of the faults")
	flags.Float64Var(&minutes, "minutes", 1, "for which faults are played")
	flags.IntVar(&o.Instances, "instances", 4, "number of processes")
	flags.IntVar(&o.Clients, "clients", 24, "number of clients")
	flags.StringVar(&o.Profile, "profile", "", fmt.Sprintf("the load, one of %v (default)", soak.ProfileNames()))
	flags.StringSliceVar(&o.Faults, "faults", nil, fmt.Sprintf("play only these, of %v (those of the profile)", soak.FaultNames()))
	flags.DurationVar(&o.StoreDelay, "store-delay", 0, "what each answer of the store takes at least; it counts as undisturbed")
	flags.DurationVar(&o.Bound, "bound", 0, "on changes and departures (that of the profile)")
	flags.StringVar(&o.Binary, "binary", "", "the product's program (beside this one)")
	return cmd
}
