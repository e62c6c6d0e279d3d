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

// decidedBy is an executor that notes by which version each request was decided.
type decidedBy struct{ versions []uint64 }

func (d *decidedBy) Forward(_ context.Context, r *executor.Request) (*query.Answer, error) {
	d.versions = append(d.versions, r.View.Generation)
	return &query.Answer{Outcome: query.Failed, Reason: "played"}, nil
}

func (d *decidedBy) Written(*query.Answer, time.Time) {}

// always is what a gateway asks of the instance beside its view.
type always struct{ *fixture }

func (always) Current() bool    { return true }
func (always) BodyLimit() int64 { return 0 }

// TestForwardedRequestIsNeverDecidedByAnOlderVersion offers requests of random versions to an
// instance whose version is another and grows between the offer and the run.
func TestForwardedRequestIsNeverDecidedByAnOlderVersion(t *testing.T) {
	n := elsewhere(t, strong{})
	n.lifecycle.Serve()
	decided := &decidedBy{}
	n.Serve(gateway.New(gateway.Config{Executor: decided, Views: always{n}, Lifecycle: &n.lifecycle, Log: n.config.Log}))
	rapid.Check(t, func(rt *rapid.T) {
		own := rapid.Uint64Range(1, 6).Draw(rt, "own version")
		sent := rapid.Uint64Range(1, 6).Draw(rt, "sender's version")
		n.view = twoZones(t, own).View
		offer := &peerapi.ForwardRequest{Version: sent, Request: "q", Method: http.MethodGet, Target: "/x", Host: "h", RemainingUS: 1e6}
		if declined := n.Offer("other", offer); (declined == "") != (own >= sent) {
			rt.Fatalf("version %d offered to an instance with %d: %q", sent, own, declined)
		} else if declined != "" {
			return
		}
		n.view = twoZones(t, own+rapid.Uint64Range(0, 2).Draw(rt, "newer versions")).View
		decided.versions = nil
		reply, _ := n.RunOffered(t.Context(), offer)
		if len(decided.versions) != 1 || decided.versions[0] < sent || reply.Version != decided.versions[0] {
			rt.Fatalf("a request of version %d was decided by %v, reply of %d", sent, decided.versions, reply.Version)
		}
	})
}

// TestLeavingInstanceStillTakesRequestsOver offers a request in each phase of an instance's life.
func TestLeavingInstanceStillTakesRequestsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := weak(t)
		n.view = twoZones(t, 5).View
		offer := &peerapi.ForwardRequest{Version: 5, Target: "/x", Host: "h"}
		for phase, want := range map[lifecycle.Phase]string{lifecycle.Serving: "", lifecycle.Leaving: "", lifecycle.Refusing: "not serving"} {
			n.lifecycle.Set(phase)
			if got := n.Offer("other", offer); got != want {
				t.Errorf("phase %d: %q, want %q", phase, got, want)
			}
		}
	})
}
