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

// slowConn receives at most chunkSize bytes per chunkInterval.
type slowConn struct{ net.Conn }

const (
	chunkSize     = 4 << 10
	chunkInterval = 50 * time.Millisecond
)

func (c *slowConn) Read(b []byte) (int, error) {
	time.Sleep(chunkInterval)
	return c.Conn.Read(b[:min(len(b), chunkSize)])
}

// syncHandler answers with a large configuration.
type syncHandler struct{}

func (syncHandler) Sync(string, peerapi.SyncRequest) *peerapi.SyncReply {
	return &peerapi.SyncReply{Config: bytes.Repeat([]byte("x"), 16*chunkSize)}
}

// TestLargeReplyOverSlowConnectionCompletes receives a reply for more than a second under
// an idle timeout of a quarter of a second.
func TestLargeReplyOverSlowConnectionCompletes(t *testing.T) {
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
			return &slowConn{conn}, err
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
		time.Sleep(2 * chunkInterval) // for the last read of slowConn
	})
}

// TestIdleTimeoutEndsContext has a connection that never receives a byte.
func TestIdleTimeoutEndsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &peerConn{counter: &countingConn{}}
		ctx, release := conn.withIdleTimeout(t.Context(), time.Second)
		defer release()
		begin := time.Now()
		<-ctx.Done()
		var idle *IdleTimeoutError
		if took := time.Since(begin); took != time.Second || !errors.As(context.Cause(ctx), &idle) {
			t.Errorf("ended after %v by %v", took, context.Cause(ctx))
		}
	})
}

// lossyConn drops all writes after the first message.
type lossyConn struct {
	net.Conn
	written bool
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.written {
		return len(b), nil
	}
	c.written = true
	return c.Conn.Write(b)
}

// TestLostHelloIsUnreachableNotRefused loses the Hello call: the error must not claim
// that the peer refused this instance.
func TestLostHelloIsUnreachableNotRefused(t *testing.T) {
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
			return &lossyConn{Conn: conn}, err
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
