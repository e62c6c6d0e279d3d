package leaf

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// base is a leaf with one slot, a queue of one and a fixed time of 10 ms.
func base() Settings {
	return Settings{
		ID:       "leaf-1",
		Upstream: "titles",
		Ranges:   []keyrange.Range{{From: 0, To: 100}},
		Versions: []uint64{7},
		Slots:    1,
		Queue:    1,
		Poison:   "poison",
		Service:  Service{MeanUS: 10_000, Distribution: Fixed},
	}
}

// ask is one sub-request.
type ask struct {
	attempt  string
	version  uint64
	asked    string
	deadline int64 // ms; 0: none
	body     string
	ctx      context.Context
}

// answer is what it got; aborted means that its connection was broken.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	aborted bool
}

func (a answer) notRun() leafapi.Decline {
	return leafapi.Decline(a.header.Get(leafapi.HeaderNotRun))
}

// bubble runs a test in virtual time against a new leaf.
func bubble(t *testing.T, s Settings, f func(t *testing.T, s *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		server, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		f(t, server)
	})
}

// run sends one sub-request and waits for its answer.
func run(t *testing.T, s *Server, a ask) answer {
	if a.ctx == nil {
		a.ctx = t.Context()
	}
	if a.asked == "" {
		a.asked = "0-100"
	}
	if a.attempt == "" {
		a.attempt = "attempt"
	}
	r := httptest.NewRequestWithContext(a.ctx, http.MethodPost, leafapi.PathRun, bytes.NewBufferString(a.body))
	r.Header.Set(leafapi.HeaderRequest, "query-"+a.attempt)
	r.Header.Set(leafapi.HeaderAttempt, a.attempt)
	r.Header.Set(leafapi.HeaderVersion, strconv.FormatUint(a.version, 10))
	r.Header.Set(leafapi.HeaderRange, a.asked)
	if a.deadline != 0 {
		r.Header.Set(leafapi.HeaderDeadlineMS, strconv.FormatInt(a.deadline, 10))
	}
	return serve(s, r)
}

// serve calls the handler and notes whether it broke the connection.
func serve(h http.Handler, r *http.Request) (got answer) {
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			got = answer{status: w.Code, header: w.Header(), body: w.Body.Bytes(), aborted: true}
		}
	}()
	h.ServeHTTP(w, r)
	return answer{status: w.Code, header: w.Header(), body: w.Body.Bytes()}
}

// start sends sub-requests one after another without waiting for answers.
func start(t *testing.T, s *Server, asks ...ask) []chan answer {
	out := make([]chan answer, len(asks))
	for i, a := range asks {
		out[i] = make(chan answer, 1)
		go func() { out[i] <- run(t, s, a) }()
		synctest.Wait()
	}
	return out
}

// patch changes settings or faults over the control interface.
func patch(t *testing.T, s *Server, path, body string) answer {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPatch, "/control"+path, bytes.NewBufferString(body))
	return serve(s, r)
}

func mustPatch(t *testing.T, s *Server, path, body string) {
	t.Helper()
	if a := patch(t, s, path, body); a.status != http.StatusOK {
		t.Fatalf("patch %s %s: %d %s", path, body, a.status, a.body)
	}
}

func wantRun(t *testing.T, a answer) {
	t.Helper()
	if a.aborted || a.status != http.StatusOK || a.notRun() != "" {
		t.Fatalf("got %+v, want a reply", a)
	}
}

func wantDecline(t *testing.T, a answer, want leafapi.Decline) {
	t.Helper()
	if a.aborted || a.status != http.StatusServiceUnavailable || a.notRun() != want {
		t.Fatalf("got %+v, want %s", a, want)
	}
}

func TestReplyStatesWhatItCovers(t *testing.T) {
	s := base()
	s.Ranges = []keyrange.Range{{From: 0, To: 50}, {From: 60, To: 100}}
	s.Versions = []uint64{6, 7}
	bubble(t, s, func(t *testing.T, s *Server) {
		began := time.Now()
		a := run(t, s, ask{attempt: "a1", asked: "40-80", body: "question"})
		wantRun(t, a)
		if took := time.Since(began); took != 10*time.Millisecond {
			t.Errorf("took %s", took)
		}
		want := http.Header{}
		want.Set(leafapi.HeaderAttempt, "a1")
		want.Set(leafapi.HeaderVersion, "7")
		want.Set(leafapi.HeaderVersions, "6,7")
		want.Set(leafapi.HeaderRanges, "40-50,60-80")
		want.Set(leafapi.HeaderChecksum, Hash(a.body))
		want.Set(leafapi.HeaderServiceUS, "10000")
		for name := range want {
			if a.header.Get(name) != want.Get(name) {
				t.Errorf("%s is %q, want %q", name, a.header.Get(name), want.Get(name))
			}
		}
		lines, err := ParseBody(a.body)
		if err != nil || len(lines) != 2 || lines[1].Version != 7 || lines[1].Question != Hash([]byte("question")) {
			t.Errorf("body %q: %+v, %v", a.body, lines, err)
		}
		older := run(t, s, ask{version: 6, asked: "40-80", body: "question"})
		if bytes.Equal(older.body, a.body) {
			t.Error("two versions have the same body")
		}
	})
}

func TestParseBodyRefusesAChangedLine(t *testing.T) {
	body := Body("titles", 7, []keyrange.Range{{From: 0, To: 9}}, "q", 200)
	if len(body) != 200 {
		t.Errorf("body has %d bytes, want 200", len(body))
	}
	if _, err := ParseBody(body); err != nil {
		t.Error(err)
	}
	if _, err := ParseBody(bytes.Replace(body, []byte(" 7 "), []byte(" 8 "), 1)); err == nil {
		t.Error("a changed version went through")
	}
	if _, err := ParseBody(nil); err == nil {
		t.Error("an empty body went through")
	}
}

func TestSlotsQueueAndShedding(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		asks := start(t, s, ask{attempt: "1"}, ask{attempt: "2"}, ask{attempt: "3"})
		wantDecline(t, <-asks[2], leafapi.DeclineOverloaded)
		if st := s.Stats(); st.Running != 1 || st.Queued != 1 || st.Started != 1 {
			t.Errorf("got %+v", st)
		}
		wantRun(t, <-asks[0])
		wantRun(t, <-asks[1])
		if st := s.Stats(); st.Started != 2 || st.Completed != 2 || st.BusyUS != 20_000 {
			t.Errorf("got %+v", st)
		}
		mustPatch(t, s, PathFaults, `{"shed":1}`)
		wantDecline(t, run(t, s, ask{}), leafapi.DeclineOverloaded)
	})
}

func TestVersionsAndRangesChangeWhileRunning(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		asks := start(t, s, ask{version: 7}, ask{version: 7, attempt: "queued"})
		mustPatch(t, s, PathSettings, `{"versions":[8],"ranges":[{"from":50,"to":100}]}`)
		wantRun(t, <-asks[0])
		queued := <-asks[1]
		wantDecline(t, queued, leafapi.DeclineWrongVersion)
		if v := queued.header.Get(leafapi.HeaderVersions); v != "8" {
			t.Errorf("states versions %q", v)
		}
		outside := run(t, s, ask{asked: "0-50"})
		wantDecline(t, outside, leafapi.DeclineWrongRange)
		if r := outside.header.Get(leafapi.HeaderRanges); r != "50-100" {
			t.Errorf("states ranges %q", r)
		}
		part := run(t, s, ask{asked: "0-100"})
		if r := part.header.Get(leafapi.HeaderRanges); r != "50-100" || part.header.Get(leafapi.HeaderVersion) != "8" {
			t.Errorf("covers %q at %q", r, part.header.Get(leafapi.HeaderVersion))
		}
		if st := s.Stats(); st.Started != 2 {
			t.Errorf("started %d, want 2", st.Started)
		}
	})
}

func TestDeadlineAndCancellation(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		asks := start(t, s, ask{attempt: "1"}, ask{attempt: "2", deadline: 5})
		wantDecline(t, <-asks[1], leafapi.DeclineDeadline)
		wantRun(t, <-asks[0])
		late := run(t, s, ask{attempt: "3", deadline: 5})
		if late.status != http.StatusGatewayTimeout || late.notRun() != "" {
			t.Errorf("work past its deadline got %+v", late)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		asks = start(t, s, ask{attempt: "4"}, ask{attempt: "5", ctx: ctx})
		<-asks[0]
		if st := s.Stats(); st.Started != 3 || st.Abandoned != 1 {
			t.Errorf("got %+v", st)
		}
		ctx, cancel = context.WithCancel(t.Context())
		asks = start(t, s, ask{attempt: "6", ctx: ctx})
		cancel()
		if a := <-asks[0]; !a.aborted {
			t.Errorf("cancelled work got %+v", a)
		}
		if st := s.Stats(); st.Abandoned != 2 || st.Completed != 2 {
			t.Errorf("got %+v", st)
		}
		left := s.Stats().Left
		for range 20 { // a free slot and a client that is gone, seen at once
			if a := run(t, s, ask{attempt: "gone", ctx: ctx}); !a.aborted {
				t.Errorf("a client that is gone got %+v", a)
			}
		}
		if st := s.Stats(); st.Started != 4 || st.Left != left+20 || st.Running != 0 {
			t.Errorf("work began for a client that is gone: %+v", st)
		}
		mustPatch(t, s, PathFaults, `{"ignore_deadline":true,"ignore_cancel":true}`)
		ctx, cancel = context.WithCancel(t.Context())
		cancel()
		run(t, s, ask{attempt: "7", ctx: ctx, deadline: 1})
		if st := s.Stats(); st.Completed != 3 {
			t.Errorf("work that ignores its end did not complete: %+v", st)
		}
	})
}

func TestDrain(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		running := start(t, s, ask{})
		mustPatch(t, s, PathFaults, `{"draining":true,"decline_after_ms":20}`)
		a := <-running[0]
		wantRun(t, a)
		if a.header.Get(leafapi.HeaderDraining) != "1" {
			t.Error("the reply has no drain mark")
		}
		wantRun(t, run(t, s, ask{}))
		last := s.Stats().LastStarted
		a = run(t, s, ask{})
		wantDecline(t, a, leafapi.DeclineDraining)
		if a.header.Get(leafapi.HeaderDraining) != "1" || s.Stats().LastStarted != last {
			t.Errorf("got %+v, last start %s", a, s.Stats().LastStarted)
		}
	})
}

func TestPoisonCrashesAllInSlots(t *testing.T) {
	s := base()
	s.Slots, s.RestartMS = 2, 100
	bubble(t, s, func(t *testing.T, s *Server) {
		asks := start(t, s, ask{attempt: "neighbour", body: "good"}, ask{attempt: "bad", body: "a poison pill"})
		for i := range asks {
			if a := <-asks[i]; !a.aborted {
				t.Errorf("request %d got %+v", i, a)
			}
		}
		if st := s.Stats(); st.Crashes != 1 || st.Broken != 2 || st.Completed != 0 || st.Running != 0 {
			t.Errorf("got %+v", st)
		}
		if !s.gate().down {
			t.Error("takes connections while it restarts")
		}
		time.Sleep(100 * time.Millisecond)
		if s.gate().down {
			t.Error("takes no connections after its restart")
		}
		wantRun(t, run(t, s, ask{body: "good"}))
		record := s.Record()
		for _, e := range record.Bodies {
			if e.Key == Hash([]byte("good")) && (e.Started != 2 || e.Crashed != 1 || e.Completed != 1) {
				t.Errorf("recorded %+v", e)
			}
		}
	})
}

func TestFreezeAndDown(t *testing.T) {
	bubble(t, base(), func(t *testing.T, s *Server) {
		began := time.Now()
		asks := start(t, s, ask{})
		mustPatch(t, s, PathFaults, `{"frozen":true}`)
		time.Sleep(time.Hour)
		if st := s.Stats(); st.Running != 1 || st.Completed != 0 {
			t.Errorf("got %+v", st)
		}
		mustPatch(t, s, PathFaults, `{"frozen":false}`)
		wantRun(t, <-asks[0])
		if took := time.Since(began); took != time.Hour {
			t.Errorf("answered after %s", took)
		}
		asks = start(t, s, ask{})
		mustPatch(t, s, PathFaults, `{"down":true}`)
		if a := <-asks[0]; !a.aborted || !s.gate().down {
			t.Errorf("got %+v", a)
		}
		mustPatch(t, s, PathFaults, `{"down":false}`)
		wantRun(t, run(t, s, ask{}))
	})
}

func TestRecordIsBounded(t *testing.T) {
	s := base()
	s.RecordLimit = 2
	bubble(t, s, func(t *testing.T, s *Server) {
		for _, attempt := range []string{"1", "2", "3", "1"} {
			run(t, s, ask{attempt: attempt, body: "same"})
		}
		record := s.Record()
		if len(record.Requests) != 2 || record.Unrecorded != 1 || record.Requests[0].Started != 2 {
			t.Errorf("got %+v", record)
		}
		if len(record.Bodies) != 1 || record.Bodies[0].Started != 4 {
			t.Errorf("got %+v", record.Bodies)
		}
		s.ResetRecord()
		if r, st := s.Record(), s.Stats(); len(r.Requests) != 0 || st.Started != 0 {
			t.Errorf("got %+v %+v", r, st)
		}
	})
}
