package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// forwarder runs what is handed over by a function of the test.
type forwarder struct {
	run func(ctx context.Context, r peerapi.ForwardRequest, accepted func()) *peerapi.ForwardReply
}

func (f forwarder) Forward(ctx context.Context, _ string, r peerapi.ForwardRequest, accepted func()) *peerapi.ForwardReply {
	return f.run(ctx, r, accepted)
}

// pair starts a server that runs what is handed over, and a client of it.
func pair(t *testing.T, run func(ctx context.Context, r peerapi.ForwardRequest, accepted func()) *peerapi.ForwardReply) (*Client, Target, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := NewServer(ServerConfig{Instance: "server", Key: []byte("key"), Forward: forwarder{run}})
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
	c, target, _ := pair(t, func(_ context.Context, r peerapi.ForwardRequest, accepted func()) *peerapi.ForwardReply {
		accepted()
		if r.Request == "slow" {
			<-release
		}
		return &peerapi.ForwardReply{Version: r.Version, Status: 200, Body: []byte(r.Request)}
	})
	slow := make(chan error, 1)
	go func() {
		_, err := c.Forward(t.Context(), target, peerapi.ForwardRequest{Request: "slow"}, long)
		slow <- err
	}()
	reply, err := c.Forward(t.Context(), target, peerapi.ForwardRequest{Request: "fast", Version: 7}, long)
	if err != nil || string(reply.Body) != "fast" || reply.Version != 7 {
		t.Errorf("reply %+v, %v", reply, err)
	}
	close(release)
	if err := <-slow; err != nil {
		t.Error(err)
	}
}

// TestForwardNotAccepted checks what is said of a request that no one took over.
func TestForwardNotAccepted(t *testing.T) {
	cancelled := make(chan struct{})
	c, target, _ := pair(t, func(ctx context.Context, _ peerapi.ForwardRequest, _ func()) *peerapi.ForwardReply {
		<-ctx.Done()
		close(cancelled)
		return &peerapi.ForwardReply{}
	})
	_, err := c.Forward(t.Context(), target, peerapi.ForwardRequest{}, time.Second)
	var notAccepted *NotAcceptedError
	if !errors.As(err, &notAccepted) || !notAccepted.Sent {
		t.Errorf("a silent peer: %v, want a NotAcceptedError that says it was sent", err)
	}
	<-cancelled // the peer hears that nobody waits
	_, err = c.Forward(t.Context(), Target{Instance: "none", Address: "127.0.0.1:1"}, peerapi.ForwardRequest{}, time.Second)
	if !errors.As(err, &notAccepted) || notAccepted.Sent {
		t.Errorf("no peer: %v, want a NotAcceptedError that says it was not sent", err)
	}
}

// TestForwardCancelled ends the run when the client goes, and the client's wait
// when the server does.
func TestForwardCancelled(t *testing.T) {
	started := make(chan struct{}, 2)
	ended := make(chan struct{}, 2)
	c, target, stop := pair(t, func(ctx context.Context, _ peerapi.ForwardRequest, accepted func()) *peerapi.ForwardReply {
		accepted()
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return &peerapi.ForwardReply{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	forward := func(ctx context.Context) {
		_, err := c.Forward(ctx, target, peerapi.ForwardRequest{}, long)
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
