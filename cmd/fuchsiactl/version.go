package main

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionLine is the version of this binary.
type versionLine struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// newVersion builds the command that prints the version.
func newVersion(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			line := versionLine{Version: buildVersion(), Go: runtime.Version()}
			t := &table{}
			t.add("fuchsiactl", line.Version, line.Go)
			return o.print(cmd.OutOrStdout(), line, t)
		},
	}
}

// buildVersion is the version that the build was stamped with.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
