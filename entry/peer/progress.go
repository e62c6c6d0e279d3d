package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// link is a kept connection to a peer.
type link struct {
	*jsonrpc2.Conn
	bytes *countedConn
}

// ended reports whether either side has closed the connection.
func (l *link) ended() bool {
	select {
	case <-l.DisconnectNotify():
		return true
	default:
		return false
	}
}

// countedConn counts the bytes that came in.
type countedConn struct {
	net.Conn
	in atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

// untilSilent returns a context that ends with an IdleTimeoutError when no byte comes in for a
// time. Release it after the call.
func (l *link) untilSilent(ctx context.Context, silence time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	seen := l.bytes.in.Load()
	go func() {
		ticker := time.NewTicker(silence)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			in := l.bytes.in.Load()
			if in == seen {
				cancel(&IdleTimeoutError{Timeout: silence})
				return
			}
			seen = in
		}
	}()
	return ctx, func() { cancel(nil) }
}
