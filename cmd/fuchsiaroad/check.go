package main

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/node"
)

// newCheck builds the command that checks settings without serving.
func newCheck() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file without serving",
		Long:  "Check reads the settings as serve does and prints every fault with its line. It exits with 2 if there is one.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of instance %s are good\n", path, s.Instance)
			return nil
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

// settingsFlag adds the one flag of serve and check.
func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "the instance's settings, a TOML `FILE`")
	_ = cmd.MarkFlagFilename("settings", "toml")
}

// load reads settings and checks the names of policies.
func load(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, &usageError{errors.New("--settings: want the instance's settings file")}
	}
	s, err := settings.Load(path)
	var unread *fs.PathError
	if errors.As(err, &unread) {
		return nil, &usageError{err}
	}
	if err != nil {
		return nil, err
	}
	if err := node.CheckPolicies(s.Policy); err != nil {
		return nil, &usageError{fmt.Errorf("%s: policy: %w", path, err)}
	}
	return s, nil
}
