package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
)

// acceptConn returns the instance's side of a connection on the loopback address.
func acceptConn(t *testing.T) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		c.Close()
	})
	return c
}

// TestNetworkDelayCountsHandshakeOfFirstRequest checks that the first request on a
// connection counts the handshake, and that later requests don't, nor a first request
// that arrives long after the connection was opened.
func TestNetworkDelayCountsHandshakeOfFirstRequest(t *testing.T) {
	ctx := WithConnection(context.Background(), acceptConn(t))
	c := ctx.Value(connectionKey{}).(*connection)
	if c.roundTrip <= 0 {
		t.Fatal("TCP has measured no round-trip time")
	}
	const acceptDelay = 3 * time.Millisecond
	start := c.opened.Add(acceptDelay)
	first, next := networkDelay(ctx, start), networkDelay(ctx, start.Add(time.Second))
	if want := margin.NetworkDelay(c.roundTrip, true, acceptDelay); first != want {
		t.Errorf("first request %v, want %v", first, want)
	}
	if want := margin.NetworkDelay(c.roundTrip, false, 0); next != want {
		t.Errorf("next request %v, want %v", next, want)
	}
	ahead := WithConnection(context.Background(), acceptConn(t))
	c = ahead.Value(connectionKey{}).(*connection)
	if got, want := networkDelay(ahead, c.opened.Add(time.Second)), margin.NetworkDelay(c.roundTrip, false, 0); got != want {
		t.Errorf("a connection opened ahead: %v, want %v", got, want)
	}
}

// TestNetworkDelayDefaultsWithoutRoundTrip checks a connection without TCP info and a
// context without a connection.
func TestNetworkDelayDefaultsWithoutRoundTrip(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	now := time.Now()
	if got := networkDelay(WithConnection(context.Background(), a), now); got != margin.DefaultNetworkDelay {
		t.Errorf("a pipe: %v, want %v", got, margin.DefaultNetworkDelay)
	}
	if got := networkDelay(context.Background(), now); got != margin.DefaultNetworkDelay {
		t.Errorf("no connection: %v, want %v", got, margin.DefaultNetworkDelay)
	}
}
