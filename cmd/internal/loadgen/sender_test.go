package loadgen

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
)

// transport answers each exchange from a function.
type transport func(r *http.Request) (*http.Response, error)

func (f transport) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func respond(status int, contentType, body string) transport {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{
			StatusCode: status, Header: http.Header{"Content-Type": {contentType}},
			Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

func sender(t transport) *EntrySender {
	return NewEntrySender(SenderConfig{
		Plan: Plan{Services: []Service{{Name: "a service", Key: true, Deadline: 70 * time.Millisecond}}}, Entries: []string{"one:1", "two:2"},
		Tokens: []string{"x", "y"}, RunID: "run", Patience: time.Second, Transport: t,
	})
}

func TestSenderSaysHowAQueryEnded(t *testing.T) {
	const problem = "application/problem+json"
	for _, c := range []struct {
		name string
		t    transport
		want Result
	}{
		{"answer", respond(200, "application/json", `{"outcome":"complete","share":1,"results":[{},{}],"work":{"sent":3,"hedges":1}}`),
			Result{Kind: Complete, Share: 1, Covered: 2, Sent: 3, Hedges: 1}},
		{"unknown", respond(504, "application/json", `{"outcome":"unknown","retry_after_ms":20}`), Result{Kind: Unknown, RetryAfter: 20 * time.Millisecond}},
		{"replayed", respond(200, "application/json", `{"outcome":"complete","replayed":true}`), Result{Kind: Complete, Replayed: true}},
		{"refused", respond(503, problem, `{"status":503,"outcome":"not_run","retry_after_ms":150}`), Result{Kind: NotRun, RetryAfter: 150 * time.Millisecond}},
		{"problem", respond(500, problem, `{"status":500}`), Result{Kind: Failed}},
		{"no outcome", respond(500, "application/json", `{"message":"?"}`), Result{Kind: Broken}},
		{"cut answer", respond(200, "application/json", `{"outcome":"comp`), Result{Kind: Broken}},
		{"no connection", func(*http.Request) (*http.Response, error) {
			return nil, errors.New("refused")
		}, Result{Kind: Unreached}},
		{"broken connection", func(r *http.Request) (*http.Response, error) {
			httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
			return nil, errors.New("reset")
		}, Result{Kind: Broken}},
	} {
		got := sender(c.t).Send(t.Context(), Arrival{})
		if got.Kind != c.want.Kind || got.Share != c.want.Share || got.Covered != c.want.Covered || got.Sent != c.want.Sent ||
			got.Hedges != c.want.Hedges || got.RetryAfter != c.want.RetryAfter || got.Replayed != c.want.Replayed {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestResendRepeatsTheRequestAtAnotherEntry(t *testing.T) {
	type seen struct{ host, path, key, token, deadline, body string }
	var all []seen
	s := sender(func(r *http.Request) (*http.Response, error) {
		body, _ := io.ReadAll(r.Body)
		all = append(all, seen{r.URL.Host, r.URL.EscapedPath(), r.Header.Get(callerapi.HeaderIdempotencyKey),
			r.Header.Get("Authorization"), r.Header.Get(callerapi.HeaderDeadlineMS), string(body)})
		return nil, errors.New("enough")
	})
	s.Send(t.Context(), Arrival{Number: 4, Caller: 3})
	s.Send(t.Context(), Arrival{Number: 4, Caller: 3, Entry: 1, Resend: true})
	s.Send(t.Context(), Arrival{Number: 5, Caller: 3})
	want := seen{"one:1", "/v1/services/a%20service/query", "run-4", "Bearer y", "70", "run query 4 of caller 3"}
	if all[0] != want {
		t.Errorf("got %+v", all[0])
	}
	want.host = "two:2"
	if all[1] != want {
		t.Errorf("the resend differs: %+v", all[1])
	}
	s.SetEntries([]string{"three:3"})
	s.Send(t.Context(), Arrival{Number: 6, Entry: 1})
	if all[3].host != "three:3" {
		t.Errorf("went to %s, which is off the list", all[3].host)
	}
	if all[2].key == want.key || all[2].body == want.body {
		t.Errorf("another query looks like it: %+v", all[2])
	}
}

func TestVerifyStandin(t *testing.T) {
	question := []byte("question")
	whole := keyrange.Range{From: 0, To: 10}
	result := func(upstream string, version uint64, r keyrange.Range, asked string) callerapi.Result {
		body := leaf.Body(upstream, version, []keyrange.Range{r}, leaf.Hash([]byte(asked)), 0)
		return callerapi.Result{Part: callerapi.Part{Upstream: "titles", Range: r}, Body: body}
	}
	good := result("titles", 7, whole, "question")
	torn := good
	torn.Body = torn.Body[:len(torn.Body)/2]
	for want, results := range map[string][]callerapi.Result{
		"":             {good},
		FaultMixed:     {result("titles", 8, whole, "question")},
		FaultForeign:   {result("titles", 7, whole, "another question")},
		FaultUncovered: {result("titles", 7, keyrange.Range{From: 0, To: 9}, "question")},
		FaultTwice:     {good, good},
		FaultUnread:    {good, torn},
	} {
		answer := &callerapi.Answer{Version: 7, Results: results, Covered: []callerapi.Part{{Upstream: "titles", Range: whole}}}
		got := VerifyStandin(question, answer)
		if want == "" && len(got) > 0 || want != "" && !slices.Contains(got, want) {
			t.Errorf("want %q, got %q", want, got)
		}
	}
	other := &callerapi.Answer{Version: 7, Results: []callerapi.Result{result("deeds", 7, whole, "question")}}
	if got := VerifyStandin(question, other); !slices.Contains(got, FaultForeign) {
		t.Errorf("data of another upstream passed: %q", got)
	}
	if got := VerifyStandin(question, &callerapi.Answer{Version: 7, Results: []callerapi.Result{good}}); !slices.Contains(got, FaultUncovered) {
		t.Errorf("an answer that hides what it covers passed: %q", got)
	}
}
