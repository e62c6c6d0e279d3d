package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
)

// newConnectionWindow is the time after the opening of a connection within which its
// first request counts the handshake as a part of its delay: the caller waited for the
// connection. A caller that opens a connection ahead of a request sends the request
// later.
const newConnectionWindow = 50 * time.Millisecond

// connection is the state of a caller's connection.
type connection struct {
	opened            time.Time
	roundTrip         time.Duration // measured by TCP during the handshake; 0: unknown
	hasCarriedRequest atomic.Bool   // set by its first request
}

// connectionKey is the context key of a request's *connection.
type connectionKey struct{}

// WithConnection returns a context that holds the state of the new connection c. It is
// the http.Server's ConnContext.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	ctx = ingress.WithAccount(ctx, c)
	return context.WithValue(ctx, connectionKey{}, &connection{opened: time.Now(), roundTrip: readRoundTrip(c)})
}

// readRoundTrip returns the round-trip time that TCP measured during the handshake; 0:
// unknown.
func readRoundTrip(c net.Conn) time.Duration {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // nil on error
	})
	if err != nil || info == nil {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// networkDelay returns the time that a request and its answer spend between caller and
// instance. start is when the request arrived.
func networkDelay(ctx context.Context, start time.Time) time.Duration {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return margin.DefaultNetworkDelay
	}
	acceptDelay := start.Sub(c.opened)
	first := !c.hasCarriedRequest.Swap(true)
	return margin.NetworkDelay(c.roundTrip, first && acceptDelay < newConnectionWindow, acceptDelay)
}
