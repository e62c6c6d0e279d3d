package main

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// slowPackages are prefixes of the packages whose initialization takes longest.
var slowPackages = []string{"init github.com/fuchsiaroad/fuchsiaroad/config/", "init github.com/golang/", "init github.com/prometheus/"}

// TestSignalsAreReceivedBeforeSlowPackagesStart checks the order of initialization: until
// package earlysignal is initialized, a signal to stop ends the process at once.
func TestSignalsAreReceivedBeforeSlowPackagesStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fuchsiaroad")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(path, "version")
	cmd.Env = append(cmd.Environ(), "GODEBUG=inittrace=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, "init github.com/fuchsiaroad/fuchsiaroad/cmd/internal/earlysignal ") {
			return
		}
		if slices.ContainsFunc(slowPackages, func(prefix string) bool { return strings.HasPrefix(line, prefix) }) {
			t.Fatalf("initialized before package earlysignal: %s", line)
		}
	}
	t.Errorf("package earlysignal is not initialized:\n%s", out)
}
