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

// sendBuffer is the size of a connection's send buffer in the kernel, which doubles it, in bytes.
const sendBuffer = 128 << 10

// ListenOptions bound what the kernel holds for a listener: the product of both values, twice, as the
// kernel doubles the buffer. Options that the kernel does not take are no reason not to serve.
type ListenOptions struct {
	// ReceiveBuffer is the size of a connection's receive buffer in bytes.
	ReceiveBuffer int
	// Queue is the maximum number of connections that wait to be accepted.
	Queue int
}

// Receive buffers in bytes. The cost of a connection's request includes that of clients.
const (
	ClientReceiveBuffer = 16 << 10
	// PeerReceiveBuffer holds most messages of instances.
	PeerReceiveBuffer = 8 << 10
	// AdminReceiveBuffer holds a request without a body.
	AdminReceiveBuffer = 4 << 10
)

const (
	// maxQueue is the maximum length of a queue, and minQueue the minimum of QueueFor.
	maxQueue, minQueue = 1024, 64
	// memoryPerQueued is the memory of the process for each connection in a queue, in bytes.
	memoryPerQueued = 256 << 10
)

// QueueFor returns the length of the queue of a process with some memory in bytes.
func QueueFor(memory int64) int { return int(min(max(memory/memoryPerQueued, minQueue), maxQueue)) }

// ListenTCP opens a listening TCP socket.
func ListenTCP(ctx context.Context, address string, o ListenOptions) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		})
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		limitQueue(tcp, o.Queue)
	}
	return l, nil
}

// limitQueue replaces the length of the queue that package net has set.
func limitQueue(l *net.TCPListener, length int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), length) })
}
