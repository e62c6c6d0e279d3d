// Package peertest is an in-memory network of pipes between instances, for tests that
// run in the virtual time of testing/synctest.
package peertest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Network is a set of listeners by address. The zero value has no listeners and is
// ready to use. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener with a new address.
func (n *Network) Listen() net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{
		address: address(fmt.Sprintf("pipe:%d", len(n.listeners)+1)),
		accept:  make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[string(l.address)] = l
	return l
}

// Dial opens a connection to the listener at an address. It has the signature of
// peer.ClientConfig.Dial.
func (n *Network) Dial(ctx context.Context, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, refused(to)
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.accept <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, refused(to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refused returns the error of dialing an address without a listener.
func refused(to string) error {
	return &net.OpError{Op: "dial", Net: "pipe", Addr: address(to), Err: syscall.ECONNREFUSED}
}

// listener implements net.Listener.
type listener struct {
	address address
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "pipe" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
