package leafclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestTransientConnectionIsNotReused returns connections to a pool that has become
// transient: they are closed, and so are those that were idle before.
func TestTransientConnectionIsNotReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	target := Target{ID: "a", Address: l.Addr().String(), Connections: 1}
	s := newSocketPool(target, &sockets{})
	defer s.close()
	useOnce := func() {
		t.Helper()
		c, err := s.get(context.Background(), "q")
		if err != nil {
			t.Fatal(err)
		}
		s.put(c)
	}
	useOnce()
	useOnce()
	if n := s.dials.Load(); n != 1 || len(s.idle) != 1 {
		t.Fatalf("%d dials and %d idle with a limit of one, want 1 and 1", n, len(s.idle))
	}
	target.Transient = true
	s.updateLimits(target)
	if len(s.idle) != 0 {
		t.Error("an idle connection is left after the pool has become transient")
	}
	useOnce()
	useOnce()
	if n := s.dials.Load(); n != 3 || len(s.idle) != 0 {
		t.Errorf("%d dials and %d idle, want 3 and 0", n, len(s.idle))
	}
}

// TestGivenUpExchangeIsReset cancels an exchange whose request waits for a leaf that does
// not read: an orderly close would go on sending it.
func TestGivenUpExchangeIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	x := NewExchanger(1<<20, 0)
	defer x.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done, sending := make(chan error, 1), make(chan struct{})
	go func() {
		_, err := x.Do(ctx, Target{ID: "l", Address: l.Addr().String(), Connections: 1}, &ExchangeRequest{
			Method:     http.MethodGet,
			AppendHead: func(buf []byte, _ time.Duration) []byte { return append(buf, "GET / HTTP/1.1\r\n\r\n"...) },
		}, func() bool { close(sending); return true })
		done <- err
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-sending
	cancel()
	if err := <-done; err == nil {
		t.Fatal("the exchange was answered")
	}
	if _, err := io.Copy(io.Discard, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the leaf's connection ended with %v, want a reset", err)
	}
}
