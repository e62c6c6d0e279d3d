package adaptivelimit

import (
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

var start = time.Unix(1000, 0)

// feedReplies records n saturated replies that waited and were served for the given times.
func feedReplies(p plugin.Limit, n int, wait, service time.Duration) {
	for i := range n {
		at := start.Add(time.Duration(i) * time.Millisecond)
		p.RecordResult(plugin.AttemptResult{OK: true, Latency: wait + service, Service: service, Saturated: true}, at)
	}
}

// newLimit returns a policy with the given share.
func newLimit(share int) plugin.Limit {
	p := New()
	p.SetShare(share)
	return p
}

func TestLimitFollowsWaitInsideLeaf(t *testing.T) {
	p := newLimit(8)
	if p.Limit() != 8 {
		t.Fatalf("starts at %d, want the share 8", p.Limit())
	}
	feedReplies(p, 1, time.Millisecond, 10*time.Millisecond) // the minimum outside the slot: network only
	feedReplies(p, 300, 200*time.Millisecond, 10*time.Millisecond)
	if p.Limit() != 1 {
		t.Fatalf("limit %d after long waits inside the leaf, want 1", p.Limit())
	}
	feedReplies(p, 300, time.Millisecond, 10*time.Millisecond)
	if p.Limit() != 8 {
		t.Fatalf("limit %d after the waits are gone, want the share 8", p.Limit())
	}
}

func TestLimitDoesNotGrowWithoutSaturation(t *testing.T) {
	p := newLimit(8)
	feedReplies(p, 1, time.Millisecond, 10*time.Millisecond)
	feedReplies(p, 300, 200*time.Millisecond, 10*time.Millisecond)
	for range 300 {
		p.RecordResult(plugin.AttemptResult{OK: true, Latency: 11 * time.Millisecond, Service: 10 * time.Millisecond}, start)
	}
	if p.Limit() != 1 {
		t.Fatalf("limit %d grew without having been reached", p.Limit())
	}
}

func TestShedAttemptHalvesTheLimit(t *testing.T) {
	p := newLimit(8)
	p.RecordResult(plugin.AttemptResult{Shed: true}, start)
	if p.Limit() != 4 {
		t.Fatalf("limit %d after a shed, want 4", p.Limit())
	}
	for range 10 {
		p.RecordResult(plugin.AttemptResult{Shed: true}, start)
	}
	if p.Limit() != 1 {
		t.Fatalf("limit %d, want never less than 1", p.Limit())
	}
}

func TestShareBoundsTheLimit(t *testing.T) {
	p := newLimit(8)
	p.SetShare(3)
	if p.Limit() != 3 {
		t.Fatalf("limit %d right after the share fell, want 3", p.Limit())
	}
	feedReplies(p, 100, time.Millisecond, 10*time.Millisecond)
	if p.Limit() != 3 {
		t.Fatalf("limit %d, want the new share 3", p.Limit())
	}
}

// TestLimitFallsWithLatencyAlone has a leaf that states no service time: the limit falls when
// its latency rises.
func TestLimitFallsWithLatencyAlone(t *testing.T) {
	p := newLimit(8)
	for i := range 300 {
		latency := 10 * time.Millisecond
		if i > 10 {
			latency = 200 * time.Millisecond
		}
		p.RecordResult(plugin.AttemptResult{OK: true, Latency: latency, Saturated: true}, start)
	}
	if p.Limit() != 1 {
		t.Fatalf("limit %d although the latency rose twentyfold, want 1", p.Limit())
	}
}

// TestMixedRequestsKeepTheLimit has a leaf that does not state its service time. Requests that
// take different times keep the limit; a queue inside the leaf lowers it.
func TestMixedRequestsKeepTheLimit(t *testing.T) {
	p := newLimit(3)
	mixed := []time.Duration{2, 4, 6, 11, 16, 11, 3, 12}
	run := func(n int, queued time.Duration) {
		for i := range n {
			latency := mixed[i%len(mixed)]*time.Millisecond + queued
			// Without a queue, two of three attempts are dispatched below the limit.
			p.RecordResult(plugin.AttemptResult{OK: true, Latency: latency, Saturated: queued > 0 || i%3 == 0}, start.Add(time.Duration(i)*time.Millisecond))
		}
	}
	run(300, 0)
	if p.Limit() != 3 {
		t.Errorf("limit %d for mixed requests without a queue, want the share 3", p.Limit())
	}
	run(300, 80*time.Millisecond)
	if p.Limit() != 1 {
		t.Errorf("limit %d with a queue of 80 ms, want 1", p.Limit())
	}
}
