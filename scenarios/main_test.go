// Package scenarios runs the scripted scenarios: one for each promise and each
// failure, with real processes on the loopback address. Each script in testdata
// is a txtar archive in the small language of commands_test.go; README.md of
// this folder lists the commands.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// binaries are the programs under test, built once.
var binaries site.Binaries

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds both programs, with the race detector, and runs the scripts.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fuchsiaroad-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cmd := exec.Command("go", "build", "-race", "-o", dir+"/", "github.com/fuchsiaroad/fuchsiaroad/cmd/fuchsiaroad", "github.com/fuchsiaroad/fuchsiaroad/cmd/fuchsiactl")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	binaries = site.Binaries{Fuchsiaroad: filepath.Join(dir, "fuchsiaroad"), Fuchsiactl: filepath.Join(dir, "fuchsiactl")}
	return m.Run()
}

// atOnce bounds the scripts that run at once: each has a dozen processes.
const atOnce = 3

// slots lets so many scripts run at once.
var slots = make(chan struct{}, atOnce)

// TestScenarios runs every script.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Cmds:                commands,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			w := newWorld(env.WorkDir)
			env.Values[worldKey{}] = w
			env.Defer(w.close)
			env.Setenv("FUCHSIACTL", binaries.Fuchsiactl)
			env.Setenv("FUCHSIAROAD", binaries.Fuchsiaroad)
			return nil
		},
	})
}
