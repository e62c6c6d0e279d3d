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

// fakeForwarder is a ForwardHandler made of functions of the test.
type fakeForwarder struct {
	offer func() (declined string)
	run   func(ctx context.Context, r *peerapi.ForwardRequest) *peerapi.ForwardReply
	next  NextReplyFunc
}

func (f fakeForwarder) Offer(string, *peerapi.ForwardRequest) string {
	if f.offer == nil {
		return ""
	}
	return f.offer()
}

func (f fakeForwarder) RunOffered(ctx context.Context, r *peerapi.ForwardRequest) (*peerapi.ForwardReply, NextReplyFunc) {
	return f.run(ctx, r), f.next
}

// startPair starts a server with the handler and returns a client for it, the
// server's target and the function that stops the server.
func startPair(t *testing.T, f fakeForwarder) (*Client, Target, context.CancelFunc) {
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

// ample is a timeout that no step of these tests reaches.
const ample = 20 * time.Second

// TestForwardRunsConcurrently forwards a request while another is still running.
func TestForwardRunsConcurrently(t *testing.T) {
	release := make(chan struct{})
	c, target, _ := startPair(t, fakeForwarder{run: func(_ context.Context, r *peerapi.ForwardRequest) *peerapi.ForwardReply {
		if r.Request == "slow" {
			<-release
		}
		return &peerapi.ForwardReply{Version: r.Version, Status: 200, Body: []byte(r.Request)}
	}})
	slow := make(chan error, 1)
	go func() {
		_, err := c.Forward(t.Context(), target, &peerapi.ForwardRequest{Request: "slow"}, OfferOptions{Timeout: ample})
		slow <- err
	}()
	reply, err := c.Forward(t.Context(), target, &peerapi.ForwardRequest{Request: "fast", Version: 7}, OfferOptions{Timeout: ample})
	if err != nil || string(reply.Body) != "fast" || reply.Version != 7 {
		t.Errorf("reply %+v, %v", reply, err)
	}
	close(release)
	if err := <-slow; err != nil {
		t.Error(err)
	}
}

// TestForwardNotAccepted offers a request to peers that don't answer, decline or
// don't exist. None of them runs it, not even when the silent one answers late.
func TestForwardNotAccepted(t *testing.T) {
	var ran atomic.Int64
	run := func(context.Context, *peerapi.ForwardRequest) *peerapi.ForwardReply {
		ran.Add(1)
		return &peerapi.ForwardReply{}
	}
	wake, awake := make(chan struct{}), make(chan struct{})
	silent, silentTarget, _ := startPair(t, fakeForwarder{run: run, offer: func() string {
		<-wake
		defer close(awake)
		return ""
	}})
	var notAccepted *NotAcceptedError
	if _, err := silent.Forward(t.Context(), silentTarget, &peerapi.ForwardRequest{}, OfferOptions{Timeout: time.Second}); !errors.As(err, &notAccepted) {
		t.Errorf("a silent peer: %v, want a NotAcceptedError", err)
	}
	close(wake)
	<-awake
	declining, target, _ := startPair(t, fakeForwarder{run: run, offer: func() string { return "older configuration" }})
	var declined *DeclinedError
	if _, err := declining.Forward(t.Context(), target, &peerapi.ForwardRequest{}, OfferOptions{Timeout: ample}); !errors.As(err, &notAccepted) || !errors.As(err, &declined) {
		t.Errorf("a peer that declines: %v, want a NotAcceptedError with its reason", err)
	}
	if _, err := declining.Forward(t.Context(), Target{Instance: "none", Address: "127.0.0.1:1"}, &peerapi.ForwardRequest{}, OfferOptions{Timeout: time.Second}); !errors.As(err, &notAccepted) {
		t.Errorf("no peer: %v, want a NotAcceptedError", err)
	}
	if n := ran.Load(); n != 0 {
		t.Errorf("%d requests ran without being accepted", n)
	}
}

// TestForwardEndsWithEitherSide checks that a run ends when its client cancels, and
// that the client's call ends when the server stops.
func TestForwardEndsWithEitherSide(t *testing.T) {
	started := make(chan struct{}, 2)
	ended := make(chan struct{}, 2)
	c, target, stop := startPair(t, fakeForwarder{run: func(ctx context.Context, _ *peerapi.ForwardRequest) *peerapi.ForwardReply {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return &peerapi.ForwardReply{}
	}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	forward := func(ctx context.Context) {
		_, err := c.Forward(ctx, target, &peerapi.ForwardRequest{}, OfferOptions{Timeout: ample})
		done <- err
	}
	go forward(ctx)
	<-started
	cancel()
	<-ended
	if err := <-done; err == nil {
		t.Error("no error after the client canceled")
	}
	go forward(t.Context())
	<-started
	stop()
	<-ended
	var lost *UnreachableError
	if err := <-done; !errors.As(err, &lost) {
		t.Errorf("after the server stopped: %v, want an UnreachableError", err)
	}
}

// TestForwardWithSeveralReplies reads the reply that follows the first one, and
// cancels the wait for such a reply, which ends the run.
func TestForwardWithSeveralReplies(t *testing.T) {
	lastReply := make(chan struct{})
	ended := make(chan struct{})
	c, target, _ := startPair(t, fakeForwarder{
		run: func(ctx context.Context, _ *peerapi.ForwardRequest) *peerapi.ForwardReply {
			context.AfterFunc(ctx, func() { ended <- struct{}{} })
			return &peerapi.ForwardReply{Body: []byte("first")}
		},
		next: func(ctx context.Context) (*peerapi.ForwardReply, bool) {
			select {
			case <-lastReply:
				return &peerapi.ForwardReply{Body: []byte("last")}, false
			case <-ctx.Done():
				return &peerapi.ForwardReply{}, false
			}
		},
	})
	start := func() *peerapi.ForwardRequest {
		r := &peerapi.ForwardRequest{RemainingUS: ample.Microseconds()}
		if reply, err := c.Forward(t.Context(), target, r, OfferOptions{Timeout: ample}); err != nil || string(reply.Body) != "first" {
			t.Fatalf("first reply %+v, %v", reply, err)
		}
		return r
	}
	completed := start()
	go func() { lastReply <- struct{}{} }()
	if reply, err := c.NextReply(t.Context(), target, completed.ID); err != nil || string(reply.Body) != "last" {
		t.Fatalf("last reply %+v, %v", reply, err)
	}
	<-ended
	var lost *UnreachableError
	if _, err := c.NextReply(t.Context(), target, completed.ID); !errors.As(err, &lost) {
		t.Errorf("the next reply of a run that has ended: %v, want an UnreachableError", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	canceled := start()
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := c.NextReply(ctx, target, canceled.ID); !errors.As(err, &lost) {
		t.Errorf("a canceled wait for the next reply: %v, want an UnreachableError", err)
	}
	<-ended
}

// TestUnconfirmedRequestDoesNotRun has Confirm return false after the peer accepted.
func TestUnconfirmedRequestDoesNotRun(t *testing.T) {
	c, target, _ := startPair(t, fakeForwarder{run: func(context.Context, *peerapi.ForwardRequest) *peerapi.ForwardReply {
		t.Error("a recalled request ran")
		return &peerapi.ForwardReply{}
	}})
	var notAccepted *NotAcceptedError
	_, err := c.Forward(t.Context(), target, &peerapi.ForwardRequest{}, OfferOptions{Timeout: ample, Confirm: func() bool { return false }})
	if !errors.As(err, &notAccepted) || !errors.Is(err, ErrRecalled) {
		t.Errorf("%v, want a NotAcceptedError for ErrRecalled", err)
	}
}
