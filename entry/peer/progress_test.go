package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer/peertest"
)

// narrowLink lets chunkSize bytes through each chunkEvery.
type narrowLink struct{ net.Conn }

const (
	chunkSize  = 4 << 10
	chunkEvery = 50 * time.Millisecond
)

func (l *narrowLink) Read(b []byte) (int, error) {
	time.Sleep(chunkEvery)
	return l.Conn.Read(b[:min(len(b), chunkSize)])
}

// syncHandler answers with a large configuration.
type syncHandler struct{}

func (syncHandler) Sync(string, peerapi.SyncRequest) *peerapi.SyncReply {
	return &peerapi.SyncReply{Config: bytes.Repeat([]byte("x"), 16*chunkSize)}
}

// TestLargeReplyOverAFullLinkIsNotCutOff takes a reply of more than a second where a silence of a
// quarter of one ends the call.
func TestLargeReplyOverAFullLinkIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &peertest.Network{}
		listener := network.Listen()
		served := make(chan error, 1)
		go func() {
			served <- NewServer(ServerConfig{Instance: "server", Key: []byte("key"), Sync: syncHandler{}}).Serve(ctx, listener)
		}()
		c := NewClient(ClientConfig{Instance: "client", Key: []byte("key"), SyncIdleTimeout: 250 * time.Millisecond, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			return &narrowLink{conn}, err
		}})
		reply, err := c.Sync(ctx, Target{Instance: "server", Address: listener.Addr().String()}, peerapi.SyncRequest{})
		if err != nil || len(reply.Config) != 16*chunkSize {
			t.Errorf("reply %v, error %v", reply != nil, err)
		}
		c.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		time.Sleep(2 * chunkEvery) // the last read of the link
	})
}

// TestSilentPeerEndsSync takes a peer that accepts and never answers.
func TestSilentPeerEndsSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &link{bytes: &countedConn{}}
		ctx, release := l.untilSilent(t.Context(), time.Second)
		defer release()
		begin := time.Now()
		<-ctx.Done()
		var silence *IdleTimeoutError
		if took := time.Since(begin); took != time.Second || !errors.As(context.Cause(ctx), &silence) {
			t.Errorf("ended after %v by %v", took, context.Cause(ctx))
		}
	})
}

// lossyLink loses all that is written after the first message.
type lossyLink struct {
	net.Conn
	written bool
}

func (l *lossyLink) Write(b []byte) (int, error) {
	if l.written {
		return len(b), nil
	}
	l.written = true
	return l.Conn.Write(b)
}

// TestSilenceDuringProofIsNoRefusal loses the proof on its way: the peer has refused nothing.
func TestSilenceDuringProofIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &peertest.Network{}
		listener := network.Listen()
		served := make(chan error, 1)
		go func() {
			served <- NewServer(ServerConfig{Instance: "server", Key: []byte("key")}).Serve(ctx, listener)
		}()
		c := NewClient(ClientConfig{Instance: "client", Key: []byte("key"), Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			return &lossyLink{Conn: conn}, err
		}})
		err := c.Connect(ctx, Target{Instance: "server", Address: listener.Addr().String()})
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v, want an UnreachableError", err)
		}
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}
