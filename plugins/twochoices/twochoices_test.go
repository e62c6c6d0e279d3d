package twochoices

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/internal/health"
)

var start = time.Unix(1000, 0)

func newPolicy() *policy {
	return New(plugin.RoutingConfig{Rand: rand.New(rand.NewPCG(1, 1))}).(*policy)
}

// both are two idle leaves of the entry's own zone.
func both() []plugin.Candidate {
	return []plugin.Candidate{{Key: 0, Limit: 9, Local: true}, {Key: 1, Limit: 9, Local: true}}
}

// picks counts how often the second of the candidates is picked in a hundred.
func picks(p *policy, c []plugin.Candidate, now time.Time) int {
	n := 0
	for range 100 {
		i, _ := p.Pick(c, now)
		n += i
	}
	return n
}

func ok(latency time.Duration) plugin.AttemptResult {
	return plugin.AttemptResult{OK: true, Latency: latency}
}

func TestPickPrefersTheCheaper(t *testing.T) {
	p := newPolicy()
	p.RecordResult(0, ok(20*time.Millisecond), start)
	p.RecordResult(1, ok(10*time.Millisecond), start)
	if n := picks(p, both(), start); n != 100 {
		t.Fatalf("the faster leaf was picked %d times of 100", n)
	}
	c := both()
	c[1].InFlight = 2 // three times 10 ms against once 20 ms
	if n := picks(p, c, start); n != 0 {
		t.Fatalf("the busier leaf was picked %d times of 100", n)
	}
}

func TestPickPrefersTheOwnZone(t *testing.T) {
	p := newPolicy()
	p.RecordResult(0, ok(10*time.Millisecond), start)
	p.RecordResult(1, ok(10*time.Millisecond), start)
	c := both()
	c[0].Local = false
	if n := picks(p, c, start); n != 100 {
		t.Fatalf("the local leaf was picked %d times of 100", n)
	}
	p.RecordResult(0, ok(time.Microsecond), start)
	for range 100 {
		p.RecordResult(1, ok(20*time.Millisecond), start)
	}
	if n := picks(p, c, start); n != 0 {
		t.Fatalf("a far slower local leaf was picked %d times of 100", n)
	}
}

// TestShedderDoesNotDrawWork has a leaf that declines at once, and so is
// always idle, beside one that works.
func TestShedderDoesNotDrawWork(t *testing.T) {
	p := newPolicy()
	now := start
	sent := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		c := both()
		c[0].InFlight = 1 // the working leaf is busy
		if !p.Usable(1, now) {
			c = c[:1]
		}
		i, _ := p.Pick(c, now)
		if i == 1 {
			sent++
			p.RecordResult(1, plugin.AttemptResult{Shed: true}, now)
		} else {
			p.RecordResult(0, ok(10*time.Millisecond), now)
		}
	}
	if sent > 8 {
		t.Fatalf("the shedding leaf got %d of 200, want a handful", sent)
	}
}

// TestHalfFailingLeafIsDearer has a leaf that is not bad enough to be ejected.
func TestHalfFailingLeafIsDearer(t *testing.T) {
	p := newPolicy()
	for range 50 {
		p.RecordResult(0, ok(10*time.Millisecond), start)
		p.RecordResult(1, plugin.AttemptResult{Shed: true}, start)
		p.RecordResult(1, ok(8*time.Millisecond), start)
	}
	if !p.Usable(1, start) {
		t.Fatal("ejected although it works half of the time")
	}
	if n := picks(p, both(), start); n != 0 {
		t.Fatalf("the leaf that declines half was picked %d times of 100", n)
	}
}

// TestEjectionProbesBack ejects a leaf, probes it with single attempts at
// growing distances, and takes it back with a slow start.
func TestEjectionProbesBack(t *testing.T) {
	p := newPolicy()
	for range 10 {
		p.RecordResult(0, ok(10*time.Millisecond), start)
		p.RecordResult(1, plugin.AttemptResult{Failed: true}, start)
	}
	if p.Usable(1, start) {
		t.Fatal("a leaf that always fails is usable")
	}
	now := start.Add(health.FirstProbeDelay)
	if !p.Usable(1, now) {
		t.Fatal("no probe after the first pause")
	}
	if _, why := p.Pick(both()[1:], now); why != "probe" {
		t.Fatalf("picked as %q, want a probe", why)
	}
	if p.Usable(1, now) {
		t.Fatal("a second probe beside the first")
	}
	p.RecordResult(1, plugin.AttemptResult{Failed: true}, now)
	if p.Usable(1, now.Add(health.FirstProbeDelay)) || !p.Usable(1, now.Add(2*health.FirstProbeDelay)) {
		t.Fatal("the pause did not double after a failed probe")
	}
	now = now.Add(2 * health.FirstProbeDelay)
	p.Pick(both()[1:], now)
	p.RecordResult(1, ok(10*time.Millisecond), now)
	if !p.Usable(1, now) {
		t.Fatal("not usable after a good probe")
	}
	if n := picks(p, both(), now); n != 0 {
		t.Fatalf("picked %d times of 100 right after its return, want a slow start", n)
	}
	if n := picks(p, both(), now.Add(slowStart)); n < 20 {
		t.Fatalf("picked %d times of 100 after the slow start", n)
	}
}

// TestSwallowedRequestsEject has a leaf that takes requests and never answers:
// they time out, or are cancelled when a hedge answers.
func TestSwallowedRequestsEject(t *testing.T) {
	for name, s := range map[string]plugin.AttemptResult{
		"timed out": {TimedOut: true, Latency: 200 * time.Millisecond},
		"cancelled": {Cancelled: true, Latency: 40 * time.Millisecond},
	} {
		p := newPolicy()
		n := 0
		for ; n < 100 && p.Usable(1, start); n++ {
			p.RecordResult(0, ok(10*time.Millisecond), start)
			if n == 0 {
				p.RecordResult(1, ok(10*time.Millisecond), start)
			}
			p.RecordResult(1, s, start)
		}
		if n > 40 {
			t.Errorf("%s: still usable after %d swallowed requests", name, n)
		}
	}
}

// TestOverloadEjectsNone has both leaves time out now and then, as overload
// makes them, and lose hedges as stragglers do.
func TestOverloadEjectsNone(t *testing.T) {
	p := newPolicy()
	for i := range 200 {
		key := i % 2
		p.RecordResult(key, ok(10*time.Millisecond), start)
		if i%20 < 3 {
			p.RecordResult(1, plugin.AttemptResult{TimedOut: true, Latency: 200 * time.Millisecond}, start)
			p.RecordResult(1, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start)
		}
		if !p.Usable(1, start) {
			t.Fatalf("ejected by three timeouts in a row")
		}
	}
}

// TestFailureOfAllEjectsNone checks that ejection compares with the others.
func TestFailureOfAllEjectsNone(t *testing.T) {
	p := newPolicy()
	for range 100 {
		for key := range 4 {
			p.RecordResult(key, plugin.AttemptResult{Failed: true}, start)
		}
	}
	usable := 0
	for key := range 4 {
		if p.Usable(key, start) {
			usable++
		}
	}
	// The very first failures may come before the others' are known.
	if usable < 3 {
		t.Fatalf("%d of 4 leaves usable when all fail alike", usable)
	}
}

// TestHintIsBounded has the load endpoint report an absurd queue.
func TestHintIsBounded(t *testing.T) {
	p := newPolicy()
	p.RecordResult(0, ok(10*time.Millisecond), start)
	p.RecordResult(1, ok(12*time.Millisecond), start)
	p.RecordLoadHint(0, 1_000_000, 1_000_000, start)
	if n := picks(p, both(), start); n != 0 {
		t.Fatalf("a hint moved %d of 100 picks to a leaf that is a fifth slower", n)
	}
	// Between equals it decides, until it is old.
	q := newPolicy()
	q.RecordResult(0, ok(10*time.Millisecond), start)
	q.RecordResult(1, ok(10*time.Millisecond), start)
	q.RecordLoadHint(0, 9, 9, start)
	if n := picks(q, both(), start); n != 100 {
		t.Fatalf("the less loaded of two equals was picked %d times of 100", n)
	}
	if n := picks(q, both(), start.Add(hintAge)); n < 20 || n > 80 {
		t.Fatalf("an old hint still decides: %d of 100", n)
	}
}
