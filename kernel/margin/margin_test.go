package margin

import (
	"testing"
	"time"
)

const (
	objective    = 100 * time.Millisecond
	networkDelay = 8 * time.Millisecond
)

// TestMarginFollowsOwnDelay checks the margin of instances with different own delays.
func TestMarginFollowsOwnDelay(t *testing.T) {
	for _, tc := range []struct {
		name         string
		delays       []time.Duration // observed in turn, 50 times over
		lower, upper time.Duration
	}{
		{"no observation", nil, networkDelay, 20 * time.Millisecond},
		{"fast", []time.Duration{500 * time.Microsecond}, networkDelay, 10 * time.Millisecond},
		{"slow", []time.Duration{15 * time.Millisecond}, 20 * time.Millisecond, 26 * time.Millisecond},
		{"varying", []time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, 28 * time.Millisecond, 42 * time.Millisecond},
		{"longer than the objective", []time.Duration{200 * time.Millisecond}, 50 * time.Millisecond, 50 * time.Millisecond},
	} {
		var e DelayEstimator
		for range 50 {
			for _, d := range tc.delays {
				e.Observe(d)
			}
		}
		if got := ForObjective(objective, networkDelay, e.UpperBound(InitialOwnDelay)); got < tc.lower || got > tc.upper {
			t.Errorf("%s: due %v before the objective, want %v to %v", tc.name, got, tc.lower, tc.upper)
		}
	}
}

// TestMarginFallsWhenDelaysFall observes long delays and then short ones.
func TestMarginFallsWhenDelaysFall(t *testing.T) {
	var e DelayEstimator
	for range 20 {
		e.Observe(40 * time.Millisecond)
	}
	for range 60 {
		e.Observe(time.Millisecond)
	}
	if got := ForObjective(objective, networkDelay, e.UpperBound(InitialOwnDelay)); got > 12*time.Millisecond {
		t.Errorf("due %v before the objective after the delays have fallen", got)
	}
}

// TestNetworkDelay checks connections with and without a known round trip.
func TestNetworkDelay(t *testing.T) {
	for _, tc := range []struct {
		name          string
		roundTrip     time.Duration
		newConnection bool
		acceptDelay   time.Duration
		want          time.Duration
	}{
		{"unknown round trip", 0, true, time.Millisecond, DefaultNetworkDelay},
		{"kept-alive connection", 6 * time.Millisecond, false, time.Millisecond, 6*time.Millisecond + unmeasuredDelay},
		{"new connection", 6 * time.Millisecond, true, 3 * time.Millisecond, 15*time.Millisecond + unmeasuredDelay},
	} {
		if got := NetworkDelay(tc.roundTrip, tc.newConnection, tc.acceptDelay); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
