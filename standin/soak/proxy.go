package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is what a proxy does to the connections through it.
type link struct {
	// delay holds each piece back, in each direction.
	delay time.Duration
	// dropUp and dropDown silence one direction: bytes are taken and lost.
	dropUp, dropDown bool
	// refuse resets new connections.
	refuse bool
}

// proxy is a TCP proxy on the loopback address whose link can be harmed.
type proxy struct {
	listener net.Listener
	target   string
	link     atomic.Pointer[link]

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// newProxy starts a proxy before an address; it listens on an IP.
func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := newLink(target)
	p.listener = l
	go p.serve()
	return p, nil
}

// newLink returns a proxy without a listener, for connections that another one accepts.
func newLink(target string) *proxy {
	p := &proxy{target: target, conns: make(map[net.Conn]struct{})}
	p.link.Store(&link{})
	return p
}

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what is done to bytes and connections from here on.
func (p *proxy) set(l link) { p.link.Store(&l) }

// reset ends all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.reset()
}

// abort resets a connection.
func abort(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// serve accepts until close.
func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(in)
	}
}

// carry joins a connection with one to the target.
func (p *proxy) carry(in net.Conn) {
	if p.link.Load().refuse {
		abort(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(out, in, func(l *link) bool { return l.dropUp }, done)
	go p.copy(in, out, func(l *link) bool { return l.dropDown }, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// copyBuffer is the piece that is delayed or dropped as a whole.
const copyBuffer = 16 << 10

// copy carries one direction to its end. The end of a silenced direction is not
// informed either.
func (p *proxy) copy(to, from net.Conn, dropped func(*link) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		l := p.link.Load()
		time.Sleep(l.delay)
		if n > 0 && !dropped(l) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(interface{ CloseWrite() error }); ok {
				_ = tcp.CloseWrite()
			}
			return
		default:
			abort(to)
			return
		}
	}
}
