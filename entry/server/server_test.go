package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeExecutor returns a fixed response or error and records the last request.
type fakeExecutor struct {
	got      *executor.Request
	response *executor.Response
	err      error
}

func (f *fakeExecutor) Execute(_ context.Context, r *executor.Request) (*executor.Response, error) {
	f.got = r
	return f.response, f.err
}

// fakeLifecycle is a Lifecycle with fixed states.
type fakeLifecycle struct{ leaving, refusing bool }

func (*fakeLifecycle) Arrived()         {}
func (f *fakeLifecycle) Leaving() bool  { return f.leaving }
func (f *fakeLifecycle) Refusing() bool { return f.refusing }

type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// testView returns a view with two callers that have one service each.
func testView() *view.View {
	doc := &document.Document{
		Upstreams: []document.Upstream{{Name: "up", KeySpace: 10, Shards: []document.Shard{{
			Range: keyrange.Range{From: 0, To: 10}, Leaves: []document.Leaf{{ID: "l1"}},
		}}}},
		Services: []document.Service{
			{Name: "a", Upstreams: []string{"up"}, Deadline: 200 * time.Millisecond, Idempotent: true},
			{Name: "b", Upstreams: []string{"up"}, Deadline: 200 * time.Millisecond, Idempotent: true},
		},
		Callers: []document.Caller{
			{Name: "house-a", TokenSHA256: hash("ta"), Services: []string{"a"}},
			{Name: "house-b", TokenSHA256: hash("tb"), Services: []string{"b"}},
		},
	}
	return view.Build(1, "h", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 1 })
}

// newTestServer returns a server with the fake executor.
func newTestServer(f *fakeExecutor, life *fakeLifecycle, v *view.View) *Server {
	return New(Config{
		Executor: f, Views: fixedView{v}, Lifecycle: life,
		Limits:  Limits{BodyBytes: 64, HeaderBytes: 4096},
		Ready:   func() string { return "" },
		Status:  func() any { return struct{}{} },
		Metrics: http.NotFoundHandler(),
	})
}

// postQuery passes one POST request directly to the handler.
func postQuery(s *Server, path, body string, header map[string][]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for k, vs := range header {
		for _, v := range vs {
			req.Header.Add(k, v)
		}
	}
	rec := httptest.NewRecorder()
	s.Echo().ServeHTTP(rec, req)
	return rec
}

// TestInvalidRequestNeverReachesTheExecutor sends each kind of invalid request.
func TestInvalidRequestNeverReachesTheExecutor(t *testing.T) {
	const path = "/v1/services/a/query"
	auth := []string{"Bearer ta"}
	for _, tc := range []struct {
		name   string
		path   string
		body   string
		header map[string][]string
		status int
		field  string
	}{
		{"no token", path, "", nil, 401, "Authorization"},
		{"empty token", path, "", map[string][]string{"Authorization": {"Bearer "}}, 401, "Authorization"},
		{"other scheme", path, "", map[string][]string{"Authorization": {"Basic dGE6"}}, 401, "Authorization"},
		{"unknown token", path, "", map[string][]string{"Authorization": {"Bearer nobody"}}, 401, "Authorization"},
		{"unknown service", "/v1/services/zzz/query", "", map[string][]string{"Authorization": auth}, 404, "service"},
		{"another caller's service", "/v1/services/b/query", "", map[string][]string{"Authorization": auth}, 404, "service"},
		{"deadline not a number", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderDeadlineMS: {"soon"}}, 400, callerapi.HeaderDeadlineMS},
		{"deadline zero", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderDeadlineMS: {"0"}}, 400, callerapi.HeaderDeadlineMS},
		{"deadline overflows", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderDeadlineMS: {"99999999999999999999"}}, 400, callerapi.HeaderDeadlineMS},
		{"deadline twice", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderDeadlineMS: {"5", "6"}}, 400, callerapi.HeaderDeadlineMS},
		{"key too long", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderIdempotencyKey: {strings.Repeat("k", 256)}}, 400, callerapi.HeaderIdempotencyKey},
		{"key with a space", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderIdempotencyKey: {"a b"}}, 400, callerapi.HeaderIdempotencyKey},
		{"key empty", path, "", map[string][]string{"Authorization": auth, callerapi.HeaderIdempotencyKey: {""}}, 400, callerapi.HeaderIdempotencyKey},
		{"body too large", path, strings.Repeat("x", 65), map[string][]string{"Authorization": auth}, 413, "body"},
	} {
		f := &fakeExecutor{response: &executor.Response{}}
		rec := postQuery(newTestServer(f, &fakeLifecycle{}, testView()), tc.path, tc.body, tc.header)
		var p callerapi.Problem
		if err := json.Unmarshal(rec.Body.Bytes(), &p); err != nil {
			t.Errorf("%s: body %q: %v", tc.name, rec.Body, err)
			continue
		}
		if rec.Code != tc.status || p.Field != tc.field || p.Outcome != "not_run" || f.got != nil {
			t.Errorf("%s: status %d field %q outcome %q executed %v, want %d %q not_run false", tc.name, rec.Code, p.Field, p.Outcome, f.got != nil, tc.status, tc.field)
		}
	}
}

// TestOtherCallersServiceLooksUnknown compares the responses for another caller's service and
// for a service that does not exist.
func TestOtherCallersServiceLooksUnknown(t *testing.T) {
	s := newTestServer(&fakeExecutor{}, &fakeLifecycle{}, testView())
	auth := map[string][]string{"Authorization": {"Bearer ta"}}
	other := postQuery(s, "/v1/services/b/query", "", auth)
	missing := postQuery(s, "/v1/services/zzz/query", "", auth)
	if other.Code != missing.Code || other.Body.String() != missing.Body.String() {
		t.Errorf("another caller's service: %d %s\nno service: %d %s", other.Code, other.Body, missing.Code, missing.Body)
	}
}

// TestRefusalsHaveRetryAfter checks problem details, status and Retry-After.
func TestRefusalsHaveRetryAfter(t *testing.T) {
	auth := map[string][]string{"Authorization": {"Bearer ta"}}
	f := &fakeExecutor{err: &executor.RefusedError{Reason: executor.RefusedOverloaded, RetryAfter: 1200 * time.Millisecond}}
	rec := postQuery(newTestServer(f, &fakeLifecycle{}, testView()), "/v1/services/a/query", "", auth)
	var p callerapi.Problem
	if err := json.Unmarshal(rec.Body.Bytes(), &p); err != nil {
		t.Fatal(err)
	}
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") != "2" || p.RetryAfterMS != 1200 || p.Outcome != "not_run" {
		t.Errorf("got %d, Retry-After %q, %+v", rec.Code, rec.Header().Get("Retry-After"), p)
	}
	if got := rec.Header().Get("Content-Type"); got != "application/problem+json" {
		t.Errorf("content type %q", got)
	}
	rec = postQuery(newTestServer(f, &fakeLifecycle{}, nil), "/v1/services/a/query", "", auth)
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
		t.Errorf("without a document: %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
	f.got = nil
	rec = postQuery(newTestServer(f, &fakeLifecycle{leaving: true, refusing: true}, testView()), "/v1/services/a/query", "", auth)
	if rec.Code != http.StatusServiceUnavailable || f.got != nil || rec.Header().Get("Connection") != "close" {
		t.Errorf("while stopping: %d, executed %v, Connection %q", rec.Code, f.got != nil, rec.Header().Get("Connection"))
	}
}

// TestDeadlineHeaderOnlyShortens checks that a caller can't extend a service's deadline.
func TestDeadlineHeaderOnlyShortens(t *testing.T) {
	for ms, want := range map[string]time.Duration{"50": 50 * time.Millisecond, "5000": 200 * time.Millisecond} {
		f := &fakeExecutor{response: &executor.Response{}}
		postQuery(newTestServer(f, &fakeLifecycle{}, testView()), "/v1/services/a/query", "", map[string][]string{"Authorization": {"Bearer ta"}, callerapi.HeaderDeadlineMS: {ms}})
		if got := f.got.Deadline.Sub(f.got.Start); got != want {
			t.Errorf("deadline %s ms gives %v, want %v", ms, got, want)
		}
	}
}

// TestStatusOfOutcomes checks the HTTP status of each outcome.
func TestStatusOfOutcomes(t *testing.T) {
	for _, tc := range []struct {
		answer callerapi.Answer
		status int
	}{
		{callerapi.Answer{Outcome: "complete"}, 200},
		{callerapi.Answer{Outcome: "partial"}, 200},
		{callerapi.Answer{Outcome: "failed"}, 502},
		{callerapi.Answer{Outcome: "unknown"}, 502},
		{callerapi.Answer{Outcome: "complete", Replayed: true}, 200},
		{callerapi.Answer{Outcome: "unknown", Replayed: true}, 409},
	} {
		f := &fakeExecutor{response: &executor.Response{Answer: tc.answer}}
		rec := postQuery(newTestServer(f, &fakeLifecycle{}, testView()), "/v1/services/a/query", "x", map[string][]string{"Authorization": {"Bearer ta"}})
		if rec.Code != tc.status {
			t.Errorf("%+v: status %d, want %d", tc.answer, rec.Code, tc.status)
		}
	}
}

// TestRoutedQuery checks which service the route of a host and path selects.
func TestRoutedQuery(t *testing.T) {
	doc := testView().Document
	doc.Routes = []document.Route{
		{Name: "wide", Host: "desk.example", Prefix: "/", Targets: []document.RouteTarget{{Service: "a", Weight: 1}}},
		{Name: "rival", Host: "desk.example", Prefix: "/rival/", Targets: []document.RouteTarget{{Service: "b", Weight: 1}}},
		{Name: "split", Host: "desk.example", Prefix: "/split/", Targets: []document.RouteTarget{{Service: "b", Weight: 0}, {Service: "a", Weight: 2}}},
	}
	v := view.Build(1, "h", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 1 })
	for _, tc := range []struct {
		path, host string
		status     int
		service    string
		code       string
	}{
		{"/v1/routes/titles/x", "desk.example", 200, "a", ""},
		{"/v1/routes/", "DESK.example:8080", 200, "a", ""},
		{"/v1/routes/split/x", "desk.example", 200, "a", ""},
		{"/v1/routes/rival/x", "desk.example", 404, "", "no-route"},
		{"/v1/routes/titles/x", "other.example", 404, "", "no-route"},
	} {
		f := &fakeExecutor{response: &executor.Response{Answer: callerapi.Answer{Outcome: "complete"}}}
		s := newTestServer(f, &fakeLifecycle{}, v)
		req := httptest.NewRequest(http.MethodPost, tc.path, strings.NewReader("q"))
		req.Host = tc.host
		req.Header.Set("Authorization", "Bearer ta")
		rec := httptest.NewRecorder()
		s.Echo().ServeHTTP(rec, req)
		var problem callerapi.Problem
		if err := json.Unmarshal(rec.Body.Bytes(), &problem); err != nil {
			t.Fatal(err)
		}
		service := ""
		if f.got != nil {
			service = f.got.Service.Config.Name
		}
		if rec.Code != tc.status || service != tc.service || !strings.HasSuffix(problem.Type, tc.code) {
			t.Errorf("%s%s: %d to %q, problem %q", tc.host, tc.path, rec.Code, service, problem.Type)
		}
	}
}
