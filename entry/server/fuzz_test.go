package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// newFuzzServer returns a server whose executor answers every query as complete.
func newFuzzServer() (*Server, *fakeExecutor) {
	f := &fakeExecutor{response: &executor.Response{Answer: callerapi.Answer{Outcome: string(query.Complete)}}}
	return newTestServer(f, &fakeLifecycle{}, testView()), f
}

// checkAccepted checks the request that the executor received against the headers.
func checkAccepted(t *testing.T, got *executor.Request, h http.Header) {
	t.Helper()
	wantToken := map[string]string{"house-a": "ta", "house-b": "tb"}[got.Caller.Name]
	if h.Get("Authorization") != "Bearer "+wantToken {
		t.Fatalf("%q was authenticated as %s", h.Get("Authorization"), got.Caller.Name)
	}
	wantService := map[string]string{"house-a": "a", "house-b": "b"}[got.Caller.Name]
	if got.Service.Config.Name != wantService {
		t.Fatalf("%s was allowed to query service %s", got.Caller.Name, got.Service.Config.Name)
	}
	if left := got.Deadline.Sub(got.Start); left <= 0 || left > 200*time.Millisecond {
		t.Fatalf("a deadline of %v was accepted", left)
	}
	if len(got.Body) > 64 || len(got.Key) > maxIdempotencyKeyBytes {
		t.Fatalf("a body of %d and a key of %d bytes were accepted", len(got.Body), len(got.Key))
	}
	for i := range len(got.Key) {
		if got.Key[i] < 0x21 || got.Key[i] > 0x7e {
			t.Fatalf("the key %q was accepted", got.Key)
		}
	}
}

// checkResponse checks that the response states correctly whether the executor was called.
func checkResponse(t *testing.T, got *executor.Request, r *http.Request, rec *httptest.ResponseRecorder) {
	t.Helper()
	if got != nil {
		if rec.Code != http.StatusOK {
			t.Fatalf("a request that ran was answered %d: %s", rec.Code, rec.Body)
		}
		checkAccepted(t, got, r.Header)
		return
	}
	if r.Method != http.MethodPost || rec.Code < http.StatusBadRequest {
		return // an operational path
	}
	var p callerapi.Problem
	if err := json.Unmarshal(rec.Body.Bytes(), &p); err != nil || p.Outcome != outcomeNotRun || p.Status != rec.Code {
		t.Fatalf("a refusal was answered %d: %s", rec.Code, rec.Body)
	}
	if rec.Code == http.StatusBadRequest && p.Field == "" {
		t.Fatalf("the response to a malformed request names no field: %s", rec.Body)
	}
}

// FuzzQueryHeaders varies a query's service, headers and body.
func FuzzQueryHeaders(f *testing.F) {
	f.Add("a", "Bearer ta", "150", "key-1", []byte("body"), false)
	f.Add("b", "Bearer ta", "", "", []byte(nil), false)
	f.Add("a", "bearer ta", "0", "", []byte(nil), true)
	f.Add("a", "Bearer ta", "-1", "a b", bytes.Repeat([]byte("x"), 65), true)
	f.Add("a%2f..%2fb", "Bearer tb", "9223372036854775808", "\x7f", []byte(nil), false)
	f.Fuzz(func(t *testing.T, service, authorization, deadline, key string, body []byte, twice bool) {
		s, exec := newFuzzServer()
		h := http.Header{"Authorization": {authorization}}
		if deadline != "" {
			h.Set(callerapi.HeaderDeadlineMS, deadline)
		}
		if key != "" {
			h.Set(callerapi.HeaderIdempotencyKey, key)
		}
		if twice {
			h.Add(callerapi.HeaderIdempotencyKey, key)
		}
		r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/v1/services/" + service + "/query"}, Header: h, Body: io.NopCloser(bytes.NewReader(body))}
		rec := httptest.NewRecorder()
		s.Echo().ServeHTTP(rec, r)
		checkResponse(t, exec.got, r, rec)
	})
}

// FuzzRequest parses any bytes as a caller's HTTP request.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /v1/services/a/query HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ta\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("POST /v1/services/b/query HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ta\r\n\r\n"))
	f.Add([]byte("POST /v1/services/a/query HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ta\r\nContent-Length: 9\r\n\r\nbody"))
	f.Add([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		s, exec := newFuzzServer()
		rec := httptest.NewRecorder()
		s.Echo().ServeHTTP(rec, r)
		checkResponse(t, exec.got, r, rec)
	})
}
