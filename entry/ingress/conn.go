package ingress

import (
	"bytes"
	"container/list"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
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

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.serverDeadline = t
	return c.applyReadDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// setOwnDeadline sets a deadline of reads beside that of the HTTP server.
func (c *Conn) setOwnDeadline(t time.Time) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.ownDeadline.Equal(t) {
		return
	}
	c.ownDeadline = t
	_ = c.applyReadDeadline() // fails on a closed connection, as the next read does
}

// applyReadDeadline sets the earlier of the deadlines. The caller holds c.deadlines.
func (c *Conn) applyReadDeadline() error {
	return c.Conn.SetReadDeadline(c.earlierDeadline())
}

// earlierDeadline returns the earlier of the deadlines of reads, zero if there is none. The caller
// holds c.deadlines.
func (c *Conn) earlierDeadline() time.Time {
	switch {
	case c.interrupted:
		return time.Unix(1, 0)
	case c.serverDeadline.IsZero(), !c.ownDeadline.IsZero() && c.ownDeadline.Before(c.serverDeadline):
		return c.ownDeadline
	default:
		return c.serverDeadline
	}
}

// setInterrupted makes all reads fail, or ends that.
func (c *Conn) setInterrupted(interrupted bool) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.interrupted == interrupted {
		return
	}
	c.interrupted = interrupted
	_ = c.applyReadDeadline() // fails on a closed connection, as the next read does
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

// firstHeadBuffer is the first size of the buffer of a head in bytes. An idle connection keeps a
// buffer of this size.
const firstHeadBuffer = 1 << 10

// receiveHead receives until the head is complete.
func (c *Conn) receiveHead() error {
	c.sentAhead++
	if len(c.received) == 0 {
		c.sentAhead = 0
		if err := c.awaitRequest(); err != nil {
			return err
		}
	}
	c.guard.begin(c)
	limits := c.guard.limits()
	c.begunAt = time.Now()
	c.setOwnDeadline(c.begunAt.Add(limits.HeadTime))
	for {
		if c.skipEmptyLines() {
			return c.refuse(http.StatusBadRequest, ReasonHead)
		}
		c.headBytes = c.head.scan(c.received)
		if c.headBytes > limits.HeadBytes || (c.headBytes == 0 && len(c.received) >= limits.HeadBytes) {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHead)
		}
		if c.headBytes > 0 {
			c.setOwnDeadline(time.Time{})
			return c.accept()
		}
		switch err := c.receive(limits.HeadBytes); {
		case err == nil:
		case errors.Is(err, ErrNoMemory), c.guard.wasEvicted(c):
			return c.refuse(http.StatusServiceUnavailable, ReasonMemory)
		case isTimeout(err):
			return c.refuse(http.StatusRequestTimeout, ReasonHeadTime)
		default:
			return err
		}
	}
}

// awaitRequest waits for the first byte of a request, for the idle time in force.
func (c *Conn) awaitRequest() error {
	if t, ok := c.Conn.(*tls.Conn); ok && !t.ConnectionState().HandshakeComplete {
		c.setOwnDeadline(time.Now().Add(c.guard.limits().HeadTime))
		if err := t.Handshake(); err != nil {
			return io.EOF
		}
	}
	for {
		end := c.idleSince.Add(c.guard.limits().IdleTime)
		c.setOwnDeadline(end)
		err := c.receive(firstHeadBuffer)
		if err == nil {
			return nil
		}
		if !isTimeout(err) || c.guard.wasEvicted(c) {
			return err
		}
		if !time.Now().Before(c.idleSince.Add(c.guard.limits().IdleTime)) {
			return io.EOF
		}
	}
}

// lateReadTime is the time for which a read is tried once more after its deadline: bytes may have
// arrived before it while the process did not run.
const lateReadTime = 5 * time.Millisecond

// receive appends bytes to received, whose length stays within maxBytes + firstHeadBuffer.
func (c *Conn) receive(maxBytes int) error {
	if err := c.growBuffer(maxBytes); err != nil {
		return err
	}
	n, err := c.Conn.Read(c.received[len(c.received):cap(c.received)])
	if n == 0 && isTimeout(err) && c.isOwnTimeout() {
		c.setOwnDeadline(time.Now().Add(lateReadTime))
		n, err = c.Conn.Read(c.received[len(c.received):cap(c.received)])
	}
	c.received = c.received[:len(c.received)+n]
	if n > 0 {
		return nil
	}
	return err
}

// isOwnTimeout reports whether a read failed because of the own deadline.
func (c *Conn) isOwnTimeout() bool {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	return !c.interrupted && c.serverDeadline.IsZero()
}

// growBuffer makes room in received.
func (c *Conn) growBuffer(maxBytes int) error {
	if len(c.received) < cap(c.received) {
		return nil
	}
	size := min(max(firstHeadBuffer, 2*cap(c.received)), maxBytes+firstHeadBuffer)
	if size > firstHeadBuffer {
		if err := c.Reserve(int64(size)); err != nil {
			return err
		}
	}
	c.received = append(make([]byte, 0, size), c.received...)
	return nil
}

// maxEmptyLineBytes is the length of empty lines before a request from which on they are an error.
const maxEmptyLineBytes = 16

// skipEmptyLines drops empty lines before the request line (RFC 9112, 2.2) and reports whether
// there are too many.
func (c *Conn) skipEmptyLines() (tooMany bool) {
	if c.head.lines > 0 || c.delivered > 0 {
		return false
	}
	rest := bytes.TrimLeft(c.received, "\r\n")
	skipped := len(c.received) - len(rest)
	if skipped == 0 {
		return false
	}
	c.received = c.received[:copy(c.received, rest)]
	c.head = headScanner{}
	c.emptyLineBytes += skipped
	return c.emptyLineBytes > maxEmptyLineBytes
}

// minSentAhead is the number of requests in a row from which on a connection counts as one that
// sends requests ahead. A client may send the next one just before the previous one's end shows.
const minSentAhead = 2

// accept accounts for the request of a complete head, or refuses it.
func (c *Conn) accept() error {
	if c.sentAhead >= minSentAhead {
		c.guard.wait(c)
		if !c.ahead.enter(time.Now().Add(c.guard.limits().HeadTime)) {
			return c.refuse(http.StatusServiceUnavailable, ReasonRequests)
		}
		c.guard.begin(c)
	}
	if !c.guard.mayRun() {
		return c.refuse(http.StatusServiceUnavailable, ReasonRequests)
	}
	if err := c.Reserve(requestCost + headCost(c.headBytes, c.head.lines)); err != nil {
		return c.refuse(http.StatusServiceUnavailable, ReasonMemory)
	}
	return nil
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
	if most := c.guard.config.RequestTime; most > 0 {
		c.setOwnDeadline(c.begunAt.Add(most))
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
		if n > 0 && c.bodyBytes > chunkLaneBytes && !c.chunks.enter(c.readDeadline()) {
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

// Times of a refusal.
const (
	// refusalTime bounds the writing of a refusal.
	refusalTime = time.Second
	// lingerTime is how long a refused client may go on sending, so that the refusal is not lost
	// to a connection reset.
	lingerTime = 250 * time.Millisecond
	// lingerBytes bounds what is discarded meanwhile, in bytes. A client that sends more is left
	// waiting, so that it does not connect again at once.
	lingerBytes = 4 << 10
)

// refuse answers a request that has not been delivered, and ends the connection. It returns the
// error for the HTTP server, which then closes the connection without an answer of its own.
func (c *Conn) refuse(status int, reason Reason) error {
	c.guard.reject(c, reason)
	c.received, c.head = nil, headScanner{}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	retryAfter := ""
	if status == http.StatusServiceUnavailable && c.guard.config.RetryAfter != "" {
		retryAfter = "Retry-After: " + c.guard.config.RetryAfter + "\r\n"
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), retryAfter, len(reason)+1, reason)
	if err != nil {
		return io.EOF
	}
	c.linger()
	return io.EOF
}

// linger discards what the client still sends, for a short time.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	c.setOwnDeadline(time.Now().Add(lingerTime))
	c.setInterrupted(false)
	end := time.Now().Add(lingerTime)
	if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err == nil {
		time.Sleep(time.Until(end))
	}
}

const (
	// stallTime is the time after which a client that takes no bytes of its answer counts as
	// stalled.
	stallTime = time.Second
	// maxWrite is the number of bytes that a client must take within the idle time.
	maxWrite = 64 << 10
)

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.chunks.leave()
	for n < len(b) && err == nil {
		var k int
		k, err = c.writePart(b[n:min(n+maxWrite, len(b))], int64(len(b)))
		n += k
	}
	return n, err
}

// writePart writes a part of an answer of the given length.
func (c *Conn) writePart(part []byte, answerBytes int64) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.guard.limits().IdleTime)); err != nil {
		return 0, err
	}
	reported := make(chan struct{})
	stalled := time.AfterFunc(stallTime, func() {
		defer close(reported)
		if !c.guard.stall(c, answerBytes) {
			_ = c.Conn.Close()
		}
	})
	n, err := c.Conn.Write(part)
	if !stalled.Stop() {
		<-reported
		c.guard.resume(c)
	}
	return n, err
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
