package executor

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// serveIfSent answers an attempt that may be sent.
func (f *fakeLeaves) serveIfSent(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	if !sent() {
		return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
	}
	return f.serve(time.Millisecond, 1)(ctx, t, r, func() bool { return true })
}

// drain publishes a view in which some leaves drain.
func (e *testExecutor) drain(sequence uint64, leaves ...string) {
	doc := e.view.Document
	draining := func(id string) bool {
		for _, leaf := range leaves {
			if id == leaf {
				return true
			}
		}
		return false
	}
	e.view = view.Build(sequence, "h", doc, draining, func(*document.Upstream, string) int { return 3 })
	e.view.Sequence = sequence
	e.executor.SetView(e.view)
}

// TestAttemptIsNotSentToLeafThatBeganToLeaveMeanwhile drains the leaf that was chosen for an
// attempt while the attempt waits for a connection: another leaf runs the request.
func TestAttemptIsNotSentToLeafThatBeganToLeaveMeanwhile(t *testing.T) {
	for _, service := range []string{"ask", "note"} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestExecutor(t, 1)
				defer e.close()
				var drained string
				first := true
				waits := func(ctx context.Context, target leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
					if first {
						first, drained = false, target.ID
						e.drain(2, target.ID)
					}
					return e.leaves.serveIfSent(ctx, target, r, sent)
				}
				e.leaves.behaviours["l0-a"], e.leaves.behaviours["l0-b"] = waits, waits
				answer, err := e.executor.Forward(t.Context(), e.request(service))
				if err != nil {
					t.Fatal(err)
				}
				if answer.Outcome != "complete" || e.leaves.executions() != 1 || e.leaves.executedBy[drained] != 0 {
					t.Errorf("outcome %s; run by %v, want by the leaf other than %s", answer.Outcome, e.leaves.executedBy, drained)
				}
			})
		})
	}
}

// staleState is a State that is stale until it is renewed.
type staleState struct{ renewed atomic.Bool }

func (s *staleState) IsCurrent() bool { return s.renewed.Load() }

func (s *staleState) Await(ctx context.Context) bool {
	for !s.IsCurrent() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond):
		}
	}
	return true
}

// TestNothingIsSentByStaleState executes a request while the state is stale: it waits for the
// state, and is refused as not run if that does not come in time.
func TestNothingIsSentByStaleState(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := newTestExecutor(t, 2)
			defer e.close()
			for _, id := range []string{"l0-a", "l0-b", "l1-a", "l1-b"} {
				e.leaves.behaviours[id] = e.leaves.serveIfSent
			}
			state := &staleState{}
			e.executor.config.State = state
			if renewed {
				time.AfterFunc(50*time.Millisecond, func() { state.renewed.Store(true) })
			}
			start := time.Now()
			resp, err := e.execute(t.Context(), "ask")
			switch {
			case renewed && (err != nil || resp.Answer.Outcome != "complete"):
				t.Errorf("not served after the state was renewed: %v", err)
			case renewed && time.Since(start) < 50*time.Millisecond:
				t.Error("served by stale state")
			case !renewed && (err == nil || e.leaves.executions() != 0):
				t.Errorf("%d attempts ran by stale state, error %v; want a refusal", e.leaves.executions(), err)
			}
		})
	}
}

// TestEachSendIsLoggedByRequestAndLeafUnderLoad sends far more requests than the budget of routine
// lines allows: the line of each send names its request and its leaf.
func TestEachSendIsLoggedByRequestAndLeafUnderLoad(t *testing.T) {
	const requests = 50
	synctest.Test(t, func(t *testing.T) {
		var sink bytes.Buffer
		log, err := telemetry.NewLog(&sink, telemetry.Options{
			Level: "info", Format: "logfmt", LogDecisions: true, DecisionBudgets: telemetry.Budgets{telemetry.Outcome: 1, telemetry.Routine: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		e := newTestExecutor(t, 2)
		defer e.close()
		e.executor.config.Log = log
		e.executor.config.StateInfo = func() StateInfo { return StateInfo{LeavesAge: time.Second, LeavesRevision: 17} }
		var mu sync.Mutex
		sent := make(map[string]int)
		for _, id := range []string{"l0-a", "l0-b", "l1-a", "l1-b"} {
			e.leaves.behaviours[id] = func(ctx context.Context, target leafclient.Target, r *leafclient.Request, confirm func() bool) (*leafclient.Reply, error) {
				mu.Lock()
				sent[r.Forwarded.ID+" "+target.ID]++
				mu.Unlock()
				return e.leaves.serveIfSent(ctx, target, r, confirm)
			}
		}
		for i := range requests {
			r := e.request("ask")
			r.Forwarded = &leafclient.ForwardedRequest{ID: fmt.Sprintf("r%d", i)}
			if _, err := e.executor.Execute(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		log.Close()
		if len(sent) < 2*requests {
			t.Fatalf("%d sends of %d requests", len(sent), requests)
		}
		line := regexp.MustCompile(`(?m)msg=sent request=(\S+) .*leaf=(\S+) .*leaves_age=1s leaves_revision=17$`)
		for _, m := range line.FindAllStringSubmatch(sink.String(), -1) {
			sent[m[1]+" "+m[2]]--
		}
		for send, missing := range sent {
			if missing != 0 {
				t.Errorf("%s: %d lines too few", send, missing)
			}
		}
	})
}
