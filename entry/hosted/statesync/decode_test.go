package statesync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// TestConfigRoundTrip encodes and decodes configurations with and without compression.
func TestConfigRoundTrip(t *testing.T) {
	full := newConfig(3)
	full.Limits = catalog.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTime: 3, IdleTime: 4}
	full.Routes = append(full.Routes,
		&catalog.Route{Name: "shards", Shards: []string{"a", "b"}, TopK: 5, LeastCoverage: 0.5, Idempotent: true, Priority: 2},
		&catalog.Route{Name: "split", Targets: []document.RouteTarget{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}, Objective: time.Second, Attempts: 2})
	for _, config := range []*catalog.Config{{}, {Version: 1}, {Version: 2, Routes: newConfig(2).Routes[:3]}, full} {
		packed, err := pack(config)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := unpackConfig(packed); err != nil || got.Hash() != config.Hash() {
			t.Errorf("version %d of %d routes: %+v, error %v", config.Version, len(config.Routes), got, err)
		}
	}
}

// TestMalformedConfigIsRejected decodes texts that pack does not write. Those with a null list
// of routes or an unknown key are valid.
func TestMalformedConfigIsRejected(t *testing.T) {
	for text, valid := range map[string]bool{
		`{"Version":3,"Routes":null}`:                  true,
		`{"Version":3,"Later":{"a":[1]},"Routes":[]}`:  true,
		`{"Version":3,"Routes":[{"Name":"a"},`:         false,
		`{"Version":3,"Routes":[{"Name":"a"}]`:         false,
		`{"Version":3,"Routes":{"Name":"a"}}`:          false,
		`{"Version":"three"}`:                          false,
		`[]`:                                           false,
		``:                                             false,
		"\x1f\x8b compressed with something else":      false,
		`{"Version":3,"Routes":[{"Name":"a"},{"Na}]}]`: false,
	} {
		if got, err := unpackConfig([]byte(text)); (err == nil) != valid || valid && got.Version != 3 {
			t.Errorf("%q: %+v, error %v", text, got, err)
		}
	}
}

// TestDecodingLargeConfigPauses checks that decoding pauses after each routesPerPause routes,
// so that other goroutines can run.
func TestDecodingLargeConfigPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := &catalog.Config{Version: 1}
		const pauses = 20
		for range pauses * routesPerPause {
			config.Routes = append(config.Routes, &catalog.Route{Name: "r"})
		}
		packed, err := pack(config)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := unpackConfig(packed); err != nil || time.Since(start) != pauses*pauseDuration {
			t.Errorf("paused for %v, want %v, error %v", time.Since(start), pauses*pauseDuration, err)
		}
	})
}
