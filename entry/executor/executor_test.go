package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ledger"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
)

// behaviour is what a fake leaf does with one attempt.
type behaviour func(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error)

// fakeLeaves stands in for the leaf client. It counts what ran where.
type fakeLeaves struct {
	mu      sync.Mutex
	by      map[string]behaviour // by leaf ID
	started int                  // attempts that reached a leaf and were not declined
	ran     map[string]int       // the same by leaf
}

func (f *fakeLeaves) Run(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	f.mu.Lock()
	b := f.by[t.ID]
	f.mu.Unlock()
	if b == nil {
		b = f.serve(10*time.Millisecond, 1)
	}
	return b(ctx, t, r, sent)
}

// count notes an execution.
func (f *fakeLeaves) count(leaf string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	f.ran[leaf]++
}

// executions is how many attempts ran.
func (f *fakeLeaves) executions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

// serve answers after d with the newest of the versions, or declines another.
func (f *fakeLeaves) serve(d time.Duration, versions ...uint64) behaviour {
	return func(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
		sent()
		version := versions[len(versions)-1]
		if r.Version != 0 {
			version = 0
			for _, v := range versions {
				if v == r.Version {
					version = v
				}
			}
		}
		if version == 0 {
			return nil, &leafclient.DeclinedError{Leaf: t.ID, Reason: leafapi.DeclineWrongVersion, LeafStatus: leafclient.LeafStatus{Versions: versions}}
		}
		f.count(t.ID)
		select {
		case <-time.After(d):
			return &leafclient.Reply{Version: version, Ranges: []keyrange.Range{r.Range}, Body: fmt.Appendf(nil, "%s@%d", r.Range, version), LeafStatus: leafclient.LeafStatus{Versions: versions}}, nil
		case <-ctx.Done():
			return nil, &leafclient.BrokenError{Leaf: t.ID, Cause: leafclient.CauseCancelled, Err: ctx.Err()}
		}
	}
}

// noConnection fails before anything is sent.
func noConnection(_ context.Context, t leafclient.Target, _ *leafclient.Request, _ func() bool) (*leafclient.Reply, error) {
	return nil, &leafclient.DialError{Leaf: t.ID, Err: errors.New("refused")}
}

// breaks runs and then breaks.
func (f *fakeLeaves) breaks(_ context.Context, t leafclient.Target, _ *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	sent()
	f.count(t.ID)
	return nil, &leafclient.BrokenError{Leaf: t.ID, Cause: leafclient.CauseClosed, Err: io.ErrUnexpectedEOF}
}

// noObserver drops what replies show.
type noObserver struct{}

func (noObserver) SawLeaving(string, int64) {}
func (noObserver) SawBorn(string, int64)    {}
func (noObserver) SpreadNow()               {}

// noLedger refuses every claim.
type noLedger struct{}

func (noLedger) Claim(context.Context, ledger.Request) (*ledger.Grant, error) {
	return nil, &ledger.UnavailableError{RetryAfter: time.Second}
}

// bench is an executor over fake leaves.
type bench struct {
	t        *testing.T
	leaves   *fakeLeaves
	executor *Executor
	view     *view.View
	log      *telemetry.Log
	metrics  *telemetry.Metrics
}

// newBench makes an upstream of shards with two replicas each, and the
// services "ask" (idempotent) and "note" (not idempotent).
func newBench(t *testing.T, shards int) *bench {
	t.Helper()
	log, err := telemetry.NewLog(io.Discard, telemetry.Options{Level: "info", LogDecisions: true})
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, log: log, metrics: telemetry.NewMetrics(), leaves: &fakeLeaves{by: make(map[string]behaviour), ran: make(map[string]int)}}
	b.executor = New(Config{
		Leaves: b.leaves, LeafObserver: noObserver{}, Log: log, Metrics: b.metrics, Ledger: noLedger{},
		Policies: Policies{Dispatch: dispatch.DefaultPolicies(), Repetition: "budgeted"},
	})
	if err := b.executor.config.Policies.Check(); err != nil {
		t.Fatal(err)
	}
	b.setView(1, shards)
	return b
}

func (b *bench) close() {
	b.log.Close()
	_ = b.metrics.Close()
}

// setView publishes a view with so many shards.
func (b *bench) setView(sequence uint64, shards int) {
	u := document.Upstream{Name: "up", KeySpace: 1200, ConnectionLimit: 25, Slots: 2}
	for i := range shards {
		size := 1200 / uint64(shards)
		u.Shards = append(u.Shards, document.Shard{
			Range:  keyrange.Range{From: uint64(i) * size, To: uint64(i+1) * size},
			Leaves: []document.Leaf{{ID: fmt.Sprintf("l%d-a", i)}, {ID: fmt.Sprintf("l%d-b", i)}},
		})
	}
	doc := &document.Document{
		Upstreams: []document.Upstream{u},
		Services: []document.Service{
			{Name: "ask", Upstreams: []string{"up"}, Deadline: time.Second, Idempotent: true, HedgeBudget: 0.05, HedgeQuantile: 0.95, RetryBudget: 0.1},
			{Name: "note", Upstreams: []string{"up"}, Deadline: time.Second},
		},
		Callers: []document.Caller{{Name: "desk", Share: 1, Services: []string{"ask", "note"}}},
	}
	b.view = view.Build(sequence, "h", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 3 })
	b.view.Sequence = sequence
	b.executor.Follow(b.view)
}

// ask runs one request.
func (b *bench) ask(ctx context.Context, service string) (*Response, error) {
	return b.executor.Execute(ctx, b.request(service))
}

// request makes a request on the view in force.
func (b *bench) request(service string) *Request {
	now := time.Now()
	return &Request{
		View: b.view, Service: b.view.Services[service], Caller: &b.view.Document.Callers[0],
		Body: []byte("body"), Start: now, Deadline: now.Add(time.Second),
	}
}

// TestCompleteAnswer covers all shards at one version although one replica of
// each has no connection.
func TestCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		defer b.close()
		for i := range 4 {
			b.leaves.by[fmt.Sprintf("l%d-a", i)] = noConnection
		}
		resp, err := b.ask(t.Context(), "ask")
		if err != nil {
			t.Fatal(err)
		}
		a := resp.Answer
		if a.Outcome != "complete" || a.Version != 1 || a.Share != 1 || len(a.Results) != 4 || len(a.Missing) != 0 {
			t.Errorf("answer %+v", a)
		}
	})
}

// TestVersionMovesAsAWhole lets half of the leaves serve only the new version.
func TestVersionMovesAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		defer b.close()
		for i := range 4 {
			for _, r := range []string{"a", "b"} {
				versions := []uint64{1, 2}
				if i >= 2 {
					versions = []uint64{2}
				}
				id := fmt.Sprintf("l%d-%s", i, r)
				b.leaves.by[id] = b.leaves.serve(5*time.Millisecond, versions...)
				b.executor.Learn(id, leafclient.LeafStatus{Versions: []uint64{1}}) // what was last seen is old
			}
		}
		resp, err := b.ask(t.Context(), "ask")
		if err != nil {
			t.Fatal(err)
		}
		a := resp.Answer
		if a.Outcome != "complete" || a.Version != 2 {
			t.Fatalf("outcome %s version %d, want complete at 2: %+v", a.Outcome, a.Version, a)
		}
		for _, r := range a.Results {
			if want := r.Range.String() + "@2"; string(r.Body) != want {
				t.Errorf("result %q, want %q", r.Body, want)
			}
		}
	})
}

// TestNotRunRanNowhere refuses when no leaf has a connection, at once.
func TestNotRunRanNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		defer b.close()
		for _, id := range []string{"l0-a", "l0-b", "l1-a", "l1-b"} {
			b.leaves.by[id] = noConnection
		}
		start := time.Now()
		_, err := b.ask(t.Context(), "ask")
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
			t.Fatalf("error %v, want a refusal with a time to come back", err)
		}
		if n := b.leaves.executions(); n != 0 {
			t.Errorf("refused as not run, but ran %d times", n)
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("the refusal was held back for %v", took)
		}
	})
}

// TestNonIdempotentRunsOnce breaks the only attempt: the outcome is unknown,
// and no second attempt follows.
func TestNonIdempotentRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.close()
		b.leaves.by["l0-a"] = b.leaves.breaks
		b.leaves.by["l0-b"] = b.leaves.breaks
		resp, err := b.ask(t.Context(), "note")
		if err != nil {
			t.Fatal(err)
		}
		if resp.Answer.Outcome != "unknown" || b.leaves.executions() != 1 {
			t.Errorf("outcome %s after %d executions, want unknown after 1", resp.Answer.Outcome, b.leaves.executions())
		}
	})
}

// TestNoClaimNoRun refuses a keyed request while the store takes no claim.
func TestNoClaimNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.close()
		now := time.Now()
		_, err := b.executor.Execute(t.Context(), &Request{
			View: b.view, Service: b.view.Services["note"], Caller: &b.view.Document.Callers[0],
			Key: "k", Start: now, Deadline: now.Add(time.Second),
		})
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != RefusedUnavailable || refused.RetryAfter != time.Second {
			t.Fatalf("error %v, want unavailable with the store's time to come back", err)
		}
		if n := b.leaves.executions(); n != 0 {
			t.Errorf("ran %d times without a claim", n)
		}
	})
}

// TestCallerGone ends the query and its exchanges when the caller goes.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		defer b.close()
		for i := range 4 {
			for _, r := range []string{"a", "b"} {
				b.leaves.by[fmt.Sprintf("l%d-%s", i, r)] = b.leaves.serve(900*time.Millisecond, 1)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, _ = b.ask(ctx, "ask")
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("the query outlived its caller by %v", took-50*time.Millisecond)
		}
		synctest.Wait()
		if n := b.executor.Running(); n != 0 {
			t.Errorf("%d queries in flight", n)
		}
	})
}

// TestViewChangesUnderAQuery splits shards while a query waits for its replies.
func TestViewChangesUnderAQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		defer b.close()
		done := make(chan *Response)
		ask := b.request("ask")
		go func() {
			resp, err := b.executor.Execute(t.Context(), ask)
			if err != nil {
				t.Error(err)
			}
			done <- resp
		}()
		time.Sleep(5 * time.Millisecond)
		b.setView(2, 4)
		if resp := <-done; resp != nil && resp.Answer.Outcome != "complete" {
			t.Errorf("answer %+v", resp.Answer)
		}
		resp, err := b.ask(t.Context(), "ask")
		if err != nil || len(resp.Answer.Results) != 4 {
			t.Errorf("after the split: %+v, %v", resp, err)
		}
	})
}

// TestRecalledAttemptIsNotSent has leaves whose connection comes only after the
// query was answered: the answer "not run" must stay true.
func TestRecalledAttemptIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.close()
		late := func(_ context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
			time.Sleep(2 * time.Second) // past the deadline, deaf to the context
			if !sent() {
				return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
			}
			b.leaves.count(t.ID)
			return &leafclient.Reply{Version: 1, Ranges: []keyrange.Range{r.Range}}, nil
		}
		b.leaves.by["l0-a"], b.leaves.by["l0-b"] = late, late
		for _, service := range []string{"ask", "note"} {
			_, err := b.ask(t.Context(), service)
			var refused *RefusedError
			if !errors.As(err, &refused) {
				t.Errorf("%s: %v, want a refusal", service, err)
			}
		}
		time.Sleep(5 * time.Second)
		if n := b.leaves.executions(); n != 0 {
			t.Errorf("refused as not run, and ran %d times later", n)
		}
	})
}

// TestQueriesInProgressAreBounded sends more at once than may be in progress.
func TestQueriesInProgressAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.close()
		b.executor.config.MaxQueries = 3
		var refusals atomic.Int64
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				_, err := b.ask(t.Context(), "ask")
				var refused *RefusedError
				if errors.As(err, &refused) && refused.Reason == RefusedOverloaded && refused.RetryAfter > 0 {
					refusals.Add(1)
				}
			})
		}
		wg.Wait()
		if n := refusals.Load(); n != 2 {
			t.Errorf("%d refused of 5, want 2", n)
		}
	})
}
