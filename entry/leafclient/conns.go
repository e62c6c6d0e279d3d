package leafclient

import (
	"context"
	"errors"
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

// ErrConnectionShare says that this entry holds all the connections it may.
var ErrConnectionShare = errors.New("connection share is used up")

// leafConn is the connections to one leaf.
type leafConn struct {
	transport *http.Transport
	limiter   *rate.Limiter
	open      atomic.Int64
	limit     atomic.Int64
	dials     atomic.Int64
}

// leaf returns the leaf's connections and applies a changed share.
func (c *Client) leaf(t Target) *leafConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := t.ID + "@" + t.Address
	lc, ok := c.leaves[key]
	if !ok {
		lc = newLeafConn(t)
		c.leaves[key] = lc
	}
	if old := lc.limit.Swap(int64(t.Connections)); old > int64(t.Connections) {
		lc.transport.CloseIdleConnections()
	}
	return lc
}

// newLeafConn makes the transport whose dials are counted, limited and paced.
func newLeafConn(t Target) *leafConn {
	lc := &leafConn{limiter: rate.NewLimiter(rate.Inf, 1)}
	if t.DialCost > 0 {
		lc.limiter = rate.NewLimiter(rate.Every(t.DialCost), max(t.Connections, 1))
	}
	lc.transport = &http.Transport{
		DialContext:           lc.dial,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   1 << 10, // the share is the limit, not the idle pool
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0, // the request's own deadline bounds it
		WriteBufferSize:       4 << 10,
		ReadBufferSize:        4 << 10,
	}
	return lc
}

// dial opens a connection if the share allows; otherwise it fails at once.
func (lc *leafConn) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if lc.open.Add(1) > lc.limit.Load() {
		lc.open.Add(-1)
		return nil, ErrConnectionShare
	}
	if err := lc.limiter.Wait(ctx); err != nil {
		lc.open.Add(-1)
		return nil, err
	}
	lc.dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		lc.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, open: &lc.open}, nil
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and gives its place back once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Stats is the state of one leaf's connections.
type Stats struct {
	Open, Limit, Dials int64
}

// Stats returns the state of a leaf's connections.
func (c *Client) Stats(t Target) Stats {
	lc := c.leaf(t)
	return Stats{Open: lc.open.Load(), Limit: lc.limit.Load(), Dials: lc.dials.Load()}
}

// Keep drops the connections of all leaves that keep does not name, by ID and address.
func (c *Client) Keep(targets []Target) {
	keep := make(map[string]bool, len(targets))
	for _, t := range targets {
		keep[t.ID+"@"+t.Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, lc := range c.leaves {
		if !keep[key] {
			lc.transport.CloseIdleConnections()
			delete(c.leaves, key)
		}
	}
}

// Close drops all idle connections.
func (c *Client) Close() { c.Keep(nil) }
