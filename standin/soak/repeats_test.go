package soak

import (
	"strings"
	"testing"
	"time"
)

// TestNearestApproachUsesGreatestOfThreeWindows has all requests in one of the windows that
// count, or in two of them.
func TestNearestApproachUsesGreatestOfThreeWindows(t *testing.T) {
	at := time.Unix(1000, 0)
	series := func(from time.Duration, n int) []time.Time {
		out := make([]time.Time, n)
		for i := range out {
			out[i] = at.Add(from + time.Duration(i)*time.Millisecond)
		}
		return out
	}
	for _, tc := range []struct {
		name     string
		requests []time.Time
		want     int
	}{
		{"in the window", series(0, 50), 50},
		{"in the window before", series(-repeatWindow, 50), 50},
		{"half a window before", series(-repeatWindow/2, 50), 50},
		{"two windows do not add up", append(series(-repeatWindow, 50), series(repeatWindow/2, 30)...), 50},
		{"older ones do not count", series(-2*repeatWindow, 50), 0},
	} {
		use := nearestApproach(series(0, 40), tc.requests)
		if want := 40 - ratio*float64(tc.want); use.Repeats != 40 || use.Slack < want-1e-9 {
			t.Errorf("%s: %d repeats and %.1f of the slack, want 40 and %.1f or more", tc.name, use.Repeats, use.Slack, want)
		}
	}
}

// TestRepeatsInWindowThatEndsWithOneAreSeen has repeats that only a window which begins before
// all of them holds with few requests.
func TestRepeatsInWindowThatEndsWithOneAreSeen(t *testing.T) {
	at := time.Unix(1000, 0)
	use := nearestApproach([]time.Time{at, at.Add(time.Second)}, []time.Time{at.Add(repeatWindow - time.Millisecond)})
	if use.Repeats != 2 || use.Requests != 0 {
		t.Errorf("%d repeats for %d requests, want 2 for 0", use.Repeats, use.Requests)
	}
}

// TestRequestsOfOldConfigurationCount leads a request to the sets of two versions while
// either may be in force.
func TestRequestsOfOldConfigurationCount(t *testing.T) {
	at := time.Unix(1000, 0)
	profile := profiles[defaultProfile]
	s := &site{profile: &profile, changed: []time.Time{at, at.Add(time.Minute)}, setOf: [][]string{{"s0x0"}, {"s1x0"}}}
	for _, tc := range []struct {
		after    time.Duration
		old, new bool
	}{{time.Second, true, false}, {time.Minute + time.Second, true, true}, {2 * time.Minute, false, true}} {
		o := &outcome{kind: kindSearch, sent: at.Add(tc.after)}
		if s.leadsTo(o, "s0x0") != tc.old || s.leadsTo(o, "s1x0") != tc.new {
			t.Errorf("after %v: leads to the old set %v, to the new one %v", tc.after, s.leadsTo(o, "s0x0"), s.leadsTo(o, "s1x0"))
		}
	}
}

// TestUnknownProfileAndFaultAreNamed gives names that do not exist.
func TestUnknownProfileAndFaultAreNamed(t *testing.T) {
	if _, err := (&Options{Profile: "calm"}).profile(); err == nil || !strings.Contains(err.Error(), `"calm"`) {
		t.Errorf("profile: %v", err)
	}
	p, err := (&Options{Faults: []string{"leaf stall", "rain"}}).profile()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.selectFaults(); err == nil || !strings.Contains(err.Error(), `"rain"`) {
		t.Errorf("faults: %v", err)
	}
}
