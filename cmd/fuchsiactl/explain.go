package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/story"
)

// newExplain builds the command that tells one request's story from logs.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Tell what became of a request, by the instances' logs",
		Long: `Explain reads logs in JSON, one file an instance or one with all, and prints what
became of the request with this id: the cause in a sentence, what the instances
believed before, and the request's own lines in their order. A line may have other
text before its record; the last word of that names the instance, else the file's
name does.`,
		Example: "  fuchsiactl explain 9c41d07be2a35f68 front-1.log front-2.log",
		Args:    usageArgs(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			s, ok := story.Tell(args[0], lines)
			if !ok {
				return fmt.Errorf("no line of %d names request %s: its lines may have been left out, see the lines of prefix log", len(lines), args[0])
			}
			return s.Write(cmd.OutOrStdout())
		},
	}
}

// readLogs reads files.
func readLogs(paths []string) ([]story.Line, error) {
	var lines []story.Line
	for _, path := range paths {
		more, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// readLog reads one file.
func readLog(path string) ([]story.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &usageError{err}
	}
	defer f.Close()
	lines, _, err := story.Read(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
	return lines, err
}
