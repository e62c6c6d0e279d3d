package leaf

import (
	"net"
	"sync"
	"time"
)

// Connections counts a leaf's connections.
type Connections struct {
	Open     int    `json:"open"`
	Peak     int    `json:"peak"`
	Accepted uint64 `json:"accepted"`
	// Refused were closed as soon as they were accepted.
	Refused uint64 `json:"refused"`
}

// gate is what a listener asks about a new connection.
type gate struct {
	limit    int // 0: none
	dialCost time.Duration
	down     bool
}

// listener counts connections, closes those over the limit, and delays the
// first read of each by the dial cost.
type listener struct {
	net.Listener
	gate func() gate

	mu    sync.Mutex
	count Connections
	open  map[*conn]struct{}
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw, l.gate()); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

// admit wraps a connection, or returns nil to refuse it.
func (l *listener) admit(raw net.Conn, g gate) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.down || (g.limit > 0 && l.count.Open >= g.limit) {
		l.count.Refused++
		return nil
	}
	c := &conn{Conn: raw, listener: l, readable: time.Now().Add(g.dialCost), closed: make(chan struct{})}
	l.open[c] = struct{}{}
	l.count.Accepted++
	l.count.Open++
	l.count.Peak = max(l.count.Peak, l.count.Open)
	return c
}

// connections returns the counts.
func (l *listener) connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// closeOpen breaks all open connections.
func (l *listener) closeOpen() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// conn is a counted connection.
type conn struct {
	net.Conn
	listener *listener
	readable time.Time
	waited   bool
	once     sync.Once
	closed   chan struct{}
}

// Read waits for the dial cost once, then reads.
func (c *conn) Read(b []byte) (int, error) {
	if !c.waited {
		c.waited = true
		timer := time.NewTimer(time.Until(c.readable))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.closed:
		}
	}
	return c.Conn.Read(b)
}

// Close closes the connection and counts it out once.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.open, c)
		c.listener.count.Open--
	})
	return c.Conn.Close()
}
