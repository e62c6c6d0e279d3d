package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// countingMeter is a Meter that counts calls by type and result.
type countingMeter struct {
	mu    sync.Mutex
	calls map[string]int
}

func (c *countingMeter) PlatformCall(call Call, result Result, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[fmt.Sprintf("%s %s", call, result)]++
}

// startServer starts a server with the handler and returns a client for it.
func startServer(t *testing.T, handler http.HandlerFunc) (*Client, *countingMeter) {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return newClient(t, srv.URL)
}

// newClient returns a client for the URL.
func newClient(t *testing.T, url string) (*Client, *countingMeter) {
	t.Helper()
	meter := &countingMeter{calls: make(map[string]int)}
	c, err := New(Config{URL: url, Token: "secret", Instance: "entry-1", Meter: meter})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, meter
}

// replyWith returns a handler that replies with a status and a JSON body.
func replyWith(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func TestRequestsCarryPathVersionAndInstance(t *testing.T) {
	var seen []string
	c, meter := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.Method+" "+r.URL.String()+" "+string(body))
		if r.Header.Get(HeaderInstance) != "entry-1" || r.Header.Get("Authorization") != "Bearer secret" {
			t.Errorf("headers are %v", r.Header)
		}
		if r.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"version": 9, "value": []byte("v"), "revision": 4})
	})
	ctx := t.Context()
	obj, err := c.Get(ctx, "k", "a/b")
	if err != nil || obj.Version != 9 || string(obj.Value) != "v" {
		t.Fatalf("got %+v, %v", obj, err)
	}
	if v, err := c.Put(ctx, "k", "n", 7, []byte("v")); err != nil || v != 9 {
		t.Fatalf("got %d, %v", v, err)
	}
	if err := c.Delete(ctx, "k", "n", 9); err != nil {
		t.Fatal(err)
	}
	if list, err := c.List(ctx, "k"); err != nil || list.Revision != 4 {
		t.Fatalf("got %+v, %v", list, err)
	}
	if events, err := c.Watch(ctx, "k", 4, time.Second); err != nil || events.Revision != 4 {
		t.Fatalf("got %+v, %v", events, err)
	}
	if _, err := c.Instances(ctx); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"GET /v1/objects/k/a%2Fb ",
		`PUT /v1/objects/k/n?if_version=7 {"kind":"k","name":"n","version":0,"value":"dg=="}`,
		"DELETE /v1/objects/k/n?if_version=9 ",
		"GET /v1/objects/k ",
		"GET /v1/watch/k?since=4&wait_ms=1000 ",
		"GET /v1/instances ",
	}
	if !reflect.DeepEqual(seen, want) {
		t.Fatalf("got %q, want %q", seen, want)
	}
	for _, call := range []Call{CallGet, CallPut, CallDelete, CallList, CallWatch, CallInstances} {
		if n := meter.calls[string(call)+" ok"]; n != 1 {
			t.Errorf("%s was counted %d times", call, n)
		}
	}
}

// A reply without success is converted to the error that says whether the call may
// have taken effect.
func TestRepliesMapToErrors(t *testing.T) {
	for name, test := range map[string]struct {
		status   int
		body     any
		get, put error
	}{
		"absent":      {404, "", &NotFoundError{}, &NotFoundError{}},
		"conflict":    {409, platformapi.Conflict{Version: 12}, &ConflictError{}, &ConflictError{}},
		"over rate":   {429, "", &RateLimitedError{}, &RateLimitedError{}},
		"bad token":   {401, "", &RejectedError{}, &RejectedError{}},
		"too large":   {413, "", &RejectedError{}, &RejectedError{}},
		"outage":      {503, "", &UnavailableError{}, &UnknownEffectError{}},
		"fault":       {500, "", &UnavailableError{}, &UnknownEffectError{}},
		"nonsense":    {200, "x", &UnavailableError{}, &UnknownEffectError{}},
		"no version":  {200, platformapi.Object{}, nil, &UnknownEffectError{}},
		"no conflict": {409, "x", &UnavailableError{}, &UnknownEffectError{}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := startServer(t, replyWith(test.status, test.body))
			_, err := c.Get(t.Context(), "k", "n")
			if reflect.TypeOf(err) != reflect.TypeOf(test.get) {
				t.Errorf("get: %T %v, want %T", err, err, test.get)
			}
			_, err = c.Put(t.Context(), "k", "n", 3, nil)
			if reflect.TypeOf(err) != reflect.TypeOf(test.put) {
				t.Errorf("put: %T %v, want %T", err, err, test.put)
			}
			var conflict *ConflictError
			if errors.As(err, &conflict) && conflict.Version != 12 {
				t.Errorf("conflict is at version %d, want 12", conflict.Version)
			}
		})
	}
}

func TestWatchOfOldRevisionReturnsGoneError(t *testing.T) {
	c, _ := startServer(t, replyWith(http.StatusGone, ""))
	_, err := c.Watch(t.Context(), "k", 3, 0)
	var gone *GoneError
	if !errors.As(err, &gone) || gone.Since != 3 {
		t.Fatalf("got %v", err)
	}
}

func TestErrorKeepsRetryAfter(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "": 0, "soon": 0, "-1": 0, "NaN": 0, "1e99": 0,
	} {
		c, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", header)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		_, err := c.Put(t.Context(), "k", "n", 0, nil)
		if got := RetryAfter(err); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}

// A write that couldn't reach the store had no effect. One whose connection broke,
// whose reply was truncated or whose context ended may have had one.
func TestFailedWriteReportsKnownOrUnknownEffect(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := "http://" + closed.Addr().String()
	_ = closed.Close()
	c, meter := newClient(t, address)
	_, err = c.Put(t.Context(), "k", "n", 0, nil)
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || meter.calls["put unavailable"] != 1 {
		t.Errorf("no listener: got %T %v, counts %v", err, err, meter.calls)
	}
	var unknown *UnknownEffectError
	c, _ = startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, err = c.Put(t.Context(), "k", "n", 0, nil); !errors.As(err, &unknown) {
		t.Errorf("broken connection: got %T %v", err, err)
	}
	c, _ = startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"version":`))
	})
	if _, err = c.Put(t.Context(), "k", "n", 0, nil); !errors.As(err, &unknown) {
		t.Errorf("reply truncated: got %T %v", err, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c, _ = startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	if _, err = c.Put(ctx, "k", "n", 0, nil); !errors.As(err, &unknown) {
		t.Errorf("canceled after it was sent: got %T %v", err, err)
	}
	if _, err = c.Put(ctx, "k", "n", 0, nil); !errors.As(err, &unavailable) {
		t.Errorf("canceled before it was sent: got %T %v", err, err)
	}
}

// Neither the client nor the HTTP transport retries a write; a retry is the
// caller's decision.
func TestWriteIsNotRetried(t *testing.T) {
	var mu sync.Mutex
	puts := 0
	c, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			mu.Lock()
			puts++
			mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(platformapi.Object{Version: 1})
	})
	if _, err := c.Get(t.Context(), "k", "n"); err != nil { // opens a connection to reuse
		t.Fatal(err)
	}
	_, _ = c.Put(t.Context(), "k", "n", 0, []byte("v"))
	mu.Lock()
	defer mu.Unlock()
	if puts != 1 {
		t.Fatalf("sent %d times", puts)
	}
}

// Config.Concurrency bounds the concurrent calls; a watch neither counts nor waits.
func TestConcurrencyIsBounded(t *testing.T) {
	const bound = 2
	var mu sync.Mutex
	active, peak := 0, 0
	started := make(chan struct{}, 100)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, platformapi.PathWatch) {
			_, _ = w.Write([]byte("{}"))
			return
		}
		mu.Lock()
		active++
		peak = max(peak, active)
		mu.Unlock()
		started <- struct{}{}
		<-release
		mu.Lock()
		active--
		mu.Unlock()
		_, _ = w.Write([]byte("{}"))
	}))
	defer srv.Close()
	c, err := New(Config{URL: srv.URL, Instance: "i", Concurrency: bound, Timeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var calls sync.WaitGroup
	for range 10 {
		calls.Go(func() {
			if _, err := c.Get(t.Context(), "k", "n"); err != nil {
				t.Error(err)
			}
		})
	}
	for range bound {
		<-started
	}
	if _, err := c.Watch(t.Context(), "k", 0, 0); err != nil {
		t.Errorf("watch while calls are blocked: %v", err)
	}
	close(release)
	calls.Wait()
	if peak != bound {
		t.Fatalf("%d concurrent calls, want %d", peak, bound)
	}
}

func TestConfigErrorNamesInvalidField(t *testing.T) {
	for field, cfg := range map[string]Config{
		"url":         {URL: "10.0.0.1:80", Instance: "i"},
		"instance":    {URL: "http://10.0.0.1:80"},
		"timeout":     {URL: "http://10.0.0.1:80", Instance: "i", Timeout: -1},
		"concurrency": {URL: "http://10.0.0.1:80", Instance: "i", Concurrency: -1},
	} {
		_, err := New(cfg)
		var bad *ConfigError
		if !errors.As(err, &bad) || bad.Field != field {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

func TestOversizedValueIsRejectedWithoutCall(t *testing.T) {
	c, _ := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("the oversized value was sent") })
	_, err := c.Put(t.Context(), "k", "n", 0, make([]byte, platformapi.MaxValue+1))
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("got %v", err)
	}
}
