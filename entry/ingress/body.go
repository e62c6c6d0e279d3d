package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ErrNoMemory means that no memory is left for a request. The request has not run.
var ErrNoMemory = errors.New(string(ReasonMemory))

// BodyTooLongError means that a body is over its limit.
type BodyTooLongError struct{ Limit int64 }

// Error implements error.
func (e *BodyTooLongError) Error() string { return fmt.Sprintf("body of over %d bytes", e.Limit) }

// ErrBodyTimeout means that a body has not arrived in time.
var ErrBodyTimeout = errors.New("the body did not arrive in time")

// Account accounts for the memory of a request. *Conn implements it.
type Account interface {
	// Reserve accounts for n more bytes, or returns ErrNoMemory.
	Reserve(n int64) error
}

// accountKey is the context key of a request's Account.
type accountKey struct{}

// WithAccount returns a context with the account of the requests of a connection, if it has one. It
// is an http.Server's ConnContext.
func WithAccount(ctx context.Context, c net.Conn) context.Context {
	if account, ok := c.(Account); ok {
		return context.WithValue(ctx, accountKey{}, account)
	}
	return ctx
}

// AccountBody has each byte that is read of a request's body accounted for, for handlers that do not
// use ReadBody. Without memory, reads fail with ErrNoMemory.
func AccountBody(r *http.Request) {
	if account := accountOf(r.Context()); account != nil && r.Body != nil && r.Body != http.NoBody {
		r.Body = &accountedBody{ReadCloser: r.Body, account: account}
	}
}

// parsedFactor is the memory of a byte of a form: it is held as it came and as parsed, and buffers
// grow by doubling.
const parsedFactor = 4

// accountedBody is a body whose bytes are accounted for.
type accountedBody struct {
	io.ReadCloser
	account Account
}

// Read implements io.Reader.
func (b *accountedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if reserveErr := b.account.Reserve(int64(parsedFactor * n)); reserveErr != nil {
			return 0, reserveErr
		}
	}
	return n, err
}

// accountOf returns the account of a request, nil if it has none.
func accountOf(ctx context.Context) Account {
	account, _ := ctx.Value(accountKey{}).(Account)
	return account
}

// shardCost is the memory of a running request for each of its shards, in bytes.
const shardCost = 3 << 10

// ReserveRun accounts for the memory of a request over a number of shards that is about to run. It
// returns ErrNoMemory if there is no room, or if the request was ended for another one after its
// last byte had been read.
func ReserveRun(ctx context.Context, shards int) error {
	if account := accountOf(ctx); account != nil {
		return account.Reserve(int64(shards) * shardCost)
	}
	return nil
}

// unreadBodyTime is the time in which the rest of a refused request's body may arrive. If it does,
// the connection can be used again.
const unreadBodyTime = 50 * time.Millisecond

// BoundUnreadBody bounds the time for which the HTTP server reads the rest of a refused request's
// body, which it does before it sends the refusal.
func BoundUnreadBody(ctx context.Context) {
	if c, ok := accountOf(ctx).(*Conn); ok && c.guard.isArriving(c) {
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTime)) // fails on a closed connection, as the next read does
	}
}

// Sizes of the buffer of a body in bytes.
const (
	// firstBodyBuffer is the largest first buffer; requestCost includes it.
	firstBodyBuffer = 8 << 10
	// minBodyBuffer is the first buffer of a body without a length.
	minBodyBuffer = 1 << 10
)

// ReadBody reads a request's complete body of at most limit bytes, 0: no limit. Beyond a first
// buffer it reserves the memory in the request's account before it allocates. The error is a
// *BodyTooLongError, ErrNoMemory, ErrBodyTimeout, or that of the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, &BodyTooLongError{Limit: limit}
	}
	b := bodyReader{known: r.ContentLength, limit: limit, account: accountOf(r.Context())}
	body, err := b.read(r.Body)
	if err != nil && isTimeout(err) {
		return nil, b.timeoutError()
	}
	return body, err
}

// bodyReader reads one body.
type bodyReader struct {
	known   int64 // the length, -1: unknown
	limit   int64
	account Account
}

// timeoutError returns the error of a read that was interrupted or timed out.
func (b *bodyReader) timeoutError() error {
	if c, ok := b.account.(*Conn); ok && c.guard.wasEvicted(c) {
		return ErrNoMemory
	}
	return ErrBodyTimeout
}

// read reads until the end of the body.
func (b *bodyReader) read(r io.Reader) ([]byte, error) {
	first := int64(minBodyBuffer)
	if b.known >= 0 {
		first = min(b.known, firstBodyBuffer)
	}
	buf := make([]byte, 0, first)
	for {
		if b.known >= 0 && int64(len(buf)) == b.known {
			return buf, b.expectEnd(r)
		}
		if len(buf) == cap(buf) {
			var err error
			if buf, err = b.grow(buf); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case b.limit > 0 && int64(len(buf)) > b.limit:
			return nil, &BodyTooLongError{Limit: b.limit}
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// expectEnd reads the end of a body of known length, after which the server may detect that the
// client has gone.
func (b *bodyReader) expectEnd(r io.Reader) error {
	var end [1]byte
	if _, err := r.Read(end[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// grow returns a larger buffer with the same bytes.
func (b *bodyReader) grow(buf []byte) ([]byte, error) {
	size := 2 * int64(cap(buf))
	if b.limit > 0 {
		size = min(size, b.limit+1)
	}
	if b.known >= 0 {
		size = b.known
	}
	if size > firstBodyBuffer && b.account != nil {
		if err := b.account.Reserve(size); err != nil {
			return nil, err
		}
	}
	return append(make([]byte, 0, size), buf...), nil
}
