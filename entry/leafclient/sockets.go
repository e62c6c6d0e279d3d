package leafclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of an Exchanger's connections.
const (
	// leastDialTime and dialCosts bound one dial: a leaf that takes longer than
	// this many times the usual is cut off or gone, and another can be asked.
	leastDialTime = 50 * time.Millisecond
	dialCosts     = 10
	// readBuffer holds a response's head and most parts whole, so that one read
	// brings both.
	readBuffer = 4 << 10
	// wholeWrite is the largest request that goes out in one write before the
	// response is looked for. A leaf may answer a longer one early, without
	// reading it.
	wholeWrite = 16 << 10
	// keptShare is the share of the leaf's own idle timeout for which an unused
	// connection is trusted.
	keptShare = 0.8
)

// sockets are the connections to one leaf.
type sockets struct {
	address  string
	dialTime time.Duration
	dialCost time.Duration
	limiter  *rate.Limiter
	places   places
	dials    atomic.Int64
	// transient connections are closed after one exchange.
	transient atomic.Bool

	mu     sync.Mutex
	idle   []*socket // the one used last is used next
	closed bool
}

// newSockets makes the connections of a leaf; none is open.
func newSockets(t Target) *sockets {
	s := &sockets{address: t.Address, dialCost: t.DialCost, limiter: rate.NewLimiter(rate.Inf, 1)}
	s.dialTime = max(leastDialTime, dialCosts*t.DialCost)
	if t.DialCost > 0 {
		s.limiter = rate.NewLimiter(rate.Every(t.DialCost), 1)
	}
	s.places.setLimit(t.Connections)
	s.transient.Store(t.Transient)
	return s
}

// get takes an idle connection that is still sound, or opens one.
func (s *sockets) get(ctx context.Context) (*socket, error) {
	for {
		c := s.pop()
		if c == nil {
			return s.dial(ctx)
		}
		if c.sound(time.Now()) {
			return c, nil
		}
		s.drop(c)
	}
}

// pop takes the idle connection used last, or nil.
func (s *sockets) pop() *socket {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.idle)
	if n == 0 {
		return nil
	}
	c := s.idle[n-1]
	s.idle = s.idle[:n-1]
	return c
}

// put gives a connection back for the next exchange.
func (s *sockets) put(c *socket) {
	s.mu.Lock()
	if _, limit := s.places.count(); s.closed || s.transient.Load() || len(s.idle) >= limit {
		s.mu.Unlock()
		s.drop(c)
		return
	}
	c.since = time.Now()
	s.idle = append(s.idle, c)
	s.mu.Unlock()
}

// drop closes a connection. Its place stays taken for the time of a dial: the
// leaf counts the connection until it has seen its end.
func (s *sockets) drop(c *socket) {
	_ = c.conn.Close()
	time.AfterFunc(s.dialCost, s.places.release)
}

// dial opens a connection within the share, at the leaf's pace.
func (s *sockets) dial(ctx context.Context) (*socket, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dialTime)
	defer cancel()
	if err := s.places.acquire(ctx); err != nil {
		return nil, fmt.Errorf("wait for a connection of the share: %w", err)
	}
	if err := s.limiter.Wait(ctx); err != nil {
		s.places.release()
		return nil, fmt.Errorf("wait for the pace of dials: %w", err)
	}
	s.dials.Add(1)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", s.address)
	if err != nil {
		s.places.release()
		return nil, err
	}
	return newSocket(conn), nil
}

// setShare changes the share; idle connections beyond it are closed.
func (s *sockets) setShare(t Target) {
	becameTransient := t.Transient && !s.transient.Swap(t.Transient)
	s.transient.Store(t.Transient)
	if !s.places.setLimit(t.Connections) && !becameTransient {
		return
	}
	for c := s.pop(); c != nil; c = s.pop() {
		s.drop(c)
	}
}

// close drops the idle connections; those in use are dropped at their end.
func (s *sockets) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for c := s.pop(); c != nil; c = s.pop() {
		s.drop(c)
	}
}

// socket is one connection, used by one exchange at a time.
type socket struct {
	conn   net.Conn
	raw    syscall.RawConn // nil when the connection has none
	reader *bufio.Reader
	buf    []byte
	since  time.Time     // idle since
	kept   time.Duration // idle time after which the leaf may close it; 0: unknown
}

// newSocket wraps a connection.
func newSocket(conn net.Conn) *socket {
	c := &socket{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
	if sc, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // without it, soundness is found out by use
	}
	return c
}

// abort ends whatever the connection does.
func (c *socket) abort() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// send writes a request. A long body is written while the response is awaited;
// written then reports whether all of it has gone out.
func (c *socket) send(out *ExchangeRequest, left time.Duration) (written func() bool, err error) {
	c.buf = out.AppendHead(c.buf[:0], left)
	if len(c.buf)+len(out.Body) <= wholeWrite {
		c.buf = append(c.buf, out.Body...)
		_, err := c.conn.Write(c.buf)
		return func() bool { return true }, err
	}
	if _, err := c.conn.Write(c.buf); err != nil {
		return nil, err
	}
	var done atomic.Bool
	go func() {
		if _, err := c.conn.Write(out.Body); err == nil {
			done.Store(true)
		}
	}()
	return done.Load, nil
}

// noteTimeout keeps the idle timeout that the leaf stated, "timeout=SECONDS".
func (c *socket) noteTimeout(header string) {
	_, value, ok := strings.Cut(header, "timeout=")
	if !ok {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
		c.kept = time.Duration(keptShare * float64(seconds) * float64(time.Second))
	}
}

// sound reports whether an idle connection can carry an exchange: the leaf has
// not closed it, and has sent nothing unasked. What the leaf sends after the
// look is found by the response's identity.
func (c *socket) sound(now time.Time) bool {
	if c.kept > 0 && now.Sub(c.since) >= c.kept {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
