// Package crowd plays clients that send more than they may, or that never finish what they send.
package crowd

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Target is what the clients ask for.
type Target struct {
	// Address is host:port of the process.
	Address string
	// Request is a request line without its line end, such as "POST /a/ HTTP/1.1".
	Request string
	// Fields are the header fields of a complete request but those that frame its body, each
	// ended by CRLF.
	Fields string
	// TLS is the configuration of the clients' TLS; nil: plain TCP.
	TLS *tls.Config
	// HeadBytes and BodyBytes are the largest head and body that a request may have.
	HeadBytes, BodyBytes int
}

// Script is what one client sends on a connection.
type Script struct {
	// Start is sent once, in pieces of Piece bytes with Pause between them; a Piece of 0 sends it
	// at once.
	Start []byte
	Piece int
	Pause time.Duration
	// Endless is sent after Start until the other side closes the connection.
	Endless []byte
	// Unread says that the client does not read the answers.
	Unread bool
}

// Kind is a kind of client.
type Kind struct {
	Name   string
	Script func(t Target) Script
	// Completes says that some of its requests are complete, so that they run.
	Completes bool
}

// Crowd is a running set of clients. Each one connects again when its connection has ended.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// reconnectDelay is the time between the end of a connection and the client's next one.
const reconnectDelay = 100 * time.Millisecond

// Start starts n clients.
func Start(k Kind, t Target, n int) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	script := k.Script(t)
	for range n {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				script.play(ctx, t)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	return c
}

// Stop closes all connections and waits until the clients have ended.
func (c *Crowd) Stop() {
	c.cancel()
	c.clients.Wait()
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = 5 * time.Second

// play plays the script on one connection, until either side closes it.
func (s *Script) play(ctx context.Context, t Target) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	if t.TLS != nil {
		conn = tls.Client(conn, t.TLS)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if s.Unread {
			<-ctx.Done()
			return
		}
		readAnswers(conn)
		_ = conn.Close()
	}()
	s.send(ctx, conn)
	<-ended
}

// readAnswers reads answers until the connection ends or is to be closed.
func readAnswers(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.Close {
			return
		}
	}
}

// send writes what the script says. An error means that the connection has ended.
func (s *Script) send(ctx context.Context, conn net.Conn) {
	for rest := s.Start; len(rest) > 0; {
		n := len(rest)
		if s.Piece > 0 {
			n = min(n, s.Piece)
		}
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		if rest = rest[n:]; len(rest) == 0 || s.Pause == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.Pause):
		}
	}
	for len(s.Endless) > 0 {
		if _, err := conn.Write(s.Endless); err != nil {
			return
		}
	}
}

// head returns the head of a complete request with more fields, each ended by CRLF.
func (t Target) head(more string) string {
	return t.Request + "\r\n" + t.Fields + more + "\r\n"
}

// openHead returns a head without its end: fields of the given length are added until it has n
// bytes.
func (t Target) openHead(n, fieldBytes int) []byte {
	var b strings.Builder
	b.WriteString(t.Request + "\r\n" + t.Fields)
	for i := 0; b.Len()+fieldBytes+8 <= n; i++ {
		fmt.Fprintf(&b, "a%d:%s\r\n", i, strings.Repeat("b", fieldBytes-2))
	}
	return []byte(b.String())
}

// sized returns a complete request with a body of n bytes.
func (t Target) sized(n int) []byte {
	return []byte(t.head(fmt.Sprintf("Content-Length: %d\r\n", n)) + strings.Repeat("x", n))
}

// chunked returns a complete request with a body of n bytes in chunks.
func (t Target) chunked(n, chunkBytes int) []byte {
	var b strings.Builder
	b.WriteString(t.head("Transfer-Encoding: chunked\r\n"))
	for ; n > 0; n -= chunkBytes {
		size := min(n, chunkBytes)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	b.WriteString("0\r\n\r\n")
	return []byte(b.String())
}

// cut returns what is sent without its last n bytes.
func cut(sent []byte, n int) []byte { return sent[:len(sent)-n] }

// endOfChunks is the length of what ends a body in chunks and its last chunk, in bytes.
const endOfChunks = len("\r\n0\r\n\r\n")

// fillerBytes is the length of what is sent again and again.
const fillerBytes = 16 << 10

// Kinds are all kinds of clients.
var Kinds = []Kind{
	{Name: "heads held open over the limit", Script: func(t Target) Script {
		return Script{Start: t.openHead(1<<20, 1000)}
	}},
	{Name: "heads without end", Script: func(t Target) Script {
		return Script{Start: t.openHead(0, 0), Endless: []byte(strings.Repeat("X-Many: yyyyyyyy\r\n", fillerBytes/18))}
	}},
	{Name: "heads of small fields just short of their end", Script: func(t Target) Script {
		return Script{Start: t.openHead(t.HeadBytes, 2)}
	}},
	{Name: "heads byte by byte", Script: func(t Target) Script {
		return Script{Start: t.openHead(t.HeadBytes, 2), Piece: 1, Pause: 5 * time.Millisecond}
	}},
	{Name: "request lines without end", Script: func(Target) Script {
		return Script{Start: []byte("GET /"), Endless: []byte(strings.Repeat("x", fillerBytes))}
	}},
	{Name: "empty lines without end", Script: func(Target) Script {
		return Script{Endless: []byte(strings.Repeat("\r\n", fillerBytes/2))}
	}},
	{Name: "empty lines without end after a request", Completes: true, Script: func(t Target) Script {
		return Script{Start: t.sized(10), Endless: []byte(strings.Repeat("\r\n", fillerBytes/2))}
	}},
	{Name: "bodies just short of their length", Script: func(t Target) Script {
		return Script{Start: cut(t.sized(t.BodyBytes), 1)}
	}},
	{Name: "bodies in pieces just short of their length", Script: func(t Target) Script {
		return Script{Start: cut(t.sized(t.BodyBytes), 1), Piece: t.BodyBytes / 64, Pause: 45 * time.Millisecond}
	}},
	{Name: "bodies just begun", Script: func(t Target) Script {
		return Script{Start: cut(t.sized(t.BodyBytes), t.BodyBytes-1)}
	}},
	{Name: "bodies in one chunk just short of its end", Script: func(t Target) Script {
		return Script{Start: cut(t.chunked(t.BodyBytes, t.BodyBytes), endOfChunks+1)}
	}},
	{Name: "bodies in chunks of one byte just short of their end", Script: func(t Target) Script {
		return Script{Start: cut(t.chunked(t.BodyBytes, 1), endOfChunks+1)}
	}},
	{Name: "chunk extensions without end", Script: func(t Target) Script {
		return Script{Start: []byte(t.head("Transfer-Encoding: chunked\r\n") + "1;x="), Endless: []byte(strings.Repeat("y", fillerBytes))}
	}},
	{Name: "trailers without end", Script: func(t Target) Script {
		return Script{Start: cut(t.chunked(1000, 1000), 2), Endless: []byte(strings.Repeat("X-Many: yyyyyyyy\r\n", fillerBytes/18))}
	}},
	{Name: "whole bodies", Completes: true, Script: func(t Target) Script {
		return Script{Start: t.sized(t.BodyBytes)}
	}},
	{Name: "whole bodies in chunks of one byte", Completes: true, Script: func(t Target) Script {
		return Script{Start: t.chunked(t.BodyBytes, 1)}
	}},
	{Name: "requests sent ahead", Completes: true, Script: func(t Target) Script {
		return Script{Endless: []byte(strings.Repeat(string(t.sized(10)), 20))}
	}},
	{Name: "answers not read", Completes: true, Script: func(t Target) Script {
		return Script{Start: []byte(strings.Repeat(string(t.sized(10)), 200)), Unread: true}
	}},
	{Name: "silent connections", Script: func(Target) Script { return Script{} }},
}
