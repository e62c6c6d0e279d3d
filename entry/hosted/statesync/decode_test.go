package statesync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// TestConfigurationIsDecodedAsItWasEncoded packs versions short and long enough to be compressed.
func TestConfigurationIsDecodedAsItWasEncoded(t *testing.T) {
	full := versionOf(3)
	full.Limits = catalog.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTime: 3, IdleTime: 4}
	full.Routes = append(full.Routes,
		&catalog.Route{Name: "shards", Shards: []string{"a", "b"}, TopK: 5, LeastCoverage: 0.5, Idempotent: true, Priority: 2},
		&catalog.Route{Name: "split", Targets: []document.RouteTarget{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}, Objective: time.Second, Attempts: 2})
	for _, config := range []*catalog.Config{{}, {Version: 1}, {Version: 2, Routes: versionOf(2).Routes[:3]}, full} {
		packed, err := pack(config)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := unpackConfig(packed); err != nil || got.Hash() != config.Hash() {
			t.Errorf("version %d of %d routes: %+v, error %v", config.Version, len(config.Routes), got, err)
		}
	}
}

// TestBadConfigurationIsRefused decodes what pack does not write.
func TestBadConfigurationIsRefused(t *testing.T) {
	for text, good := range map[string]bool{
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
		if got, err := unpackConfig([]byte(text)); (err == nil) != good || good && got.Version != 3 {
			t.Errorf("%q: %+v, error %v", text, got, err)
		}
	}
}

// TestLargeConfigurationLetsQueriesRun decodes many routes: whoever else has work gets a turn after
// each few of them.
func TestLargeConfigurationLetsQueriesRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := &catalog.Config{Version: 1}
		const turns = 20
		for range turns * pauseEvery {
			config.Routes = append(config.Routes, &catalog.Route{Name: "r"})
		}
		packed, err := pack(config)
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		if _, err := unpackConfig(packed); err != nil || time.Since(begin) != turns*pauseTime {
			t.Errorf("paused for %v, want %v, error %v", time.Since(begin), turns*pauseTime, err)
		}
	})
}
