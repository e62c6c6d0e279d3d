// Package server is the entry's HTTP side towards callers and operators:
// routes, authentication, limits on what is taken in, and the translation of
// outcomes and errors to HTTP.
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
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Executor runs queries.
type Executor interface {
	Execute(ctx context.Context, r *executor.Request) (*executor.Response, error)
}

// Views gives the view in force; nil before there is a document.
type Views interface {
	View() *view.View
}

// Lifecycle says how far a stop of the instance has come.
type Lifecycle interface {
	// Arrived counts one query.
	Arrived()
	// Leaving says that connections should be given up by their callers.
	Leaving() bool
	// Refusing says that new queries must be refused as not run.
	Refusing() bool
}

// Limits bound what is taken from a caller.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	ReadTimeout time.Duration // to read a whole request
	IdleTimeout time.Duration
}

// Config is what the server needs.
type Config struct {
	Executor Executor
	Views    Views
	Limits   Limits
	TLS      *tls.Config // nil: plain HTTP
	// Lifecycle says how far a stop has come.
	Lifecycle Lifecycle
	// Ready reports why the instance takes no new callers; "" when it does.
	Ready func() string
	// Status gives the value shown at /status.
	Status func() any
	// Metrics serves /metrics.
	Metrics http.Handler
}

// Server is the HTTP side of one listener.
type Server struct {
	config Config
	echo   *echo.Echo
	http   *http.Server
}

// New makes the callers' server.
func New(c Config) *Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	s := &Server{config: c, echo: e}
	s.http = &http.Server{
		Handler:           e,
		TLSConfig:         c.TLS,
		MaxHeaderBytes:    c.Limits.HeaderBytes,
		ReadHeaderTimeout: c.Limits.ReadTimeout,
		ReadTimeout:       c.Limits.ReadTimeout,
		IdleTimeout:       c.Limits.IdleTimeout,
	}
	e.Use(middleware.Recover(), s.letGo)
	e.POST(callerapi.PathQuery, s.query)
	e.POST(callerapi.PathRouted, s.query)
	s.addOperational(e)
	return s
}

// letGo asks callers to give up their connections while the instance leaves, so
// that none is idle, or about to be used again, when they are closed.
func (s *Server) letGo(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.config.Lifecycle.Leaving() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// Echo gives the router, so that other parts can add operators' routes.
func (s *Server) Echo() *echo.Echo { return s.echo }

// addOperational adds the routes that need no caller.
func (s *Server) addOperational(e *echo.Echo) {
	e.GET(callerapi.PathHealthz, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(callerapi.PathReadyz, s.readyz)
	e.GET(callerapi.PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, s.config.Status()) })
	e.GET(callerapi.PathMetrics, echo.WrapHandler(s.config.Metrics))
}

// readyz answers 503 with the reason while the balancer should send no one.
func (s *Server) readyz(c echo.Context) error {
	if reason := s.config.Ready(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	var err error
	if s.config.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// Shutdown stops accepting and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut callers' server down: %w", err)
	}
	return nil
}
