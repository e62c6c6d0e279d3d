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

// localPair returns two idle leaves of the entry's own zone.
func localPair() []plugin.Candidate {
	return []plugin.Candidate{{Key: 0, Limit: 9, Local: true}, {Key: 1, Limit: 9, Local: true}}
}

// countPicks counts how often the second of two candidates is picked in 100 picks.
func countPicks(p *policy, c []plugin.Candidate, now time.Time) int {
	n := 0
	for range 100 {
		i, _ := p.Pick(c, now)
		n += i
	}
	return n
}

// reply is the result of an attempt that was answered.
func reply(latency time.Duration) plugin.AttemptResult {
	return plugin.AttemptResult{OK: true, Latency: latency}
}

func TestPickPrefersCheaperLeaf(t *testing.T) {
	p := newPolicy()
	p.RecordResult(0, reply(20*time.Millisecond), start)
	p.RecordResult(1, reply(10*time.Millisecond), start)
	if n := countPicks(p, localPair(), start); n != 100 {
		t.Fatalf("the faster leaf was picked %d times of 100", n)
	}
	c := localPair()
	c[1].InFlight = 2 // costs three times 10 ms; the other leaf 20 ms
	if n := countPicks(p, c, start); n != 0 {
		t.Fatalf("the busier leaf was picked %d times of 100", n)
	}
}

func TestPickPrefersOwnZoneUnlessFarSlower(t *testing.T) {
	p := newPolicy()
	p.RecordResult(0, reply(10*time.Millisecond), start)
	p.RecordResult(1, reply(10*time.Millisecond), start)
	c := localPair()
	c[0].Local = false
	if n := countPicks(p, c, start); n != 100 {
		t.Fatalf("the local leaf was picked %d times of 100", n)
	}
	p.RecordResult(0, reply(time.Microsecond), start)
	for range 100 {
		p.RecordResult(1, reply(20*time.Millisecond), start)
	}
	if n := countPicks(p, c, start); n != 0 {
		t.Fatalf("a far slower local leaf was picked %d times of 100", n)
	}
}

// TestSheddingLeafDoesNotAttractWork has a leaf that declines every attempt at once, and is
// therefore always idle, beside a busy one that answers.
func TestSheddingLeafDoesNotAttractWork(t *testing.T) {
	p := newPolicy()
	now := start
	shed := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		c := localPair()
		c[0].InFlight = 1 // the working leaf is busy
		if !p.Usable(1, now) {
			c = c[:1]
		}
		i, _ := p.Pick(c, now)
		if i == 1 {
			shed++
			p.RecordResult(1, plugin.AttemptResult{Shed: true}, now)
		} else {
			p.RecordResult(0, reply(10*time.Millisecond), now)
		}
	}
	if shed > 8 {
		t.Fatalf("the shedding leaf got %d of 200 attempts, want at most 8", shed)
	}
}

// TestHalfFailingLeafIsAvoided has a leaf that declines every other attempt: it is not ejected,
// but costs more than the other.
func TestHalfFailingLeafIsAvoided(t *testing.T) {
	p := newPolicy()
	for range 50 {
		p.RecordResult(0, reply(10*time.Millisecond), start)
		p.RecordResult(1, plugin.AttemptResult{Shed: true}, start)
		p.RecordResult(1, reply(8*time.Millisecond), start)
	}
	if !p.Usable(1, start) {
		t.Fatal("ejected although it answers half of its attempts")
	}
	if n := countPicks(p, localPair(), start); n != 0 {
		t.Fatalf("the leaf that declines half of its attempts was picked %d times of 100", n)
	}
}

// TestEjectedLeafReturnsAfterProbes ejects a leaf, probes it with single attempts after growing
// delays, and readmits it with a slow start.
func TestEjectedLeafReturnsAfterProbes(t *testing.T) {
	p := newPolicy()
	for range 10 {
		p.RecordResult(0, reply(10*time.Millisecond), start)
		p.RecordResult(1, plugin.AttemptResult{Failed: true}, start)
	}
	if p.Usable(1, start) {
		t.Fatal("a leaf that always fails is usable")
	}
	now := start.Add(health.FirstProbeDelay)
	if !p.Usable(1, now) {
		t.Fatal("no probe after FirstProbeDelay")
	}
	if _, reason := p.Pick(localPair()[1:], now); reason != "probe" {
		t.Fatalf("picked as %q, want a probe", reason)
	}
	if p.Usable(1, now) {
		t.Fatal("a second probe while the first is in flight")
	}
	p.RecordResult(1, plugin.AttemptResult{Failed: true}, now)
	if p.Usable(1, now.Add(health.FirstProbeDelay)) || !p.Usable(1, now.Add(2*health.FirstProbeDelay)) {
		t.Fatal("the delay did not double after a failed probe")
	}
	now = now.Add(2 * health.FirstProbeDelay)
	p.Pick(localPair()[1:], now)
	p.RecordResult(1, reply(10*time.Millisecond), now)
	if !p.Usable(1, now) {
		t.Fatal("not usable after an answered probe")
	}
	if n := countPicks(p, localPair(), now); n != 0 {
		t.Fatalf("picked %d times of 100 right after its return, want 0 in a slow start", n)
	}
	if n := countPicks(p, localPair(), now.Add(slowStartTime)); n < 20 {
		t.Fatalf("picked %d times of 100 after the slow start, want at least 20", n)
	}
}

// TestLeafThatNeverAnswersIsEjected has a leaf that accepts requests and never answers: the
// attempts time out, or are cancelled when a hedge is answered.
func TestLeafThatNeverAnswersIsEjected(t *testing.T) {
	for name, result := range map[string]plugin.AttemptResult{
		"timed out": {TimedOut: true, Latency: 200 * time.Millisecond},
		"cancelled": {Cancelled: true, Latency: 40 * time.Millisecond},
	} {
		p := newPolicy()
		n := 0
		for ; n < 100 && p.Usable(1, start); n++ {
			p.RecordResult(0, reply(10*time.Millisecond), start)
			if n == 0 {
				p.RecordResult(1, reply(10*time.Millisecond), start)
			}
			p.RecordResult(1, result, start)
		}
		if n > 40 {
			t.Errorf("%s: still usable after %d unanswered requests", name, n)
		}
	}
}

// TestOverloadEjectsNone has a leaf with occasional timeouts and late cancelled attempts, as
// overload causes them: it is not ejected.
func TestOverloadEjectsNone(t *testing.T) {
	p := newPolicy()
	for i := range 200 {
		key := i % 2
		p.RecordResult(key, reply(10*time.Millisecond), start)
		if i%20 < 3 {
			p.RecordResult(1, plugin.AttemptResult{TimedOut: true, Latency: 200 * time.Millisecond}, start)
			p.RecordResult(1, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start)
		}
		if !p.Usable(1, start) {
			t.Fatalf("ejected by three consecutive timeouts")
		}
	}
}

// TestFailureOfAllEjectsNone has all leaves fail alike: ejection compares a leaf with the
// others, so at most one may be ejected.
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
	// The first leaf may be ejected before failures of the others are recorded.
	if usable < 3 {
		t.Fatalf("%d of 4 leaves usable when all fail alike", usable)
	}
}

// TestLoadHintIsBounded has the load endpoint report an absurd queue: the hint decides between
// equal leaves only, and only while it is recent.
func TestLoadHintIsBounded(t *testing.T) {
	p := newPolicy()
	p.RecordResult(0, reply(10*time.Millisecond), start)
	p.RecordResult(1, reply(12*time.Millisecond), start)
	p.RecordLoadHint(0, 1_000_000, 1_000_000, start)
	if n := countPicks(p, localPair(), start); n != 0 {
		t.Fatalf("a hint moved %d of 100 picks to a leaf that is a fifth slower", n)
	}
	// The hint decides between equal leaves until hintLifetime has passed.
	q := newPolicy()
	q.RecordResult(0, reply(10*time.Millisecond), start)
	q.RecordResult(1, reply(10*time.Millisecond), start)
	q.RecordLoadHint(0, 9, 9, start)
	if n := countPicks(q, localPair(), start); n != 100 {
		t.Fatalf("the less loaded of two equal leaves was picked %d times of 100", n)
	}
	if n := countPicks(q, localPair(), start.Add(hintLifetime)); n < 20 || n > 80 {
		t.Fatalf("an expired hint still decides: the second leaf was picked %d times of 100", n)
	}
}
