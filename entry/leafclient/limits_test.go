package leafclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBodyMemoryIsBounded takes the whole budget in bodies, and gets memory again when they have been
// dropped.
func TestBodyMemoryIsBounded(t *testing.T) {
	const size, count = 1 << 20, 4
	m := newBodyMemory(count*size, size)
	var held [][]byte
	for range count {
		held = append(held, m.allocate(size))
	}
	if m.allocate(size) != nil {
		t.Fatal("the budget was exceeded")
	}
	if m.allocate(unreservedBytes) == nil {
		t.Fatal("a small body found no memory")
	}
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := m.await(size, waiter{short, time.Now().Add(time.Hour)}); err == nil {
		t.Fatal("the budget was exceeded")
	}
	runtime.KeepAlive(held)
	if _, err := m.await(size, waiter{t.Context(), time.Now().Add(time.Minute)}); err != nil {
		t.Fatalf("no memory after all bodies were dropped: %v", err)
	}
}

// TestBodyIsReadWholeOrNotAtAll reads bodies with and without a length, up to and over the limit.
func TestBodyIsReadWholeOrNotAtAll(t *testing.T) {
	const limit = 200_000
	m := newBodyMemory(defaultBodyMemory, limit)
	for _, size := range []int{0, 1, unreservedBytes, unreservedBytes + 1, 100_000, limit, limit + 1} {
		for _, sized := range []bool{true, false} {
			sent := bytes.Repeat([]byte("x"), size)
			resp := &http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(sent))}
			if sized {
				resp.ContentLength = int64(size)
			}
			got, err := m.readBody(resp, limit, waiter{t.Context(), time.Now().Add(time.Minute)})
			if size > limit {
				if !errors.Is(err, errBodyTooLong) {
					t.Errorf("%d bytes, sized %v: error %v", size, sized, err)
				}
			} else if err != nil || !bytes.Equal(got, sent) {
				t.Errorf("%d bytes, sized %v: %d bytes, %v", size, sized, len(got), err)
			}
		}
	}
}

// TestLimitedReaderFailsAtItsLimit checks that no byte over the limit is read.
func TestLimitedReaderFailsAtItsLimit(t *testing.T) {
	r := &limitedReader{r: strings.NewReader("abcdef"), left: 4, tooLong: errHeadTooLong}
	got, err := io.ReadAll(r)
	if string(got) != "abcd" || !errors.Is(err, errHeadTooLong) {
		t.Errorf("%q, %v", got, err)
	}
}

// startEndless starts a leaf that answers each request with begin and then piece again and again. It
// returns its address and a channel that gets a value for
// each connection that has ended.
func startEndless(t *testing.T, begin, piece string) (address string, ended <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ends := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() {
					_ = conn.Close()
					select {
					case ends <- struct{}{}:
					default: // nobody counts so many
					}
				}()
				var request [4096]byte
				_, err := conn.Read(request[:])
				for data := begin; err == nil; data = piece {
					_, err = conn.Write([]byte(data))
				}
			}()
		}
	}()
	return l.Addr().String(), ends
}

// TestEndlessHealthResponseIsCut has health responses that never end, in the check of a new connection
// and in a request for health.
func TestEndlessHealthResponseIsCut(t *testing.T) {
	long := strings.Repeat("x", 4<<10)
	const connections = 4
	for name, begin := range map[string]string{
		"status line": "x", "header": "HTTP/1.1 200 OK\r\nX-Long: ", "body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, ended := startEndless(t, begin, long)
			c := New(1 << 16)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var all sync.WaitGroup
			for range connections {
				all.Go(func() {
					if _, err := c.Health(ctx, Target{ID: "leaf-1", Address: address, Connections: connections}); err == nil {
						t.Error("the leaf counts as healthy")
					}
				})
			}
			all.Wait()
			for range connections {
				<-ended
			}
			if ctx.Err() != nil {
				t.Error("the responses were read until the deadline")
			}
		})
	}
}

// TestEndlessReplyIsCut has replies that never end, in our own leaf protocol.
func TestEndlessReplyIsCut(t *testing.T) {
	for name, h := range map[string]handler{
		"body": func(w http.ResponseWriter, r *http.Request) {
			replyHandler(func(h http.Header) { h.Del("Content-Length") })(w, r)
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		},
		"header": func(w http.ResponseWriter, r *http.Request) {
			replyHandler(func(h http.Header) { h.Set("X-Long", strings.Repeat("x", 4*maxHeadBytes)) })(w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, sent, err := runAttempt(t, h)
			var broken *BrokenError
			if !errors.As(err, &broken) || !sent {
				t.Errorf("sent %v, error %v, want a BrokenError", sent, err)
			}
		})
	}
}

// TestSoundLeafIsServedBesideEndlessBytes runs requests at a sound leaf while another leaf takes all the
// memory for bodies that it can get.
func TestSoundLeafIsServedBesideEndlessBytes(t *testing.T) {
	const floods, requests = 20, 200
	address, _ := startEndless(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10))
	sound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("y", unreservedBytes)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = srv.Serve(sound) }()
	t.Cleanup(func() { _ = srv.Close() })
	x := NewExchanger(1<<20, 4<<20)
	defer x.Close()
	ask := func(ctx context.Context, address, id string) (*ExchangeResponse, error) {
		return x.Do(ctx, Target{ID: address, Address: address, Connections: floods}, &ExchangeRequest{
			ID: id, Method: http.MethodGet,
			AppendHead: func(buf []byte, _ time.Duration) []byte {
				return append(buf, "GET / HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\n\r\n"...)
			},
			ParseHead: func(r *http.Response) AnswerHead {
				return AnswerHead{Status: r.StatusCode, Signed: true, RequestIDs: r.Header["Id"]}
			},
		}, func() bool { return true })
	}
	flooded, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for range floods {
		all.Go(func() {
			for flooded.Err() == nil {
				_, _ = ask(flooded, address, "f")
			}
		})
	}
	for i := range requests {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		in, err := ask(ctx, sound.Addr().String(), strconv.Itoa(i))
		// A dial takes longer than its time-out while the process lacks processor time.
		var unsent *DialError
		for errors.As(err, &unsent) && ctx.Err() == nil {
			in, err = ask(ctx, sound.Addr().String(), strconv.Itoa(i))
		}
		cancel()
		if err != nil || string(in.Body) != body {
			t.Fatalf("a request at the sound leaf: %v", err)
		}
	}
	stop()
	all.Wait()
}
