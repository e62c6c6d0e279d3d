package margin

import (
	"testing"
	"time"
)

const (
	objective = 100 * time.Millisecond
	way       = 8 * time.Millisecond
)

// TestMarginFollowsTheDelay checks instances of different speed.
func TestMarginFollowsTheDelay(t *testing.T) {
	for _, tc := range []struct {
		name         string
		late         []time.Duration // in turn, again and again
		least, mostB time.Duration
	}{
		{"nothing known", nil, way, 20 * time.Millisecond},
		{"fast", []time.Duration{500 * time.Microsecond}, way, 10 * time.Millisecond},
		{"slow", []time.Duration{15 * time.Millisecond}, 20 * time.Millisecond, 26 * time.Millisecond},
		{"uneven", []time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, 28 * time.Millisecond, 42 * time.Millisecond},
		{"hopeless", []time.Duration{200 * time.Millisecond}, 50 * time.Millisecond, 50 * time.Millisecond},
	} {
		var e DelayEstimator
		for range 50 {
			for _, d := range tc.late {
				e.Observe(d)
			}
		}
		if got := ForObjective(objective, way, e.UpperBound(InitialOwnDelay)); got < tc.least || got > tc.mostB {
			t.Errorf("%s: due %v before the objective, want %v to %v", tc.name, got, tc.least, tc.mostB)
		}
	}
}

// TestMarginRecovers lets an instance that was slow become fast.
func TestMarginRecovers(t *testing.T) {
	var e DelayEstimator
	for range 20 {
		e.Observe(40 * time.Millisecond)
	}
	for range 60 {
		e.Observe(time.Millisecond)
	}
	if got := ForObjective(objective, way, e.UpperBound(InitialOwnDelay)); got > 12*time.Millisecond {
		t.Errorf("due %v before the objective after it has become fast again", got)
	}
}

// TestWay checks what connections tell of the way to a caller.
func TestWay(t *testing.T) {
	for _, tc := range []struct {
		name      string
		roundTrip time.Duration
		opened    bool
		taken     time.Duration
		want      time.Duration
	}{
		{"not known", 0, true, time.Millisecond, DefaultNetworkDelay},
		{"kept", 6 * time.Millisecond, false, time.Millisecond, 6*time.Millisecond + unseen},
		{"new", 6 * time.Millisecond, true, 3 * time.Millisecond, 15*time.Millisecond + unseen},
	} {
		if got := NetworkDelay(tc.roundTrip, tc.opened, tc.taken); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
