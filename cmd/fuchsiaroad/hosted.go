package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/earlysignal"
	"github.com/fuchsiaroad/fuchsiaroad/platform"
)

// newHosted builds the command that serves on the users' platform.
func newHosted() *cobra.Command {
	return &cobra.Command{
		Use:   "hosted",
		Short: "Serve on the users' platform until asked to stop",
		Long: `Hosted runs one entry instance by the platform's settings file, whose path is in
` + platform.SettingsVariable + `. The first SIGTERM or SIGINT starts a graceful stop; SIGHUP reads
the settings again, which is also done every two seconds.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return &usageError{errors.New(platform.SettingsVariable + ": want the path of the settings file")}
			}
			return serveHosted(path)
		},
	}
}

// serveHosted serves until a signal, then stops gracefully; a second one ends it.
func serveHosted(path string) error {
	stop := make(chan struct{})
	reload := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		for range earlysignal.Hangups() {
			reload <- struct{}{}
		}
	}()
	go func() {
		done <- platform.Run(context.Background(), path, platform.Signals{Stop: stop, Reload: reload}, os.Stdout)
	}()
	select {
	case err := <-done:
		return err
	case <-earlysignal.Stops():
		close(stop)
	}
	select {
	case err := <-done:
		return err
	case sig := <-earlysignal.Stops():
		return fmt.Errorf("ended by a second signal: %v", sig)
	}
}
