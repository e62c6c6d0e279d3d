package ingress

import (
	"errors"
	"os"
	"time"
)

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

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
