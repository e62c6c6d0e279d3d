package budgeted

import (
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// fakeLatency has a median of 10 ms and 20 ms at every higher quantile.
type fakeLatency struct{}

func (fakeLatency) Quantile(q float64) time.Duration {
	if q <= 0.5 {
		return 10 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// noLatency has no samples.
type noLatency struct{}

func (noLatency) Quantile(float64) time.Duration { return 0 }

var settings = plugin.RepetitionConfig{HedgeBudget: 0.05, HedgeQuantile: 0.9, RetryBudget: 0.1}

func TestHedgeDelayGrowsAsBudgetEmpties(t *testing.T) {
	p := New(settings)
	empty, ok := p.HedgeAfter(fakeLatency{})
	if !ok || empty != 32*time.Millisecond {
		t.Fatalf("hedge after %v with an empty budget, want maxMedianMultiple medians", empty)
	}
	for range 10_000 {
		p.Deposit()
	}
	full, ok := p.HedgeAfter(fakeLatency{})
	if !ok || full != 20*time.Millisecond {
		t.Fatalf("hedge after %v with a full budget, want the configured quantile", full)
	}
}

func TestNoHedgeWithoutLatencyOrQuantile(t *testing.T) {
	if d, ok := New(settings).HedgeAfter(noLatency{}); ok {
		t.Fatalf("hedge after %v although no latency is known", d)
	}
	off := settings
	off.HedgeQuantile = 0
	if d, ok := New(off).HedgeAfter(fakeLatency{}); ok {
		t.Fatalf("hedge after %v although hedging is off", d)
	}
}

func TestNoHedgeAfterShedding(t *testing.T) {
	p := New(settings)
	for range 1000 {
		p.Deposit()
	}
	now := time.Unix(1000, 0)
	p.RecordShed(now)
	if p.TakeHedge(now.Add(shedPause - 1)) {
		t.Fatal("hedged shortly after a leaf shed")
	}
	if !p.TakeRetry(now) {
		t.Fatal("no retry although its budget is full")
	}
	if !p.TakeHedge(now.Add(shedPause)) {
		t.Fatal("no hedge after shedPause")
	}
}

func TestRetriesAreBudgeted(t *testing.T) {
	p := New(settings)
	retries := 0
	for p.TakeRetry(time.Time{}) { // a new retry budget is full
		retries++
	}
	if retries != 10 {
		t.Fatalf("%d retries from a new budget, want 10", retries)
	}
	retries = 0
	for range 1000 {
		p.Deposit()
		for p.TakeRetry(time.Time{}) {
			retries++
		}
	}
	if retries > 100 {
		t.Fatalf("%d retries of 1000 sub-requests, want at most 100", retries)
	}
}
