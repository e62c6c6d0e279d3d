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
	slow := func(ms int) Sighting {
		return Sighting{Leaf: "x", Took: 90 * time.Millisecond, Slow: true, At: at(ms)}
	}
	well := func(ms int) Sighting { return Sighting{Leaf: "x", Took: 10 * time.Millisecond, At: at(ms)} }
	for _, tc := range []struct {
		name string
		seen []Sighting
		now  int
		want bool
	}{
		{"once", []Sighting{slow(0)}, 100, false},
		{"twice within one pause", []Sighting{slow(0), slow(110)}, 120, false},
		{"twice, longer than a pause apart", []Sighting{slow(0), slow(200)}, 210, true},
		{"in the other order", []Sighting{slow(200), slow(0)}, 210, true},
		{"well in between", []Sighting{slow(0), well(150), slow(300)}, 310, false},
		{"well afterwards", []Sighting{slow(0), slow(200), well(300)}, 310, false},
		{"an old good reply afterwards", []Sighting{slow(0), slow(200), well(100)}, 310, true},
		{"two pauses", []Sighting{slow(0), slow(3000)}, 3010, false},
		{"long ago", []Sighting{slow(0), slow(200)}, 2300, false},
	} {
		b := NewBoard()
		for _, s := range tc.seen {
			b.Add([]Sighting{s}, s.At)
		}
		if got := len(b.Slow(at(tc.now))) == 1; got != tc.want {
			t.Errorf("%s: slow %v, want %v", tc.name, got, tc.want)
		}
	}
}
