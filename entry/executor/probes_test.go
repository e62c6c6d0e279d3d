package executor

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// fakeProbeStore claims every probe, or none. It counts the calls.
type fakeProbeStore struct {
	refuses         bool
	claims, deletes int
}

func (f *fakeProbeStore) Claim(_ context.Context, r quarantine.Record) (quarantine.Record, bool) {
	f.claims++
	if f.refuses {
		return quarantine.Record{}, false
	}
	return r, true
}
func (f *fakeProbeStore) Save(string)   {}
func (f *fakeProbeStore) Delete(string) { f.deletes++ }

// newSuspectExecutor makes an executor for which the request of the service "ask" is a suspect,
// with a behaviour of all leaves.
func newSuspectExecutor(t *testing.T, probes *fakeProbeStore, b func(e *testExecutor) behaviour) *testExecutor {
	e := newTestExecutor(t, 2)
	e.executor.config.ProbeStore = probes
	for _, id := range []string{"l0-a", "l0-b", "l1-a", "l1-b"} {
		e.leaves.behaviours[id] = b(e)
	}
	fingerprint := e.executor.quarantine.fingerprint(e.request("ask"))
	e.executor.quarantine.handle(quarantine.AttemptEnded{Fingerprint: fingerprint, Crashed: true}, time.Now())
	return e
}

// declines receives the request and declines it.
func declines(e *testExecutor) behaviour {
	return func(_ context.Context, t leafclient.Target, _ *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
		if !sent() {
			return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
		}
		e.leaves.count(t.ID)
		return nil, &leafclient.DeclinedError{Leaf: t.ID, Reason: leafapi.DeclineOverloaded}
	}
}

// TestSuspectReachesOneLeafInAProbe has the leaves decline a suspect, break the connection, or
// serve it: unless it is served it reaches one leaf, and then none while it is in quarantine.
func TestSuspectReachesOneLeafInAProbe(t *testing.T) {
	for _, tc := range []struct {
		name      string
		behaviour func(e *testExecutor) behaviour
		served    bool
	}{
		{"declined", declines, false},
		{"broken", func(e *testExecutor) behaviour { return e.leaves.breaks }, false},
		{"served", func(e *testExecutor) behaviour { return e.leaves.serve(10*time.Millisecond, 1) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				probes := &fakeProbeStore{}
				e := newSuspectExecutor(t, probes, tc.behaviour)
				defer e.close()
				for range 3 {
					_, err := e.execute(t.Context(), "ask")
					if tc.served != (err == nil) && tc.name != "broken" {
						t.Errorf("served is %v, want %v: %v", err == nil, tc.served, err)
					}
				}
				want := 1
				if tc.served {
					want = 6
				}
				if n := e.leaves.executions(); n != want || probes.claims != 1 {
					t.Errorf("%d arrivals after %d claims, want %d after 1", n, probes.claims, want)
				}
				if deleted := probes.deletes == 1; deleted != tc.served {
					t.Errorf("%d deletions, served is %v", probes.deletes, tc.served)
				}
			})
		})
	}
}

// TestSuspectWithoutClaimIsRefusedAsNotRun has no probe claimed: nothing is sent, and the caller
// is told when to come back.
func TestSuspectWithoutClaimIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newSuspectExecutor(t, &fakeProbeStore{refuses: true}, declines)
		defer e.close()
		_, err := e.execute(t.Context(), "ask")
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != RefusedQuarantined || refused.RetryAfter <= 0 {
			t.Errorf("error %v, want a refusal with the time to come back", err)
		}
		if n := e.leaves.executions(); n != 0 {
			t.Errorf("%d arrivals", n)
		}
	})
}

// TestProbeIsNotClaimedWhileNoLeafIsReached has all dials fail: no probe is spent on it.
func TestProbeIsNotClaimedWhileNoLeafIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := &fakeProbeStore{}
		e := newSuspectExecutor(t, probes, func(*testExecutor) behaviour { return noConnection })
		defer e.close()
		if _, err := e.execute(t.Context(), "ask"); err == nil {
			t.Error("served without a leaf")
		}
		if probes.claims != 0 {
			t.Errorf("%d claims", probes.claims)
		}
	})
}

// TestLeafThatStopsAtDeadlineShowsNothing has a leaf state a failure: at the deadline it has not
// run the request to its end, so that it may still crash leaves.
func TestLeafThatStopsAtDeadlineShowsNothing(t *testing.T) {
	for status, want := range map[int]bool{http.StatusGatewayTimeout: false, http.StatusInternalServerError: true} {
		broken := &leafclient.BrokenError{Failure: &leafclient.ForwardedResponse{Status: status}}
		if got := ranToEnd(broken); got != want {
			t.Errorf("status %d: ran to its end is %v, want %v", status, got, want)
		}
	}
	if ranToEnd(&leafclient.BrokenError{}) {
		t.Error("a lost connection counts as a run to the end")
	}
}

// sharedProbeStore claims probes for several instances, as the platform's store does.
type sharedProbeStore struct {
	mu     sync.Mutex
	stored map[string]quarantine.Record
}

func (s *sharedProbeStore) Claim(_ context.Context, r quarantine.Record) (quarantine.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.stored[r.Fingerprint]; ok && stored.Level >= r.Level {
		return stored, false
	}
	s.stored[r.Fingerprint] = r
	return r, true
}
func (s *sharedProbeStore) Save(string)   {}
func (s *sharedProbeStore) Delete(string) {}

// TestSuspectRunsThreeTimesADay sends a request that crashes leaves to eight instances, each five
// minutes for a day; they hear of each other by the store alone.
func TestSuspectRunsThreeTimesADay(t *testing.T) {
	const instances, interval, maxProbes = 8, 5 * time.Minute, 3
	synctest.Test(t, func(t *testing.T) {
		probes := &sharedProbeStore{stored: make(map[string]quarantine.Record)}
		var all []*testExecutor
		for range instances {
			e := newTestExecutor(t, 2)
			defer e.close()
			e.executor.config.ProbeStore = probes
			for _, id := range []string{"l0-a", "l0-b", "l1-a", "l1-b"} {
				e.leaves.behaviours[id] = whenAllowed(e.leaves.breaks)
			}
			fingerprint := e.executor.quarantine.fingerprint(e.request("ask"))
			e.executor.quarantine.handle(quarantine.AttemptEnded{Fingerprint: fingerprint, Crashed: true}, time.Now())
			all = append(all, e)
		}
		for end := time.Now().Add(24 * time.Hour); time.Now().Before(end); time.Sleep(interval) {
			for _, e := range all {
				_, _ = e.execute(t.Context(), "ask") // it is refused or crashes a leaf
			}
		}
		arrivals := 0
		for _, e := range all {
			arrivals += e.leaves.executions()
		}
		if arrivals != maxProbes {
			t.Errorf("%d arrivals in a day, want %d", arrivals, maxProbes)
		}
	})
}

// whenAllowed returns a behaviour that first asks whether the attempt may be sent.
func whenAllowed(b behaviour) behaviour {
	return func(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
		if !sent() {
			return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
		}
		return b(ctx, t, r, func() bool { return true })
	}
}
