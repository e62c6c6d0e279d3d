// Package server is the HTTP server for callers and operators: paths, authentication,
// limits on the size and time of requests, and the translation of outcomes and errors to
// HTTP.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Executor runs queries.
type Executor interface {
	Execute(ctx context.Context, r *executor.Request) (*executor.Response, error)
}

// Views returns the view in force, or nil before the first configuration document.
type Views interface {
	View() *view.View
}

// Lifecycle is the progress of the instance's graceful stop.
type Lifecycle interface {
	// Arrived counts one incoming query.
	Arrived()
	// Leaving reports whether callers are asked to close their connections.
	Leaving() bool
	// Refusing reports whether new queries are refused as not run.
	Refusing() bool
}

// Limits are the limits on the size and time of requests.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	ReadTimeout time.Duration // for reading a whole request
	IdleTimeout time.Duration
	// Connections bounds the open connections, and MemoryBytes the sum of what they and their
	// requests hold.
	Connections int
	MemoryBytes int64
}

// guardConfig returns the bounds on connections.
func (l Limits) guardConfig(usesTLS bool, onReject func(ingress.Reason)) ingress.Config {
	c := ingress.Config{
		Limits: func() ingress.Limits {
			return ingress.Limits{HeadBytes: l.HeaderBytes, HeadTime: l.ReadTimeout, IdleTime: l.IdleTimeout}
		},
		Connections: func() int { return l.Connections },
		Memory:      func() int64 { return l.MemoryBytes },
		RequestTime: l.ReadTimeout,
		RetryAfter:  "1",
		OnReject:    onReject,
	}
	if usesTLS {
		c.ConnectionCost = ingress.TLSConnectionCost
	}
	return c
}

// maxServerHeaderBytes is the limit of the HTTP server itself, which the guard's replaces.
const maxServerHeaderBytes = 64 << 20

// Config holds the server's dependencies and limits.
type Config struct {
	Executor  Executor
	Views     Views
	Limits    Limits
	TLS       *tls.Config // nil: plain HTTP
	Lifecycle Lifecycle
	// Ready returns why the instance accepts no new callers, or "" if it does.
	Ready func() string
	// Status returns the value that /status encodes as JSON.
	Status func() any
	// OnReject is called when a connection or request is rejected to keep within a bound; nil: nothing
	// is. It must not block.
	OnReject func(ingress.Reason)
	// Metrics handles /metrics.
	Metrics http.Handler
}

// Server is the HTTP server of one listener.
type Server struct {
	config Config
	echo   *echo.Echo
	http   *http.Server
	guard  *ingress.Guard
}

// New returns a server with the paths for queries and operations.
func New(c Config) *Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	s := &Server{config: c, echo: e, guard: ingress.NewGuard(c.Limits.guardConfig(c.TLS != nil, c.OnReject))}
	s.http = &http.Server{Handler: e, MaxHeaderBytes: maxServerHeaderBytes, ConnContext: ingress.WithAccount, ConnState: ingress.ConnState}
	e.Use(middleware.Recover(), boundUnreadBody, s.closeConnectionsWhileLeaving)
	e.POST(callerapi.PathQuery, s.query)
	e.POST(callerapi.PathRouted, s.query)
	s.addOperational(e)
	return s
}

// closeConnectionsWhileLeaving sets Connection: close on responses while the instance leaves,
// so that at its end no connection is idle or about to be used again.
func (s *Server) closeConnectionsWhileLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.config.Lifecycle.Leaving() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// boundUnreadBody lets a refusal not wait for the rest of the request's body.
func boundUnreadBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer ingress.BoundUnreadBody(c.Request().Context())
		return next(c)
	}
}

// Echo returns the router, to which other packages add operators' paths.
func (s *Server) Echo() *echo.Echo { return s.echo }

// addOperational adds the paths that need no authentication.
func (s *Server) addOperational(e *echo.Echo) {
	e.GET(callerapi.PathHealthz, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(callerapi.PathReadyz, s.readyz)
	e.GET(callerapi.PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, s.config.Status()) })
	e.GET(callerapi.PathMetrics, echo.WrapHandler(s.config.Metrics))
}

// readyz responds 503 with the reason while the load balancer should send no requests here.
func (s *Server) readyz(c echo.Context) error {
	if reason := s.config.Ready(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// Serve handles connections of the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.config.TLS != nil {
		config := s.config.TLS.Clone()
		config.NextProtos = []string{"http/1.1"}
		l = tls.NewListener(l, config)
	}
	err := s.http.Serve(s.guard.Listen(l))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down callers' server: %w", err)
	}
	return nil
}
