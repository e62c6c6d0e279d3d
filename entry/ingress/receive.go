package ingress

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"time"
)

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
		if !c.ahead.enter(time.Now().Add(c.guard.limits().HeadTime), c.isEnded) {
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
