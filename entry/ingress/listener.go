package ingress

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listener admits connections through a Guard.
type Listener struct {
	net.Listener
	guard *Guard
}

// Listen returns a listener whose connections the guard bounds. The HTTP server that serves it
// must call ConnState on each change of a connection's state.
func (g *Guard) Listen(l net.Listener) *Listener { return &Listener{Listener: l, guard: g} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(inner); c != nil {
			return c, nil
		}
	}
}

// ConnState is the http.Server's ConnState.
func ConnState(c net.Conn, s http.ConnState) {
	if own, ok := c.(*Conn); ok {
		own.setState(s)
	}
}

// Sizes of a connection's buffers in the kernel, in bytes; it doubles them.
const (
	// receiveBuffer bounds what a client sends ahead; requestCost includes it.
	receiveBuffer = 16 << 10
	sendBuffer    = 128 << 10
)

// acceptQueue is the maximum number of connections that wait to be accepted. Each may hold a full
// receive buffer.
const acceptQueue = 1024

// ListenTCP opens a listening TCP socket whose connections have small buffers in the kernel.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Buffers of another size are no reason not to serve.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		})
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		limitAcceptQueue(tcp)
	}
	return l, nil
}

// limitAcceptQueue replaces the length of the accept queue that package net has set. Another length
// is no reason not to serve.
func limitAcceptQueue(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), acceptQueue) })
}
