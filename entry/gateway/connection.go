package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
)

// openedWithin is the time after its opening within which a connection's first
// request is taken to have waited for it. A caller that opens one ahead of its
// request sends that later.
const openedWithin = 50 * time.Millisecond

// connection is what is known of a caller's connection.
type connection struct {
	opened    time.Time
	roundTrip time.Duration // as TCP has measured it; 0: not known
	used      atomic.Bool   // it has carried a request
}

// connectionKey is where a request's context holds its connection.
type connectionKey struct{}

// WithConnection notes a new connection; it is the ConnContext of the server.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{opened: time.Now(), roundTrip: roundTrip(c)})
}

// roundTrip reads what TCP measured while the connection was opened.
func roundTrip(c net.Conn) time.Duration {
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
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // nil where it can't be had
	})
	if err != nil || info == nil {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// wayOf is the time that a request and its answer spend between caller and instance.
func wayOf(ctx context.Context, start time.Time) time.Duration {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return margin.DefaultNetworkDelay
	}
	taken := start.Sub(c.opened)
	first := !c.used.Swap(true)
	return margin.NetworkDelay(c.roundTrip, first && taken < openedWithin, taken)
}
