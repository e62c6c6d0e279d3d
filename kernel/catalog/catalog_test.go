package catalog

import (
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

var start = time.Unix(1000, 0)

// testSettings are the times of the tests.
var testSettings = Settings{
	EntryTTL: 2400 * time.Millisecond, ReregisterWithin: 2 * time.Second, DroppedSetRetention: 5 * time.Second,
	ConfigFreshFor: 2 * time.Second, DialCost: 6 * time.Millisecond,
	RepeatLimit: document.RepeatLimit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
}

// config returns a configuration whose one route asks the given shards.
func config(version uint64, shards ...string) *Config {
	return &Config{Version: version, Routes: []*Route{{
		Name: "search", Host: "a", Prefix: "/s/", Idempotent: true, Timeout: time.Second, Shards: shards, TopK: 5, LeastCoverage: 0.5,
	}}}
}

// TestVersionNeverGoesBack feeds older versions after a newer one.
func TestVersionNeverGoesBack(t *testing.T) {
	c := New(testSettings)
	for _, tc := range []struct{ read, want uint64 }{{7, 7}, {5, 7}, {7, 7}, {9, 9}, {8, 9}} {
		c.ApplyConfig(config(tc.read, "a"), start, start)
		if c.Version() != tc.want {
			t.Fatalf("after version %d: %d in force, want %d", tc.read, c.Version(), tc.want)
		}
	}
}

// TestOldListIsDropped shows an older list after one in which a leaf drained.
func TestOldListIsDropped(t *testing.T) {
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a", Draining: true}}, Revision: 20}, start, start)
	if c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}, Revision: 15}, start, start) {
		t.Error("an older list counted as news")
	}
	if !c.Draining("x") || c.LeafCount() != 1 {
		t.Error("an older list took a drain back")
	}
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a"}}, Revision: 21}, start, start)
	if !c.Draining("x") {
		t.Error("a drain was taken back within one incarnation")
	}
}

// TestOlderReadOfTheSameRevisionDoesNotAgeTheList takes a list again from a read that began
// earlier, as a peer sends it.
func TestOlderReadOfTheSameRevisionDoesNotAgeTheList(t *testing.T) {
	c := New(testSettings)
	list := Listing{Leaves: []Leaf{{ID: "x", Service: "a"}}, Revision: 20}
	c.ApplyLeaves(list, start, start)
	c.ApplyLeaves(list, start.Add(-3*time.Second), start)
	if at := c.LastReads().LeavesAt; !at.Equal(start) {
		t.Errorf("the list is of a read %v earlier than the one that showed it", start.Sub(at))
	}
}

// TestLapsedEntriesReturn plays an outage in which entries lapsed: they are kept
// for the time in which they may come back, and are gone after it.
func TestLapsedEntriesReturn(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	for _, tc := range []struct {
		name   string
		outage time.Duration
		kept   bool
	}{
		{"after an outage", 5 * time.Second, true},
		{"without one", time.Second, false},
	} {
		c := New(testSettings)
		c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
		back := start.Add(tc.outage)
		c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 2}, back, back)
		if got := c.LeafCount() == 2; got != tc.kept {
			t.Errorf("%s: missing entry kept: %v, want %v", tc.name, got, tc.kept)
		}
		late := back.Add(testSettings.ReregisterWithin)
		c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 3}, late, late)
		if c.LeafCount() != 1 {
			t.Errorf("%s: an entry that did not return is still there", tc.name)
		}
	}
}

// TestFirstListIsAChange takes an empty first list after the configuration: it is
// what the catalog still lacked.
func TestFirstListIsAChange(t *testing.T) {
	c := New(testSettings)
	c.ApplyConfig(config(1, "a"), start, start)
	if c.Ready() || !c.ApplyLeaves(Listing{Leaves: nil, Revision: 1}, start, start) || !c.Ready() {
		t.Error("an empty first list is no change, or the catalog is not ready after it")
	}
	if c.ApplyLeaves(Listing{Leaves: nil, Revision: 2}, start, start) {
		t.Error("the same list again is a change")
	}
}

// TestLeafThatLeavesAfterAnOutage plays an instance that the store turned away
// for a while: a leaf that it saw again, and that left then, gets nothing more.
func TestLeafThatLeavesAfterAnOutage(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
	back := start.Add(8 * time.Second)
	c.ApplyLeaves(Listing{Leaves: both, Revision: 2}, back, back)
	next := back.Add(time.Second)
	if !c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 3}, next, next) || c.LeafCount() != 1 {
		t.Error("a leaf that left after the outage is held as one that lapsed in it")
	}
}

// TestHeldLeavesAreNotTold checks that others are told the list as it was read.
func TestHeldLeavesAreNotTold(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
	back := start.Add(8 * time.Second)
	c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 2}, back, back)
	if c.LeafCount() != 2 || len(c.ListedLeaves()) != 1 {
		t.Errorf("%d leaves in force and %d told, want 2 and 1", c.LeafCount(), len(c.ListedLeaves()))
	}
	if !c.Expire(back.Add(testSettings.ReregisterWithin)) || c.LeafCount() != 1 {
		t.Error("the held leaf is still there after its time")
	}
}

// TestSetIsKeptForQueriesInFlight cuts the index into another set.
func TestSetIsKeptForQueriesInFlight(t *testing.T) {
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: nil, Revision: 1}, start, start)
	c.ApplyConfig(config(1, "a", "b"), start, start)
	c.ApplyConfig(config(2, "c", "d", "e"), start, start)
	if n := len(c.Document().Upstreams); n != 2 {
		t.Fatalf("%d upstreams after the change, want the new set and the old one", n)
	}
	if c.Expire(start.Add(4 * time.Second)) {
		t.Error("the old set was dropped while its queries may run")
	}
	if !c.Expire(start.Add(5*time.Second)) || len(c.Document().Upstreams) != 1 {
		t.Error("the old set is still there after its time")
	}
}

// TestDocument checks how routes, sets and leaves are joined.
func TestDocument(t *testing.T) {
	c := New(testSettings)
	cfg := config(3, "a", "b", "c")
	cfg.Services = map[string]Service{"a": {ConnectionLimit: 26}, "b": {ConnectionLimit: 20}, "c": {ConnectionLimit: 26}}
	cfg.Routes = append(cfg.Routes, &Route{
		Name: "file", Host: "a", Prefix: "/f/", Timeout: time.Second,
		Targets: []document.RouteTarget{{Service: "p", Weight: 3}, {Service: "q", Weight: 1}},
	})
	c.ApplyConfig(cfg, start, start)
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "z", Service: "b", Address: "10.0.0.1:1", Zone: "hall-a"}, {ID: "p1", Service: "p"}}, Revision: 1}, start, start)
	doc := c.Document()
	var set *document.Upstream
	for i := range doc.Upstreams {
		if doc.Upstreams[i].KeySpace == 3 {
			set = &doc.Upstreams[i]
		}
	}
	if set == nil || set.ConnectionLimit != 20 || set.Shards[1].Name != "b" || len(set.Shards[1].Leaves) != 1 || len(set.Shards[0].Leaves) != 0 {
		t.Fatalf("upstreams %+v, want a set of three shards with one leaf", doc.Upstreams)
	}
	if len(doc.Services) != 3 || doc.Services[1].Name != "file/p" || doc.Services[1].Idempotent || doc.Services[1].LeastCoverage != 1 {
		t.Errorf("services %+v, want one for the set and one for each part of the split", doc.Services)
	}
	if len(doc.Routes) != 2 || len(doc.Routes[1].Targets) != 2 || doc.Routes[1].Targets[0].Weight != 3 {
		t.Errorf("routes %+v", doc.Routes)
	}
}
