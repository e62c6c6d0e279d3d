package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// peerConn is an authenticated connection to a peer.
type peerConn struct {
	*jsonrpc2.Conn
	counter *countingConn
}

// isClosed reports whether either side has closed the connection.
func (c *peerConn) isClosed() bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

// countingConn counts the received bytes.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// withIdleTimeout returns a context that ends with the cause IdleTimeoutError when
// no byte is received during one period of length timeout. Periods follow one
// another from the call of withIdleTimeout, so that it may take up to twice timeout
// after the last byte. The caller calls release when its call has ended.
func (c *peerConn) withIdleTimeout(ctx context.Context, timeout time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	previous := c.counter.received.Load()
	go func() {
		ticker := time.NewTicker(timeout)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			received := c.counter.received.Load()
			if received == previous {
				cancel(&IdleTimeoutError{Timeout: timeout})
				return
			}
			previous = received
		}
	}()
	return ctx, func() { cancel(nil) }
}
