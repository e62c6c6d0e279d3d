package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { close(l.done); return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve serves requests by their body's length, and returns a function that connects to it.
func serve(t *testing.T, limits func() Limits) (dial func() net.Conn) {
	t.Helper()
	g := NewGuard(Config{Limits: limits, Connections: func() int { return 100 }, Memory: func() int64 { return 1 << 24 }, RetryAfter: "1"})
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{
		ConnContext: WithAccount, ConnState: ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/refused" {
				BoundUnreadBody(r.Context())
				http.Error(w, "refused", http.StatusForbidden)
				return
			}
			body, err := ReadBody(r, 1<<20)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			fmt.Fprint(w, len(body))
		}),
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(g.Listen(l)) // ends with the server
	}()
	t.Cleanup(func() { _ = server.Close(); <-served })
	return func() net.Conn {
		inner, client := net.Pipe()
		l.conns <- inner
		t.Cleanup(func() { _ = client.Close() })
		return client
	}
}

// answers reads n answers and returns their statuses and bodies.
func answers(t *testing.T, r *bufio.Reader, n int) (out []string) {
	t.Helper()
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return append(out, "closed")
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, fmt.Sprint(resp.StatusCode, " ", string(body)))
	}
	return out
}

// TestRequestsOnOneConnection sends requests of all framings in parts of different sizes, all
// ahead.
func TestRequestsOnOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := serve(t, func() Limits { return Limits{HeadBytes: 1000} })
		var stream strings.Builder
		var want []string
		for i := range 50 {
			body := strings.Repeat("b", i*400)
			switch i % 3 {
			case 0:
				fmt.Fprintf(&stream, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			case 1:
				fmt.Fprintf(&stream, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-T: 1\r\n\r\n", len(body), body)
			default:
				body = ""
				stream.WriteString("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("l", 900) + "\r\n\r\n")
			}
			want = append(want, fmt.Sprint("200 ", len(body)))
		}
		for _, part := range []int{1, 13, 4096, 1 << 20} {
			conn := dial()
			go func() {
				for rest := stream.String(); rest != ""; {
					n := min(part, len(rest))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			if got := answers(t, bufio.NewReader(conn), len(want)); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("in parts of %d bytes: %v", part, got)
			}
		}
	})
}

// TestEmptyLinesBeforeARequest has a few empty lines before the first and before a later request.
func TestEmptyLinesBeforeARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := serve(t, func() Limits { return Limits{HeadBytes: 1000} })
		conn := dial()
		request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
		go func() { _, _ = io.WriteString(conn, "\r\n"+request+"\r\n"+request+request) }() // the server may close first
		if got := fmt.Sprint(answers(t, bufio.NewReader(conn), 3)); got != "[200 2 200 2 200 2]" {
			t.Error(got)
		}
		conn = dial()
		go func() { _, _ = io.WriteString(conn, request+strings.Repeat("\r\n", 2000)) }() // the server closes first
		if got := answers(t, bufio.NewReader(conn), 3); got[0] != "200 2" || len(got) < 2 || strings.HasPrefix(got[1], "200") {
			t.Errorf("empty lines without end after a request: %v", got)
		}
	})
}

// TestHeadThatDoesNotEnd checks the time and the size of a head, and the idle time.
func TestHeadThatDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := serve(t, func() Limits { return Limits{HeadBytes: 1000, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second} })
		for _, tc := range []struct {
			name, sent, want string
			after            time.Duration
		}{
			{"nothing", "", "closed", 15 * time.Second},
			{"a part", "GET / HTTP/1.1\r\n", "408 " + string(ReasonHeadTime) + "\n", 3 * time.Second},
			{"a long line", "GET /" + strings.Repeat("x", 2000), "431 " + string(ReasonHead) + "\n", 0},
			{"empty lines", strings.Repeat("\r\n", 20), "400 " + string(ReasonHead) + "\n", 0},
		} {
			conn, start := dial(), time.Now()
			if tc.sent != "" {
				go func() { _, _ = io.WriteString(conn, tc.sent) }() // the connection is closed meanwhile
			}
			got := answers(t, bufio.NewReader(conn), 1)[0]
			if took := time.Since(start).Truncate(10 * time.Millisecond); got != tc.want || took != tc.after {
				t.Errorf("%s: %q after %v, want %q after %v", tc.name, got, took, tc.want, tc.after)
			}
		}
	})
}

// TestRefusalDoesNotWaitForTheBody refuses requests whose body does not arrive, arrives late, or has
// arrived.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := serve(t, func() Limits { return Limits{} })
		conn, start := dial(), time.Now()
		go func() {
			_, _ = io.WriteString(conn, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf") // closed meanwhile
		}()
		got := answers(t, bufio.NewReader(conn), 1)[0]
		if took := time.Since(start); got != "403 refused\n" || took != unreadBodyTime {
			t.Errorf("a body that does not arrive: %q after %v", got, took)
		}
		conn = dial()
		go func() {
			_, _ = io.WriteString(conn, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
			time.Sleep(unreadBodyTime / 2)
			_, _ = io.WriteString(conn, "bPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
		}()
		if got := fmt.Sprint(answers(t, bufio.NewReader(conn), 2)); got != "[403 refused\n 200 2]" {
			t.Errorf("a body that arrives a little later: %q", got)
		}
	})
}

// TestIdleTimeOfTheLimitsInForce makes the idle time longer while a connection is idle.
func TestIdleTimeOfTheLimitsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var idle atomic.Int64
		idle.Store(int64(5 * time.Second))
		dial := serve(t, func() Limits { return Limits{IdleTime: time.Duration(idle.Load())} })
		conn := dial()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		idle.Store(int64(15 * time.Second))
		time.Sleep(9 * time.Second)
		go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		if got := answers(t, bufio.NewReader(conn), 1)[0]; got != "200 0" {
			t.Errorf("after 12 s of 15: %q", got)
		}
	})
}

// failingAccount has no memory.
type failingAccount struct{}

// Reserve implements Account.
func (failingAccount) Reserve(int64) error { return ErrNoMemory }

// TestReadBodyReservesMemoryFirst checks bodies without memory for them, and over the limit.
func TestReadBodyReservesMemoryFirst(t *testing.T) {
	read := func(body io.Reader, length, limit int64) (int, error) {
		b := bodyReader{known: length, limit: limit, account: failingAccount{}}
		got, err := b.read(body)
		return len(got), err
	}
	for _, n := range []int{0, 1, 1000, firstBodyBuffer - 1} {
		for _, length := range []int64{-1, int64(n)} {
			if got, err := read(strings.NewReader(strings.Repeat("x", n)), length, 1<<20); err != nil || got != n {
				t.Errorf("%d bytes, length %d: %d bytes, %v", n, length, got, err)
			}
		}
	}
	for _, length := range []int64{-1, 1 << 20} {
		if _, err := read(strings.NewReader(strings.Repeat("x", 1<<20)), length, 1<<20); !errors.Is(err, ErrNoMemory) {
			t.Errorf("length %d: %v", length, err)
		}
	}
	var tooLong *BodyTooLongError
	if _, err := read(strings.NewReader(strings.Repeat("x", 101)), -1, 100); !errors.As(err, &tooLong) {
		t.Errorf("a body over the limit: %v", err)
	}
}

// TestQueueFollowsMemory checks the length of the queue of connections that wait to be accepted.
func TestQueueFollowsMemory(t *testing.T) {
	for memory, want := range map[int64]int{1 << 20: 64, 64 << 20: 256, 96 << 20: 384, 284 << 20: 1024} {
		if got := QueueFor(memory); got != want {
			t.Errorf("%d MB: %d, want %d", memory>>20, got, want)
		}
	}
}
