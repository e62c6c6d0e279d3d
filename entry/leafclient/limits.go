package leafclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Limits on what leaves send, in bytes.
const (
	// maxHeadBytes bounds the heads of all responses to one request, interim ones included.
	maxHeadBytes = 64 << 10
	// unreservedBytes is the size up to which a body needs no memory of the budget: a leaf that sends
	// bytes without an end does not keep others' usual bodies out.
	unreservedBytes = 32 << 10
	// defaultBodyMemory is the budget of a Client.
	defaultBodyMemory = 64 << 20
)

// Errors of bytes over a limit.
var (
	errHeadTooLong = &discardError{DiscardHeadTooLong, errors.New("response head over the limit")}
	errBodyTooLong = &discardError{DiscardBodyTooLong, errors.New("response body over the limit")}
	errNoMemory    = &discardError{DiscardNoMemory, errors.New("no memory is left for response bodies")}
)

// limitedReader reads left bytes and fails after them with tooLong.
type limitedReader struct {
	r       io.Reader
	left    int64
	tooLong error
}

// limit sets what may be read from now on.
func (l *limitedReader) limit(left int64, tooLong error) { l.left, l.tooLong = left, tooLong }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, l.tooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

// bodyMemory bounds the memory of response bodies, summed over all exchanges. A body counts until
// the garbage collector has freed it.
type bodyMemory struct {
	total     int64
	free      *semaphore.Weighted
	collected atomic.Int64 // when a collection was last requested, in Unix nanoseconds
}

// newBodyMemory returns a budget of the given bytes, and at least of one body of maxBody.
func newBodyMemory(total, maxBody int64) *bodyMemory {
	total = max(total, maxBody)
	return &bodyMemory{total: total, free: semaphore.NewWeighted(total)}
}

const (
	// collectInterval is the minimum time between two collections that an exhausted budget requests.
	collectInterval = 100 * time.Millisecond
	// memoryPollInterval is the time between two attempts of a body that waits for memory.
	memoryPollInterval = 5 * time.Millisecond
)

// collect requests a garbage collection, which frees the memory of dropped bodies.
func (m *bodyMemory) collect() {
	now, last := time.Now().UnixNano(), m.collected.Load()
	if now-last >= int64(collectInterval) && m.collected.CompareAndSwap(last, now) {
		go runtime.GC()
	}
}

// allocate returns a buffer of n bytes, nil if the budget has no room.
func (m *bodyMemory) allocate(n int64) []byte {
	if n <= unreservedBytes {
		return make([]byte, n)
	}
	if !m.free.TryAcquire(n) {
		m.collect()
		return nil
	}
	buf := make([]byte, n)
	runtime.AddCleanup(&buf[0], m.free.Release, n)
	return buf
}

// waiter bounds the time that a body waits for memory.
type waiter struct {
	ctx      context.Context
	deadline time.Time
}

// await returns a buffer of n bytes as soon as the budget has room.
func (m *bodyMemory) await(n int64, wait waiter) ([]byte, error) {
	for {
		if buf := m.allocate(n); buf != nil {
			return buf, nil
		}
		if time.Now().After(wait.deadline) {
			return nil, errNoMemory
		}
		select {
		case <-wait.ctx.Done():
			return nil, wait.ctx.Err()
		case <-time.After(memoryPollInterval):
		}
	}
}

// readBody reads the complete body, of at most maxBody bytes. A body without a length ends when the
// leaf closes the connection; a connection reset is an error. A body with a length waits for memory;
// any other fails if there is none left, so that no two wait for each other.
func (m *bodyMemory) readBody(resp *http.Response, maxBody int64, wait waiter) ([]byte, error) {
	defer resp.Body.Close()
	switch {
	case resp.Body == http.NoBody:
		return nil, nil // a response to a HEAD request has a Content-Length and no body
	case resp.ContentLength > maxBody:
		return nil, errBodyTooLong
	case resp.ContentLength >= 0:
		body, err := m.await(resp.ContentLength, wait)
		if err != nil {
			return nil, err
		}
		_, err = io.ReadFull(resp.Body, body)
		return body, err
	default:
		return m.readUnsized(resp.Body, maxBody)
	}
}

// minUnsizedBuffer is the first size of the buffer of a body without a length, in bytes.
const minUnsizedBuffer = 4 << 10

// readUnsized reads a body to its end.
func (m *bodyMemory) readUnsized(r io.Reader, maxBody int64) ([]byte, error) {
	buf := make([]byte, minUnsizedBuffer)
	n := 0
	for {
		k, err := r.Read(buf[n:])
		n += k
		switch {
		case errors.Is(err, io.EOF):
			return buf[:n], nil
		case err != nil:
			return nil, err
		case int64(n) > maxBody:
			return nil, errBodyTooLong
		case n < len(buf):
			continue
		}
		larger := m.allocate(min(2*int64(len(buf)), maxBody+1))
		if larger == nil {
			return nil, errNoMemory
		}
		copy(larger, buf)
		buf = larger
	}
}
