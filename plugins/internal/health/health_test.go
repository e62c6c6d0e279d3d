package health

import (
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

var start = time.Unix(1000, 0)

// decline records declined attempts, 10 ms apart, until the leaf is ejected, and returns
// their number.
func decline(h *Leaf, now time.Time) (n int, at time.Time) {
	for h.Usable(now) && n < 100 {
		now = now.Add(10 * time.Millisecond)
		h.RecordOutcome(plugin.AttemptResult{Shed: true}, failureWeight, 0, now)
		n++
	}
	return n, now
}

// TestFullLeafIsEjectedLateAndBriefly declines attempts at a leaf that replied just before: it
// is full, and a few declines must not put it out of use.
func TestFullLeafIsEjectedLateAndBriefly(t *testing.T) {
	var h Leaf
	h.RecordOutcome(plugin.AttemptResult{OK: true}, failureWeight, 0, start)
	n, at := decline(&h, start)
	if n != minServingDeclines {
		t.Errorf("ejected after %d declined attempts, want %d", n, minServingDeclines)
	}
	if h.Usable(at.Add(FirstFullProbeDelay-1)) || !h.Usable(at.Add(FirstFullProbeDelay)) {
		t.Errorf("not probed after %v", FirstFullProbeDelay)
	}
}

// TestLeafThatServesNothingIsEjectedSoon declines attempts at a leaf that has not replied for
// long, or never.
func TestLeafThatServesNothingIsEjectedSoon(t *testing.T) {
	for name, repliedAt := range map[string]time.Time{"long ago": start.Add(-servingTime), "never": {}} {
		h := Leaf{repliedAt: repliedAt}
		n, at := decline(&h, start)
		if n > 2 {
			t.Errorf("%s: ejected after %d declined attempts, want 2", name, n)
		}
		if h.Usable(at.Add(FirstProbeDelay - 1)) {
			t.Errorf("%s: probed before %v", name, FirstProbeDelay)
		}
	}
}

// TestServingLeafIsEjectedForFailures breaks attempts at a leaf that replied just before.
func TestServingLeafIsEjectedForFailures(t *testing.T) {
	var h Leaf
	h.RecordOutcome(plugin.AttemptResult{OK: true}, failureWeight, 0, start)
	for range 2 {
		h.RecordOutcome(plugin.AttemptResult{Failed: true}, failureWeight, 0, start)
	}
	if h.Usable(start) {
		t.Error("a leaf that fails is usable")
	}
}
