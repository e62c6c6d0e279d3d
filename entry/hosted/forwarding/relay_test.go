package forwarding

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer/peertest"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// strong is a stronger instance as a test plays it.
type strong struct {
	declined string
	run      func(ctx context.Context) *peerapi.ForwardReply
	rest     peer.NextReplyFunc
	lost     bool // its connection is lost after the first reply
}

func (s strong) Offer(string, *peerapi.ForwardRequest) string { return s.declined }

func (s strong) RunOffered(ctx context.Context, _ *peerapi.ForwardRequest) (*peerapi.ForwardReply, peer.NextReplyFunc) {
	return s.run(ctx), s.rest
}

// serve runs a stronger instance and returns its address and its end.
func (s strong) serve(t *testing.T, network *peertest.Network, name string) (address string, end func()) {
	t.Helper()
	l := network.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(peer.ServerConfig{Instance: name, Key: []byte("k"), Forward: s}).Serve(ctx, l)
	}()
	return l.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// fixture is an instance that hands over, as far as that needs one.
type fixture struct {
	*Forwarder
	fleet     *fleet.Fleet
	peers     *peer.Client
	view      *view.View
	lifecycle lifecycle.Lifecycle
}

// View implements Views.
func (n *fixture) View() *view.View { return n.view }

// fleetSettings are the times of the fleet in these tests.
var fleetSettings = fleet.Settings{ForgetAfter: time.Minute, PeerBackoff: 3 * time.Second, MaxPeerBackoff: time.Minute}

// weak makes an instance that knows stronger ones of its zone: "strong", "strong-1" and so on.
// Whoever accepts late is passed over, so it is called in a bubble of virtual time.
func weak(t *testing.T, known ...strong) *fixture {
	t.Helper()
	log, err := telemetry.NewLog(io.Discard, telemetry.Options{Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	network := &peertest.Network{}
	n := &fixture{
		fleet: fleet.New(fleet.Instance{Name: "weak", Zone: "z", CPUs: 0.2}, fleetSettings),
		peers: peer.NewClient(peer.ClientConfig{Instance: "weak", Key: []byte("k"), Dial: network.Dial}),
	}
	n.Forwarder = New(Config{Zone: "z", Fleet: n.fleet, Views: n, Lifecycle: &n.lifecycle, Peers: n.peers, Log: log, SyncNow: func() {}})
	var list []fleet.Instance
	var ends []func()
	for i, s := range known {
		name := "strong"
		if i > 0 {
			name = fmt.Sprintf("strong-%d", i)
		}
		address, end := s.serve(t, network, name)
		list = append(list, fleet.Instance{Name: name, Zone: "z", CPUs: 0.8, PeerAddress: address})
		ends = append(ends, end)
	}
	n.fleet.ApplyStoreList(list, time.Now())
	t.Cleanup(func() {
		n.peers.Close()
		log.Close()
		for _, end := range ends {
			end()
		}
	})
	return n
}

// largeShards is a number of shards from which queries are handed over.
const largeShards = 30

// large is a request over enough shards to be handed over.
func large(t *testing.T) *executor.Request {
	t.Helper()
	var shards []string
	for i := range largeShards {
		shards = append(shards, string(rune('A'+i)))
	}
	c := catalog.New(catalog.Settings{})
	c.ApplyConfig(&catalog.Config{Version: 5, Routes: []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Minute, Shards: shards, TopK: 1}}}, time.Now(), time.Now())
	c.ApplyLeaves(catalog.Listing{Revision: 1}, time.Now(), time.Now())
	v := view.Build(5, "", c.Document(), c.Draining, func(*document.Upstream, string) int { return 1 })
	return &executor.Request{
		View: v, Service: v.Services["r"], Passed: &leafclient.Passed{ID: "q", Method: http.MethodGet, Target: "/x", Host: "h"},
		Start: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
}

// TestRelay checks who answers a large query, and who is passed over for the next.
func TestRelay(t *testing.T) { synctest.Test(t, relays) }

func relays(t *testing.T) {
	answer := func(context.Context) *peerapi.ForwardReply {
		return &peerapi.ForwardReply{Version: 5, Status: http.StatusOK, Body: []byte("x")}
	}
	for _, tc := range []struct {
		name   string
		strong strong
		gone   bool // the client leaves while it runs
		status int  // 0: this instance runs it
		asked  bool // the stronger one is still asked afterwards
	}{
		{name: "taken over", strong: strong{run: answer}, status: http.StatusOK, asked: true},
		{name: "declined", strong: strong{declined: "older configuration", run: answer}, asked: true},
		{name: "the client leaves", gone: true, status: http.StatusBadGateway, asked: true, strong: strong{run: func(ctx context.Context) *peerapi.ForwardReply {
			<-ctx.Done()
			return &peerapi.ForwardReply{}
		}}},
	} {
		n := weak(t, tc.strong)
		ctx, cancel := context.WithCancel(t.Context())
		if tc.gone {
			time.AfterFunc(50*time.Millisecond, cancel)
		}
		reply := n.Relay(ctx, large(t))
		cancel()
		status := 0
		if reply != nil {
			status = reply.Status
		}
		if status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, status, tc.status)
		}
		if got := len(n.fleet.Stronger(time.Now())) == 1; got != tc.asked {
			t.Errorf("%s: the stronger instance is asked again: %v, want %v", tc.name, got, tc.asked)
		}
	}
}

// TestRelayAsksAnother has one of two stronger instances decline, as one does that stops:
// each request is taken over by the other.
func TestRelayAsksAnother(t *testing.T) { synctest.Test(t, asksAnother) }

func asksAnother(t *testing.T) {
	answer := func(context.Context) *peerapi.ForwardReply {
		return &peerapi.ForwardReply{Version: 5, Status: http.StatusOK, Body: []byte("x")}
	}
	n := weak(t, strong{declined: "not serving", run: answer}, strong{run: answer})
	for i := range 20 {
		if reply := n.Relay(t.Context(), large(t)); reply == nil || reply.Status != http.StatusOK {
			t.Fatalf("request %d was run by the weak instance", i)
		}
	}
}

// TestRelayErrors checks what errors say of the other instance.
func TestRelayErrors(t *testing.T) {
	declined := &peer.NotAcceptedError{Err: &peer.DeclinedError{Reason: "not serving"}}
	silent := &peer.NotAcceptedError{Err: context.DeadlineExceeded}
	lost := &peer.UnreachableError{Err: errors.New("reset")}
	for _, tc := range []struct {
		err          error
		took, blames bool
	}{{declined, false, false}, {silent, false, true}, {lost, true, true}} {
		if took(tc.err) != tc.took || blames(tc.err) != tc.blames {
			t.Errorf("%v: took %v, blames %v", tc.err, took(tc.err), blames(tc.err))
		}
	}
}

// TestHandedOverEnd tells a client that has left from an instance that was lost.
func TestHandedOverEnd(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	lost := &peer.UnreachableError{Err: errors.New("reset")}
	silent := &peer.NotAcceptedError{Err: context.DeadlineExceeded}
	for _, tc := range []struct {
		ctx  context.Context
		err  error
		what string
	}{
		{gone, lost, "ended with its client"},
		{gone, silent, "ended with its client"},
		{t.Context(), lost, "lost where it was handed over"},
		{t.Context(), silent, "not handed over"},
	} {
		if what, _ := handedOverEnd(tc.ctx, tc.err); what != tc.what {
			t.Errorf("%v: %q, want %q", tc.err, what, tc.what)
		}
	}
}

// TestForwardDelayIsBounded lets one hand-over take seconds: the next still gets its time.
func TestForwardDelayIsBounded(t *testing.T) {
	h := delayEstimate{first: leastFirstDelay}
	if got := h.high(); got != leastFirstDelay {
		t.Errorf("%v before anything is known, want %v", got, leastFirstDelay)
	}
	for range 20 {
		h.observe(4 * time.Millisecond)
	}
	before := h.high()
	h.observe(3 * time.Second)
	if got := h.high(); got > mostForwardDelay {
		t.Errorf("%v is kept after a hand-over of 3 s, want at most %v", got, mostForwardDelay)
	}
	for range 40 {
		h.observe(4 * time.Millisecond)
	}
	if got := h.high(); got > before+time.Millisecond {
		t.Errorf("%v is still kept, %v was before", got, before)
	}
}
