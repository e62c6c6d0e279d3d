package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
)

// Bounds of the clients' server that the configuration does not set.
const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any client keeps an unused connection, so that
	// no request crosses the close of one.
	idleTimeout = 5 * time.Minute
)

// An address that is in use is tried again for listenFor, each listenAgain: whoever
// has it, such as the process before this one, may just be going.
const (
	listenFor   = 3 * time.Second
	listenAgain = 100 * time.Millisecond
)

// listen opens a socket.
func (n *Node) listen(ctx context.Context, address string) (net.Listener, error) {
	for begin := time.Now(); ; sleep(ctx, listenAgain) {
		l, err := net.Listen("tcp", address)
		if err == nil || ctx.Err() != nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) >= listenFor {
			return l, err
		}
		n.log.Component("node").Warn("address is in use", "address", address, "for", time.Since(begin))
	}
}

// clientServer serves passed-on requests.
func (n *Node) clientServer() *http.Server {
	return &http.Server{
		Handler: n.gateway, ConnContext: gateway.WithConnection,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
}

// serveUntil serves until the context ends. Connections are closed then: the
// graceful stop has come before.
func serveUntil(ctx context.Context, s *http.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}
