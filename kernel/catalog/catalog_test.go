package catalog

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

var start = time.Unix(1000, 0)

var testSettings = Settings{
	FreshnessBound: 5 * time.Second, EntryTTL: 2400 * time.Millisecond, ReregisterWithin: 2 * time.Second, DroppedSetRetention: 5 * time.Second,
	ConfigFreshFor: 2 * time.Second, DialCost: 6 * time.Millisecond,
	RepeatLimit: document.RepeatLimit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
}

// shardedConfig returns a configuration whose one route queries the given shards.
func shardedConfig(version uint64, shards ...string) *Config {
	return &Config{Version: version, Routes: []*Route{{
		Name: "search", Host: "a", Prefix: "/s/", Idempotent: true, Timeout: time.Second, Shards: shards, TopK: 5, LeastCoverage: 0.5,
	}}}
}

// TestOlderConfigVersionIsIgnored applies older versions after a newer one.
func TestOlderConfigVersionIsIgnored(t *testing.T) {
	c := New(testSettings)
	for _, tc := range []struct{ read, want uint64 }{{7, 7}, {5, 7}, {7, 7}, {9, 9}, {8, 9}} {
		c.ApplyConfig(shardedConfig(tc.read, "a"), start, start)
		if c.Version() != tc.want {
			t.Fatalf("after version %d: %d in force, want %d", tc.read, c.Version(), tc.want)
		}
	}
}

// TestOlderListIsIgnored applies an older list after one in which a leaf drains.
func TestOlderListIsIgnored(t *testing.T) {
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a", Draining: true}}, Revision: 20}, start, start)
	if c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}, Revision: 15}, start, start) {
		t.Error("an older list counted as a change")
	}
	if !c.Draining("x") || c.LeafCount() != 1 {
		t.Error("an older list ended the drain of a leaf")
	}
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a"}}, Revision: 21}, start, start)
	if !c.Draining("x") {
		t.Error("a leaf stopped draining within one incarnation")
	}
}

// TestOlderReadOfSameRevisionKeepsReadTime applies a list a second time, from a read that began
// earlier, as a peer may send it.
func TestOlderReadOfSameRevisionKeepsReadTime(t *testing.T) {
	c := New(testSettings)
	list := Listing{Leaves: []Leaf{{ID: "x", Service: "a"}}, Revision: 20}
	c.ApplyLeaves(list, start, start)
	c.ApplyLeaves(list, start.Add(-3*time.Second), start)
	if at := c.LastReads().LeavesAt; !at.Equal(start) {
		t.Errorf("the read time of the list went back by %v", start.Sub(at))
	}
}

// TestLapsedLeavesAreKeptAfterOutage checks that a leaf whose entry lapsed in an outage is
// kept for the time in which it may register again, and dropped after that time.
func TestLapsedLeavesAreKeptAfterOutage(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	for _, tc := range []struct {
		name   string
		outage time.Duration // during which a read failed
		kept   bool
	}{
		{"after an outage", 5 * time.Second, true},
		{"after an outage of an hour", time.Hour, true},
		{"without an outage", time.Second, false},
	} {
		c := New(testSettings)
		c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
		storeUp := start.Add(tc.outage)
		c.RecordReadFailure(storeUp.Add(-time.Millisecond))
		c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 2}, storeUp, storeUp)
		if got := c.LeafCount() == 2; got != tc.kept {
			t.Errorf("%s: missing entry kept: %v, want %v", tc.name, got, tc.kept)
		}
		late := storeUp.Add(testSettings.ReregisterWithin)
		c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 3}, late, late)
		if c.LeafCount() != 1 {
			t.Errorf("%s: a leaf that did not register again is still active", tc.name)
		}
	}
}

// TestMissingLeafIsOutOfUseWithinBoundWithoutOutage has no read fail between two lists: a leaf that
// the second one lacks may have left right after the first one.
func TestMissingLeafIsOutOfUseWithinBoundWithoutOutage(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for _, tc := range []struct {
		name     string
		failedAt time.Time
		// lists are the times of the lists that lack the leaf.
		lists []time.Duration
		// usedUntil is until when the leaf is in use.
		usedUntil time.Duration
	}{
		{"short gap", time.Time{}, []time.Duration{2 * time.Second}, 2 * time.Second},
		{"gap as long as entries live", time.Time{}, []time.Duration{2500 * time.Millisecond}, 4 * time.Second},
		{"gap longer than the bound", time.Time{}, []time.Duration{20 * time.Second}, 20 * time.Second},
		{"two gaps", time.Time{}, []time.Duration{2500 * time.Millisecond, 5 * time.Second}, 4 * time.Second},
		{"read that failed before the first list", start.Add(-time.Second), []time.Duration{20 * time.Second}, 20 * time.Second},
		{"read that failed in the gap", start.Add(3 * time.Second), []time.Duration{4 * time.Second}, 6 * time.Second},
	} {
		c := New(testSettings)
		c.RecordReadFailure(tc.failedAt)
		c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
		inUse := func(at time.Time) bool { c.Expire(at); return c.LeafCount() == 2 }
		for i, d := range tc.lists {
			if before := after(d - time.Nanosecond); inUse(before) != (d <= tc.usedUntil) {
				t.Errorf("%s: in use %v: %v", tc.name, d, c.LeafCount() == 2)
			}
			c.ApplyLeaves(Listing{Leaves: both[:1], Revision: uint64(i + 2)}, after(d), after(d))
		}
		last := tc.lists[len(tc.lists)-1]
		if last < tc.usedUntil && !inUse(after(tc.usedUntil-time.Nanosecond)) {
			t.Errorf("%s: not in use before %v", tc.name, tc.usedUntil)
		}
		if inUse(after(max(tc.usedUntil, last))) {
			t.Errorf("%s: still in use at %v", tc.name, tc.usedUntil)
		}
	}
}

// TestEmptyFirstListIsAChange applies an empty first list after the configuration. The list
// must count as a change because it makes the catalog ready.
func TestEmptyFirstListIsAChange(t *testing.T) {
	c := New(testSettings)
	c.ApplyConfig(shardedConfig(1, "a"), start, start)
	if c.Ready() || !c.ApplyLeaves(Listing{Leaves: nil, Revision: 1}, start, start) || !c.Ready() {
		t.Error("an empty first list is not a change, or the catalog is not ready after it")
	}
	if c.ApplyLeaves(Listing{Leaves: nil, Revision: 2}, start, start) {
		t.Error("the same list again is a change")
	}
}

// TestLeafRemovedAfterOutageIsNotKept checks that a leaf which the first list after an outage
// contains and the next one lacks gets no new work.
func TestLeafRemovedAfterOutageIsNotKept(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
	storeUp := start.Add(8 * time.Second)
	c.RecordReadFailure(start.Add(time.Second))
	c.ApplyLeaves(Listing{Leaves: both, Revision: 2}, storeUp, storeUp)
	next := storeUp.Add(time.Second)
	if !c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 3}, next, next) || c.LeafCount() != 1 {
		t.Error("a leaf that was removed after the outage is kept as if its entry had lapsed in it")
	}
}

// TestLapsedLeavesAreNotListed checks that ListedLeaves returns the list as it was read.
func TestLapsedLeavesAreNotListed(t *testing.T) {
	both := []Leaf{{ID: "x", Service: "a"}, {ID: "y", Service: "a"}}
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: both, Revision: 1}, start, start)
	storeUp := start.Add(8 * time.Second)
	c.RecordReadFailure(start.Add(time.Second))
	c.ApplyLeaves(Listing{Leaves: both[:1], Revision: 2}, storeUp, storeUp)
	if c.LeafCount() != 2 || len(c.ListedLeaves()) != 1 {
		t.Errorf("%d leaves active and %d listed, want 2 and 1", c.LeafCount(), len(c.ListedLeaves()))
	}
	if !c.Expire(storeUp.Add(testSettings.ReregisterWithin)) || c.LeafCount() != 1 {
		t.Error("the lapsed leaf is still active after its time to register again")
	}
}

// TestDroppedSetIsRetainedForQueriesInFlight replaces a set of shards by another one.
func TestDroppedSetIsRetainedForQueriesInFlight(t *testing.T) {
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: nil, Revision: 1}, start, start)
	c.ApplyConfig(shardedConfig(1, "a", "b"), start, start)
	c.ApplyConfig(shardedConfig(2, "c", "d", "e"), start, start)
	if n := len(c.Document().Upstreams); n != 2 {
		t.Fatalf("%d upstreams after the change, want the new set and the old one", n)
	}
	if c.Expire(start.Add(4 * time.Second)) {
		t.Error("the old set was removed while its queries may still run")
	}
	if !c.Expire(start.Add(5*time.Second)) || len(c.Document().Upstreams) != 1 {
		t.Error("the old set is still there after its retention")
	}
}

func TestDocumentJoinsRoutesSetsAndLeaves(t *testing.T) {
	c := New(testSettings)
	cfg := shardedConfig(3, "a", "b", "c")
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

// TestDeparturesNameTheLeavesThatLeft drains and removes leaves: each is named once, by the list that
// shows its departure.
func TestDeparturesNameTheLeavesThatLeft(t *testing.T) {
	leaf := func(id string, draining bool) Leaf { return Leaf{ID: id, Service: "a", Draining: draining} }
	c := New(testSettings)
	for i, tc := range []struct {
		list             []Leaf
		drained, removed []string
	}{
		{list: []Leaf{leaf("x", false), leaf("y", false), leaf("z", true)}},
		{list: []Leaf{leaf("x", true), leaf("z", true)}, drained: []string{"x"}, removed: []string{"y"}},
		{list: []Leaf{leaf("x", true)}, removed: []string{"z"}},
		{list: []Leaf{leaf("x", true)}},
	} {
		at := start.Add(time.Duration(i) * time.Second)
		c.ApplyLeaves(Listing{Leaves: tc.list, Revision: uint64(i)}, at, at)
		if d := c.Departures(); !slices.Equal(d.Drained, tc.drained) || !slices.Equal(d.Removed, tc.removed) {
			t.Errorf("list %d: %+v, want %v drained and %v removed", i, d, tc.drained, tc.removed)
		}
	}
}
