package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reading is one list with one entry of the leaf x.
type reading struct {
	at       time.Duration // of the read, after the start
	revision uint64        // of the list and of the entry
	born     int64
	sequence int64
	draining bool
}

// list is the listing of a reading.
func (r reading) list() Listing {
	return Listing{Revision: r.revision, Leaves: []Leaf{{
		ID: "x", Service: "a", Address: "10.0.0.1:1", Draining: r.draining, StartMillis: r.born, Sequence: r.sequence, Revision: r.revision,
		WarmUpEnd: start.Add(r.at + 3*time.Second),
	}}}
}

// read feeds a reading to the catalog.
func (r reading) read(c *Catalog) { c.ApplyLeaves(r.list(), start.Add(r.at), start.Add(r.at)) }

// TestLeafStartsAgainUnderItsID plays readings of one ID and checks which start is in
// force after them, and whether it gets new work.
func TestLeafStartsAgainUnderItsID(t *testing.T) {
	s := time.Second
	for _, tc := range []struct {
		name     string
		readings []reading
		gone     string // an incarnation that shows, after the first reading, that it leaves
		want     string
		draining bool
		warmAt   time.Duration // 0: not looked at
	}{
		{name: "drains, then starts again", readings: []reading{{0, 1, 100, 9, true}, {s, 2, 200, 1, false}}, want: "x@200", warmAt: 4 * s},
		{name: "showed itself that it leaves, then starts again", readings: []reading{{0, 1, 100, 9, false}, {s, 2, 200, 1, false}}, gone: "x@100", want: "x@200"},
		{name: "the same start does not take its drain back", readings: []reading{{0, 1, 100, 9, true}, {s, 2, 100, 10, false}}, want: "x@100", draining: true, warmAt: 3 * s},
		{name: "a sign of the start before counts for nothing", readings: []reading{{0, 1, 200, 9, false}, {s, 2, 200, 10, false}}, gone: "x@100", want: "x@200"},
		{name: "no birth, the sequence went back", readings: []reading{{0, 1, 0, 9, true}, {s, 2, 0, 1, false}}, want: "x+1", warmAt: 4 * s},
		{name: "no birth, twice", readings: []reading{{0, 1, 0, 9, true}, {s, 2, 0, 5, true}, {2 * s, 3, 0, 1, false}}, want: "x+2"},
		{name: "no birth, the sequence went on", readings: []reading{{0, 1, 0, 9, true}, {s, 2, 0, 10, false}}, want: "x", draining: true},
		{name: "states its birth from now on", readings: []reading{{0, 1, 0, 9, true}, {s, 2, 50, 1, false}}, want: "x@50"},
		{name: "an older entry in a newer list", readings: []reading{{0, 5, 200, 1, false}, {s, 5, 200, 1, false}}, want: "x@200"},
		{name: "a late write of the old process", readings: []reading{{0, 1, 200, 3, false}, {s, 2, 100, 9, false}, {2 * s, 3, 200, 4, false}, {9 * s, 4, 200, 5, false}}, want: "x@200"},
		{name: "a late write that drains stops new work", readings: []reading{{0, 1, 200, 3, false}, {s, 2, 100, 9, true}}, want: "x@200", draining: true},
		{name: "and the next heartbeat brings it back", readings: []reading{{0, 1, 200, 3, false}, {s, 2, 100, 9, true}, {2 * s, 3, 200, 4, false}}, want: "x@200"},
		{name: "a clock that went back between two starts, at once", readings: []reading{{0, 1, 200, 9, true}, {s, 2, 100, 1, false}, {2 * s, 3, 100, 2, false}}, want: "x@200", draining: true},
		{name: "a clock that went back between two starts, later", readings: []reading{{0, 1, 200, 9, true}, {s, 2, 100, 1, false}, {4 * s, 3, 100, 2, false}}, want: "x@100"},
		{name: "no new work after a drain with a clock that went back", readings: []reading{{0, 1, 200, 9, false}, {s, 2, 100, 1, true}, {4 * s, 3, 100, 2, true}}, want: "x@100", draining: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(testSettings)
			for i, r := range tc.readings {
				r.read(c)
				if i == 0 && tc.gone != "" {
					c.MarkDraining(tc.gone)
				}
			}
			leaves := c.byService()["a"]
			if len(leaves) != 1 || leaves[0].ID != tc.want || leaves[0].Name != "x" {
				t.Fatalf("in force: %+v, want %s called x", leaves, tc.want)
			}
			if got := c.Draining(tc.want); got != tc.draining {
				t.Errorf("draining: %v, want %v", got, tc.draining)
			}
			if l, _ := c.known("x"); tc.warmAt != 0 && !l.WarmUpEnd.Equal(start.Add(tc.warmAt)) {
				t.Errorf("warm at %v, want %v", l.WarmUpEnd.Sub(start), tc.warmAt)
			}
		})
	}
}

// TestDoubtEndsWithoutANewList settles an earlier birth by reads that find the list
// unchanged, as instances do that ask another one.
func TestDoubtEndsWithoutANewList(t *testing.T) {
	c := New(testSettings)
	reading{0, 1, 200, 9, true}.read(c)
	reading{time.Second, 2, 100, 1, false}.read(c)
	if c.ConfirmLeaves(3, start.Add(2*time.Second)) || !c.Draining("x@200") {
		t.Error("the doubtful entry is in force after a second")
	}
	if told := c.ListedLeaves(); len(told) != 1 || told[0].StartMillis != 100 {
		t.Errorf("told %+v, want the entry as it was read", told)
	}
	if !c.ConfirmLeaves(4, start.Add(4*time.Second)) || c.Draining("x@100") {
		t.Error("the entry that stood is not in force")
	}
}

// TestStaleEntryInANewerList plays a list of several pages that was read slowly: its
// later revision does not make an old entry new.
func TestStaleEntryInANewerList(t *testing.T) {
	c := New(testSettings)
	reading{0, 5, 200, 1, true}.read(c)
	old := reading{time.Second, 4, 100, 9, false}.list()
	old.Revision = 6
	c.ApplyLeaves(old, start.Add(time.Second), start.Add(time.Second))
	if !c.Draining("x@200") {
		t.Error("an entry that was written earlier is in force")
	}
}

// TestStartInAnOutage lets an entry lapse in an outage: the leaf that is held for it
// is not the one that comes back.
func TestStartInAnOutage(t *testing.T) {
	c := New(testSettings)
	reading{0, 1, 100, 9, true}.read(c)
	back := start.Add(8 * time.Second)
	c.ApplyLeaves(Listing{Revision: 2}, back, back)
	if c.LeafCount() != 1 || !c.Draining("x@100") {
		t.Fatal("the lapsed entry is not held")
	}
	reading{9 * time.Second, 3, 200, 1, false}.read(c)
	if c.Draining("x@200") || len(c.byService()["a"]) != 1 {
		t.Error("the leaf that started in the outage drains like the one before")
	}
}

// TestBadEntryOfAKnownLeaf overwrites the entry of a leaf in force: the leaf gets no
// more work, not even after an outage, and a drain is remembered until it comes back.
func TestBadEntryOfAKnownLeaf(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 8 * time.Second} {
		c := New(testSettings)
		reading{0, 1, 100, 9, true}.read(c)
		at := start.Add(outage)
		c.ApplyLeaves(Listing{Revision: 2, Bad: []BadEntry{{Name: "x"}}}, at, at)
		if c.LeafCount() != 0 {
			t.Errorf("outage of %v: the leaf of a bad entry is held", outage)
		}
		reading{outage + time.Second, 3, 100, 10, false}.read(c)
		if !c.Draining("x@100") {
			t.Errorf("outage of %v: a drain was taken back within one start", outage)
		}
	}
}

// TestStartsProperty plays a leaf that lives, drains and starts again, with a clock
// that steps, reads that may be old and writes that come late. At the end it lives and
// heartbeats: it must be in force, and draining if and only if it drains.
func TestStartsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(testSettings)
		at, revision, clock := time.Duration(0), uint64(1), int64(10_000)
		now := reading{born: clock}
		var written []reading
		write := func(r reading) {
			revision++
			r.revision, r.at = revision, at
			written = append(written, r)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				now.draining = true
			case 1:
				clock += int64(rapid.IntRange(-5000, 5000).Draw(t, "clock"))
				now = reading{born: max(clock, 1)}
			case 2:
				if len(written) > 0 { // of a process that may be gone
					write(written[rapid.IntRange(0, len(written)-1).Draw(t, "late")])
				}
			}
			now.sequence++
			write(now)
			r := written[rapid.IntRange(0, len(written)-1).Draw(t, "read")]
			c.ApplyLeaves(r.list(), start.Add(at), start.Add(at))
		}
		for range 8 {
			at += 1200 * time.Millisecond
			now.sequence++
			write(now)
			written[len(written)-1].read(c)
		}
		want := fmt.Sprintf("x@%d", now.born)
		leaves := c.byService()["a"]
		if len(leaves) != 1 || leaves[0].ID != want {
			t.Fatalf("in force: %+v, want %s", leaves, want)
		}
		if got := c.Draining(want); got && !now.draining {
			drained := false // the same millisecond may be the birth of two starts
			for _, w := range written {
				drained = drained || w.born == now.born && w.draining
			}
			if !drained {
				t.Error("a leaf that lives and does not drain gets no work")
			}
		} else if !got && now.draining {
			t.Error("a leaf that drains gets work")
		}
	})
}
