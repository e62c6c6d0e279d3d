package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// fakeFit is an upstream with a given wait on each of its shards.
type fakeFit []time.Duration

func (f fakeFit) CountServableShards(_ string, _ int, within, patience time.Duration) (fit, total int, wait time.Duration) {
	for _, w := range f {
		if w <= patience && w <= within {
			fit++
		}
		wait = max(wait, w)
	}
	return fit, len(f), wait
}

func (fakeFit) ShouldYield(int, time.Time) bool     { return false }
func (fakeFit) RecordDecision(int, bool, time.Time) {}

// request is a query of caller a with a second left that needs everything.
var request = QueryRequest{Caller: "a", Share: 1, TimeLeft: time.Second, LeastCoverage: 1}

func TestAdmissionDecidesOnTheWholeQuery(t *testing.T) {
	short, long := 10*time.Millisecond, 2*time.Second
	for _, c := range []struct {
		upstreams []LoadEstimator
		least     float64
		want      bool
	}{
		{[]LoadEstimator{fakeFit{short, short}, fakeFit{short}}, 1, true},
		{[]LoadEstimator{fakeFit{short, short}, fakeFit{long}}, 1, false},
		{[]LoadEstimator{fakeFit{short, short}, fakeFit{long}}, 0.6, true},
		{[]LoadEstimator{fakeFit{short, long}, fakeFit{long}}, 0.6, false},
		{[]LoadEstimator{fakeFit{long}}, 0, false}, // nothing would answer
	} {
		q := request
		q.LeastCoverage = c.least
		if d := NewAdmission(1).Admit(q, c.upstreams, start); d.Admitted != c.want {
			t.Errorf("waits %v, least coverage %v: admitted %v", c.upstreams, c.least, d.Admitted)
		}
	}
}

// TestRetryAfterReflectsTheBacklog refuses twenty and then two hundred callers
// at the same rate of admission.
func TestRetryAfterReflectsTheBacklog(t *testing.T) {
	mean := func(refused int) time.Duration {
		a := NewAdmission(1)
		for range 20 {
			a.Admit(request, []LoadEstimator{fakeFit{0}}, start)
		}
		var sum time.Duration
		seen := map[time.Duration]bool{}
		for range refused {
			d := a.Admit(request, []LoadEstimator{fakeFit{2 * time.Second}}, start)
			if d.Admitted || d.RetryAfter < 2*time.Second || d.RetryAfter > mostRetryAfter {
				t.Fatalf("decision %+v, want a refusal beyond the wait", d)
			}
			seen[d.RetryAfter] = true
			sum += d.RetryAfter
		}
		if len(seen) < refused*9/10 {
			t.Fatalf("%d different times for %d callers, want jitter", len(seen), refused)
		}
		return sum / time.Duration(refused)
	}
	few, many := mean(20), mean(200)
	// 200 callers at 20 a second take 10 s, half of it on average and half
	// again because the backlog grew with them.
	if many-few < time.Second {
		t.Fatalf("mean %v after 20 refusals and %v after 200, want it to grow with the backlog", few, many)
	}
}

// TestRetryAfterIsSpread gives entries in the same state different times.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(10) {
		a := NewAdmission(seed)
		for range 50 {
			a.Admit(request, []LoadEstimator{fakeFit{2 * time.Second}}, start)
		}
		after := a.Admit(request, []LoadEstimator{fakeFit{2 * time.Second}}, start).RetryAfter
		if after < 2*time.Second || after > mostRetryAfter {
			t.Fatalf("come back after %v, want within the bounds", after)
		}
		seen[after] = true
	}
	if len(seen) < 9 {
		t.Fatalf("%d different times at 10 entries", len(seen))
	}
}

func TestPatienceFollowsOutcomes(t *testing.T) {
	a := NewAdmission(1)
	wait := []LoadEstimator{fakeFit{200 * time.Millisecond}}
	if !a.Admit(request, wait, start).Admitted {
		t.Fatal("a wait of a fifth of the time was refused at first")
	}
	for range 3 {
		a.RecordAnswer(false, true, start)
	}
	if a.Admit(request, wait, start).Admitted {
		t.Fatal("still admitted after answers that came short for lack of time")
	}
	for range 300 { // refusal is recent: useful answers raise the patience
		a.RecordAnswer(true, false, start)
	}
	if !a.Admit(request, wait, start).Admitted {
		t.Fatal("still refused after many useful answers")
	}
	patience := a.patience
	for range 50 {
		a.RecordAnswer(false, false, start) // short for another reason
	}
	if a.patience != patience {
		t.Fatalf("patience moved to %v by answers that were not late", a.patience)
	}
	for range 1000 { // calm: no refusal for a while
		a.RecordAnswer(true, false, start.Add(time.Minute))
	}
	if a.patience != patience {
		t.Fatalf("patience rose to %v in a calm, which a burst would pay for", a.patience)
	}
}

// TestBurstLeavesOthersTheirShare has one caller ask ten times as much as the
// upstream serves, and another less than its fair share.
func TestBurstLeavesOthersTheirShare(t *testing.T) {
	a := NewAdmission(1)
	now := start
	queue := 0.0 // seconds of work that wait
	offered, admitted := map[string]int{}, map[string]int{}
	ask := func(caller string) {
		offered[caller]++
		q := request
		q.Caller = caller
		wait := time.Duration(queue * float64(time.Second))
		if a.Admit(q, []LoadEstimator{fakeFit{wait}}, now).Admitted {
			admitted[caller]++
			queue += 0.010 // a hundred a second are served
		}
	}
	for ms := range 10_000 {
		now = now.Add(time.Millisecond)
		queue = max(0, queue-0.001)
		ask("loud")
		if ms%21 == 0 { // forty-eight a second, its share is fifty
			ask("quiet")
		}
	}
	if got := float64(admitted["quiet"]) / float64(offered["quiet"]); got < 0.97 {
		t.Fatalf("the quiet caller got %.2f of what it asked, beside %v of %v", got, admitted, offered)
	}
	if admitted["loud"] < 500 {
		t.Fatalf("the loud caller got %d, want what the quiet one left", admitted["loud"])
	}
}

func TestSilentCallersAreForgotten(t *testing.T) {
	u := newUsage()
	for i := range 100 {
		u.offered(fmt.Sprint("caller-", i), 1, start)
	}
	u.offered("a", 1, start.Add(time.Minute))
	if len(u.callers) != 1 {
		t.Fatalf("%d callers are kept, want the one that asks", len(u.callers))
	}
}
