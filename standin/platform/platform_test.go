package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answer is what a call got; aborted means that its connection was broken.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	aborted bool
}

// caller is a client with an instance name and a token.
type caller struct {
	t        *testing.T
	server   *Server
	instance string
	token    string
}

func (c caller) call(ctx context.Context, method, path string, body any) (a answer) {
	c.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		c.t.Error(err)
	}
	r := httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(raw))
	r.Header.Set(HeaderInstance, c.instance)
	r.Header.Set("Authorization", "Bearer "+c.token)
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			a = answer{aborted: true}
		}
	}()
	c.server.ServeHTTP(w, r)
	return answer{status: w.Code, header: w.Header(), body: w.Body.Bytes()}
}

func (c caller) put(name, value string, ifVersion uint64) answer {
	path := fmt.Sprintf("/v1/objects/k/%s?if_version=%d", name, ifVersion)
	return c.call(c.t.Context(), http.MethodPut, path, platformapi.Object{Value: []byte(value)})
}

func (c caller) get(path string) answer {
	return c.call(c.t.Context(), http.MethodGet, path, nil)
}

func (c caller) faults(patch string) answer {
	return c.call(c.t.Context(), http.MethodPatch, PathFaults, json.RawMessage(patch))
}

func read[T any](t *testing.T, a answer) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(a.body, &v); err != nil {
		t.Fatalf("status %d, aborted %t, body %q: %v", a.status, a.aborted, a.body, err)
	}
	return v
}

func (a answer) want(t *testing.T, status int) answer {
	t.Helper()
	if a.aborted || a.status != status {
		t.Fatalf("got status %d, aborted %t, body %s; want status %d", a.status, a.aborted, a.body, status)
	}
	return a
}

// bubble runs a test in virtual time against a new stand-in.
func bubble(t *testing.T, s Settings, f func(t *testing.T, c caller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t, caller{t: t, server: New(s), instance: "entry-1", token: s.Token})
	})
}

func TestConditionalUpdate(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		first := read[platformapi.Object](t, c.put("a", "one", 0).want(t, 200))
		conflict := read[platformapi.Conflict](t, c.put("a", "two", 0).want(t, 409))
		if conflict.Version != first.Version {
			t.Errorf("conflict names version %d, want %d", conflict.Version, first.Version)
		}
		second := read[platformapi.Object](t, c.put("a", "two", first.Version).want(t, 200))
		if second.Version <= first.Version {
			t.Errorf("version %d does not grow from %d", second.Version, first.Version)
		}
		got := read[platformapi.Object](t, c.get("/v1/objects/k/a").want(t, 200))
		if string(got.Value) != "two" || got.Version != second.Version {
			t.Errorf("got %+v", got)
		}
		path := "/v1/objects/k/a?if_version="
		c.call(t.Context(), http.MethodDelete, path+fmt.Sprint(first.Version), nil).want(t, 409)
		c.call(t.Context(), http.MethodDelete, path+fmt.Sprint(second.Version), nil).want(t, 204)
		c.get("/v1/objects/k/a").want(t, 404)
	})
}

func TestWrongCallsNameTheField(t *testing.T) {
	bubble(t, Settings{History: 1}, func(t *testing.T, c caller) {
		large := platformapi.Object{Value: make([]byte, platformapi.MaxValue+1)}
		c.put("a", "one", 0).want(t, 200)
		c.put("b", "two", 0).want(t, 200)
		for field, a := range map[string]answer{
			"if_version":       c.call(t.Context(), http.MethodPut, "/v1/objects/k/a", nil),
			"wait_ms":          c.get("/v1/watch/k?wait_ms=x"),
			"value":            c.call(t.Context(), http.MethodPut, "/v1/objects/k/a?if_version=0", large),
			"lose_write_share": c.faults(`{"lose_write_share":1.5}`),
			"delay_ms":         c.faults(`{"delay_ms":-1}`),
			"stale_revision":   c.faults(`{"stale":true,"stale_revision":0.5}`),
			"no_such":          c.faults(`{"no_such":1}`),
		} {
			if !strings.Contains(string(a.want(t, 400).body), field) {
				t.Errorf("%s: answer %s does not name it", field, a.body)
			}
		}
	})
}

func TestFaultsKeepFieldsThatAPatchLeavesOut(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		c.faults(`{"delay_ms":5,"cut_clients":["x"]}`).want(t, 200)
		f := read[Faults](t, c.faults(`{"read_rate":7}`).want(t, 200))
		if f.DelayMS != 5 || f.ReadRate != 7 || len(f.CutClients) != 1 {
			t.Errorf("got %+v", f)
		}
	})
}

func TestWatch(t *testing.T) {
	bubble(t, Settings{History: 2}, func(t *testing.T, c caller) {
		began := time.Now()
		empty := read[platformapi.Events](t, c.get("/v1/watch/k?since=0&wait_ms=300").want(t, 200))
		if len(empty.Events) != 0 || time.Since(began) != 300*time.Millisecond {
			t.Errorf("got %+v after %s", empty, time.Since(began))
		}
		began = time.Now()
		got := make(chan answer, 1)
		go func() { got <- c.get("/v1/watch/k?since=0&wait_ms=60000") }()
		synctest.Wait()
		if n := c.server.Counts().Waiting; n != 1 {
			t.Errorf("%d watches wait, want 1", n)
		}
		c.put("a", "one", 0).want(t, 200)
		events := read[platformapi.Events](t, (<-got).want(t, 200))
		if len(events.Events) != 1 || string(events.Events[0].Object.Value) != "one" {
			t.Errorf("got %+v", events)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("the event came after %s", waited)
		}
		c.put("b", "two", 0)
		c.put("c", "three", 0)
		c.get("/v1/watch/k?since=0&wait_ms=1").want(t, 410)
		list := read[platformapi.List](t, c.get("/v1/objects/k").want(t, 200))
		if len(list.Objects) != 3 || list.Revision != 3 {
			t.Errorf("got %+v", list)
		}
	})
}

func TestCutWatches(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		got := make(chan answer, 1)
		go func() { got <- c.get("/v1/watch/k?wait_ms=60000") }()
		synctest.Wait()
		c.call(t.Context(), http.MethodPost, PathCut, nil).want(t, 204)
		if a := <-got; !a.aborted {
			t.Errorf("watch was answered: %+v", a)
		}
	})
}

func TestOutageEndsWaitingWatches(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		got := make(chan answer, 1)
		go func() { got <- c.get("/v1/watch/k?wait_ms=60000") }()
		synctest.Wait()
		began := time.Now()
		c.faults(`{"outage":true}`).want(t, 200)
		(<-got).want(t, 503)
		if waited := time.Since(began); waited != 0 {
			t.Errorf("the watch ended after %s", waited)
		}
	})
}

func TestWriteTakesEffectWhileItsReplyIsLost(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		c.faults(`{"lose_write_replies":1}`).want(t, 200)
		if a := c.put("a", "one", 0); !a.aborted {
			t.Fatalf("reply was not lost: %+v", a)
		}
		got := read[platformapi.Object](t, c.get("/v1/objects/k/a").want(t, 200))
		if string(got.Value) != "one" {
			t.Errorf("got %+v", got)
		}
		c.put("a", "two", got.Version).want(t, 200)
		c.faults(`{"lose_write_share":1}`).want(t, 200)
		if a := c.put("b", "three", 0); !a.aborted {
			t.Errorf("reply was not lost: %+v", a)
		}
		if n := c.server.Counts().LostReplies; n != 2 {
			t.Errorf("counted %d lost replies, want 2", n)
		}
	})
}

func TestSlowWriteOutlivesItsClient(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		c.faults(`{"delay_ms":1000}`).want(t, 200)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		ended := make(chan answer, 1)
		go func() { ended <- c.call(ctx, http.MethodPut, "/v1/objects/k/a?if_version=0", platformapi.Object{}) }()
		time.Sleep(999 * time.Millisecond)
		if _, found := c.server.Object("k", "a"); found {
			t.Error("the write was not slow")
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if _, found := c.server.Object("k", "a"); !found {
			t.Error("the write was dropped with its client")
		}
	})
}

func TestStaleAnswersForSomeClients(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		other := c
		other.instance = "entry-2"
		first := read[platformapi.Object](t, c.put("a", "one", 0))
		gone := read[platformapi.Object](t, c.put("b", "two", 0))
		c.put("a", "new", first.Version).want(t, 200)
		c.call(t.Context(), http.MethodDelete, fmt.Sprintf("/v1/objects/k/b?if_version=%d", gone.Version), nil).want(t, 204)
		c.put("c", "three", 0)
		c.faults(`{"stale":true,"stale_revision":2,"stale_clients":["entry-1"]}`).want(t, 200)

		list := read[platformapi.List](t, c.get("/v1/objects/k").want(t, 200))
		if len(list.Objects) != 2 || list.Revision != 2 || string(list.Objects[0].Value) != "one" {
			t.Errorf("stale list %+v", list)
		}
		if a := read[platformapi.Object](t, c.get("/v1/objects/k/a").want(t, 200)); string(a.Value) != "one" {
			t.Errorf("stale read %+v", a)
		}
		events := read[platformapi.Events](t, c.get("/v1/watch/k?since=2&wait_ms=10").want(t, 200))
		if len(events.Events) != 0 || events.Revision != 2 {
			t.Errorf("stale watch %+v", events)
		}
		if a := read[platformapi.Object](t, other.get("/v1/objects/k/a").want(t, 200)); string(a.Value) != "new" {
			t.Errorf("the other client got %+v", a)
		}
		c.faults(`{"stale":false}`).want(t, 200)
		c.get("/v1/objects/k/c").want(t, 200)
	})
}

func TestOutageAndRate(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		c.faults(`{"outage":true,"retry_after_s":3}`).want(t, 200)
		if a := c.get("/v1/objects/k").want(t, 503); a.header.Get("Retry-After") != "3" {
			t.Errorf("header %v", a.header)
		}
		c.put("a", "one", 0).want(t, 503)
		if _, found := c.server.Object("k", "a"); found {
			t.Error("a refused write took effect")
		}
		c.faults(`{"outage":false,"write_rate":10}`).want(t, 200)
		c.put("a", "one", 0).want(t, 200)
		c.put("b", "one", 0).want(t, 429)
		c.get("/v1/objects/k").want(t, 200)
		time.Sleep(100 * time.Millisecond)
		c.put("b", "one", 0).want(t, 200)
		for _, count := range c.server.Counts().Calls {
			if count.Kind == KindPut && (count.Client != "entry-1" || count.Calls != 4 || count.Limited != 1) {
				t.Errorf("counted %+v", count)
			}
		}
		if n := c.server.Counts().Total(KindList); n != 2 {
			t.Errorf("counted %d lists, want 2", n)
		}
	})
}

func TestCutClientGetsNoAnswer(t *testing.T) {
	bubble(t, Settings{}, func(t *testing.T, c caller) {
		c.faults(`{"cut_clients":["entry-1"]}`).want(t, 200)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if a := c.call(ctx, http.MethodGet, "/v1/objects/k", nil); !a.aborted || ctx.Err() == nil {
			t.Errorf("the cut client got %+v", a)
		}
		c.instance = "entry-2"
		c.get("/v1/objects/k").want(t, 200)
		c.faults(`{"hang":true}`).want(t, 200)
		held := make(chan answer, 1)
		go func() { held <- c.put("a", "one", 0) }()
		synctest.Wait()
		c.faults(`{"hang":false}`).want(t, 200)
		if a := <-held; !a.aborted {
			t.Errorf("the held write got %+v", a)
		}
		if _, found := c.server.Object("k", "a"); found {
			t.Error("the held write took effect")
		}
	})
}

func TestInstancesLag(t *testing.T) {
	before := []platformapi.Instance{{ID: "one", State: platformapi.StateLive}}
	bubble(t, Settings{Instances: before}, func(t *testing.T, c caller) {
		c.faults(`{"instance_lag_ms":2000}`).want(t, 200)
		after := platformapi.Instances{Instances: []platformapi.Instance{{ID: "one", State: platformapi.StateLeaving}}}
		c.call(t.Context(), http.MethodPut, PathInstances, after).want(t, 204)
		state := func() platformapi.InstanceState {
			return read[platformapi.Instances](t, c.get("/v1/instances").want(t, 200)).Instances[0].State
		}
		time.Sleep(1999 * time.Millisecond)
		if got := state(); got != platformapi.StateLive {
			t.Errorf("before the lag: %s", got)
		}
		time.Sleep(time.Millisecond)
		if got := state(); got != platformapi.StateLeaving {
			t.Errorf("after the lag: %s", got)
		}
		c.faults(`{"instance_lag_ms":60000}`).want(t, 200)
		if got := state(); got != platformapi.StateLeaving {
			t.Errorf("a longer lag brought the older list back: %s", got)
		}
	})
}

func TestEndDoesNotWaitForSlowWrites(t *testing.T) {
	server := New(Settings{})
	if err := server.SetFaults(Faults{DelayMS: time.Hour.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended, written := make(chan error, 1), make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	go func() {
		url := "http://" + listener.Addr().String() + "/v1/objects/k/a?if_version=0"
		req, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(`{"value":"b25l"}`))
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
		if err == nil {
			resp.Body.Close()
		}
		written <- err
	}()
	for server.Counts().Total(KindPut) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := <-written; err == nil {
		t.Error("the write was answered")
	}
	if _, found := server.Object("k", "a"); found {
		t.Error("the write took effect at the end")
	}
}

func TestTokenAndServe(t *testing.T) {
	server := New(Settings{Token: "secret"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for token, want := range map[string]int{"secret": 200, "wrong": 401} {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/v1/instances", nil)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("token %q: status %d, want %d", token, resp.StatusCode, want)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
