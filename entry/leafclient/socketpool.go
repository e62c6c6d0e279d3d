package leafclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

// Limits of an Exchanger's connections.
const (
	// minDialTimeout and dialTimeoutFactor set the timeout of a dial: the factor times
	// the leaf's DialCost, or the minimum if that is longer. A leaf that takes longer is
	// unreachable or gone, and another can be asked.
	minDialTimeout    = 50 * time.Millisecond
	dialTimeoutFactor = 10
	// readBufferSize holds the head and, of most responses, the body too, so that one
	// read returns both, in bytes.
	readBufferSize = 4 << 10
	// maxSingleWrite is the largest request, in bytes, that is sent in one write before
	// the response is read. A larger one is written while the response is read: the leaf
	// may respond early, without reading all of it.
	maxSingleWrite = 16 << 10
	// idleTimeoutShare is the share of the leaf's own idle timeout after which an idle
	// connection is not reused: the leaf may be closing it.
	idleTimeoutShare = 0.8
)

// socketPool is the connection pool of one leaf.
type socketPool struct {
	address     string
	dialTimeout time.Duration
	dialCost    time.Duration
	limiter     *rate.Limiter
	quota       connQuota
	sockets     *sockets
	dials       atomic.Int64
	// transient is Target.Transient: connections are closed after one exchange.
	transient atomic.Bool

	mu     sync.Mutex
	idle   []*socket // a stack: the one used last is reused first
	closed bool
}

// newSocketPool returns an empty pool for a leaf.
func newSocketPool(t Target, all *sockets) *socketPool {
	s := &socketPool{address: t.Address, dialCost: t.DialCost, sockets: all, limiter: rate.NewLimiter(rate.Inf, 1)}
	s.dialTimeout = max(minDialTimeout, dialTimeoutFactor*t.DialCost)
	if t.DialCost > 0 {
		s.limiter = rate.NewLimiter(rate.Every(t.DialCost), 1)
	}
	s.quota.setLimit(t.Connections)
	s.transient.Store(t.Transient)
	return s
}

// get takes an idle connection that is still usable for a request with the given ID, or opens one.
func (s *socketPool) get(ctx context.Context, id string) (*socket, error) {
	for {
		c := s.pop()
		if c == nil {
			return s.dial(ctx)
		}
		if c.isUsable(time.Now()) && !c.history.carried(id) {
			return c, nil
		}
		s.drop(c)
	}
}

// pop removes and returns the idle connection used last, or nil.
func (s *socketPool) pop() *socket {
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

// popOldest removes and returns the connection that has been idle longest, or nil.
func (s *socketPool) popOldest() *socket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) == 0 {
		return nil
	}
	c := s.idle[0]
	s.idle = slices.Delete(s.idle, 0, 1)
	return c
}

// put returns a connection for the next exchange, or closes it if the pool is closed,
// transient or full.
func (s *socketPool) put(c *socket) {
	s.mu.Lock()
	if _, limit := s.quota.count(); s.closed || s.transient.Load() || len(s.idle) >= limit {
		s.mu.Unlock()
		s.drop(c)
		return
	}
	c.idleSince = time.Now()
	s.idle = append(s.idle, c)
	s.mu.Unlock()
}

// drop closes a connection and releases its quota a dialCost later: the leaf counts
// the connection until it has seen the close.
func (s *socketPool) drop(c *socket) {
	_ = c.conn.Close()
	s.sockets.release()
	time.AfterFunc(s.dialCost, s.quota.release)
}

// reset closes a connection and discards what it has not delivered, so that a request that was
// given up does not reach the leaf later.
func (s *socketPool) reset(c *socket) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure the close is an orderly one
	}
	s.drop(c)
}

// dial opens a connection within the quota and the dial rate.
func (s *socketPool) dial(ctx context.Context) (*socket, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dialTimeout)
	defer cancel()
	if err := s.quota.acquire(ctx); err != nil {
		return nil, fmt.Errorf("wait for the connection quota: %w", err)
	}
	if err := s.limiter.Wait(ctx); err != nil {
		s.quota.release()
		return nil, fmt.Errorf("wait for the dial rate limit: %w", err)
	}
	if err := s.sockets.acquire(); err != nil {
		s.quota.release()
		return nil, err
	}
	s.dials.Add(1)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", s.address)
	if err != nil {
		s.sockets.release()
		s.quota.release()
		return nil, err
	}
	return newSocket(conn), nil
}

// updateLimits sets the limits of t. It closes all idle connections if more are open
// than the new limit allows, or if the pool has become transient.
func (s *socketPool) updateLimits(t Target) {
	becameTransient := t.Transient && !s.transient.Swap(t.Transient)
	s.transient.Store(t.Transient)
	if !s.quota.setLimit(t.Connections) && !becameTransient {
		return
	}
	for c := s.pop(); c != nil; c = s.pop() {
		s.drop(c)
	}
}

// close drops the idle connections; those in use are dropped when they are put back.
func (s *socketPool) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for c := s.pop(); c != nil; c = s.pop() {
		s.drop(c)
	}
}

// socket is one connection, used by one exchange at a time.
type socket struct {
	conn      net.Conn
	raw       syscall.RawConn // nil if conn has none
	input     *limitedReader
	reader    *bufio.Reader
	history   history
	buf       []byte
	idleSince time.Time     // when the connection became idle
	maxIdle   time.Duration // idle time after which it is not reused; 0: unknown
	received  bool          // a byte of the response to the current request has arrived
}

func newSocket(conn net.Conn) *socket {
	input := &limitedReader{r: conn}
	c := &socket{conn: conn, input: input, reader: bufio.NewReaderSize(input, readBufferSize)}
	if sc, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // without it, isUsable can't detect a closed connection
	}
	return c
}

// abort makes all pending and later I/O on the connection time out.
func (c *socket) abort() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// send writes a request. It starts a goroutine for the body of a request longer than
// maxSingleWrite. written reports whether all of the request has been written.
func (c *socket) send(out *ExchangeRequest, left time.Duration) (written func() bool, err error) {
	c.buf = out.AppendHead(c.buf[:0], left)
	if len(c.buf)+len(out.Body) <= maxSingleWrite {
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

// setMaxIdle sets maxIdle from a Keep-Alive header with "timeout=SECONDS".
func (c *socket) setMaxIdle(header string) {
	_, value, ok := strings.Cut(header, "timeout=")
	if !ok {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
		c.maxIdle = time.Duration(idleTimeoutShare * float64(seconds) * float64(time.Second))
	}
}

// isUsable reports whether an idle connection can carry an exchange: the leaf has not
// closed it and has sent nothing unsolicited. Unsolicited data that arrives after this
// check is detected by its origin, see history.
func (c *socket) isUsable(now time.Time) bool {
	return (c.maxIdle == 0 || now.Sub(c.idleSince) < c.maxIdle) && c.isEmpty()
}

// isEmpty reports whether the connection is open and has nothing to read.
func (c *socket) isEmpty() bool {
	if c.raw == nil {
		return true
	}
	empty := false // open, and nothing to read
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
