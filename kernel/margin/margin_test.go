package margin

import (
	"testing"
	"time"
)

// TestMarginFollowsTheDelay checks instances of different speed.
func TestMarginFollowsTheDelay(t *testing.T) {
	const objective = 100 * time.Millisecond
	for _, tc := range []struct {
		name         string
		late         []time.Duration // in turn, again and again
		least, mostB time.Duration
	}{
		{"nothing known", nil, transit, 20 * time.Millisecond},
		{"fast", []time.Duration{500 * time.Microsecond}, transit, 10 * time.Millisecond},
		{"slow", []time.Duration{15 * time.Millisecond}, 20 * time.Millisecond, 26 * time.Millisecond},
		{"uneven", []time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, 28 * time.Millisecond, 42 * time.Millisecond},
		{"hopeless", []time.Duration{200 * time.Millisecond}, 50 * time.Millisecond, 50 * time.Millisecond},
	} {
		var m Margin
		for range 50 {
			for _, d := range tc.late {
				m.Observe(d)
			}
		}
		if got := m.Before(objective); got < tc.least || got > tc.mostB {
			t.Errorf("%s: due %v before the objective, want %v to %v", tc.name, got, tc.least, tc.mostB)
		}
	}
}

// TestMarginRecovers lets an instance that was slow become fast.
func TestMarginRecovers(t *testing.T) {
	var m Margin
	for range 20 {
		m.Observe(40 * time.Millisecond)
	}
	for range 60 {
		m.Observe(time.Millisecond)
	}
	if got := m.Before(100 * time.Millisecond); got > 12*time.Millisecond {
		t.Errorf("due %v before the objective after it has become fast again", got)
	}
}
