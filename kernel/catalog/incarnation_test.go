package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// entryRead is a read of a list that holds one entry, that of leaf x.
type entryRead struct {
	at          time.Duration // of the read, after the start
	revision    uint64        // of the list and of the entry
	startMillis int64
	sequence    int64
	draining    bool
}

func (r entryRead) listing() Listing {
	return Listing{Revision: r.revision, Leaves: []Leaf{{
		ID: "x", Service: "a", Address: "10.0.0.1:1", Draining: r.draining, StartMillis: r.startMillis, Sequence: r.sequence, Revision: r.revision,
		WarmUpEnd: start.Add(r.at + 3*time.Second),
	}}}
}

func (r entryRead) apply(c *Catalog) { c.ApplyLeaves(r.listing(), start.Add(r.at), start.Add(r.at)) }

// TestRestartUnderSameID applies reads of one ID and checks which incarnation is active after
// them, and whether it gets new work.
func TestRestartUnderSameID(t *testing.T) {
	s := time.Second
	for _, tc := range []struct {
		name         string
		reads        []entryRead
		markDraining string // incarnation that signals its drain after the first read; empty: none
		want         string
		draining     bool
		warmUpEnd    time.Duration // 0: not checked
	}{
		{name: "drains, then restarts", reads: []entryRead{{0, 1, 100, 9, true}, {s, 2, 200, 1, false}}, want: "x@200", warmUpEnd: 4 * s},
		{name: "signals its drain, then restarts", reads: []entryRead{{0, 1, 100, 9, false}, {s, 2, 200, 1, false}}, markDraining: "x@100", want: "x@200"},
		{name: "does not stop draining without a restart", reads: []entryRead{{0, 1, 100, 9, true}, {s, 2, 100, 10, false}}, want: "x@100", draining: true, warmUpEnd: 3 * s},
		{name: "drain signal of the previous incarnation", reads: []entryRead{{0, 1, 200, 9, false}, {s, 2, 200, 10, false}}, markDraining: "x@100", want: "x@200"},
		{name: "no start time, the sequence went back", reads: []entryRead{{0, 1, 0, 9, false}, {s, 2, 0, 1, false}}, want: "x+1", warmUpEnd: 4 * s},
		{name: "no start time, drains, the sequence went back, before the TTL", reads: []entryRead{{0, 1, 0, 9, true}, {s, 2, 0, 1, false}, {3 * s, 3, 0, 2, false}}, want: "x", draining: true},
		{name: "no start time, drains, the sequence went back, after the TTL", reads: []entryRead{{0, 1, 0, 9, true}, {s, 2, 0, 1, false}, {4 * s, 3, 0, 3, false}}, want: "x+1", warmUpEnd: 7 * s},
		{name: "no start time, the sequence went back twice", reads: []entryRead{{0, 1, 0, 9, true}, {s, 2, 0, 5, true}, {2 * s, 3, 0, 1, false}, {5 * s, 4, 0, 3, false}}, want: "x+2"},
		{name: "no start time, delayed write of a leaf that drains", reads: []entryRead{{0, 1, 0, 8, false}, {s, 2, 0, 9, true}, {4 * s, 3, 0, 7, false}, {5 * s, 4, 0, 10, true}}, want: "x", draining: true},
		{name: "no start time, the sequence went on", reads: []entryRead{{0, 1, 0, 9, true}, {s, 2, 0, 10, false}}, want: "x", draining: true},
		{name: "restart of a program that states its start time", reads: []entryRead{{0, 1, 0, 9, true}, {s, 2, 50, 1, false}}, want: "x@50"},
		{name: "unchanged entry", reads: []entryRead{{0, 5, 200, 1, false}, {s, 5, 200, 1, false}}, want: "x@200"},
		{name: "delayed write of the old process", reads: []entryRead{{0, 1, 200, 3, false}, {s, 2, 100, 9, false}, {2 * s, 3, 200, 4, false}, {9 * s, 4, 200, 5, false}}, want: "x@200"},
		{name: "delayed write that drains stops new work", reads: []entryRead{{0, 1, 200, 3, false}, {s, 2, 100, 9, true}}, want: "x@200", draining: true},
		{name: "heartbeat after a delayed write that drains", reads: []entryRead{{0, 1, 200, 3, false}, {s, 2, 100, 9, true}, {2 * s, 3, 200, 4, false}}, want: "x@200"},
		{name: "clock went back at a restart, before the TTL", reads: []entryRead{{0, 1, 200, 9, true}, {s, 2, 100, 1, false}, {2 * s, 3, 100, 2, false}}, want: "x@200", draining: true},
		{name: "clock went back at a restart, after the TTL", reads: []entryRead{{0, 1, 200, 9, true}, {s, 2, 100, 1, false}, {4 * s, 3, 100, 2, false}}, want: "x@100"},
		{name: "clock went back at a restart and the new incarnation drains", reads: []entryRead{{0, 1, 200, 9, false}, {s, 2, 100, 1, true}, {4 * s, 3, 100, 2, true}}, want: "x@100", draining: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(testSettings)
			for i, r := range tc.reads {
				r.apply(c)
				if i == 0 && tc.markDraining != "" {
					c.MarkDraining(tc.markDraining)
				}
			}
			leaves := c.leavesByService()["a"]
			if len(leaves) != 1 || leaves[0].ID != tc.want || leaves[0].Name != "x" {
				t.Fatalf("active: %+v, want %s with the name x", leaves, tc.want)
			}
			if got := c.Draining(tc.want); got != tc.draining {
				t.Errorf("draining: %v, want %v", got, tc.draining)
			}
			if l, _ := c.activeLeaf("x"); tc.warmUpEnd != 0 && !l.WarmUpEnd.Equal(start.Add(tc.warmUpEnd)) {
				t.Errorf("warm-up ends at %v, want %v", l.WarmUpEnd.Sub(start), tc.warmUpEnd)
			}
		})
	}
}

// TestDoubtfulEntryIsAcceptedByUnchangedList activates an entry with an earlier start time
// through reads that find the list unchanged, as on instances that read from a peer.
func TestDoubtfulEntryIsAcceptedByUnchangedList(t *testing.T) {
	c := New(testSettings)
	entryRead{0, 1, 200, 9, true}.apply(c)
	entryRead{time.Second, 2, 100, 1, false}.apply(c)
	if c.ConfirmLeaves(0, 3, start.Add(2*time.Second), start.Add(2*time.Second)) || !c.Draining("x@200") {
		t.Error("the doubtful entry is active after a second")
	}
	if listed := c.ListedLeaves(); len(listed) != 1 || listed[0].StartMillis != 100 {
		t.Errorf("listed %+v, want the entry as it was read", listed)
	}
	if !c.ConfirmLeaves(0, 4, start.Add(4*time.Second), start.Add(4*time.Second)) || c.Draining("x@100") {
		t.Error("the doubtful entry is not active after its TTL")
	}
}

// TestDelayedWriteDoesNotEndDrain has a leaf without a start time write that it drains. An earlier
// heartbeat that the store carries out later is read until the next one.
func TestDelayedWriteDoesNotEndDrain(t *testing.T) {
	c := New(testSettings)
	entryRead{0, 1, 0, 8, false}.apply(c)
	entryRead{time.Second, 2, 0, 10, true}.apply(c)
	entryRead{5 * time.Second, 3, 0, 9, false}.apply(c)
	if !c.Draining("x") || c.Draining("x+1") {
		t.Error("the leaf gets work after a delayed write")
	}
	if listed := c.ListedLeaves(); len(listed) != 1 || listed[0].Restarts != 0 {
		t.Errorf("listed %+v, want the entry as it was read", listed)
	}
	if !c.ConfirmLeaves(0, 4, start.Add(8*time.Second), start.Add(8*time.Second)) || c.Draining("x+1") || c.byIncarnation["x+1"] == "" {
		t.Error("a restart is not active after the entry's TTL")
	}
}

// TestStaleEntryInNewerListIsIgnored applies a list of several pages that was read slowly: its
// revision is newer, but one of its entries was written before the one in the previous list.
func TestStaleEntryInNewerListIsIgnored(t *testing.T) {
	c := New(testSettings)
	entryRead{0, 5, 200, 1, true}.apply(c)
	old := entryRead{time.Second, 4, 100, 9, false}.listing()
	old.Revision = 6
	c.ApplyLeaves(old, start.Add(time.Second), start.Add(time.Second))
	if !c.Draining("x@200") {
		t.Error("an entry that was written earlier is active")
	}
}

// TestRestartDuringOutage lets the entry of a draining leaf lapse in an outage. The leaf that
// registers afterwards is another incarnation and must not drain.
func TestRestartDuringOutage(t *testing.T) {
	c := New(testSettings)
	entryRead{0, 1, 100, 9, true}.apply(c)
	storeUp := start.Add(8 * time.Second)
	c.RecordReadFailure(start.Add(time.Second))
	c.ApplyLeaves(Listing{Revision: 2}, storeUp, storeUp)
	if c.LeafCount() != 1 || !c.Draining("x@100") {
		t.Fatal("the leaf whose entry lapsed is not kept")
	}
	entryRead{9 * time.Second, 3, 200, 1, false}.apply(c)
	if c.Draining("x@200") || len(c.leavesByService()["a"]) != 1 {
		t.Error("the leaf that restarted during the outage drains like the previous incarnation")
	}
}

// TestBadEntryDropsLeaf overwrites the entry of an active leaf with an invalid one. The leaf
// must get no more work, not even after an outage, and must still be draining when it registers
// again.
func TestBadEntryDropsLeaf(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 8 * time.Second} {
		c := New(testSettings)
		entryRead{0, 1, 100, 9, true}.apply(c)
		at := start.Add(outage)
		c.RecordReadFailure(at.Add(-time.Millisecond))
		c.ApplyLeaves(Listing{Revision: 2, Bad: []BadEntry{{Name: "x"}}}, at, at)
		if c.LeafCount() != 0 {
			t.Errorf("outage of %v: the leaf of a bad entry is kept", outage)
		}
		entryRead{outage + time.Second, 3, 100, 10, false}.apply(c)
		if !c.Draining("x@100") {
			t.Errorf("outage of %v: a leaf stopped draining within one incarnation", outage)
		}
	}
}

// TestAnyOrderOfRestartsAndStaleReads runs, drains and restarts a leaf whose clock steps, with
// stale reads and delayed writes. In the end the leaf runs and sends heartbeats: it must be
// active, and draining if and only if it drains.
func TestAnyOrderOfRestartsAndStaleReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(testSettings)
		at, revision, clock := time.Duration(0), uint64(1), int64(10_000)
		current := entryRead{startMillis: clock}
		var written []entryRead
		write := func(r entryRead) {
			revision++
			r.revision, r.at = revision, at
			written = append(written, r)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				current.draining = true
			case 1:
				clock += int64(rapid.IntRange(-5000, 5000).Draw(t, "clock"))
				current = entryRead{startMillis: max(clock, 1)}
			case 2:
				if len(written) > 0 { // delayed write, maybe of a process that has ended
					write(written[rapid.IntRange(0, len(written)-1).Draw(t, "late")])
				}
			}
			current.sequence++
			write(current)
			r := written[rapid.IntRange(0, len(written)-1).Draw(t, "read")]
			c.ApplyLeaves(r.listing(), start.Add(at), start.Add(at))
		}
		for range 8 {
			at += 1200 * time.Millisecond
			current.sequence++
			write(current)
			written[len(written)-1].apply(c)
		}
		want := fmt.Sprintf("x@%d", current.startMillis)
		leaves := c.leavesByService()["a"]
		if len(leaves) != 1 || leaves[0].ID != want {
			t.Fatalf("active: %+v, want %s", leaves, want)
		}
		if got := c.Draining(want); got && !current.draining {
			drained := false // two incarnations may start in the same millisecond
			for _, w := range written {
				drained = drained || w.startMillis == current.startMillis && w.draining
			}
			if !drained {
				t.Error("a running leaf that does not drain gets no work")
			}
		} else if !got && current.draining {
			t.Error("a leaf that drains gets work")
		}
	})
}
