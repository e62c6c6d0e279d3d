package leafclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler is a fake leaf's reaction to a request.
type handler func(w http.ResponseWriter, r *http.Request)

// withHealth answers health requests and passes all others to h.
func withHealth(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == leafapi.PathHealth {
			_, _ = w.Write([]byte(`{"id":"leaf-1","ready":true}`))
			return
		}
		h(w, r)
	})
}

// replyHandler returns a handler that writes a valid reply, after change has edited
// its headers.
func replyHandler(change func(h http.Header)) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		body := "result"
		h := w.Header()
		h.Set(leafapi.HeaderAttempt, r.Header.Get(leafapi.HeaderAttempt))
		h.Set(leafapi.HeaderVersion, "7")
		h.Set(leafapi.HeaderVersions, "6,7")
		h.Set(leafapi.HeaderRanges, r.Header.Get(leafapi.HeaderRange))
		h.Set(leafapi.HeaderChecksum, fmt.Sprintf("%016x", xxhash.Sum64String(body)))
		change(h)
		_, _ = w.Write([]byte(body))
	}
}

// runAttempt runs one attempt against the handler and reports whether it was sent.
func runAttempt(t *testing.T, h handler) (*Reply, bool, error) {
	t.Helper()
	srv := httptest.NewServer(withHealth(h))
	defer srv.Close()
	c := New(1 << 16)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	target := Target{ID: "leaf-1", Address: strings.TrimPrefix(srv.URL, "http://"), Connections: 2}
	sent := false
	reply, err := c.Run(ctx, target, &Request{ID: "q", Attempt: "a1", Range: keyrange.Range{From: 0, To: 10}}, func() bool { sent = true; return true })
	return reply, sent, err
}

// TestCorruptReplyIsBrokenError corrupts each header of a reply in turn.
func TestCorruptReplyIsBrokenError(t *testing.T) {
	if reply, sent, err := runAttempt(t, replyHandler(func(http.Header) {})); err != nil || !sent || reply.Version != 7 {
		t.Fatalf("a valid reply: %+v, sent %v, error %v", reply, sent, err)
	}
	corruptions := map[string]func(http.Header){
		"crossed attempt":  func(h http.Header) { h.Set(leafapi.HeaderAttempt, "a2") },
		"no attempt":       func(h http.Header) { h.Del(leafapi.HeaderAttempt) },
		"no version":       func(h http.Header) { h.Del(leafapi.HeaderVersion) },
		"bad ranges":       func(h http.Header) { h.Set(leafapi.HeaderRanges, "9-3") },
		"bad versions":     func(h http.Header) { h.Set(leafapi.HeaderVersions, "x") },
		"wrong checksum":   func(h http.Header) { h.Set(leafapi.HeaderChecksum, "0000000000000000") },
		"truncated body":   func(h http.Header) { h.Set("Content-Length", "100") },
		"no checksum":      func(h http.Header) { h.Del(leafapi.HeaderChecksum) },
		"overflown ranges": func(h http.Header) { h.Set(leafapi.HeaderRanges, "0-99999999999999999999") },
	}
	for name, corrupt := range corruptions {
		_, sent, err := runAttempt(t, replyHandler(corrupt))
		var broken *BrokenError
		if !errors.As(err, &broken) || !sent {
			t.Errorf("%s: sent %v, error %v, want a BrokenError after it was sent", name, sent, err)
		}
	}
}

// TestOnlyDeclineHeaderCountsAsNotRun checks that a response without the decline
// header, such as a bare 503, does not count as not run.
func TestOnlyDeclineHeaderCountsAsNotRun(t *testing.T) {
	_, _, err := runAttempt(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(leafapi.HeaderAttempt, r.Header.Get(leafapi.HeaderAttempt))
		w.Header().Set(leafapi.HeaderNotRun, string(leafapi.DeclineWrongVersion))
		w.Header().Set(leafapi.HeaderVersions, "8")
		w.WriteHeader(http.StatusConflict)
	})
	var declined *DeclinedError
	if !errors.As(err, &declined) || declined.Reason != leafapi.DeclineWrongVersion || len(declined.Versions) != 1 {
		t.Fatalf("error %v, want a DeclinedError with the versions served", err)
	}
	_, _, err = runAttempt(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(leafapi.HeaderAttempt, r.Header.Get(leafapi.HeaderAttempt))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var broken *BrokenError
	if !errors.As(err, &broken) || broken.Cause != CauseStatus {
		t.Fatalf("error %v, want a BrokenError: a bare 503 does not say that it was not run", err)
	}
}

// TestDeclineOfAnotherAttemptIsNotTakenForThisOne checks a decline that names another attempt, or none.
func TestDeclineOfAnotherAttemptIsNotTakenForThisOne(t *testing.T) {
	for _, attempt := range []string{"", "a2"} {
		_, sent, err := runAttempt(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(leafapi.HeaderAttempt, attempt)
			w.Header().Set(leafapi.HeaderNotRun, string(leafapi.DeclineOverloaded))
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		var broken *BrokenError
		if !errors.As(err, &broken) || !sent {
			t.Errorf("attempt %q: %v, want a BrokenError", attempt, err)
		}
	}
}

// TestConnectionClosedAfterSendIsBrokenError checks that a connection which the leaf
// closes during a request gives a BrokenError, and one that can't be opened a DialError.
func TestConnectionClosedAfterSendIsBrokenError(t *testing.T) {
	var calls atomic.Int64
	_, sent, err := runAttempt(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	var broken *BrokenError
	if !errors.As(err, &broken) || broken.Cause != CauseClosed || !sent {
		t.Fatalf("sent %v, error %v, want a BrokenError for a closed connection", sent, err)
	}
	if calls.Load() != 1 {
		t.Fatalf("the leaf ran it %d times, want once: no transparent retry", calls.Load())
	}
	c := New(1 << 16)
	defer c.Close()
	target := Target{ID: "gone", Address: "127.0.0.1:1", Connections: 1}
	_, err = c.Run(context.Background(), target, &Request{Range: keyrange.Range{From: 0, To: 1}}, func() bool { t.Error("sent without a connection"); return true })
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Fatalf("error %v, want a DialError", err)
	}
}

// TestRequestIsNotReplayedAfterClose closes a reused connection during the second
// request, which net/http may resend by itself if it takes it for replayable.
func TestRequestIsNotReplayedAfterClose(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(withHealth(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			replyHandler(func(http.Header) {})(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	c := New(1 << 16)
	defer c.Close()
	target := Target{ID: "leaf-1", Address: strings.TrimPrefix(srv.URL, "http://"), Connections: 1}
	for range 2 {
		_, _ = c.Run(context.Background(), target, &Request{Attempt: "a", Range: keyrange.Range{From: 0, To: 1}}, func() bool { return true })
	}
	if calls.Load() != 2 {
		t.Fatalf("the leaf saw %d requests, want 2", calls.Load())
	}
}

// TestQuotaBoundsConnections checks that the limit holds and that a waiter gets the
// quota that is released.
func TestQuotaBoundsConnections(t *testing.T) {
	var q connQuota
	q.setLimit(1)
	if err := q.acquire(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := q.acquire(ctx); err == nil {
		t.Fatal("a second connection was allowed with a limit of one")
	}
	got := make(chan error, 1)
	go func() { got <- q.acquire(context.Background()) }()
	for {
		q.mu.Lock()
		n := len(q.waiters)
		q.mu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	q.release()
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	if used, _ := q.count(); used != 1 {
		t.Fatalf("%d connections in use, want 1", used)
	}
	if over := q.setLimit(0); !over {
		t.Fatal("setLimit does not report a limit below the connections in use")
	}
}

// TestCancelledAttemptIsNotSent cancels an attempt when it has a connection: on a new
// connection as on a reused one, the leaf must see nothing.
func TestCancelledAttemptIsNotSent(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(withHealth(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		replyHandler(func(http.Header) {})(w, r)
	}))
	defer srv.Close()
	c := New(1 << 16)
	defer c.Close()
	target := Target{ID: "leaf-1", Address: strings.TrimPrefix(srv.URL, "http://"), Connections: 2}
	for i, allowed := range []bool{false, true, false, true} {
		_, err := c.Run(context.Background(), target, &Request{Attempt: "a", Body: []byte("x"), Range: keyrange.Range{From: 0, To: 1}}, func() bool { return allowed })
		var dial *DialError
		if allowed != (err == nil) || (!allowed && !errors.As(err, &dial)) {
			t.Errorf("attempt %d with beforeSend returning %v: %v", i, allowed, err)
		}
	}
	if calls.Load() != 2 {
		t.Errorf("the leaf saw %d requests, want 2", calls.Load())
	}
}

// TestConnectionClosedOnAcceptIsDialError closes each new connection at once, as a leaf
// over its connection limit does: the request can't have run.
func TestConnectionClosedOnAcceptIsDialError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	c := New(1 << 16)
	defer c.Close()
	target := Target{ID: "full", Address: l.Addr().String(), Connections: 1}
	_, err = c.Run(context.Background(), target, &Request{Range: keyrange.Range{From: 0, To: 1}}, func() bool { t.Error("sent over a connection that was closed on accept"); return true })
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Fatalf("error %v, want a DialError", err)
	}
}

// TestOlderTargetDoesNotRaiseLimit runs a request with a target from an older view after
// a newer view has lowered the connection limit.
func TestOlderTargetDoesNotRaiseLimit(t *testing.T) {
	srv := httptest.NewServer(withHealth(replyHandler(func(http.Header) {})))
	defer srv.Close()
	c := New(1 << 16)
	defer c.Close()
	older := Target{ID: "leaf-1", Address: strings.TrimPrefix(srv.URL, "http://"), Connections: 9}
	newer := older
	newer.Connections = 2
	c.Apply([]Target{older})
	c.Apply([]Target{newer})
	if _, err := c.Run(context.Background(), older, &Request{Attempt: "a", Range: keyrange.Range{From: 0, To: 1}}, func() bool { return true }); err != nil {
		t.Fatal(err)
	}
	if _, limit := c.leaves[newer.key()].quota.count(); limit != 2 {
		t.Errorf("the limit is %d again, want 2", limit)
	}
	c.Apply([]Target{{ID: "leaf-2", Address: "127.0.0.1:1"}})
	if _, kept := c.leaves[newer.key()]; kept || len(c.leaves) != 1 {
		t.Errorf("%d leaves are kept, among them the one that was removed: %v", len(c.leaves), kept)
	}
}
