package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

func TestConfigErrorNamesField(t *testing.T) {
	good := Policies{Routing: fakePolicy, Order: fakePolicy, Limit: fakePolicy}
	v := testView(1, 1, 1, 1, 1)
	for field, cfg := range map[string]Config{
		"View":             {Policies: good},
		"Upstream":         {View: v, Upstream: 1, Policies: good},
		"Policies.Routing": {View: v, Policies: Policies{Routing: "x", Order: fakePolicy, Limit: fakePolicy}},
		"Policies.Order":   {View: v, Policies: Policies{Routing: fakePolicy, Order: "x", Limit: fakePolicy}},
		"Policies.Limit":   {View: v, Policies: Policies{Routing: fakePolicy, Order: fakePolicy, Limit: "x"}},
	} {
		_, err := New(cfg)
		var ce *ConfigError
		if !errors.As(err, &ce) || ce.Field != field {
			t.Errorf("error %v, want one for %s", err, field)
		}
		var unknown *plugin.UnknownPluginError
		if cfg.View != nil && cfg.Upstream == 0 && !errors.As(err, &unknown) {
			t.Errorf("error %v does not wrap the UnknownError of the plug-in", err)
		}
	}
}

func TestServiceOrderFollowsAdmissionStamp(t *testing.T) {
	defer func() { fakeNewest = false }()
	for newest, want := range map[bool]string{false: "[2 3 4]", true: "[4 3 2]"} {
		fakeNewest = newest
		m := newTestMachine(t, testView(1, 1, 1, 1, 1))
		m.Handle(offered(1), start)
		for _, q := range []int{3, 4, 2} { // not in the order of admission
			m.Handle(offered(q), start)
		}
		var got []uint64
		running := uint64(1)
		for range 3 {
			d := dispatched(m.Handle(reply(int(running), 0), start))
			if len(d) != 1 {
				t.Fatalf("dispatched %v, want one", d)
			}
			running = d[0]
			got = append(got, running)
		}
		if fmt.Sprint(got) != want {
			t.Errorf("newest first %v: dispatched %v, want %s", newest, got, want)
		}
	}
}

// TestCallersAreServedByWeight keeps the queues of both callers full, one of them ten
// times as long, and counts the services.
func TestCallersAreServedByWeight(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 3))
	q := 0
	caller := map[uint64]string{}
	offer := func(name string, n int) (actions []Action) {
		for range n {
			q++
			o := offered(q)
			o.Caller = name
			caller[uint64(q)] = name
			actions = append(actions, m.Handle(o, start)...)
		}
		return actions
	}
	running := dispatched(offer("a", 1000))[0]
	offer("b", 100)
	served := map[string]int{"a": 1} // the first, which runs
	for range 79 {
		running = dispatched(m.Handle(reply(int(running), 0), start))[0]
		served[caller[running]]++
	}
	if served["a"] != 20 || served["b"] != 60 {
		t.Fatalf("served %v of 80, want 20 of a and 60 of b for their shares of 1 and 3", served)
	}
}

func TestAttemptThatMissesDeadlineIsRefused(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	// The machine learns the latency from 64 replies of 100 ms.
	for q := range 64 {
		m.Handle(offered(q), start)
		m.Handle(reply(q, 100*time.Millisecond), start)
	}
	short := offered(100)
	short.Deadline = start.Add(50 * time.Millisecond)
	wantRefused(t, m.Handle(short, start), query.ReasonDeadline)

	m.Handle(offered(101), start) // occupies the leaf
	actions := m.Handle(offered(102), start)
	var wake time.Time
	for _, a := range actions {
		if w, ok := a.(WakeAt); ok {
			wake = w.At
		}
	}
	if wake.IsZero() || !wake.Before(start.Add(second-50*time.Millisecond)) {
		t.Fatalf("Tick requested at %v, want it well before the deadline", wake)
	}
	if r := refusal(m.Handle(Tick{}, wake.Add(-time.Millisecond))); r != nil {
		t.Fatalf("refused %v too early", r)
	}
	wantRefused(t, m.Handle(Tick{}, wake), query.ReasonDeadline)
}

// TestStaleLatencyRefusesNothing observes replies of 500 ms and then, after a silence,
// offers attempts with 200 ms left. If the old latency refused them for ever, no reply
// could show that the upstream is fast again.
func TestStaleLatencyRefusesNothing(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for q := range 200 {
		m.Handle(offered(q), start)
		m.Handle(reply(q, 500*time.Millisecond), start)
	}
	now := start.Add(staleAfter + 1)
	short := func(q int) Offered {
		o := offered(q)
		o.Deadline = now.Add(200 * time.Millisecond)
		return o
	}
	if servable, total, _ := m.CountServableShards("a", 0, 200*time.Millisecond, 0); servable != total {
		t.Fatalf("%d of %d shards are servable although none has work", servable, total)
	}
	for q := 1000; q < 1064; q++ {
		if d := dispatched(m.Handle(short(q), now)); len(d) != 1 {
			t.Fatalf("query %d was not dispatched after a silence", q)
		}
		now = now.Add(10 * time.Millisecond)
		m.Handle(reply(q, 10*time.Millisecond), now)
	}
	if e := m.Estimate(now); e.Median < 9*time.Millisecond || e.Median > 11*time.Millisecond {
		t.Fatalf("median %v after fast replies, want their latency", e.Median)
	}
}

// TestTimeoutsRaiseEstimatedWait has an upstream whose attempts all time out.
func TestTimeoutsRaiseEstimatedWait(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for q := range 10 {
		m.Handle(offered(q), start)
		end := reply(q, 200*time.Millisecond)
		end.Outcome = OutcomeTimeout
		m.Handle(end, start)
	}
	m.Handle(offered(100), start)
	m.Handle(offered(101), start)
	if e := m.Estimate(start); e.Wait != 200*time.Millisecond {
		t.Fatalf("estimated wait %v behind an attempt that times out after 200 ms", e.Wait)
	}
}

func TestLongQueueRefusesWithRetryAfter(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	m.Handle(offered(0), start)
	for q := range 64 {
		m.Handle(reply(q, 100*time.Millisecond), start)
		m.Handle(offered(q+1), start)
	}
	queued := 0
	for q := 100; q < 150; q++ {
		r := refusal(m.Handle(offered(q), start))
		if r == nil {
			queued++
			continue
		}
		if r.Reason != query.ReasonOverloaded || r.RetryAfter < 500*time.Millisecond {
			t.Fatalf("refusal %+v, want overloaded with the time in which the queue drains", r)
		}
		break
	}
	// Ten services of 100 ms fit into the second, one of which is running.
	if queued < 6 || queued > 10 {
		t.Fatalf("%d attempts queued, want about 9", queued)
	}
}

func TestSoloAttemptRunsAlone(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 3, 1, 1))
	m.Handle(offered(1), start)
	solo := offered(2)
	solo.Solo = true
	if d := dispatched(m.Handle(solo, start)); len(d) != 0 {
		t.Fatalf("dispatched %v beside another attempt", d)
	}
	if d := dispatched(m.Handle(offered(3), start)); len(d) != 0 {
		t.Fatalf("dispatched %v on a leaf that a solo attempt has reserved", d)
	}
	if d := dispatched(m.Handle(reply(1, 0), start)); !slices.Equal(d, []uint64{2}) {
		t.Fatalf("dispatched %v, want the solo attempt alone", d)
	}
	if d := dispatched(m.Handle(offered(4), start)); len(d) != 0 {
		t.Fatalf("dispatched %v beside a solo attempt", d)
	}
	if d := dispatched(m.Handle(reply(2, 0), start)); !slices.Equal(d, []uint64{3, 4}) {
		t.Fatalf("dispatched %v, want the queued attempts", d)
	}
}

func TestWithdrawnSoloAttemptReleasesLeaf(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 3, 1, 1))
	m.Handle(offered(1), start)
	solo := offered(2)
	solo.Solo = true
	m.Handle(solo, start)
	m.Handle(offered(3), start)
	if d := dispatched(m.Handle(Withdrawn{Ticket: ticket(2)}, start)); !slices.Equal(d, []uint64{3}) {
		t.Fatalf("dispatched %v, want the attempt queued behind the solo one", d)
	}
}

func TestIdleCallerGainsNoCredit(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	q := 0
	offer := func(name string) []uint64 {
		q++
		o := offered(q)
		o.Caller = name
		return dispatched(m.Handle(o, start))
	}
	running := offer("a")[0]
	for range 50 { // only a is served
		offer("a")
		running = dispatched(m.Handle(reply(int(running), 0), start))[0]
	}
	for range 10 {
		offer("a")
	}
	first := q + 1
	for range 10 {
		offer("b")
	}
	ofB := 0
	for range 10 {
		running = dispatched(m.Handle(reply(int(running), 0), start))[0]
		if int(running) >= first {
			ofB++
		}
	}
	if ofB < 4 || ofB > 6 {
		t.Fatalf("the caller that was idle got %d of 10 services, want half", ofB)
	}
}

func TestRepeatedFinishedIsIgnored(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	m.Handle(offered(1), start)
	m.Handle(reply(1, 0), start)
	m.Handle(reply(1, 0), start)
	m.Handle(offered(2), start)
	if d := dispatched(m.Handle(offered(3), start)); len(d) != 0 {
		t.Fatalf("dispatched %v beyond the limit after a repeated Finished", d)
	}
}

// TestSlotGoesToAttemptThatCanFinish has replies of 10 ms and, two in three, of 100 ms:
// while other attempts are queued, one with 50 ms left is refused.
func TestSlotGoesToAttemptThatCanFinish(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for q := range 64 {
		m.Handle(offered(q), start)
		latency := 100 * time.Millisecond
		if q%3 == 0 {
			latency = 10 * time.Millisecond
		}
		m.Handle(reply(q, latency), start)
	}
	m.Handle(offered(100), start)
	tight := offered(101)
	tight.Deadline = start.Add(300 * time.Millisecond)
	m.Handle(tight, start)
	m.Handle(offered(102), start)
	late := start.Add(250 * time.Millisecond)
	actions := m.Handle(reply(100, 250*time.Millisecond), late)
	wantRefused(t, actions, query.ReasonDeadline)
	if d := dispatched(actions); !slices.Equal(d, []uint64{102}) {
		t.Fatalf("dispatched %v, want the attempt that can finish", d)
	}
}

func TestHedgeUsesAnotherLeaf(t *testing.T) {
	m := newTestMachine(t, testView(1, 2, 2, 1, 1))
	first := m.Handle(offered(1), start)[0].(Dispatch)
	h := offered(1)
	h.Ticket.Attempt, h.Hedge, h.Avoid = 2, true, []int{first.Leaf}
	second := m.Handle(h, start)[0].(Dispatch)
	if second.Leaf == first.Leaf {
		t.Fatalf("the hedge went to leaf %d again", first.Leaf)
	}
	h.Ticket.Attempt, h.Avoid = 3, []int{first.Leaf, second.Leaf}
	wantRefused(t, m.Handle(h, start), query.ReasonOverloaded)
	// A retry after both declined may use either again.
	r := offered(1)
	r.Ticket.Attempt, r.Retry, r.Avoid = 4, true, []int{first.Leaf, second.Leaf}
	if d := dispatched(m.Handle(r, start)); len(d) != 1 {
		t.Fatalf("a retry that avoids all leaves was not dispatched")
	}
}

// TestHedgeIsRefusedNearCapacity has a queue that takes longer to drain than a reply
// takes.
func TestHedgeIsRefusedNearCapacity(t *testing.T) {
	m := newTestMachine(t, testView(1, 2, 1, 1, 1))
	for q := range 64 {
		m.Handle(offered(q), start)
		m.Handle(reply(q, 10*time.Millisecond), start)
	}
	first := m.Handle(offered(100), start)[0].(Dispatch)
	m.Handle(offered(101), start)
	h := offered(100)
	h.Ticket.Attempt, h.Hedge, h.Avoid = 2, true, []int{first.Leaf}
	if r := refusal(m.Handle(h, start)); r != nil {
		t.Fatalf("%v: want the hedge queued for a busy leaf while the queue is short", r)
	}
	for q := range 10 {
		m.Handle(offered(200+q), start)
	}
	h.Ticket.Attempt = 3
	wantRefused(t, m.Handle(h, start), query.ReasonOverloaded)
}

func TestEjectedLeavesAreUsedWhenTooFewRemain(t *testing.T) {
	defer clear(fakeEjected)
	m := newTestMachine(t, testView(1, 2, 1, 1, 1))
	fakeEjected[0] = true
	d := m.Handle(offered(1), start)[0].(Dispatch)
	if d.Leaf != 1 {
		t.Fatalf("leaf %d, want the one that is not ejected", d.Leaf)
	}
	if got := dispatched(m.Handle(offered(2), start)); len(got) != 0 {
		t.Fatalf("dispatched %v to an ejected leaf", got)
	}
	fakeEjected[1] = true // with all ejected, all are used
	if got := dispatched(m.Handle(offered(3), start)); !slices.Equal(got, []uint64{2}) {
		t.Fatalf("dispatched %v, want dispatches to go on when all are ejected", got)
	}
}

// TestStalledShardIsPolled queues an attempt for an ejected leaf while no attempt runs
// whose end would serve it.
func TestStalledShardIsPolled(t *testing.T) {
	defer clear(fakeEjected)
	m := newTestMachine(t, testView(1, 2, 1, 1, 1))
	fakeEjected[0] = true
	h := offered(1)
	h.Hedge, h.Avoid = true, []int{1} // only the ejected leaf remains
	actions := m.Handle(h, start)
	if len(actions) != 1 || actions[0] != (WakeAt{At: start.Add(pollInterval)}) {
		t.Fatalf("actions %v, want a Tick requested after pollInterval", actions)
	}
	now := start.Add(pollInterval)
	if actions = m.Handle(Tick{}, now); len(actions) != 1 || actions[0] != (WakeAt{At: now.Add(pollInterval)}) {
		t.Fatalf("actions %v, want another Tick requested", actions)
	}
	clear(fakeEjected)
	if d := dispatched(m.Handle(Tick{}, now.Add(pollInterval))); len(d) != 1 {
		t.Fatalf("dispatched %v after the ejection ended", d)
	}
}

// TestReplyAfterViewChangeIsObserved checks that replies of attempts dispatched before a
// change of the view still count.
func TestReplyAfterViewChangeIsObserved(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	m.Handle(offered(1), start)
	m.Handle(ViewChanged{View: testView(1, 1, 1, 1, 1)}, start)
	m.Handle(reply(1, 100*time.Millisecond), start)
	m.Handle(offered(2), start)
	m.Handle(offered(3), start)
	if e := m.Estimate(start); e.Wait != 100*time.Millisecond || e.Backlog != 1 {
		t.Fatalf("estimate %+v, want a wait of one latency", e)
	}
}

func TestLeavingLeafGetsNoNewAttempts(t *testing.T) {
	v := testView(1, 2, 1, 1, 1)
	m := newTestMachine(t, v)
	m.Handle(offered(1), start)
	v2 := testView(1, 2, 1, 1, 1)
	v2.Leaves[0].Draining, v2.Leaves[1].Draining = true, true
	m.Handle(offered(2), start)
	m.Handle(offered(3), start) // queued
	wantRefused(t, m.Handle(ViewChanged{View: v2}, start), query.ReasonNoLeaf)
	if d := dispatched(m.Handle(reply(1, 0), start)); len(d) != 0 {
		t.Fatalf("dispatched %v to a leaving leaf", d)
	}
	wantRefused(t, m.Handle(offered(4), start), query.ReasonNoLeaf)
	// The leaves come back; attempts dispatched before still end.
	m.Handle(ViewChanged{View: v}, start)
	m.Handle(reply(2, 0), start)
	m.Handle(offered(5), start)
	if got := dispatched(m.Handle(offered(6), start)); len(got) != 1 {
		t.Fatalf("dispatched %v, want both leaves idle again", got)
	}
}

func TestAttemptsOfRepartitionedShardAreRefused(t *testing.T) {
	m := newTestMachine(t, testView(2, 1, 1, 1, 1))
	m.Handle(offered(1), start)
	m.Handle(offered(2), start)
	o := offered(3)
	o.Shard = 1
	m.Handle(o, start)
	o.Ticket = ticket(4)
	m.Handle(o, start)
	// The range of the second shard changes; that of the first one stays.
	v := testView(2, 1, 1, 1, 1)
	v.Upstreams[0].Shards[1].Range.To = 3
	actions := m.Handle(ViewChanged{View: v}, start)
	r := refusal(actions)
	if r == nil || r.Reason != query.ReasonWrongRange || r.Ticket != ticket(4) {
		t.Fatalf("actions %v, want query 4 alone refused", actions)
	}
	if d := dispatched(m.Handle(reply(1, 0), start)); !slices.Equal(d, []uint64{2}) {
		t.Fatalf("dispatched %v, want the queued attempt of the unchanged shard", d)
	}
	o.Ticket = ticket(5)
	m.Handle(o, start)
	v2 := testView(2, 1, 1, 1, 1)
	v2.Upstreams[0].Shards[0].Range.From = 10
	v2.Upstreams[0].Shards[1].Range.To = 3
	m.Handle(ViewChanged{View: v2}, start)
	actions = m.Handle(reply(3, 0), start)
	if len(actions) == 0 || actions[0].(Dispatch).Shard != 1 || actions[0].(Dispatch).Ticket != ticket(5) {
		t.Fatalf("actions %v, want query 5 on its own shard", actions)
	}
	wantRefused(t, m.Handle(Offered{Ticket: ticket(9), Shard: 7, Deadline: start.Add(second)}, start), query.ReasonWrongRange)
}
