package statesync

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

var listStart = time.Unix(1000, 0)

// listedLeaf is a leaf of a list of the given size.
func listedLeaf(i int) catalog.Leaf {
	return catalog.Leaf{
		ID: fmt.Sprintf("i-%010x", i*7919), Service: fmt.Sprintf("service%03d", i/3), Address: fmt.Sprintf("10.1.%d.%d:8568", i/250, 1+i%250),
		Zone: "a", Slots: 2, Sequence: int64(i), Revision: uint64(1000 + i), StartMillis: 1_700_000_000_000 + int64(i),
	}
}

// catalogOf is a catalog that has read a list.
func catalogOf(revision uint64, leaves ...catalog.Leaf) *catalog.Catalog {
	c := catalog.New(catalog.Settings{})
	c.ApplyConfig(&catalog.Config{Version: 3, Routes: slices.Repeat([]*catalog.Route{{}}, 400)}, listStart, listStart)
	c.ApplyLeaves(catalog.Listing{Leaves: leaves, Revision: revision}, listStart, listStart)
	return c
}

// TestChangeOfOneLeafIsShort changes one of 400 leaves: who knew the list is received little,
// and who did not is received all, compressed.
func TestChangeOfOneLeafIsShort(t *testing.T) {
	var leaves []catalog.Leaf
	for i := range 400 {
		leaves = append(leaves, listedLeaf(i))
	}
	before, err := New(catalogOf(5, leaves...), nil, listStart)
	if err != nil {
		t.Fatal(err)
	}
	leaves[7].Draining = true
	for i := range leaves {
		leaves[i].Sequence++ // heartbeats are no change
	}
	after, err := New(catalogOf(6, leaves[:399]...), before, listStart)
	if err != nil {
		t.Fatal(err)
	}
	var known, unknown peerapi.SyncReply
	after.writeLeaves(before.hash, &known)
	after.writeLeaves(0, &unknown)
	if known.BaseLeavesHash != before.hash || len(known.Leaves) > 300 || len(known.RemovedLeaves) != 1 {
		t.Errorf("one changed and one gone leaf are received in %d bytes, base %x, gone %v", len(known.Leaves), known.BaseLeavesHash, known.RemovedLeaves)
	}
	if unknown.BaseLeavesHash != 0 || len(unknown.Leaves) > 20_000 {
		t.Errorf("the whole list takes %d bytes, base %x", len(unknown.Leaves), unknown.BaseLeavesHash)
	}
	if whole, err := after.config.whole(); err != nil || len(whole) > 8000 {
		t.Errorf("a configuration of 400 like routes takes %d bytes, error %v", len(whole), err)
	}
}

// TestReceivedListFollows changes a list at random and lets another instance ask now and
// then, also after it has lost what it was received: it has the list each time.
func TestReceivedListFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaves := map[int]catalog.Leaf{}
		var received receivedLeaves
		var state *State
		whole := 0
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				i := rapid.IntRange(0, 20).Draw(t, "leaf")
				l, ok := leaves[i]
				switch {
				case !ok:
					leaves[i] = listedLeaf(i)
				case rapid.Bool().Draw(t, "goes"):
					delete(leaves, i)
				default:
					l.Draining, l.StartMillis = !l.Draining, l.StartMillis+1
					leaves[i] = l
				}
			}
			var err error
			if state, err = New(catalogOf(uint64(step+1), slices.Collect(maps.Values(leaves))...), state, listStart); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "forgets") == 0 {
				received.forget()
			}
			if rapid.IntRange(0, 2).Draw(t, "asks") > 0 {
				continue
			}
			n := &peerapi.SyncReply{LeavesHash: state.hash, Revision: uint64(step + 1)}
			state.writeLeaves(received.hash, n)
			if n.BaseLeavesHash == 0 && n.Leaves != nil {
				whole++
			}
			list, differs, err := received.take(n, listStart)
			if err != nil || differs != (n.Leaves != nil) {
				t.Fatalf("differs %v, error %v", differs, err)
			}
			if differs && (len(list.Leaves) != len(leaves) || catalog.HashLeaves(list.Leaves) != state.hash) {
				t.Fatalf("has %d leaves, want %d", len(list.Leaves), len(leaves))
			}
		}
	})
}

// TestChangesOfAnotherList refuses changes of a list that this instance does not have, and
// a list that does not have the hash that was received.
func TestChangesOfAnotherList(t *testing.T) {
	state, err := New(catalogOf(1, listedLeaf(1)), nil, listStart)
	if err != nil {
		t.Fatal(err)
	}
	var received receivedLeaves
	n := peerapi.SyncReply{LeavesHash: state.hash, Leaves: state.leaves, BaseLeavesHash: 77}
	if _, _, err := received.take(&n, listStart); err == nil {
		t.Error("changes of an unknown list were taken")
	}
	n.BaseLeavesHash, n.LeavesHash = 0, 78
	if _, _, err := received.take(&n, listStart); err == nil {
		t.Error("a list with another hash was taken")
	}
}

// BenchmarkChangeOfOneLeaf takes what is received when one of 415 leaves has changed: 3.1 ms
// when all of them were decoded again and hashed by formatted text, 0.31 ms now.
func BenchmarkChangeOfOneLeaf(b *testing.B) {
	var leaves []catalog.Leaf
	for i := range 415 {
		leaves = append(leaves, listedLeaf(i))
	}
	first, err := New(catalogOf(1, leaves...), nil, listStart)
	if err != nil {
		b.Fatal(err)
	}
	leaves[7].Draining = true
	second, err := New(catalogOf(2, leaves...), first, listStart)
	if err != nil {
		b.Fatal(err)
	}
	all := peerapi.SyncReply{LeavesHash: first.hash}
	first.writeLeaves(0, &all)
	change := peerapi.SyncReply{LeavesHash: second.hash}
	second.writeLeaves(first.hash, &change)
	var base receivedLeaves
	if _, _, err := base.take(&all, listStart); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		received := base
		if _, _, err := received.take(&change, listStart); err != nil {
			b.Fatal(err)
		}
	}
}
