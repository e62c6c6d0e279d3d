package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// forwarder runs what is handed over by functions of the test.
type forwarder struct {
	offered func() (declined string)
	run     func(ctx context.Context, r *peerapi.ForwardRequest) *peerapi.ForwardReply
	rest    Rest
}

func (f forwarder) Offer(string, *peerapi.ForwardRequest) string {
	if f.offered == nil {
		return ""
	}
	return f.offered()
}

func (f forwarder) RunOffered(ctx context.Context, r *peerapi.ForwardRequest) (*peerapi.ForwardReply, Rest) {
	return f.run(ctx, r), f.rest
}

// pair starts a server that runs what is handed over, and a client of it.
func pair(t *testing.T, f forwarder) (*Client, Target, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := NewServer(ServerConfig{Instance: "server", Key: []byte("key"), Forward: f})
	go func() { done <- server.Serve(ctx, l) }()
	c := NewClient(ClientConfig{Instance: "client", Key: []byte("key")})
	t.Cleanup(func() {
		c.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c, Target{Instance: "server", Address: l.Addr().String()}, cancel
}

// long is a time that no step of these tests takes.
const long = 20 * time.Second

// TestForward hands a request over while another is still running.
func TestForward(t *testing.T) {
	release := make(chan struct{})
	c, target, _ := pair(t, forwarder{run: func(_ context.Context, r *peerapi.ForwardRequest) *peerapi.ForwardReply {
		if r.Request == "slow" {
			<-release
		}
		return &peerapi.ForwardReply{Version: r.Version, Status: 200, Body: []byte(r.Request)}
	}})
	slow := make(chan error, 1)
	go func() {
		_, err := c.Forward(t.Context(), target, &peerapi.ForwardRequest{Request: "slow"}, Acceptance{Within: long})
		slow <- err
	}()
	reply, err := c.Forward(t.Context(), target, &peerapi.ForwardRequest{Request: "fast", Version: 7}, Acceptance{Within: long})
	if err != nil || string(reply.Body) != "fast" || reply.Version != 7 {
		t.Errorf("reply %+v, %v", reply, err)
	}
	close(release)
	if err := <-slow; err != nil {
		t.Error(err)
	}
}

// TestForwardNotAccepted offers a request to peers that are silent, decline or are
// not there: none of them runs it, also not when the silent one wakes.
func TestForwardNotAccepted(t *testing.T) {
	var ran atomic.Int64
	run := func(context.Context, *peerapi.ForwardRequest) *peerapi.ForwardReply {
		ran.Add(1)
		return &peerapi.ForwardReply{}
	}
	wake, awake := make(chan struct{}), make(chan struct{})
	silent, silentTarget, _ := pair(t, forwarder{run: run, offered: func() string {
		<-wake
		defer close(awake)
		return ""
	}})
	var notAccepted *NotAcceptedError
	if _, err := silent.Forward(t.Context(), silentTarget, &peerapi.ForwardRequest{}, Acceptance{Within: time.Second}); !errors.As(err, &notAccepted) {
		t.Errorf("a silent peer: %v, want a NotAcceptedError", err)
	}
	close(wake)
	<-awake
	declining, target, _ := pair(t, forwarder{run: run, offered: func() string { return "older configuration" }})
	var declined *DeclinedError
	if _, err := declining.Forward(t.Context(), target, &peerapi.ForwardRequest{}, Acceptance{Within: long}); !errors.As(err, &notAccepted) || !errors.As(err, &declined) {
		t.Errorf("a peer that declines: %v, want a NotAcceptedError with its reason", err)
	}
	if _, err := declining.Forward(t.Context(), Target{Instance: "none", Address: "127.0.0.1:1"}, &peerapi.ForwardRequest{}, Acceptance{Within: time.Second}); !errors.As(err, &notAccepted) {
		t.Errorf("no peer: %v, want a NotAcceptedError", err)
	}
	if n := ran.Load(); n != 0 {
		t.Errorf("%d requests ran that nobody took over", n)
	}
}

// TestForwardCancelled ends the run when the client goes, and the client's wait
// when the server does.
func TestForwardCancelled(t *testing.T) {
	started := make(chan struct{}, 2)
	ended := make(chan struct{}, 2)
	c, target, stop := pair(t, forwarder{run: func(ctx context.Context, _ *peerapi.ForwardRequest) *peerapi.ForwardReply {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return &peerapi.ForwardReply{}
	}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	forward := func(ctx context.Context) {
		_, err := c.Forward(ctx, target, &peerapi.ForwardRequest{}, Acceptance{Within: long})
		done <- err
	}
	go forward(ctx)
	<-started
	cancel()
	<-ended
	if err := <-done; err == nil {
		t.Error("no error after the client has gone")
	}
	go forward(t.Context())
	<-started
	stop()
	<-ended
	var lost *UnreachableError
	if err := <-done; !errors.As(err, &lost) {
		t.Errorf("after the server has gone: %v, want an UnreachableError", err)
	}
}

// TestForwardGoesOn takes what a run brings after its first reply, and ends one of
// which no more is needed.
func TestForwardGoesOn(t *testing.T) {
	later := make(chan struct{})
	ended := make(chan struct{})
	c, target, _ := pair(t, forwarder{
		run: func(ctx context.Context, _ *peerapi.ForwardRequest) *peerapi.ForwardReply {
			context.AfterFunc(ctx, func() { ended <- struct{}{} })
			return &peerapi.ForwardReply{Body: []byte("first")}
		},
		rest: func(ctx context.Context) (*peerapi.ForwardReply, bool) {
			select {
			case <-later:
				return &peerapi.ForwardReply{Body: []byte("last")}, false
			case <-ctx.Done():
				return &peerapi.ForwardReply{}, false
			}
		},
	})
	begin := func() *peerapi.ForwardRequest {
		r := &peerapi.ForwardRequest{RemainingUS: long.Microseconds()}
		if reply, err := c.Forward(t.Context(), target, r, Acceptance{Within: long}); err != nil || string(reply.Body) != "first" {
			t.Fatalf("first reply %+v, %v", reply, err)
		}
		return r
	}
	whole := begin()
	go func() { later <- struct{}{} }()
	if reply, err := c.Rest(t.Context(), target, whole.ID); err != nil || string(reply.Body) != "last" {
		t.Fatalf("last reply %+v, %v", reply, err)
	}
	<-ended
	var lost *UnreachableError
	if _, err := c.Rest(t.Context(), target, whole.ID); !errors.As(err, &lost) {
		t.Errorf("the rest of a run that has ended: %v, want an UnreachableError", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	left := begin()
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := c.Rest(ctx, target, left.ID); !errors.As(err, &lost) {
		t.Errorf("a rest that nobody needs: %v, want an UnreachableError", err)
	}
	<-ended
}

// TestRecalledIsNotRun takes the word to run back after the offer was accepted.
func TestRecalledIsNotRun(t *testing.T) {
	c, target, _ := pair(t, forwarder{run: func(context.Context, *peerapi.ForwardRequest) *peerapi.ForwardReply {
		t.Error("a request ran that was recalled")
		return &peerapi.ForwardReply{}
	}})
	var notAccepted *NotAcceptedError
	_, err := c.Forward(t.Context(), target, &peerapi.ForwardRequest{}, Acceptance{Within: long, Accepted: func() bool { return false }})
	if !errors.As(err, &notAccepted) || !errors.Is(err, ErrRecalled) {
		t.Errorf("%v, want a NotAcceptedError for ErrRecalled", err)
	}
}
