package slowness

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns the time the given number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestSlowLeafIsToldFromPause checks that a brief pause does not make a leaf slow.
func TestSlowLeafIsToldFromPause(t *testing.T) {
	slow := func(ms int) Observation {
		return Observation{Leaf: "x", Elapsed: 90 * time.Millisecond, Slow: true, At: at(ms)}
	}
	fast := func(ms int) Observation { return Observation{Leaf: "x", Elapsed: 10 * time.Millisecond, At: at(ms)} }
	for _, tc := range []struct {
		name         string
		observations []Observation
		now          int
		want         bool
	}{
		{"once", []Observation{slow(0)}, 100, false},
		{"twice within one pause", []Observation{slow(0), slow(110)}, 120, false},
		{"twice, longer than a pause apart", []Observation{slow(0), slow(200)}, 210, true},
		{"in the other order", []Observation{slow(200), slow(0)}, 210, true},
		{"fast in between", []Observation{slow(0), fast(150), slow(300)}, 310, false},
		{"fast afterwards", []Observation{slow(0), slow(200), fast(300)}, 310, false},
		{"an older fast reply that arrives last", []Observation{slow(0), slow(200), fast(100)}, 310, true},
		{"two pauses", []Observation{slow(0), slow(3000)}, 3010, false},
		{"expired", []Observation{slow(0), slow(200)}, 2300, false},
	} {
		d := NewDetector()
		for _, o := range tc.observations {
			d.Add([]Observation{o}, o.At)
		}
		if got := len(d.SlowLeaves(at(tc.now))) == 1; got != tc.want {
			t.Errorf("%s: slow %v, want %v", tc.name, got, tc.want)
		}
	}
}
