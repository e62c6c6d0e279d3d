// Package rawleaf is a stand-in for a leaf that speaks plain HTTP/1.1 and
// answers with scripted bytes, also such as are no good answer: cut short,
// without a length, early, or followed by another answer.
package rawleaf

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Seen is one request that arrived.
type Seen struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Connection numbers the connection it came on, from 1.
	Connection int
}

// Reply says what to do with a request.
type Reply struct {
	// Bytes are written as they are.
	Bytes []byte
	// End says what becomes of the connection then.
	End End
	// Early answers before the body was read.
	Early bool
	// Wait, if it is not nil, holds the answer until it is closed; the
	// connection ends after it.
	Wait <-chan struct{}
	// Late is written when the next request on the connection has arrived, before its answer.
	Late []byte
	// OnBody, if it is not nil, is called with the request's body if all of it arrived.
	OnBody func(body []byte)
	// Endless is written again and again after Bytes until the other side ends the connection.
	Endless []byte
	// OnEnded, if it is not nil, is called when all has been written, or the other side has ended
	// the connection, with the time that it took.
	OnEnded func(time.Duration)
}

// End is what becomes of a connection after an answer.
type End int

// The ends.
const (
	Keep  End = iota
	Close     // an orderly end
	Reset
)

// Leaf is one stand-in. Its methods are safe for concurrent use.
type Leaf struct {
	listener net.Listener
	answer   func(Seen) Reply

	mu          sync.Mutex
	seen        []Seen
	connections int
	gone        int // connections that the other side ended
	open        map[net.Conn]struct{}
}

// New starts a leaf on the loopback address; answer is called for each request.
func New(answer func(Seen) Reply) (*Leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("leaf stand-in: %w", err)
	}
	l := &Leaf{listener: listener, answer: answer, open: make(map[net.Conn]struct{})}
	go l.serve()
	return l, nil
}

// Address is where the leaf listens.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Close ends the leaf and all of its connections.
func (l *Leaf) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}

// Requests returns the requests that arrived.
func (l *Leaf) Requests() []Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.seen)
}

// Gone is the number of connections that the other side has ended.
func (l *Leaf) Gone() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone
}

// Open is the number of open connections.
func (l *Leaf) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// serve accepts until Close.
func (l *Leaf) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.connections++
		n := l.connections
		l.open[conn] = struct{}{}
		l.mu.Unlock()
		go l.connection(conn, n)
	}
}

// connection answers the requests of one connection.
func (l *Leaf) connection(conn net.Conn, n int) {
	defer func() {
		_ = conn.Close()
		l.mu.Lock()
		delete(l.open, conn)
		l.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			l.mu.Lock()
			l.gone++
			l.mu.Unlock()
			return
		}
		if _, err := conn.Write(late); err != nil {
			return
		}
		var keepOpen bool
		if late, keepOpen = l.one(conn, reader, req, n); !keepOpen {
			return
		}
	}
}

// one answers a request. It reports whether the connection goes on, and returns Reply.Late.
func (l *Leaf) one(conn net.Conn, reader *bufio.Reader, req *http.Request, n int) (late []byte, keepOpen bool) {
	seen := Seen{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, Connection: n}
	reply := l.answer(seen)
	if reply.OnEnded != nil {
		begun := time.Now()
		defer func() { reply.OnEnded(time.Since(begun)) }()
	}
	if !reply.Early {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, false
		}
		seen.Body = body
		reply.notifyBody(body)
	}
	l.mu.Lock()
	l.seen = append(l.seen, seen)
	l.mu.Unlock()
	if reply.Wait != nil && !l.hold(conn, reader, reply.Wait) {
		return nil, false
	}
	if _, err := conn.Write(reply.Bytes); err != nil || reply.Wait != nil {
		return nil, false
	}
	if len(reply.Endless) > 0 {
		reply.writeEndless(conn)
		return nil, false
	}
	switch reply.End {
	case Close:
		return nil, false
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return nil, false
	default:
		rest, err := io.ReadAll(req.Body)
		if err == nil && reply.Early {
			reply.notifyBody(rest)
		}
		return reply.Late, err == nil
	}
}

// notifyBody calls OnBody.
func (r *Reply) notifyBody(body []byte) {
	if r.OnBody != nil {
		r.OnBody(body)
	}
}

// writeEndless writes Endless until the other side ends the connection.
func (r *Reply) writeEndless(w io.Writer) {
	for {
		if _, err := w.Write(r.Endless); err != nil {
			return
		}
	}
}

// hold waits for the word to answer; it reports false when the other side ended
// the connection first.
func (l *Leaf) hold(conn net.Conn, reader *bufio.Reader, wait <-chan struct{}) bool {
	ended := make(chan struct{})
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(ended)
		}
	}()
	select {
	case <-wait:
		return true
	case <-ended:
		l.mu.Lock()
		l.gone++
		l.mu.Unlock()
		_ = conn.Close()
		return false
	}
}

// Response writes a response with the given headers, each "Name: value", and a
// length.
func Response(status int, body string, headers ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(b.String())
}
