package operators_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators/operatorstest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

const (
	firstToken = "the-platform's-token"
	generation = 7
)

func doc() *document.Document { return samples.CapBon(samples.CapBonBasePort) }

// changed is the document with another share of its first caller.
func changed(share int) *document.Document {
	d := doc()
	d.Callers[0].Share = share
	return d
}

// ask sends one request to an API over the control.
func ask(c *operatorstest.Control, method, path, token, body string) *httptest.ResponseRecorder {
	e := echo.New()
	operators.New(operators.Config{Control: c, Quarantine: c, Views: c, FirstToken: firstToken}).Register(e)
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	rec := httptest.NewRecorder()
	e.ServeHTTP(rec, req)
	return rec
}

func decode[T any](t *testing.T, rec *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(rec.Body.Bytes(), &v); err != nil {
		t.Fatalf("body %q: %v", rec.Body, err)
	}
	return v
}

// put saves as the sample operator.
func put(t *testing.T, c *operatorstest.Control, ifVersion uint64, toml []byte) (*httptest.ResponseRecorder, operators.SaveReply) {
	t.Helper()
	rec := ask(c, http.MethodPut, fmt.Sprintf("%s?if_version=%d", callerapi.PathConfig, ifVersion), samples.Token("operator"), string(toml))
	return rec, decode[operators.SaveReply](t, rec)
}

// TestOperatorsOnly tries every route with no token, a wrong one and a caller's.
func TestOperatorsOnly(t *testing.T) {
	routes := []struct{ method, path string }{
		{http.MethodGet, callerapi.PathConfig},
		{http.MethodPut, callerapi.PathConfig + "?if_version=7"},
		{http.MethodGet, callerapi.PathConfigStatus},
		{http.MethodGet, callerapi.PathInstances},
		{http.MethodGet, callerapi.PathQuarantine},
		{http.MethodDelete, callerapi.PathQuarantine},
	}
	body := string(codec.Format(changed(9)))
	for _, r := range routes {
		for token, status := range map[string]int{"": 401, "wrong": 401, firstToken: 401, samples.Token("house-one"): 403} {
			c := operatorstest.New(generation, doc())
			c.Records = []peerapi.QuarantineRecord{{Fingerprint: "f", Level: 1}}
			rec := ask(c, r.method, r.path, token, body)
			p := decode[callerapi.Problem](t, rec)
			if rec.Code != status || p.Status != status || p.Field != "Authorization" {
				t.Errorf("%s %s with %q: %d %+v, want %d", r.method, r.path, token, rec.Code, p, status)
			}
			if len(c.Submitted()) != 0 || len(c.Lifted) != 0 {
				t.Errorf("%s %s with %q changed something", r.method, r.path, token)
			}
		}
		if rec := ask(operatorstest.New(generation, doc()), r.method, r.path, samples.Token("operator"), body); rec.Code >= 300 {
			t.Errorf("%s %s as operator: %d %s", r.method, r.path, rec.Code, rec.Body)
		}
	}
}

func TestNoDocumentYet(t *testing.T) {
	rec := ask(operatorstest.New(0, nil), http.MethodGet, callerapi.PathConfig, samples.Token("operator"), "")
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
		t.Errorf("%d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
}

// TestFirstDocument checks who may save it: the platform token's holder, only
// while there is none, and only as a creation.
func TestFirstDocument(t *testing.T) {
	body := string(codec.Format(doc()))
	for _, tc := range []struct {
		version, token string
		status, sent   int
	}{
		{"0", firstToken, 200, 1},
		{"0", "wrong", 503, 0},
		{"1", firstToken, 503, 0},
	} {
		c := operatorstest.New(0, nil)
		rec := ask(c, http.MethodPut, callerapi.PathConfig+"?if_version="+tc.version, tc.token, body)
		if rec.Code != tc.status || len(c.Submitted()) != tc.sent {
			t.Errorf("version %s with %q: %d, %d submitted", tc.version, tc.token, rec.Code, len(c.Submitted()))
		}
	}
	c := operatorstest.New(generation, doc())
	if rec := ask(c, http.MethodPut, callerapi.PathConfig+"?if_version=0", firstToken, body); rec.Code != 401 || len(c.Submitted()) != 0 {
		t.Errorf("after the first document: %d, %d submitted", rec.Code, len(c.Submitted()))
	}
}

func TestSaveAccepted(t *testing.T) {
	c := operatorstest.New(generation, doc())
	rec, reply := put(t, c, generation, codec.Format(changed(5)))
	if rec.Code != http.StatusOK || reply.State != operators.Accepted || reply.Generation != generation+1 || reply.Hash != codec.Hash(changed(5)) {
		t.Errorf("%d %+v", rec.Code, reply)
	}
	state := decode[callerapi.ConfigState](t, ask(c, http.MethodGet, callerapi.PathConfig, samples.Token("operator"), ""))
	if state.Generation != reply.Generation || state.Hash != reply.Hash || state.Document != string(codec.Format(changed(5))) {
		t.Errorf("read back generation %d, hash %s", state.Generation, state.Hash)
	}
}

// TestRacingOperators has two saves from one version: the second gets the
// difference to the first, and the first stays.
func TestRacingOperators(t *testing.T) {
	c := operatorstest.New(generation, doc())
	put(t, c, generation, codec.Format(changed(5)))
	rec, reply := put(t, c, generation, codec.Format(changed(9)))
	if rec.Code != http.StatusConflict || reply.State != operators.Conflict || reply.Generation != generation+1 {
		t.Errorf("%d %+v", rec.Code, reply)
	}
	if !strings.Contains(reply.Diff, "-share = 5\n+share = 9\n") {
		t.Errorf("diff:\n%s", reply.Diff)
	}
	if v, _ := c.Current(); v.Hash != codec.Hash(changed(5)) {
		t.Error("the loser's document is in force")
	}
	if _, again := put(t, c, generation, codec.Format(changed(5))); again.Diff != "" || !strings.Contains(again.Detail, "says the same") {
		t.Errorf("the winner's resend: %+v", again)
	}
}

// TestConflictWithAnInvalidVersion saves over what is in force while the store
// holds something newer that is no document, and then over that.
func TestConflictWithAnInvalidVersion(t *testing.T) {
	c := operatorstest.New(generation, doc())
	c.Break("line 1: no TOML")
	rec, reply := put(t, c, generation, codec.Format(changed(9)))
	if rec.Code != http.StatusConflict || reply.Generation != generation+1 || reply.Diff != "" || !strings.Contains(reply.Detail, "not a valid document (line 1: no TOML)") {
		t.Errorf("%d %+v", rec.Code, reply)
	}
	if rec, reply = put(t, c, reply.Generation, codec.Format(changed(9))); rec.Code != http.StatusOK {
		t.Errorf("over that: %d %+v", rec.Code, reply)
	}
}

// TestOutcomesAreTold checks status, state and words of each outcome.
func TestOutcomesAreTold(t *testing.T) {
	for fault, want := range map[operatorstest.Fault]struct {
		status int
		state  operators.State
		words  string
	}{
		operatorstest.LostReply:   {http.StatusGatewayTimeout, operators.Unknown, codec.Hash(changed(9))},
		operatorstest.LostRequest: {http.StatusGatewayTimeout, operators.Unknown, "may have been saved"},
		operatorstest.Refuse:      {http.StatusServiceUnavailable, operators.Refused, "the store is down"},
		operatorstest.Unreadable:  {http.StatusConflict, operators.Conflict, "can't be read yet"},
	} {
		c := operatorstest.New(generation, doc())
		c.OvertakeNext(fault, changed(5))
		rec, reply := put(t, c, generation, codec.Format(changed(9)))
		if rec.Code != want.status || reply.State != want.state || !strings.Contains(reply.Detail, want.words) {
			t.Errorf("fault %d: %d %+v", fault, rec.Code, reply)
		}
		if got := rec.Header().Get("Content-Type"); got != "application/problem+json" {
			t.Errorf("fault %d: content type %q", fault, got)
		}
		if (rec.Header().Get("Retry-After") == "2") != (fault == operatorstest.Refuse) {
			t.Errorf("fault %d: Retry-After %q", fault, rec.Header().Get("Retry-After"))
		}
	}
}

// TestInvalidIsNotSubmitted checks that faults come with path and line.
func TestInvalidIsNotSubmitted(t *testing.T) {
	c := operatorstest.New(generation, doc())
	text := strings.Replace(string(codec.Format(doc())), "slots = ", "slotz = ", 1)
	rec, reply := put(t, c, generation, []byte(text))
	if rec.Code != http.StatusUnprocessableEntity || reply.State != operators.Invalid || len(reply.Faults) != 1 {
		t.Fatalf("%d %+v", rec.Code, reply)
	}
	if f := reply.Faults[0]; f.Path != "upstream.slotz" || f.Line == 0 || reply.Field != f.Path {
		t.Errorf("fault %+v, field %q", f, reply.Field)
	}
	if len(c.Submitted()) != 0 {
		t.Error("it was submitted")
	}
}

func TestMalformedRequests(t *testing.T) {
	config, quarantine := callerapi.PathConfig, callerapi.PathQuarantine
	for _, tc := range []struct {
		method, path, body string
		status             int
		field              string
	}{
		{http.MethodPut, config, "", 400, "if_version"},
		{http.MethodPut, config + "?if_version=7&if_version=8", "", 400, "if_version"},
		{http.MethodPut, config + "?if_version=-1", "", 400, "if_version"},
		{http.MethodPut, config + "?if_version=7", strings.Repeat("#", codec.MaxBytes+1), 413, "body"},
		{http.MethodDelete, quarantine + "?fp=", "", 400, "fp"},
		{http.MethodDelete, quarantine + "?fp=a&fp=b", "", 400, "fp"},
	} {
		c := operatorstest.New(generation, doc())
		c.Records = []peerapi.QuarantineRecord{{Fingerprint: "a", Level: 2}}
		rec := ask(c, tc.method, tc.path, samples.Token("operator"), tc.body)
		if p := decode[callerapi.Problem](t, rec); rec.Code != tc.status || p.Field != tc.field {
			t.Errorf("%s %s: %d %+v", tc.method, tc.path, rec.Code, p)
		}
		if len(c.Submitted()) != 0 || len(c.Lifted) != 0 {
			t.Errorf("%s %s changed something", tc.method, tc.path)
		}
	}
}

func TestQuarantine(t *testing.T) {
	c := operatorstest.New(generation, doc())
	cleared := peerapi.QuarantineRecord{Fingerprint: "cleared", Level: 3}
	c.Records = []peerapi.QuarantineRecord{{Fingerprint: "a", Level: 5, RemainingMS: 1000}, cleared, {Fingerprint: "b", Level: 1}}
	list := decode[operators.QuarantineList](t, ask(c, http.MethodGet, callerapi.PathQuarantine, samples.Token("operator"), ""))
	if len(list.Quarantine) != 2 || list.Quarantine[0] != (peerapi.QuarantineRecord{Fingerprint: "a", Level: 2, RemainingMS: 1000}) {
		t.Errorf("list %+v", list)
	}
	ask(c, http.MethodDelete, callerapi.PathQuarantine+"?fp=b", samples.Token("operator"), "")
	ask(c, http.MethodDelete, callerapi.PathQuarantine, samples.Token("operator"), "")
	if got := strings.Join(c.Lifted, ","); got != "b,a,b" {
		t.Errorf("lifted %s", got)
	}
}
