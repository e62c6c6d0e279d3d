package ingress

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a client's connection. It delivers bytes of one request at a time to the HTTP server, and
// the head of a request only when it is complete and within the limits.
type Conn struct {
	net.Conn
	guard *Guard

	// The fields of the reader. The HTTP server reads in one goroutine at a time.
	received  []byte // bytes of the current head, or bytes after those that were delivered
	delivered int    // bytes of received that were delivered, in the phase of the head
	headBytes int    // length of the head, 0 while it is not complete
	head      headScanner
	frame     framing
	idleSince time.Time
	begunAt   time.Time // when the current request began to arrive
	// emptyLineBytes is the length of the empty lines before the current head.
	emptyLineBytes int
	// bodyBytes is the number of bytes received of the current body.
	bodyBytes int64
	// sentAhead is the number of requests in a row that began to arrive before the previous answer
	// had ended.
	sentAhead int

	// chunks and ahead are the connection's places in the lanes of the guard.
	chunks, ahead place

	// handling is set while the HTTP server handles a request. A read then only detects that the
	// client has closed the connection or sent the next request.
	handling atomic.Bool

	deadlines      sync.Mutex
	serverDeadline time.Time // set by the HTTP server or the handler
	ownDeadline    time.Time
	interrupted    bool // all reads fail

	// The fields of the guard, guarded by its mutex.
	state        state
	since        time.Time // when it entered the state
	element      *list.Element
	held         int64 // bytes
	stalledBytes int64 // bytes of held
	evicted      bool
}

// newConn returns a connection that does not count yet.
func newConn(g *Guard, inner net.Conn) *Conn {
	return &Conn{Conn: inner, guard: g, idleSince: time.Now(), state: stateClosed, chunks: place{lane: g.chunkLane}, ahead: place{lane: g.aheadLane}}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.chunks.leave()
	c.ahead.leave()
	c.guard.close(c)
	return c.Conn.Close()
}

// CloseWrite ends the stream of answers, as *net.TCPConn does.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Reserve accounts for n more bytes of memory until the request has been answered. It returns
// ErrNoMemory if there is no room for them.
func (c *Conn) Reserve(n int64) error {
	if !c.guard.reserve(c, n) {
		return ErrNoMemory
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.frame.phase != phaseHead:
		return c.readBody(p)
	case c.handling.Load():
		return c.readAhead(p)
	}
	if c.headBytes == 0 {
		if err := c.receiveHead(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.received[c.delivered:c.headBytes])
	if c.delivered += n; c.delivered == c.headBytes {
		c.beginBody()
	}
	return n, nil
}

// readAhead delivers one byte of the next request while the server handles the previous one.
func (c *Conn) readAhead(p []byte) (int, error) {
	if c.delivered == len(c.received) {
		n, err := c.Conn.Read(p[:1])
		c.received = append(c.received, p[:n]...)
		c.delivered += n
		return n, err
	}
	p[0] = c.received[c.delivered]
	c.delivered++
	return 1, nil
}

// beginBody follows the delivery of a head.
func (c *Conn) beginBody() {
	c.frame.begin(c.received[:c.headBytes])
	rest := c.received[c.headBytes:]
	if cap(c.received) > firstHeadBuffer {
		c.received = nil
	}
	c.received = append(c.received[:0], rest...)
	c.delivered, c.headBytes, c.head, c.emptyLineBytes, c.bodyBytes = 0, 0, headScanner{}, 0, 0
	if c.frame.phase == phaseHead {
		c.guard.run(c)
		return
	}
	if limit := c.guard.config.RequestTime; limit > 0 {
		c.setOwnDeadline(c.begunAt.Add(limit))
	}
}

// readBody reads bytes of a body, up to the end of its request.
func (c *Conn) readBody(p []byte) (int, error) {
	c.chunks.leave()
	n, err := c.receiveBody(p)
	c.bodyBytes += int64(n)
	switch c.frame.phase {
	case phaseHead:
		c.setOwnDeadline(time.Time{})
		c.guard.run(c)
	case phaseSized:
	default:
		if n > 0 && c.bodyBytes > chunkLaneBytes && !c.chunks.enter(c.readDeadline(), c.isEnded) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// receiveBody returns the next bytes of the body.
func (c *Conn) receiveBody(p []byte) (int, error) {
	if n := copy(p, c.received); n > 0 {
		n = c.frame.consume(p[:n])
		c.received = c.received[:copy(c.received, c.received[n:])]
		return n, nil
	}
	if c.frame.phase == phaseSized {
		p = p[:min(int64(len(p)), c.frame.left)]
	}
	got, err := c.Conn.Read(p)
	n := c.frame.consume(p[:got])
	c.received = append(c.received[:0], p[n:got]...)
	return n, err
}

// readDeadline returns the deadline of reads, which is not far if none is set.
func (c *Conn) readDeadline() time.Time {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if t := c.earlierDeadline(); !t.IsZero() {
		return t
	}
	return time.Now().Add(defaultHeadTime)
}

// isEnded reports whether the guard has ended the connection or its request.
func (c *Conn) isEnded() bool { return c.guard.hasEnded(c) }

// cancelWaits ends waits in the lanes, so that what the connection holds becomes free at once.
func (c *Conn) cancelWaits() {
	c.chunks.cancel()
	c.ahead.cancel()
}

// setState follows the state that the HTTP server reports.
func (c *Conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.handling.Store(true)
	case http.StateIdle:
		c.chunks.leave()
		c.ahead.leave()
		c.handling.Store(false)
		c.idleSince = time.Now()
		// Without the end of the request, the next one can't be found.
		c.setInterrupted(c.frame.phase != phaseHead)
		c.guard.finish(c)
	default:
	}
}
