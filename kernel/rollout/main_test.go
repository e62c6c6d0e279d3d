package rollout_test

import (
	"flag"
	"os"
	"testing"
)

// set sets a flag of the property tests.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// TestMain fixes the seed of the property tests unless FUCHSIAROAD_LONG is set.
func TestMain(m *testing.M) {
	flag.Parse()
	set("rapid.steps", "150")
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
