package soak

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// storeProxy is the store's address for all instances, with a link of its own to each: they
// prove to each other by that address that they belong together, so it must be the same.
type storeProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[string]*proxy // by instance
}

// headTimeout is how long a caller may take to say who it is.
const headTimeout = 5 * time.Second

// newStoreProxy starts a proxy before the store's address.
func newStoreProxy(target string) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeProxy{listener: l, target: target, links: make(map[string]*proxy)}
	go s.serve()
	return s, nil
}

// address is where the proxy listens.
func (s *storeProxy) address() string { return s.listener.Addr().String() }

// close ends the proxy; the links are closed by their instances.
func (s *storeProxy) close() { _ = s.listener.Close() }

// linkOf returns the link to an instance.
func (s *storeProxy) linkOf(instance string) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.links[instance]
	if !ok {
		l = newLink(s.target)
		s.links[instance] = l
	}
	return l
}

// serve accepts until close.
func (s *storeProxy) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.assign(conn)
	}
}

// assign hands a connection to the link of the instance that its first request names.
func (s *storeProxy) assign(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
	recorded := &recordingConn{Conn: conn}
	req, err := http.ReadRequest(bufio.NewReader(recorded))
	_ = conn.SetReadDeadline(time.Time{})
	if err != nil {
		abort(conn)
		return
	}
	s.linkOf(req.Header.Get(platform.HeaderInstance)).carry(&replayConn{Conn: conn, unread: recorded.read})
}

// recordingConn keeps what was read.
type recordingConn struct {
	net.Conn
	read []byte
}

// Read implements net.Conn.
func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read = append(c.read, b[:n]...)
	return n, err
}

// replayConn is a connection from which the unread bytes are read first.
type replayConn struct {
	net.Conn
	unread []byte
}

// Read implements net.Conn.
func (c *replayConn) Read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// CloseWrite ends the direction to the instance.
func (c *replayConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

// SetLinger implements what abort needs for a reset.
func (c *replayConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
