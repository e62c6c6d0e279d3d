package nearest

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

const (
	local  = 0
	remote = 1
)

// newPolicyWithReplies returns a policy that has seen a local and a remote leaf reply with
// equal delays.
func newPolicyWithReplies(now time.Time) plugin.Routing {
	p := New(plugin.RoutingConfig{Rand: rand.New(rand.NewPCG(1, 1))})
	for range 50 {
		reply(p, local, 12*time.Millisecond, now)
		reply(p, remote, 12*time.Millisecond, now)
	}
	return p
}

// reply records a reply of a leaf.
func reply(p plugin.Routing, key int, latency time.Duration, now time.Time) {
	p.RecordResult(key, plugin.AttemptResult{OK: true, Latency: latency}, now)
}

// pick returns the key of the leaf that is picked from the local and the remote one. change,
// if not nil, modifies the local candidate.
func pick(p plugin.Routing, now time.Time, change func(*plugin.Candidate)) int {
	candidates := []plugin.Candidate{{Key: local, Limit: 3, Local: true}, {Key: remote, Limit: 3}}
	if change != nil {
		change(&candidates[0])
	}
	i, _ := p.Pick(candidates, now)
	return candidates[i].Key
}

// TestOwnZoneIsPreferredUnlessFarSlower checks in which states of the local leaf the remote one
// is picked.
func TestOwnZoneIsPreferredUnlessFarSlower(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		prepare func(p plugin.Routing)
		now     time.Time
		local   func(*plugin.Candidate)
		want    int
	}{
		{name: "equal", want: local},
		{name: "one attempt in flight", local: func(c *plugin.Candidate) { c.InFlight = 1 }, want: local},
		{name: "a little slower", prepare: func(p plugin.Routing) { reply(p, local, 25*time.Millisecond, start) }, want: local},
		{name: "nine times slower, seen twice", prepare: func(p plugin.Routing) {
			reply(p, local, 108*time.Millisecond, start)
			reply(p, local, 108*time.Millisecond, start)
		}, want: remote},
		{name: "two attempts given up, no reply between", prepare: func(p plugin.Routing) {
			p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start.Add(-200*time.Millisecond))
			p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start)
		}, want: remote},
		{name: "two attempts given up within a short pause", prepare: func(p plugin.Routing) {
			p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start.Add(-100*time.Millisecond))
			p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start)
		}, want: local},
		{name: "two attempts given up, a reply between", prepare: func(p plugin.Routing) {
			p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start.Add(-time.Second))
			reply(p, local, 12*time.Millisecond, start.Add(-500*time.Millisecond))
			p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 40 * time.Millisecond}, start)
		}, want: local},
		{name: "three attempts given up at once", prepare: func(p plugin.Routing) {
			for range 3 {
				p.RecordResult(local, plugin.AttemptResult{Cancelled: true, Latency: 60 * time.Millisecond}, start)
			}
		}, want: remote},
		{name: "slow some time ago", prepare: func(p plugin.Routing) {
			reply(p, local, 108*time.Millisecond, start)
			reply(p, local, 108*time.Millisecond, start)
		}, now: start.Add(5 * time.Second), want: local},
		{name: "oldest attempt overdue", local: func(c *plugin.Candidate) { c.InFlight, c.OldestAge = 1, 45*time.Millisecond }, want: remote},
		{name: "two failures", prepare: func(p plugin.Routing) {
			for range 2 {
				p.RecordResult(local, plugin.AttemptResult{Failed: true}, start)
			}
		}, want: remote},
	} {
		p := newPolicyWithReplies(start)
		if tc.prepare != nil {
			tc.prepare(p)
		}
		now := tc.now
		if now.IsZero() {
			now = start
		}
		if got := pick(p, now, tc.local); got != tc.want {
			t.Errorf("%s: chose leaf %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestEjectedLeafReturnsAfterProbe lets a leaf fail until it is ejected, and answer its probe.
func TestEjectedLeafReturnsAfterProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPolicyWithReplies(now)
	for range 4 {
		p.RecordResult(local, plugin.AttemptResult{Failed: true}, now)
	}
	if p.Usable(local, now) {
		t.Fatal("a leaf that failed four times in a row is still usable")
	}
	now = now.Add(2 * time.Second)
	if !p.Usable(local, now) {
		t.Fatal("no probe is due")
	}
	p.Pick([]plugin.Candidate{{Key: local, Limit: 3, Local: true}}, now)
	reply(p, local, 12*time.Millisecond, now)
	if !p.Usable(local, now) {
		t.Error("a leaf that answered its probe is not usable")
	}
}

// TestNearBestListsBestFirst checks that the list starts with the best candidate and has only
// those that are about as good.
func TestNearBestListsBestFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	p := newPolicyWithReplies(start)
	const slow, fast = 2, 3
	for range 20 {
		reply(p, slow, 108*time.Millisecond, start)
		reply(p, fast, 11*time.Millisecond, start)
	}
	candidates := []plugin.Candidate{{Key: slow}, {Key: remote}, {Key: fast}}
	if got := p.(plugin.NearBestLister).NearBest(candidates, start); !slices.Equal(got, []int{2, 1}) {
		t.Errorf("near best %v, want the fast and the remote leaf, and not the slow one", got)
	}
	if got := p.(plugin.NearBestLister).NearBest(append(candidates, plugin.Candidate{Key: local, Local: true}), start); !slices.Equal(got, []int{3}) {
		t.Errorf("near best %v, want the leaf of the own zone alone", got)
	}
}
