package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
)

// accepted returns the instance's side of a connection on the loopback address.
func accepted(t *testing.T) net.Conn {
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

// TestWayOfAConnection checks that the first request counts the opening of its
// connection, later ones don't, and one that came long after the opening doesn't.
func TestWayOfAConnection(t *testing.T) {
	ctx := WithConnection(context.Background(), accepted(t))
	c := ctx.Value(connectionKey{}).(*connection)
	if c.roundTrip <= 0 {
		t.Fatal("TCP has measured no round trip")
	}
	const taken = 3 * time.Millisecond
	start := c.opened.Add(taken)
	first, next := wayOf(ctx, start), wayOf(ctx, start.Add(time.Second))
	if want := margin.NetworkDelay(c.roundTrip, true, taken); first != want {
		t.Errorf("first request %v, want %v", first, want)
	}
	if want := margin.NetworkDelay(c.roundTrip, false, 0); next != want {
		t.Errorf("next request %v, want %v", next, want)
	}
	ahead := WithConnection(context.Background(), accepted(t))
	c = ahead.Value(connectionKey{}).(*connection)
	if got, want := wayOf(ahead, c.opened.Add(time.Second)), margin.NetworkDelay(c.roundTrip, false, 0); got != want {
		t.Errorf("a connection opened ahead: %v, want %v", got, want)
	}
}

// TestWayUnknown checks connections that tell nothing.
func TestWayUnknown(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	now := time.Now()
	if got := wayOf(WithConnection(context.Background(), a), now); got != margin.DefaultNetworkDelay {
		t.Errorf("a pipe: %v, want %v", got, margin.DefaultNetworkDelay)
	}
	if got := wayOf(context.Background(), now); got != margin.DefaultNetworkDelay {
		t.Errorf("no connection: %v, want %v", got, margin.DefaultNetworkDelay)
	}
}
