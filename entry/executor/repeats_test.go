package executor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// stallingLeaf is a leaf that at times stands still. What is sent to it meanwhile, also by
// attempts that are cancelled, waits in a buffer and arrives when it goes on.
type stallingLeaf struct {
	arrivals *arrivalLog
	mu       sync.Mutex
	resumed  chan struct{} // nil while it does not stand still
	buffered []string      // IDs of queries
}

// meanWork is longer than an instance waits before it sends a hedge, so that the hedges use up
// the limit.
const meanWork = 20 * time.Millisecond

// arrivalLog holds when requests arrived at leaves.
type arrivalLog struct {
	mu      sync.Mutex
	first   map[string]bool
	repeats []time.Time
}

// add notes that a query's request arrived.
func (l *arrivalLog) add(query string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first[query] {
		l.repeats = append(l.repeats, time.Now())
	}
	l.first[query] = true
}

// repeatTimes returns when repeats arrived.
func (l *arrivalLog) repeatTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.repeats)
}

// stand lets the leaf stand still for a time.
func (l *stallingLeaf) stand(d time.Duration) {
	l.mu.Lock()
	l.resumed = make(chan struct{})
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, query := range l.buffered {
		l.arrivals.add(query)
	}
	l.buffered = nil
	close(l.resumed)
	l.resumed = nil
}

// run implements behaviour.
func (l *stallingLeaf) run(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	if !sent() {
		return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
	}
	l.mu.Lock()
	resumed := l.resumed
	if resumed == nil {
		l.arrivals.add(r.ID)
	} else {
		l.buffered = append(l.buffered, r.ID)
	}
	l.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
			return nil, &leafclient.BrokenError{Leaf: t.ID, Cause: leafclient.CauseCancelled, Err: ctx.Err()}
		}
	}
	select {
	case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanWork))):
		return &leafclient.Reply{Version: 1, Ranges: []keyrange.Range{r.Range}, LeafStatus: leafclient.LeafStatus{Versions: []uint64{1}}}, nil
	case <-ctx.Done():
		return nil, &leafclient.BrokenError{Leaf: t.ID, Cause: leafclient.CauseCancelled, Err: ctx.Err()}
	}
}

// The limit on repeats of these tests.
var testRepeatLimit = document.RepeatLimit{Ratio: 0.2, Slack: 7, Window: 10 * time.Second}

// limitedView is a view of one shard with two leaves whose repeats are limited.
func limitedView() *view.View {
	u := document.Upstream{Name: "up", KeySpace: 1, ConnectionLimit: 200, Slots: 64, RepeatLimit: &testRepeatLimit, Shards: []document.Shard{
		{Name: "s", Range: keyrange.Range{To: 1}, Leaves: []document.Leaf{{ID: "a"}, {ID: "b"}}},
	}}
	doc := &document.Document{
		Upstreams: []document.Upstream{u},
		Services:  []document.Service{{Name: "ask", Upstreams: []string{"up"}, Deadline: time.Second, Objective: 50 * time.Millisecond, Idempotent: true, LeastCoverage: 1}},
		Callers:   []document.Caller{{Name: "desk", Share: 1, Services: []string{"ask"}}},
	}
	v := view.Build(1, "h", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 100 })
	v.Sequence = 1
	return v
}

// TestRequestsThatLeavesReadLateStayWithinRepeatLimit counts an arrival when a leaf reads it.
func TestRequestsThatLeavesReadLateStayWithinRepeatLimit(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playStallingLeaves(t, seed) })
		})
	}
}

// playStallingLeaves sends requests for half a minute to two leaves that stand still at times.
func playStallingLeaves(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	e := newTestExecutor(t, 1)
	defer e.close()
	e.executor.config.Policies = Policies{Dispatch: dispatch.Policies{Routing: "nearest", Order: "adaptive", Limit: "adaptive"}, Repetition: "objective"}
	e.view = limitedView()
	e.executor.SetView(e.view)
	arrivals := &arrivalLog{first: make(map[string]bool)}
	for _, id := range []string{"a", "b"} {
		leaf := &stallingLeaf{arrivals: arrivals}
		e.leaves.behaviours[id] = leaf.run
		own := rand.New(rand.NewPCG(seed, uint64(id[0])))
		go func() {
			for range 5 {
				time.Sleep(time.Duration(1000+own.IntN(8000)) * time.Millisecond)
				leaf.stand(time.Duration(1000+own.IntN(3000)) * time.Millisecond)
			}
		}()
	}
	var requests []time.Time
	for begin := time.Now(); time.Since(begin) < 30*time.Second; {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(12*time.Millisecond)))
		requests = append(requests, time.Now())
		go func() { _, _ = e.execute(t.Context(), "ask") }()
	}
	time.Sleep(time.Minute) // all leaves have gone on
	checkRepeatWindows(t, arrivals.repeatTimes(), requests)
}

// checkRepeatWindows compares the repeats with the limit in all sliding windows. The requests
// of the window that has most count: that of the repeats, the one before it or the one half
// a window before it.
func checkRepeatWindows(t *testing.T, repeats, requests []time.Time) {
	t.Helper()
	window := testRepeatLimit.Window
	within := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	slices.SortFunc(repeats, time.Time.Compare)
	for _, at := range repeats {
		for _, from := range []time.Time{at, at.Add(time.Nanosecond - window)} {
			most := max(within(requests, from), within(requests, from.Add(-window/2)), within(requests, from.Add(-window)))
			limit := testRepeatLimit.Ratio*float64(most) + testRepeatLimit.Slack
			if n := within(repeats, from); float64(n) > limit {
				t.Errorf("%d repeats arrived within %v, limit %.1f for %d requests", n, window, limit, most)
				return
			}
		}
	}
}
