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

// leafTransport is the HTTP transport of one leaf with its connection quota.
type leafTransport struct {
	transport *http.Transport
	limiter   *rate.Limiter
	quota     connQuota
	dialCost  time.Duration // Target.DialCost
	dials     atomic.Int64
}

// transportFor returns the leaf's transport and creates it on first use. Only Apply
// changes the limit of an existing one: t may come from an older view.
func (c *Client) transportFor(t Target) *leafTransport {
	c.mu.Lock()
	defer c.mu.Unlock()
	lt, ok := c.leaves[t.key()]
	if !ok {
		lt = newLeafTransport(t)
		lt.quota.setLimit(t.Connections)
		c.leaves[t.key()] = lt
	}
	return lt
}

// key identifies a leaf at its address. It differs from the key of another leaf at
// the same address, and of the same leaf at another address.
func (t Target) key() string { return t.ID + "@" + t.Address }

// newLeafTransport returns a transport that counts its dials, keeps its connections
// within the quota and starts at most one dial per DialCost.
func newLeafTransport(t Target) *leafTransport {
	lt := &leafTransport{limiter: rate.NewLimiter(rate.Inf, 1), dialCost: t.DialCost}
	if t.DialCost > 0 {
		lt.limiter = rate.NewLimiter(rate.Every(t.DialCost), 1)
	}
	lt.transport = &http.Transport{
		DialContext:         lt.dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// All heads of the responses to one request count.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return lt
}

// maxIdleConns is too large to have an effect: connQuota limits the connections.
const maxIdleConns = 1 << 16

// dial opens a connection within the quota and the dial rate.
func (lt *leafTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := lt.quota.acquire(ctx); err != nil {
		return nil, fmt.Errorf("wait for the connection quota: %w", err)
	}
	if err := lt.limiter.Wait(ctx); err != nil {
		lt.quota.release()
		return nil, fmt.Errorf("wait for the dial rate limit: %w", err)
	}
	lt.dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		lt.quota.release()
		return nil, err
	}
	qc := &quotaConn{Conn: conn, leaf: lt}
	if err := verifyConn(ctx, qc, address); err != nil {
		_ = qc.Close()
		return nil, fmt.Errorf("new connection: %w", err)
	}
	return qc, nil
}

// quotaConn is a connection that releases its quota a dialCost after it is closed.
type quotaConn struct {
	net.Conn
	leaf          *leafTransport
	once          sync.Once
	writesBlocked atomic.Bool // the attempt was cancelled before it was sent; Write fails
}

// ErrCancelledBeforeSend is the cause of a *DialError where the beforeSend callback
// returned false.
var ErrCancelledBeforeSend = errors.New("attempt was cancelled before it was sent")

// Write implements net.Conn. It fails with ErrCancelledBeforeSend if the attempt that
// took the connection was cancelled before it was sent.
func (c *quotaConn) Write(b []byte) (int, error) {
	if c.writesBlocked.Load() {
		return 0, ErrCancelledBeforeSend
	}
	return c.Conn.Write(b)
}

// Close closes the connection and releases its quota a dialCost later: the leaf
// counts the connection until it has seen the close, and a new one that arrives
// earlier would exceed the leaf's limit.
func (c *quotaConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { time.AfterFunc(c.leaf.dialCost, c.leaf.quota.release) })
	return err
}

// Stats is the state of one leaf's connections. Used and Limit are numbers of
// connections; Dials is the number of dials started.
type Stats struct {
	Used, Limit int
	Dials       int64
}

// Stats returns the state of a leaf's connections.
func (c *Client) Stats(t Target) Stats {
	lt := c.transportFor(t)
	used, limit := lt.quota.count()
	return Stats{Used: used, Limit: limit, Dials: lt.dials.Load()}
}

// Apply sets the connection limits of a new view, and closes the idle connections of
// leaves that are over their limit and of those whose ID and address are not in it.
func (c *Client) Apply(targets []Target) {
	named := make(map[string]bool, len(targets))
	var over []*leafTransport
	for _, t := range targets {
		named[t.key()] = true
		if lt := c.transportFor(t); lt.quota.setLimit(t.Connections) {
			over = append(over, lt)
		}
	}
	for _, lt := range append(over, c.removeUnnamed(named)...) {
		lt.transport.CloseIdleConnections()
	}
}

// removeUnnamed removes the leaves whose keys are not in named and returns them.
func (c *Client) removeUnnamed(named map[string]bool) []*leafTransport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*leafTransport
	for key, lt := range c.leaves {
		if !named[key] {
			removed = append(removed, lt)
			delete(c.leaves, key)
		}
	}
	return removed
}

// Close removes all leaves and closes their idle connections.
func (c *Client) Close() { c.Apply(nil) }
