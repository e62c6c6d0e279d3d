package catalog

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// drawRoute draws a route with a given name. Its other fields have few values, so that routes are
// often equal.
func drawRoute(t *rapid.T, name string) *Route {
	r := &Route{
		Name: name, Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), Prefix: "/" + name + "/",
		Idempotent: rapid.Bool().Draw(t, "idempotent"), Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second,
		Attempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
	}
	if rapid.Bool().Draw(t, "sharded") {
		r.Shards, r.TopK, r.LeastCoverage = []string{"s", rapid.SampledFrom([]string{"t", "u"}).Draw(t, "shard")}, 5, 0.5
	} else {
		r.Targets = []document.RouteTarget{{Service: "s", Weight: float64(rapid.IntRange(1, 2).Draw(t, "weight"))}}
	}
	return r
}

// drawVersion draws a version close to the previous one: some routes differ, some are removed, some
// are new, and occasionally the order differs.
func drawVersion(t *rapid.T, prev *Config) *Config {
	out := &Config{Version: prev.Version + 1, Services: make(map[string]Service), Limits: Limits{BodyBytes: int64(rapid.IntRange(0, 1).Draw(t, "limit"))}}
	for _, r := range prev.Routes {
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
		case 1:
			out.Routes = append(out.Routes, drawRoute(t, r.Name))
		default:
			out.Routes = append(out.Routes, r)
		}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "new routes") {
		at := rapid.IntRange(0, len(out.Routes)).Draw(t, "at")
		out.Routes = slices.Insert(out.Routes, at, drawRoute(t, fmt.Sprintf("r%d-%d", out.Version, i)))
	}
	if len(out.Routes) > 1 && rapid.IntRange(0, 9).Draw(t, "reorder") == 0 {
		out.Routes[0], out.Routes[1] = out.Routes[1], out.Routes[0]
	}
	for _, name := range []string{"s", "t", "u"} {
		if rapid.Bool().Draw(t, "service") {
			out.Services[name] = Service{Name: name, ConnectionLimit: rapid.IntRange(1, 2).Draw(t, "limit")}
		}
	}
	return out
}

// TestApplyOfDiffYieldsVersion applies the changes between random versions. Diff must report ok
// exactly if Apply yields the version, which also needs versions that differ to have different
// hashes.
func TestApplyOfDiffYieldsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := &Config{}
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			next := drawVersion(t, config)
			change, ok := config.Diff(next)
			got := config.Apply(change)
			if same := sameConfig(got, next); ok != same {
				t.Fatalf("Diff reports %v, but Apply yields the version: %v\n%+v\n%+v", ok, same, got, next)
			}
			config = next
		}
	})
}

// sameConfig compares two versions field by field and takes nil and empty routes as equal.
func sameConfig(a, b *Config) bool {
	if len(a.Routes) == 0 && len(b.Routes) == 0 {
		return a.Version == b.Version && a.Limits == b.Limits && reflect.DeepEqual(a.Services, b.Services)
	}
	return a.Version == b.Version && a.Limits == b.Limits && reflect.DeepEqual(a.Services, b.Services) && reflect.DeepEqual(a.Routes, b.Routes)
}

// TestDiffWithRoutesInsertedAndRemoved inserts routes between those of a version, as happens when
// routes are sorted by name, and removes others.
func TestDiffWithRoutesInsertedAndRemoved(t *testing.T) {
	services := map[string]Service{"s": {Name: "s"}}
	before, after := &Config{Version: 1, Services: services}, &Config{Version: 2, Services: services}
	for i := range 500 {
		r := func() *Route { return &Route{Name: fmt.Sprintf("r%03d", i), Timeout: time.Second} }
		if i%100 != 50 {
			before.Routes = append(before.Routes, r())
		}
		if i/40 != 5 {
			after.Routes = append(after.Routes, r())
		}
	}
	change, ok := before.Diff(after)
	if !ok || len(change.New) != 5 || len(change.Routes) != 0 || len(change.GoneRoutes) != 40 {
		t.Errorf("ok %v, %d new, %d differ, %d gone", ok, len(change.New), len(change.Routes), len(change.GoneRoutes))
	}
	if got := before.Apply(change); got.Hash() != after.Hash() || !sameConfig(got, after) {
		t.Error("applying the change does not yield the version")
	}
}

// TestDiffHoldsOnlyWhatDiffers changes one of many routes and removes another one.
func TestDiffHoldsOnlyWhatDiffers(t *testing.T) {
	before := &Config{Version: 1, Services: map[string]Service{"s": {Name: "s"}, "t": {Name: "t"}}}
	for i := range 500 {
		before.Routes = append(before.Routes, &Route{Name: fmt.Sprint(i), Prefix: fmt.Sprintf("/%d/", i)})
	}
	after := before.Apply(&ConfigChange{Version: 2, Routes: []*Route{{Name: "7", Prefix: "/7/", Timeout: time.Second}}, GoneRoutes: []string{"9"}})
	change, ok := before.Diff(after)
	if !ok || len(change.Routes) != 1 || len(change.GoneRoutes) != 1 || len(change.Services) != 0 || len(change.GoneServices) != 0 {
		t.Errorf("ok %v, change %+v", ok, change)
	}
}
