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

// fakePeer is another instance with the behavior that a test sets.
type fakePeer struct {
	declined string
	run      func(ctx context.Context) *peerapi.ForwardReply
	rest     peer.NextReplyFunc
	lost     bool // the connection to it is lost after the first reply
}

func (p fakePeer) Offer(string, *peerapi.ForwardRequest) string { return p.declined }

func (p fakePeer) RunOffered(ctx context.Context, _ *peerapi.ForwardRequest) (*peerapi.ForwardReply, peer.NextReplyFunc) {
	return p.run(ctx), p.rest
}

// serve starts a peer server and returns its address and a function that stops it.
func (p fakePeer) serve(t *testing.T, network *peertest.Network, name string) (address string, stop func()) {
	t.Helper()
	l := network.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(peer.ServerConfig{Instance: name, Key: []byte("k"), Forward: p}).Serve(ctx, l)
	}()
	return l.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// fixture is an instance with a Forwarder and the parts that the Forwarder depends on.
type fixture struct {
	*Forwarder
	fleet     *fleet.Fleet
	peers     *peer.Client
	view      *view.View
	stale     bool // the view may not be acted on
	lifecycle lifecycle.Lifecycle
}

// IsCurrent implements Views.
func (n *fixture) IsCurrent() bool { return !n.stale }

// View implements Views.
func (n *fixture) View() *view.View { return n.view }

var fleetSettings = fleet.Settings{ForgetAfter: time.Minute, PeerBackoff: 3 * time.Second, MaxPeerBackoff: time.Minute}

// newFixture returns an instance with a small share of a core that knows larger ones of its
// zone, "strong", "strong-1" and so on. Tests that forward requests call it in a synctest
// bubble, since a peer that accepts after the timeout would be skipped.
func newFixture(t *testing.T, known ...fakePeer) *fixture {
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
	var stops []func()
	for i, p := range known {
		name := "strong"
		if i > 0 {
			name = fmt.Sprintf("strong-%d", i)
		}
		address, stop := p.serve(t, network, name)
		list = append(list, fleet.Instance{Name: name, Zone: "z", CPUs: 0.8, PeerAddress: address})
		stops = append(stops, stop)
	}
	n.fleet.ApplyStoreList(list, time.Now())
	t.Cleanup(func() {
		n.peers.Close()
		log.Close()
		for _, stop := range stops {
			stop()
		}
	})
	return n
}

// largeQueryShards is a number of shards with which a query is forwarded.
const largeQueryShards = 30

// newLargeRequest returns a request over enough shards to be forwarded.
func newLargeRequest(t *testing.T) *executor.Request {
	t.Helper()
	var shards []string
	for i := range largeQueryShards {
		shards = append(shards, string(rune('A'+i)))
	}
	c := catalog.New(catalog.Settings{})
	c.ApplyConfig(&catalog.Config{Version: 5, Routes: []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Minute, Shards: shards, TopK: 1}}}, time.Now(), time.Now())
	c.ApplyLeaves(catalog.Listing{Revision: 1}, time.Now(), time.Now())
	v := view.Build(5, "", c.Document(), c.Draining, func(*document.Upstream, string) int { return 1 })
	return &executor.Request{
		View: v, Service: v.Services["r"], Forwarded: &leafclient.ForwardedRequest{ID: "q", Method: http.MethodGet, Target: "/x", Host: "h"},
		Start: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
}

// TestRelay checks which instance answers a large query, and whether the other instance
// still counts as healthy for the next one.
func TestRelay(t *testing.T) { synctest.Test(t, testRelay) }

func testRelay(t *testing.T) {
	answer := func(context.Context) *peerapi.ForwardReply {
		return &peerapi.ForwardReply{Version: 5, Status: http.StatusOK, Body: []byte("x")}
	}
	for _, tc := range []struct {
		name         string
		peer         fakePeer
		disconnected bool // the client disconnects during the run
		status       int  // 0: this instance runs the request
		healthy      bool // the other instance still counts as healthy afterwards
	}{
		{name: "taken over", peer: fakePeer{run: answer}, status: http.StatusOK, healthy: true},
		{name: "declined", peer: fakePeer{declined: "older configuration", run: answer}, healthy: true},
		{name: "the client leaves", disconnected: true, status: http.StatusBadGateway, healthy: true, peer: fakePeer{run: func(ctx context.Context) *peerapi.ForwardReply {
			<-ctx.Done()
			return &peerapi.ForwardReply{}
		}}},
	} {
		n := newFixture(t, tc.peer)
		ctx, cancel := context.WithCancel(t.Context())
		if tc.disconnected {
			time.AfterFunc(50*time.Millisecond, cancel)
		}
		reply := n.Relay(ctx, newLargeRequest(t))
		cancel()
		status := 0
		if reply != nil {
			status = reply.Status
		}
		if status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, status, tc.status)
		}
		if healthy := len(n.fleet.Stronger(time.Now())) == 1; healthy != tc.healthy {
			t.Errorf("%s: the other instance counts as healthy: %v, want %v", tc.name, healthy, tc.healthy)
		}
	}
}

// TestRelayTriesNextInstance has one of two instances decline all requests, as a stopping
// instance does. Each request must run on the other one.
func TestRelayTriesNextInstance(t *testing.T) { synctest.Test(t, testRelayTriesNextInstance) }

func testRelayTriesNextInstance(t *testing.T) {
	answer := func(context.Context) *peerapi.ForwardReply {
		return &peerapi.ForwardReply{Version: 5, Status: http.StatusOK, Body: []byte("x")}
	}
	n := newFixture(t, fakePeer{declined: "not serving", run: answer}, fakePeer{run: answer})
	for i := range 20 {
		if reply := n.Relay(t.Context(), newLargeRequest(t)); reply == nil || reply.Status != http.StatusOK {
			t.Fatalf("request %d was not run by the other instance that accepts", i)
		}
	}
}

// TestClassifyPeerErrors checks which errors leave open whether the request ran, and which
// suggest that the other instance is unhealthy.
func TestClassifyPeerErrors(t *testing.T) {
	declined := &peer.NotAcceptedError{Err: &peer.DeclinedError{Reason: "not serving"}}
	timedOut := &peer.NotAcceptedError{Err: context.DeadlineExceeded}
	lost := &peer.UnreachableError{Err: errors.New("reset")}
	for _, tc := range []struct {
		err                        error
		mayHaveRun, showsUnhealthy bool
	}{{declined, false, false}, {timedOut, false, true}, {lost, true, true}} {
		if mayHaveRun(tc.err) != tc.mayHaveRun || showsUnhealthy(tc.err) != tc.showsUnhealthy {
			t.Errorf("%v: may have run %v, shows unhealthy %v", tc.err, mayHaveRun(tc.err), showsUnhealthy(tc.err))
		}
	}
}

// TestClassifyForwardError checks that the logs tell a client that has disconnected from an
// instance that was lost.
func TestClassifyForwardError(t *testing.T) {
	disconnected, cancel := context.WithCancel(t.Context())
	cancel()
	lost := &peer.UnreachableError{Err: errors.New("reset")}
	timedOut := &peer.NotAcceptedError{Err: context.DeadlineExceeded}
	for _, tc := range []struct {
		ctx  context.Context
		err  error
		what string
	}{
		{disconnected, lost, "ended with its client"},
		{disconnected, timedOut, "ended with its client"},
		{t.Context(), lost, "lost where it was handed over"},
		{t.Context(), timedOut, "not handed over"},
	} {
		if what, _ := classifyForwardError(tc.ctx, tc.err); what != tc.what {
			t.Errorf("%v: %q, want %q", tc.err, what, tc.what)
		}
	}
}

// TestForwardDelayIsBounded observes one delay of seconds, after which the next request must
// still have time for its run.
func TestForwardDelayIsBounded(t *testing.T) {
	e := delayEstimate{initial: minInitialDelay}
	if got := e.upperBound(); got != minInitialDelay {
		t.Errorf("delay %v before the first observation, want %v", got, minInitialDelay)
	}
	for range 20 {
		e.observe(4 * time.Millisecond)
	}
	before := e.upperBound()
	e.observe(3 * time.Second)
	if got := e.upperBound(); got > maxForwardDelay {
		t.Errorf("delay %v after an observation of 3 s, want at most %v", got, maxForwardDelay)
	}
	for range 40 {
		e.observe(4 * time.Millisecond)
	}
	if got := e.upperBound(); got > before+time.Millisecond {
		t.Errorf("delay %v after 40 short observations, want about the %v before the long one", got, before)
	}
}
