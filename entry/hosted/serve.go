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
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
)

// Limits of the HTTP servers that the configuration does not set.
const (
	// adminHeadBytes and adminRequestTime bound the requests of the load balancer and of readers
	// of metrics.
	adminHeadBytes   = 8 << 10
	adminRequestTime = 10 * time.Second
	// idleTimeout is longer than any of them keeps an idle connection, so that the
	// server never closes one while a request is on its way.
	idleTimeout = 5 * time.Minute
	// serverHeadBytes is the limit of the HTTP server itself, which the guards replace.
	serverHeadBytes = 64 << 20
)

// An address that is in use is tried again each listenRetryInterval, for listenRetryPeriod:
// its owner, such as the previous process, may be about to end.
const (
	listenRetryPeriod   = 3 * time.Second
	listenRetryInterval = 100 * time.Millisecond
)

// listen opens a listening TCP socket whose connections have receive buffers of the given size in bytes;
// it retries while the address is in use.
func (n *Node) listen(ctx context.Context, address string, receiveBuffer int) (net.Listener, error) {
	options := ingress.ListenOptions{ReceiveBuffer: receiveBuffer, Queue: n.tunables.Load().Resources.acceptQueue()}
	for startedAt := time.Now(); ; sleep(ctx, listenRetryInterval) {
		l, err := ingress.ListenTCP(ctx, address, options)
		if err == nil || ctx.Err() != nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(startedAt) >= listenRetryPeriod {
			return l, err
		}
		n.log.Component("node").Warn("address is in use", "address", address, "for", time.Since(startedAt))
	}
}

// clientServer serves the requests of clients.
func (n *Node) clientServer() *http.Server {
	return &http.Server{
		Handler: n.gateway, ConnContext: gateway.WithConnection,
		ConnState: ingress.ConnState, MaxHeaderBytes: serverHeadBytes,
	}
}

// adminServer serves the load balancer or readers of metrics.
func adminServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ConnState: ingress.ConnState, MaxHeaderBytes: serverHeadBytes}
}

// serveUntil serves until the context ends, and then closes all connections at once:
// the instance has been drained before.
func serveUntil(ctx context.Context, s *http.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}
