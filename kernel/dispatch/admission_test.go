package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// fakeEstimator is an upstream with the given queueing time on each of its shards.
type fakeEstimator []time.Duration

func (f fakeEstimator) CountServableShards(_ string, _ int, within, maxQueueTime time.Duration) (servable, total int, wait time.Duration) {
	for _, w := range f {
		if w <= maxQueueTime && w <= within {
			servable++
		}
		wait = max(wait, w)
	}
	return servable, len(f), wait
}

func (fakeEstimator) ShouldYield(int, time.Time) bool     { return false }
func (fakeEstimator) RecordDecision(int, bool, time.Time) {}

// request is a query of caller a with a second left that needs full coverage.
var request = QueryRequest{Caller: "a", Share: 1, TimeLeft: time.Second, LeastCoverage: 1}

func TestAdmissionDecidesOnWholeQuery(t *testing.T) {
	short, long := 10*time.Millisecond, 2*time.Second
	for _, c := range []struct {
		upstreams []LoadEstimator
		least     float64
		want      bool
	}{
		{[]LoadEstimator{fakeEstimator{short, short}, fakeEstimator{short}}, 1, true},
		{[]LoadEstimator{fakeEstimator{short, short}, fakeEstimator{long}}, 1, false},
		{[]LoadEstimator{fakeEstimator{short, short}, fakeEstimator{long}}, 0.6, true},
		{[]LoadEstimator{fakeEstimator{short, long}, fakeEstimator{long}}, 0.6, false},
		{[]LoadEstimator{fakeEstimator{long}}, 0, false}, // no shard is servable
	} {
		q := request
		q.LeastCoverage = c.least
		if d := NewAdmission(1).Admit(q, c.upstreams, start); d.Admitted != c.want {
			t.Errorf("waits %v, least coverage %v: admitted %v", c.upstreams, c.least, d.Admitted)
		}
	}
}

// TestRetryAfterGrowsWithBacklog refuses 20 and then 200 callers at the same rate of
// admission.
func TestRetryAfterGrowsWithBacklog(t *testing.T) {
	mean := func(refused int) time.Duration {
		a := NewAdmission(1)
		for range 20 {
			a.Admit(request, []LoadEstimator{fakeEstimator{0}}, start)
		}
		var sum time.Duration
		distinct := map[time.Duration]bool{}
		for range refused {
			d := a.Admit(request, []LoadEstimator{fakeEstimator{2 * time.Second}}, start)
			if d.Admitted || d.RetryAfter < 2*time.Second || d.RetryAfter > maxRetryAfter {
				t.Fatalf("decision %+v, want a refusal with a delay of at least the wait", d)
			}
			distinct[d.RetryAfter] = true
			sum += d.RetryAfter
		}
		if len(distinct) < refused*9/10 {
			t.Fatalf("%d different delays for %d callers, want jitter", len(distinct), refused)
		}
		return sum / time.Duration(refused)
	}
	few, many := mean(20), mean(200)
	// To serve 200 callers at 20 a second takes 10 s. The mean delay is a quarter of
	// it: the jitter halves it, and the backlog grows during the refusals.
	if many-few < time.Second {
		t.Fatalf("mean %v after 20 refusals and %v after 200, want it to grow with the backlog", few, many)
	}
}

// TestRetryAfterDiffersBetweenInstances checks that instances in the same state give
// different delays.
func TestRetryAfterDiffersBetweenInstances(t *testing.T) {
	distinct := map[time.Duration]bool{}
	for seed := range uint64(10) {
		a := NewAdmission(seed)
		for range 50 {
			a.Admit(request, []LoadEstimator{fakeEstimator{2 * time.Second}}, start)
		}
		after := a.Admit(request, []LoadEstimator{fakeEstimator{2 * time.Second}}, start).RetryAfter
		if after < 2*time.Second || after > maxRetryAfter {
			t.Fatalf("retry after %v, want within the bounds", after)
		}
		distinct[after] = true
	}
	if len(distinct) < 9 {
		t.Fatalf("%d different delays at 10 instances", len(distinct))
	}
}

func TestQueueShareFollowsOutcomes(t *testing.T) {
	a := NewAdmission(1)
	wait := []LoadEstimator{fakeEstimator{200 * time.Millisecond}}
	if !a.Admit(request, wait, start).Admitted {
		t.Fatal("a wait of a fifth of the time is refused at first")
	}
	for range 3 {
		a.RecordAnswer(false, true, start)
	}
	if a.Admit(request, wait, start).Admitted {
		t.Fatal("still admitted after late answers")
	}
	for range 300 { // useful answers raise the queue share after a recent refusal
		a.RecordAnswer(true, false, start)
	}
	if !a.Admit(request, wait, start).Admitted {
		t.Fatal("still refused after many useful answers")
	}
	queueShare := a.queueShare
	for range 50 {
		a.RecordAnswer(false, false, start) // not useful for another reason
	}
	if a.queueShare != queueShare {
		t.Fatalf("the queue share moved to %v by answers that were not late", a.queueShare)
	}
	for range 1000 { // no recent refusal
		a.RecordAnswer(true, false, start.Add(time.Minute))
	}
	if a.queueShare != queueShare {
		t.Fatalf("the queue share rose to %v without refusals, so that the next burst waits too long", a.queueShare)
	}
}

// TestBurstLeavesOtherCallersTheirShare has one caller send ten times as much as the
// upstream serves, and another less than its fair share.
func TestBurstLeavesOtherCallersTheirShare(t *testing.T) {
	a := NewAdmission(1)
	now := start
	queue := 0.0 // seconds of queued work
	offered, admitted := map[string]int{}, map[string]int{}
	submit := func(caller string) {
		offered[caller]++
		q := request
		q.Caller = caller
		wait := time.Duration(queue * float64(time.Second))
		if a.Admit(q, []LoadEstimator{fakeEstimator{wait}}, now).Admitted {
			admitted[caller]++
			queue += 0.010 // 100 queries a second are served
		}
	}
	for ms := range 10_000 {
		now = now.Add(time.Millisecond)
		queue = max(0, queue-0.001)
		submit("loud")
		if ms%21 == 0 { // 48 a second; its share is 50
			submit("quiet")
		}
	}
	if got := float64(admitted["quiet"]) / float64(offered["quiet"]); got < 0.97 {
		t.Fatalf("%.2f of the quiet caller's queries admitted, overall %v of %v", got, admitted, offered)
	}
	if admitted["loud"] < 500 {
		t.Fatalf("%d queries of the loud caller admitted, want what the quiet one left", admitted["loud"])
	}
}

func TestInactiveCallersAreForgotten(t *testing.T) {
	u := newUsage()
	for i := range 100 {
		u.recordOffer(fmt.Sprint("caller-", i), 1, start)
	}
	u.recordOffer("a", 1, start.Add(time.Minute))
	if len(u.callers) != 1 {
		t.Fatalf("%d callers are kept, want the active one", len(u.callers))
	}
}
