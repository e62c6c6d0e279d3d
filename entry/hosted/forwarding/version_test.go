package forwarding

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// versionRecorder is an executor that records the configuration version of each request.
type versionRecorder struct{ versions []uint64 }

func (v *versionRecorder) Forward(_ context.Context, r *executor.Request) (*query.Answer, error) {
	v.versions = append(v.versions, r.View.Generation)
	return &query.Answer{Outcome: query.Failed, Reason: "played"}, nil
}

func (v *versionRecorder) RecordWritten(*query.Answer, time.Time) {}

// gatewayViews adds to a fixture the methods that a gateway needs besides View.
type gatewayViews struct{ *fixture }

func (gatewayViews) Current() bool              { return true }
func (gatewayViews) Await(context.Context) bool { return true }
func (gatewayViews) BodyLimit() int64           { return 0 }

// TestForwardedRequestIsNeverRunByOlderVersion offers requests of random configuration
// versions to an instance whose own version is random and may grow between the offer and
// the run. The request must not run with a version older than the sender's.
func TestForwardedRequestIsNeverRunByOlderVersion(t *testing.T) {
	n := newCrossZoneFixture(t, fakePeer{})
	n.lifecycle.MarkServing()
	recorder := &versionRecorder{}
	n.SetGateway(gateway.New(gateway.Config{Executor: recorder, Views: gatewayViews{n}, Lifecycle: &n.lifecycle, Log: n.config.Log}))
	rapid.Check(t, func(rt *rapid.T) {
		own := rapid.Uint64Range(1, 6).Draw(rt, "own version")
		sent := rapid.Uint64Range(1, 6).Draw(rt, "sender's version")
		n.view = newTwoZoneRequest(t, own).View
		offer := &peerapi.ForwardRequest{Version: sent, Request: "q", Method: http.MethodGet, Target: "/x", Host: "h", RemainingUS: 1e6}
		if declined := n.Offer("other", offer); (declined == "") != (own >= sent) {
			rt.Fatalf("request of version %d offered to an instance with %d: decline reason %q", sent, own, declined)
		} else if declined != "" {
			return
		}
		n.view = newTwoZoneRequest(t, own+rapid.Uint64Range(0, 2).Draw(rt, "newer versions")).View
		recorder.versions = nil
		reply, _ := n.RunOffered(t.Context(), offer)
		if len(recorder.versions) != 1 || recorder.versions[0] < sent || reply.Version != recorder.versions[0] {
			rt.Fatalf("request of version %d ran with versions %v, reply has version %d", sent, recorder.versions, reply.Version)
		}
	})
}

// TestStaleInstanceDeclinesForwardedRequests has an instance stand still: it must not run requests by
// what it knew before.
func TestStaleInstanceDeclinesForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFixture(t)
		n.view = newTwoZoneRequest(t, 5).View
		n.stale = true
		for _, offer := range []*peerapi.ForwardRequest{{Version: 5, Target: "/x", Host: "h"}, {Version: 5, Gather: &peerapi.GatherRequest{}}} {
			if got := n.Offer("other", offer); got != "stale state" {
				t.Errorf("decline reason %q, want that the state is stale", got)
			}
		}
	})
}

// TestLeavingInstanceAcceptsForwardedRequests checks that an instance accepts forwarded
// requests while it serves or leaves, and declines them while it refuses requests.
func TestLeavingInstanceAcceptsForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFixture(t)
		n.view = newTwoZoneRequest(t, 5).View
		offer := &peerapi.ForwardRequest{Version: 5, Target: "/x", Host: "h"}
		for phase, want := range map[lifecycle.Phase]string{lifecycle.Serving: "", lifecycle.Leaving: "", lifecycle.Refusing: "not serving"} {
			n.lifecycle.Set(phase)
			if got := n.Offer("other", offer); got != want {
				t.Errorf("phase %d: decline reason %q, want %q", phase, got, want)
			}
		}
	})
}
