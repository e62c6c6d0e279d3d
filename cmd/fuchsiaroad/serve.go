package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/earlysignal"
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/node"
)

// newServe builds the command that serves until it is asked to stop.
func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Serve callers until asked to stop",
		Long: `Serve runs one entry instance.

The first SIGTERM or SIGINT starts a graceful stop: the instance tells its peers
and the balancer, finishes the requests in flight, and exits with 0. A second
signal ends it at once, with 1.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := load(path)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

// serve runs the node until a signal, then stops it gracefully.
func serve(s *settings.Settings) error {
	n, err := node.New(s, os.Stderr)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	select {
	case err := <-done:
		return err
	case <-earlysignal.Stops():
		n.Stop()
	}
	select {
	case err := <-done:
		return err
	case sig := <-earlysignal.Stops():
		return fmt.Errorf("ended by a second signal: %v", sig)
	}
}
