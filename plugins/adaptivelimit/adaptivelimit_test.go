package adaptivelimit

import (
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

var start = time.Unix(1000, 0)

// feed gives n saturated replies of a leaf that waits and serves for the times.
func feed(p plugin.Limit, n int, wait, service time.Duration) {
	for i := range n {
		at := start.Add(time.Duration(i) * time.Millisecond)
		p.Finished(plugin.Sample{OK: true, Latency: wait + service, Service: service, Saturated: true}, at)
	}
}

func newLimit(share int) plugin.Limit {
	p := New()
	p.SetShare(share)
	return p
}

func TestLimitFallsToOneAndGrowsBack(t *testing.T) {
	p := newLimit(8)
	if p.Limit() != 8 {
		t.Fatalf("starts at %d, want the share 8", p.Limit())
	}
	feed(p, 1, time.Millisecond, 10*time.Millisecond) // the floor: network only
	feed(p, 300, 200*time.Millisecond, 10*time.Millisecond)
	if p.Limit() != 1 {
		t.Fatalf("limit %d after long waits inside the leaf, want 1", p.Limit())
	}
	feed(p, 300, time.Millisecond, 10*time.Millisecond)
	if p.Limit() != 8 {
		t.Fatalf("limit %d after the waits are gone, want the share 8", p.Limit())
	}
}

func TestLimitNeedsDemandToGrow(t *testing.T) {
	p := newLimit(8)
	feed(p, 1, time.Millisecond, 10*time.Millisecond)
	feed(p, 300, 200*time.Millisecond, 10*time.Millisecond)
	for range 300 {
		p.Finished(plugin.Sample{OK: true, Latency: 11 * time.Millisecond, Service: 10 * time.Millisecond}, start)
	}
	if p.Limit() != 1 {
		t.Fatalf("limit %d grew without having been reached", p.Limit())
	}
}

func TestShedCutsTheLimit(t *testing.T) {
	p := newLimit(8)
	p.Finished(plugin.Sample{Shed: true}, start)
	if p.Limit() != 4 {
		t.Fatalf("limit %d after a shed, want 4", p.Limit())
	}
	for range 10 {
		p.Finished(plugin.Sample{Shed: true}, start)
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
	feed(p, 100, time.Millisecond, 10*time.Millisecond)
	if p.Limit() != 3 {
		t.Fatalf("limit %d, want the new share 3", p.Limit())
	}
}

// TestSilentLeafIsJudgedByItsLatency has a leaf that states no service time.
func TestSilentLeafIsJudgedByItsLatency(t *testing.T) {
	p := newLimit(8)
	for i := range 300 {
		latency := 10 * time.Millisecond
		if i > 10 {
			latency = 200 * time.Millisecond
		}
		p.Finished(plugin.Sample{OK: true, Latency: latency, Saturated: true}, start)
	}
	if p.Limit() != 1 {
		t.Fatalf("limit %d although the latency rose twentyfold, want 1", p.Limit())
	}
}
