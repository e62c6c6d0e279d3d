package ingress

import "time"

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
