package leafclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// dialTimeout bounds one dial; a leaf that takes longer is no use to any query.
const dialTimeout = 2 * time.Second

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 5 * time.Minute

// leafConn is the connections to one leaf.
type leafConn struct {
	transport *http.Transport
	limiter   *rate.Limiter
	places    places
	dialCost  time.Duration
	dials     atomic.Int64
}

// leaf returns the leaf's connections. The share of one that is known already
// is only changed by Apply: an exchange may have been planned by an older view.
func (c *Client) leaf(t Target) *leafConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	lc, ok := c.leaves[t.key()]
	if !ok {
		lc = newLeafConn(t)
		lc.places.setLimit(t.Connections)
		c.leaves[t.key()] = lc
	}
	return lc
}

// key tells a leaf from another at the same address, and from its own past.
func (t Target) key() string { return t.ID + "@" + t.Address }

// newLeafConn makes the transport whose dials are counted, limited and paced.
func newLeafConn(t Target) *leafConn {
	lc := &leafConn{limiter: rate.NewLimiter(rate.Inf, 1), dialCost: t.DialCost}
	if t.DialCost > 0 {
		lc.limiter = rate.NewLimiter(rate.Every(t.DialCost), 1)
	}
	lc.transport = &http.Transport{
		DialContext:         lc.dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return lc
}

// maxIdle is no limit in effect: the places are.
const maxIdle = 1 << 16

// dial opens a connection within the share, at the leaf's pace.
func (lc *leafConn) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := lc.places.acquire(ctx); err != nil {
		return nil, fmt.Errorf("wait for a connection of the share: %w", err)
	}
	if err := lc.limiter.Wait(ctx); err != nil {
		lc.places.release()
		return nil, fmt.Errorf("wait for the pace of dials: %w", err)
	}
	lc.dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		lc.places.release()
		return nil, err
	}
	counted := &countedConn{Conn: conn, leaf: lc}
	if err := prove(ctx, counted, address); err != nil {
		_ = counted.Close()
		return nil, fmt.Errorf("new connection: %w", err)
	}
	return counted, nil
}

// countedConn gives its place back some time after it is closed.
type countedConn struct {
	net.Conn
	leaf    *leafConn
	once    sync.Once
	blocked atomic.Bool // an attempt was recalled: nothing more is written
}

// ErrCancelledBeforeSend says that an attempt was recalled before it was sent.
var ErrCancelledBeforeSend = errors.New("recalled before it was sent")

// Write writes, unless the attempt that took the connection was recalled.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.blocked.Load() {
		return 0, ErrCancelledBeforeSend
	}
	return c.Conn.Write(b)
}

// Close closes the connection. The place stays taken for the time of a dial:
// the leaf counts the connection until it has seen its end, and must not see
// another before that.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { time.AfterFunc(c.leaf.dialCost, c.leaf.places.release) })
	return err
}

// Stats is the state of one leaf's connections.
type Stats struct {
	Used, Limit int
	Dials       int64
}

// Stats returns the state of a leaf's connections.
func (c *Client) Stats(t Target) Stats {
	lc := c.leaf(t)
	used, limit := lc.places.count()
	return Stats{Used: used, Limit: limit, Dials: lc.dials.Load()}
}

// Apply puts the shares of a new view into effect and drops the connections of
// all leaves that it does not name, by ID and address.
func (c *Client) Apply(targets []Target) {
	named := make(map[string]bool, len(targets))
	var over []*leafConn
	for _, t := range targets {
		named[t.key()] = true
		if lc := c.leaf(t); lc.places.setLimit(t.Connections) {
			over = append(over, lc)
		}
	}
	for _, lc := range append(over, c.dropOthers(named)...) {
		lc.transport.CloseIdleConnections()
	}
}

// dropOthers forgets the leaves that are not named and returns them.
func (c *Client) dropOthers(named map[string]bool) []*leafConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var dropped []*leafConn
	for key, lc := range c.leaves {
		if !named[key] {
			dropped = append(dropped, lc)
			delete(c.leaves, key)
		}
	}
	return dropped
}

// Close drops all idle connections.
func (c *Client) Close() { c.Apply(nil) }
