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

// behaviour is how a fake leaf handles one attempt.
type behaviour func(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error)

// fakeLeaves is a fake leaf client. It counts the executions by leaf.
type fakeLeaves struct {
	mu         sync.Mutex
	behaviours map[string]behaviour // by leaf ID
	executed   int                  // attempts that reached a leaf and were not declined
	executedBy map[string]int       // the same by leaf ID
}

func (f *fakeLeaves) Run(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	f.mu.Lock()
	b := f.behaviours[t.ID]
	f.mu.Unlock()
	if b == nil {
		b = f.serve(10*time.Millisecond, 1)
	}
	return b(ctx, t, r, sent)
}

// count counts an execution.
func (f *fakeLeaves) count(leaf string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executed++
	f.executedBy[leaf]++
}

// executions returns how many attempts ran.
func (f *fakeLeaves) executions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executed
}

// serve answers after d at the requested version, or at the last of the versions if none
// was requested; it declines a version that it lacks.
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

// breaks runs the attempt and then closes the connection without a reply.
func (f *fakeLeaves) breaks(_ context.Context, t leafclient.Target, _ *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	sent()
	f.count(t.ID)
	return nil, &leafclient.BrokenError{Leaf: t.ID, Cause: leafclient.CauseClosed, Err: io.ErrUnexpectedEOF}
}

// noObserver ignores what it is told.
type noObserver struct{}

func (noObserver) ObserveDraining(string, int64) {}
func (noObserver) ObserveStart(string, int64)    {}
func (noObserver) GossipNow()                    {}

// noLedger refuses every claim.
type noLedger struct{}

func (noLedger) Claim(context.Context, ledger.Request) (*ledger.Grant, error) {
	return nil, &ledger.UnavailableError{RetryAfter: time.Second}
}

// testExecutor is an executor over fake leaves.
type testExecutor struct {
	t        *testing.T
	leaves   *fakeLeaves
	executor *Executor
	view     *view.View
	log      *telemetry.Log
	metrics  *telemetry.Metrics
}

// newTestExecutor returns an executor over an upstream of shards with two replicas each, and the
// services "ask" (idempotent) and "note" (not idempotent).
func newTestExecutor(t *testing.T, shards int) *testExecutor {
	t.Helper()
	log, err := telemetry.NewLog(io.Discard, telemetry.Options{Level: "info", LogDecisions: true})
	if err != nil {
		t.Fatal(err)
	}
	e := &testExecutor{t: t, log: log, metrics: telemetry.NewMetrics(), leaves: &fakeLeaves{behaviours: make(map[string]behaviour), executedBy: make(map[string]int)}}
	e.executor = New(Config{
		LeafClient: e.leaves, LeafObserver: noObserver{}, Log: log, Metrics: e.metrics, Ledger: noLedger{},
		Policies: Policies{Dispatch: dispatch.DefaultPolicies(), Repetition: "budgeted"},
	})
	if err := e.executor.config.Policies.Check(); err != nil {
		t.Fatal(err)
	}
	e.setView(1, shards)
	return e
}

func (e *testExecutor) close() {
	e.log.Close()
	_ = e.metrics.Close()
}

// setView publishes a view with the given number of shards.
func (e *testExecutor) setView(sequence uint64, shards int) {
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
	e.view = view.Build(sequence, "h", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 3 })
	e.view.Sequence = sequence
	e.executor.SetView(e.view)
}

// execute runs one request.
func (e *testExecutor) execute(ctx context.Context, service string) (*Response, error) {
	return e.executor.Execute(ctx, e.request(service))
}

// request returns a request on the current view.
func (e *testExecutor) request(service string) *Request {
	now := time.Now()
	return &Request{
		View: e.view, Service: e.view.Services[service], Caller: &e.view.Document.Callers[0],
		Body: []byte("body"), Start: now, Deadline: now.Add(time.Second),
	}
}

// TestAnswerIsCompleteWithOneReplicaUnreachable checks that all shards are covered at one
// version although one replica of each refuses connections.
func TestAnswerIsCompleteWithOneReplicaUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 4)
		defer e.close()
		for i := range 4 {
			e.leaves.behaviours[fmt.Sprintf("l%d-a", i)] = noConnection
		}
		resp, err := e.execute(t.Context(), "ask")
		if err != nil {
			t.Fatal(err)
		}
		a := resp.Answer
		if a.Outcome != "complete" || a.Version != 1 || a.Share != 1 || len(a.Results) != 4 || len(a.Missing) != 0 {
			t.Errorf("answer %+v", a)
		}
	})
}

// TestAllShardsMoveToOneVersion checks that the answer has one version while half of the
// leaves serve only the new one.
func TestAllShardsMoveToOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 4)
		defer e.close()
		for i := range 4 {
			for _, r := range []string{"a", "b"} {
				versions := []uint64{1, 2}
				if i >= 2 {
					versions = []uint64{2}
				}
				id := fmt.Sprintf("l%d-%s", i, r)
				e.leaves.behaviours[id] = e.leaves.serve(5*time.Millisecond, versions...)
				e.executor.RecordStatus(id, leafclient.LeafStatus{Versions: []uint64{1}}) // the last reported versions are out of date
			}
		}
		resp, err := e.execute(t.Context(), "ask")
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

// TestRefusesAtOnceWhenNoLeafIsReachable checks that the refusal comes without waiting for
// the deadline and that nothing ran.
func TestRefusesAtOnceWhenNoLeafIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 2)
		defer e.close()
		for _, id := range []string{"l0-a", "l0-b", "l1-a", "l1-b"} {
			e.leaves.behaviours[id] = noConnection
		}
		start := time.Now()
		_, err := e.execute(t.Context(), "ask")
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
			t.Fatalf("error %v, want a refusal with a time to retry", err)
		}
		if n := e.leaves.executions(); n != 0 {
			t.Errorf("refused as not run, but ran %d times", n)
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
	})
}

// TestNonIdempotentRunsOnce checks that a lost connection makes the outcome unknown and
// that no second attempt follows.
func TestNonIdempotentRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 1)
		defer e.close()
		e.leaves.behaviours["l0-a"] = e.leaves.breaks
		e.leaves.behaviours["l0-b"] = e.leaves.breaks
		resp, err := e.execute(t.Context(), "note")
		if err != nil {
			t.Fatal(err)
		}
		if resp.Answer.Outcome != "unknown" || e.leaves.executions() != 1 {
			t.Errorf("outcome %s after %d executions, want unknown after 1", resp.Answer.Outcome, e.leaves.executions())
		}
	})
}

// TestRefusesKeyedRequestWithoutClaim checks that a request with a key is refused while
// the store grants no claim.
func TestRefusesKeyedRequestWithoutClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 1)
		defer e.close()
		now := time.Now()
		_, err := e.executor.Execute(t.Context(), &Request{
			View: e.view, Service: e.view.Services["note"], Caller: &e.view.Document.Callers[0],
			Key: "k", Start: now, Deadline: now.Add(time.Second),
		})
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != RefusedUnavailable || refused.RetryAfter != time.Second {
			t.Fatalf("error %v, want unavailable with the store's time to retry", err)
		}
		if n := e.leaves.executions(); n != 0 {
			t.Errorf("ran %d times without a claim", n)
		}
	})
}

// TestQueryEndsWhenCallerDisconnects checks that the query and its exchanges end with the
// caller.
func TestQueryEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 4)
		defer e.close()
		for i := range 4 {
			for _, r := range []string{"a", "b"} {
				e.leaves.behaviours[fmt.Sprintf("l%d-%s", i, r)] = e.leaves.serve(900*time.Millisecond, 1)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, _ = e.execute(ctx, "ask")
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("the query outlived its caller by %v", took-50*time.Millisecond)
		}
		synctest.Wait()
		if n := e.executor.QueriesInFlight(); n != 0 {
			t.Errorf("%d queries in flight", n)
		}
	})
}

// TestQueryCompletesAcrossShardSplit splits shards while a query waits for its replies.
func TestQueryCompletesAcrossShardSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 2)
		defer e.close()
		done := make(chan *Response)
		request := e.request("ask")
		go func() {
			resp, err := e.executor.Execute(t.Context(), request)
			if err != nil {
				t.Error(err)
			}
			done <- resp
		}()
		time.Sleep(5 * time.Millisecond)
		e.setView(2, 4)
		if resp := <-done; resp != nil && resp.Answer.Outcome != "complete" {
			t.Errorf("answer %+v", resp.Answer)
		}
		resp, err := e.execute(t.Context(), "ask")
		if err != nil || len(resp.Answer.Results) != 4 {
			t.Errorf("after the split: %+v, %v", resp, err)
		}
	})
}

// TestRecalledAttemptIsNotSent checks that the answer "not run" stays true when the
// connections to the leaves are established only after the query was answered.
func TestRecalledAttemptIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 1)
		defer e.close()
		connectLate := func(_ context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
			time.Sleep(2 * time.Second) // past the deadline; ignores the context
			if !sent() {
				return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
			}
			e.leaves.count(t.ID)
			return &leafclient.Reply{Version: 1, Ranges: []keyrange.Range{r.Range}}, nil
		}
		e.leaves.behaviours["l0-a"], e.leaves.behaviours["l0-b"] = connectLate, connectLate
		for _, service := range []string{"ask", "note"} {
			_, err := e.execute(t.Context(), service)
			var refused *RefusedError
			if !errors.As(err, &refused) {
				t.Errorf("%s: %v, want a refusal", service, err)
			}
		}
		time.Sleep(5 * time.Second)
		if n := e.leaves.executions(); n != 0 {
			t.Errorf("refused as not run, and ran %d times later", n)
		}
	})
}

// TestQueriesInProgressAreBounded checks that queries beyond MaxQueries are refused.
func TestQueriesInProgressAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, 1)
		defer e.close()
		e.executor.config.MaxQueries = 3
		var refusals atomic.Int64
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				_, err := e.execute(t.Context(), "ask")
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
