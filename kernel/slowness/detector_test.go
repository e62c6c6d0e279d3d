package slowness

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at is a time of the tests.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestSlowOrPaused tells a slow leaf from one that pauses for a moment.
func TestSlowOrPaused(t *testing.T) {
	slow := func(ms int) Observation {
		return Observation{Leaf: "x", Elapsed: 90 * time.Millisecond, Slow: true, At: at(ms)}
	}
	well := func(ms int) Observation { return Observation{Leaf: "x", Elapsed: 10 * time.Millisecond, At: at(ms)} }
	for _, tc := range []struct {
		name string
		seen []Observation
		now  int
		want bool
	}{
		{"once", []Observation{slow(0)}, 100, false},
		{"twice within one pause", []Observation{slow(0), slow(110)}, 120, false},
		{"twice, longer than a pause apart", []Observation{slow(0), slow(200)}, 210, true},
		{"in the other order", []Observation{slow(200), slow(0)}, 210, true},
		{"well in between", []Observation{slow(0), well(150), slow(300)}, 310, false},
		{"well afterwards", []Observation{slow(0), slow(200), well(300)}, 310, false},
		{"an old good reply afterwards", []Observation{slow(0), slow(200), well(100)}, 310, true},
		{"two pauses", []Observation{slow(0), slow(3000)}, 3010, false},
		{"long ago", []Observation{slow(0), slow(200)}, 2300, false},
	} {
		b := NewDetector()
		for _, s := range tc.seen {
			b.Add([]Observation{s}, s.At)
		}
		if got := len(b.SlowLeaves(at(tc.now))) == 1; got != tc.want {
			t.Errorf("%s: slow %v, want %v", tc.name, got, tc.want)
		}
	}
}
