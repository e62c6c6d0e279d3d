// Package httpserve runs a stand-in's HTTP server until a context ends.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = time.Minute

// tracker lets the server wait for its handlers.
type tracker struct {
	next http.Handler

	mu     sync.RWMutex // held for reading by each handler
	closed bool
}

// ServeHTTP runs the next handler, unless the server has closed.
func (t *tracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.closed {
		panic(http.ErrAbortHandler)
	}
	t.next.ServeHTTP(w, r)
}

// wait returns when no handler runs any more.
func (t *tracker) wait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Serve answers on a listener until the context ends. Requests under way then
// have their context cancelled and their connection closed; Serve returns
// after their handlers.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	track := &tracker{next: handler}
	server := &http.Server{
		Handler:           track,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	_ = server.Close()
	track.wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
