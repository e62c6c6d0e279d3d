package leaf

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
)

// fleet serves leaves on loopback until the test ends.
func fleet(t *testing.T, settings ...Settings) (*Fleet, string) {
	t.Helper()
	f := NewFleet()
	for _, s := range settings {
		server, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Add(server, listen(t)); err != nil {
			t.Fatal(err)
		}
	}
	control := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, control) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return f, "http://" + control.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// call does one exchange over its own connection.
func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(leafapi.HeaderAttempt, "a")
	req.Header.Set(leafapi.HeaderRange, "0-100")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func TestFleetControlsEachLeaf(t *testing.T) {
	one, two := base(), base()
	two.ID, two.Upstream = "leaf-2", "other"
	f, control := fleet(t, one, two)
	members := f.Members()
	for range 2 {
		if status, body := call(t, http.MethodPost, "http://"+members[0].Address+leafapi.PathRun, "same"); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
	call(t, http.MethodPost, "http://"+members[1].Address+leafapi.PathRun, "same")
	call(t, http.MethodPatch, control+PathLeaves+"/leaf-2"+PathFaults, `{"draining":true}`)
	if f.Leaf("leaf-1").Faults().Draining || !f.Leaf("leaf-2").Faults().Draining {
		t.Error("the fault went to the wrong leaf")
	}
	if status, _ := call(t, http.MethodGet, control+PathLeaves+"/leaf-3"+PathStats, ""); status != 404 {
		t.Errorf("an unknown leaf gave %d", status)
	}
	_, text := call(t, http.MethodGet, control+PathSummary+"?upstream=titles", "")
	var sum Summary
	if err := json.Unmarshal([]byte(text), &sum); err != nil {
		t.Fatal(err)
	}
	if sum.Leaves != 1 || sum.Started != 2 || sum.Bodies != 1 || sum.MaxPerBody != 2 {
		t.Errorf("got %+v", sum)
	}
	if all := f.Summary(""); all.Leaves != 2 || all.MaxPerBody != 3 {
		t.Errorf("got %+v", all)
	}
	if f.Add(f.Leaf("leaf-1"), nil) == nil {
		t.Error("an id was taken twice")
	}
}

func TestConnectionLimit(t *testing.T) {
	s := base()
	s.ConnectionLimit = 2
	f, _ := fleet(t, s)
	address := f.Members()[0].Address
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	// A connection that is served answers; one over the limit ends.
	served := func(conn net.Conn) bool {
		_, _ = io.WriteString(conn, "GET "+leafapi.PathLoad+" HTTP/1.1\r\nHost: leaf\r\n\r\n")
		n, _ := conn.Read(make([]byte, 1))
		return n == 1
	}
	first, second := dial(), dial()
	if !served(first) || !served(second) {
		t.Fatal("a connection within the limit was not served")
	}
	third := dial()
	if served(third) {
		t.Error("a connection over the limit was served")
	}
	c := f.Leaf("leaf-1").Stats().Connections
	if c.Open != 2 || c.Peak != 2 || c.Accepted != 2 || c.Refused != 1 {
		t.Errorf("got %+v", c)
	}
	f.Leaf("leaf-1").Crash()
	if n, err := first.Read(make([]byte, 4096)); err == nil && n > 0 {
		_, err = first.Read(make([]byte, 1))
		if err == nil {
			t.Error("a crash left an idle connection open")
		}
	}
	if c := f.Leaf("leaf-1").Stats().Connections; c.Open != 0 || c.Peak != 2 {
		t.Errorf("after the crash: %+v", c)
	}
	for _, conn := range []net.Conn{first, second, third} {
		conn.Close()
	}
}

func TestDownLeafRefusesConnectionsUntilItIsUp(t *testing.T) {
	f, _ := fleet(t, base())
	address := f.Members()[0].Address
	s := f.Leaf("leaf-1")
	if status, _ := call(t, http.MethodGet, "http://"+address+leafapi.PathHealth, ""); status != 200 {
		t.Fatalf("the leaf is not up: %d", status)
	}
	down := func() { _ = s.SetFaults(Faults{Down: true}) }
	crash := func() {
		settings := s.Settings()
		settings.RestartMS = 600_000
		_ = s.SetSettings(settings)
		s.Crash()
	}
	for _, end := range []func(){down, crash} {
		end()
		if conn, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			if err == nil {
				conn.Close()
			}
			t.Errorf("dial of a leaf that is down: %v", err)
		}
		down()
		_ = s.SetFaults(Faults{})
		for conn, err := net.Dial("tcp", address); ; conn, err = net.Dial("tcp", address) {
			if err == nil {
				conn.Close()
				break
			}
			if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Fatal(err)
			}
			time.Sleep(downPoll)
		}
	}
	if c := s.Stats().Connections; c.Refused != 0 {
		t.Errorf("a down leaf counts as one at its limit: %+v", c)
	}
}

func TestDialCostDelaysTheFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &listener{open: map[*conn]struct{}{}}
		client, server := net.Pipe()
		c := l.admit(server, gate{dialCost: 6 * time.Millisecond})
		began := time.Now()
		go func() {
			_, _ = client.Write([]byte("ab"))
			client.Close()
		}()
		for range 2 {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 6*time.Millisecond {
			t.Errorf("two reads took %s, want one dial cost", took)
		}
		_ = c.Close()
		_ = c.Close()
		if n := l.connections().Open; n != 0 {
			t.Errorf("%d connections open", n)
		}
	})
}
