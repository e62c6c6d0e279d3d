package story

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	product "github.com/fuchsiaroad/fuchsiaroad/platform"
	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// sink keeps an instance's log.
type sink struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *sink) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// lines reads what was logged so far.
func (s *sink) lines(t *testing.T) []Line {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, _, err := Read(bytes.NewReader(s.text.Bytes()), "front-1")
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// patience bounds the wait for something that is to happen.
const patience = 20 * time.Second

// instance runs an instance beside a store and leaves, and returns its address.
func instance(t *testing.T, store *platform.Server, logs *sink) string {
	t.Helper()
	const ip = "127.2.0.1" // no other test's
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- store.Serve(ctx, listener) }()
	addresses, err := hosted.FreeAddresses(ip, 3)
	if err != nil {
		t.Fatal(err)
	}
	address := addresses[0]
	file, err := hosted.Settings{
		Name: "front-1", Zone: "a", Clients: address, Ready: addresses[1], Peers: addresses[2], Store: listener.Addr().String(),
		Grace: 2 * time.Second, Bound: 3 * time.Second, Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Heartbeat: time.Second,
	}.File()
	if err != nil {
		t.Fatal(err)
	}
	settings, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- product.Run(ctx, path, product.Signals{}, logs) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Errorf("the store ended with %v", err)
		}
	})
	return address
}

// configure writes a version: a search over two shards and a route to one leaf.
func configure(t *testing.T, store *platform.Server, version uint64, alone string) {
	t.Helper()
	route := hosted.Route{Timeout: 400 * time.Millisecond, Objective: 100 * time.Millisecond, Attempts: 2}
	search, one := route, route
	search.Name, search.Prefix, search.Shards, search.TopK, search.LeastShare = "search", "/search/", []string{"s0", "s1"}, 2, 0.5
	one.Name, one.Prefix, one.Service = "one", "/one/", alone
	if err := hosted.Configure(store, version, search, one); err != nil {
		t.Fatal(err)
	}
}

// ask sends a request and returns the status, 0 when none came.
func ask(t *testing.T, address, path, id string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = hosted.Host
	req.Header.Set(hosted.HeaderRequest, id)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// await waits until something holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, patience)
}

// TestCauseByTheLogAlone takes a failed request of each of three kinds through
// stand-ins, and finds its cause in what the instance logged.
func TestCauseByTheLogAlone(t *testing.T) {
	store := platform.New(platform.Settings{})
	logs := &sink{}
	never := make(chan struct{})
	defer close(never)
	good := func(r rawleaf.Seen) rawleaf.Reply {
		return rawleaf.Reply{Bytes: hosted.Answer(r, "signature", "0123456789abcdef")}
	}
	silent := func(rawleaf.Seen) rawleaf.Reply { return rawleaf.Reply{Wait: never} }
	for _, l := range []struct {
		id, service string
		answer      func(rawleaf.Seen) rawleaf.Reply
	}{{"leaf-0", "s0", good}, {"leaf-1", "s1", silent}, {"leaf-old", "old", good}, {"leaf-new", "new", good}} {
		leaf, err := rawleaf.New(l.answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(leaf.Close)
		hosted.Register(store, hosted.Leaf{ID: l.id, Service: l.service, Zone: "a", Address: leaf.Address()})
	}
	configure(t, store, 1, "old")
	address := instance(t, store, logs)
	await(t, "a first answer", func() bool { return ask(t, address, "/one/x", "first") == http.StatusOK })

	if status := ask(t, address, "/search/x", "partial"); status != http.StatusOK {
		t.Errorf("search: %d", status)
	}
	if err := store.SetFaults(platform.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	configure(t, store, 2, "new")
	await(t, "refusals", func() bool {
		return ask(t, address, "/two/x", "waiting") == http.StatusServiceUnavailable
	})
	if status := ask(t, address, "/two/x", "refused"); status != http.StatusServiceUnavailable {
		t.Errorf("unknown route in an outage: %d", status)
	}
	if status := ask(t, address, "/one/x", "old"); status != http.StatusOK {
		t.Errorf("known route in an outage: %d", status)
	}
	for _, tc := range []struct {
		request string
		cause   []string // in the sentence
		story   []string // in the lines
	}{
		{"partial", []string{"partial", "s1:settled", "configuration 1"}, []string{"leaf=leaf-1"}},
		{"refused", []string{"status 503", "not run", "the configuration here may be old"}, []string{"store lost", "status 503"}},
		{"old", []string{"complete", "configuration 1"}, []string{"store lost", "config_age="}},
	} {
		var s Story
		await(t, "the lines of "+tc.request, func() (ok bool) {
			s, ok = Tell(tc.request, logs.lines(t))
			return ok && !strings.HasPrefix(s.Cause, "no line says")
		})
		var text strings.Builder
		if err := s.Write(&text); err != nil {
			t.Fatal(err)
		}
		for _, part := range tc.cause {
			if !strings.Contains(s.Cause, part) {
				t.Errorf("%s: cause %q lacks %q", tc.request, s.Cause, part)
			}
		}
		for _, part := range tc.story {
			if !strings.Contains(text.String(), part) {
				t.Errorf("%s: the story lacks %q:\n%s", tc.request, part, text.String())
			}
		}
	}
}
