package catalog

import (
	"slices"
	"testing"
	"time"
)

// TestDrainMarkWithLowerRevisionAfterRestoreIsSeen restores the store from an older copy: a leaf that
// drains then has a lower revision than before.
func TestDrainMarkWithLowerRevisionAfterRestoreIsSeen(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries []Leaf // of x, in the lists after the restore
		want    bool
	}{
		{"drains after it", []Leaf{{Revision: 30, Sequence: 20}, {Revision: 65, Sequence: 50, Draining: true}}, true},
		{"drains at once", []Leaf{{Revision: 61, Sequence: 45, Draining: true}}, true},
		{"drain mark written again", []Leaf{{Revision: 30, Sequence: 20}, {Revision: 62, Sequence: 41, Draining: true}}, true},
		{"runs on", []Leaf{{Revision: 30, Sequence: 20}, {Revision: 64, Sequence: 50}}, false},
	} {
		c := New(testSettings)
		c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a", Revision: 90, Sequence: 40}}, Era: 1, Revision: 100}, start, start)
		for i, entry := range tc.entries {
			at := start.Add(time.Duration(i+1) * time.Second)
			entry.ID, entry.Service = "x", "a"
			c.ApplyLeaves(Listing{Leaves: []Leaf{entry}, Era: 2, Revision: uint64(60 + 10*i)}, at, at)
			if at != c.LastReads().LeavesAt {
				t.Errorf("%s: list %d after the restore was ignored", tc.name, i)
			}
		}
		if got := c.Draining("x"); got != tc.want || c.LeafCount() != 1 {
			t.Errorf("%s: draining %v of %d leaves, want %v of 1", tc.name, got, c.LeafCount(), tc.want)
		}
	}
}

// TestDrainIsKeptWhenRestoreLosesItsMark drains a leaf shortly before the store is restored from a copy
// in which the leaf is ready.
func TestDrainIsKeptWhenRestoreLosesItsMark(t *testing.T) {
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a", Revision: 90, Sequence: 40, Draining: true}}, Era: 1, Revision: 100}, start, start)
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a", Revision: 30, Sequence: 20}}, Era: 2, Revision: 60}, start.Add(time.Second), start.Add(time.Second))
	if !c.Draining("x") {
		t.Error("the leaf gets work again")
	}
}

// TestRestoreTakesNoLeafForGoneOrBack restores the store from a copy that lacks a leaf which has started
// since and has one that had been removed since.
func TestRestoreTakesNoLeafForGoneOrBack(t *testing.T) {
	c := New(testSettings)
	at := start
	apply := func(era, revision uint64, after time.Duration, ids ...string) {
		at = at.Add(after)
		var leaves []Leaf
		for _, id := range ids {
			leaves = append(leaves, Leaf{ID: id, Service: "a", Revision: revision, Sequence: 1})
		}
		c.ApplyLeaves(Listing{Leaves: leaves, Era: era, Revision: revision}, at, at)
		c.Expire(at)
	}
	active := func() []string {
		var out []string
		for _, l := range sortByID(c.activeLeaves()) {
			out = append(out, l.ID)
		}
		return out
	}
	apply(1, 100, 0, "removed", "stays")
	apply(1, 110, time.Second, "new", "stays")
	apply(2, 100, time.Second, "removed", "stays")
	if got := active(); !slices.Equal(got, []string{"new", "stays"}) {
		t.Errorf("after the restore %v", got)
	}
	apply(2, 101, time.Second, "new", "removed", "stays")
	apply(2, 102, time.Second, "new", "stays")
	if got := active(); !slices.Equal(got, []string{"new", "stays"}) {
		t.Errorf("after all had written again %v", got)
	}
	apply(2, 103, testSettings.FreshnessBound, "new", "removed", "stays")
	if got := active(); !slices.Equal(got, []string{"new", "removed", "stays"}) {
		t.Errorf("a leaf that came back later: %v", got)
	}
}

// TestListOfEarlierEraIsIgnored applies the list of a peer that has not read the restored store yet.
func TestListOfEarlierEraIsIgnored(t *testing.T) {
	c := New(testSettings)
	c.ApplyLeaves(Listing{Leaves: []Leaf{{ID: "x", Service: "a"}}, Era: 2, Revision: 60}, start, start)
	later := start.Add(time.Second)
	if c.ApplyLeaves(Listing{Era: 1, Revision: 100}, later, later) || c.ConfirmLeaves(1, 100, later, later) || !c.LastReads().LeavesAt.Equal(start) {
		t.Error("a list of an earlier era was applied")
	}
}
