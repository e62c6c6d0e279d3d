package ledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, except in long runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") != "1" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.steps", "300")
	os.Exit(m.Run())
}
