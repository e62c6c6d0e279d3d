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
	// Refused were over the limit, and closed as soon as they were accepted.
	Refused uint64 `json:"refused"`
}

// gate is what a listener asks about a new connection.
type gate struct {
	limit    int // 0: none
	dialCost time.Duration
	down     bool
}

// listener counts connections, closes those over the limit, and delays the
// first read of each by the dial cost. While the leaf is down, its TCP port is
// closed, so that the system refuses connections as for a dead process.
type listener struct {
	net.Listener
	gate func() gate

	mu     sync.Mutex
	count  Connections
	open   map[*conn]struct{}
	closed bool
	shut   bool // the port is closed because the leaf is down
}

// downPoll is how often a leaf that is down looks whether it is up again.
const downPoll = 5 * time.Millisecond

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.current()
		if err != nil {
			return nil, err
		}
		if inner == nil {
			time.Sleep(downPoll)
			continue
		}
		raw, err := inner.Accept()
		if err != nil {
			if l.isShut() {
				continue
			}
			return nil, err
		}
		if c := l.admit(raw, l.gate()); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

// use sets the port's listener, once.
func (l *listener) use(inner net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Listener = inner
}

// current returns the port's listener, opened again if the leaf is up; nil
// while the leaf is down and its port is closed.
func (l *listener) current() (net.Listener, error) {
	down := l.gate().down
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, net.ErrClosed
	}
	if !l.shut {
		return l.Listener, nil
	}
	if down {
		return nil, nil
	}
	again, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		return nil, nil // the port is taken for the moment: try again
	}
	l.Listener, l.shut = again, false
	return again, nil
}

// shutPort closes a TCP port until the leaf is up again.
func (l *listener) shutPort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || l.shut || l.closed {
		return
	}
	l.shut = true
	_ = tcp.Close()
}

func (l *listener) isShut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shut && !l.closed
}

// Close ends the listener for good.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.Listener.Close()
}

// admit wraps a connection, or returns nil to refuse it.
func (l *listener) admit(raw net.Conn, g gate) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.down {
		return nil
	}
	if g.limit > 0 && l.count.Open >= g.limit {
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
