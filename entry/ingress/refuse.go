package ingress

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

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
