package console_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators/operatorstest"
)

const (
	servicePage = console.Root + "service/edit/recall"
	sessionName = "fuchsiaroad-session"
)

// signed reports whether the browser's session is taken.
func signed(b *browser) bool {
	b.t.Helper()
	b.get(console.Root)
	return b.last.Code == http.StatusOK
}

func TestLoginIsNeeded(t *testing.T) {
	b := newBrowser(t, newEntry(t, operatorstest.New(generation, doc()), "key", false))
	b.get(servicePage)
	if want := console.Root + "login?next=" + url.QueryEscape(servicePage); b.last.Code != http.StatusSeeOther || b.last.Header().Get("Location") != want {
		t.Errorf("%d to %s", b.last.Code, b.last.Header().Get("Location"))
	}
	b.get(b.last.Header().Get("Location"))
	b.submit(url.Values{"token": {samples.Token("operator")}})
	if b.last.Code != http.StatusSeeOther || b.last.Header().Get("Location") != servicePage {
		t.Errorf("after the login: %d to %s", b.last.Code, b.last.Header().Get("Location"))
	}
	if !signed(b) {
		t.Error("the session is not taken")
	}
}

// TestLoginRefused checks that a caller's token looks like none at all.
func TestLoginRefused(t *testing.T) {
	e := newEntry(t, operatorstest.New(generation, doc()), "key", false)
	var bodies []string
	for _, token := range []string{"a-wrong-token", samples.Token("house-one"), ""} {
		b := newBrowser(t, e)
		b.login(token)
		if b.last.Code != http.StatusUnauthorized || b.cookies[sessionName] != nil {
			t.Errorf("%q: %d, cookie %v", token, b.last.Code, b.cookies[sessionName])
		}
		if token != "" && strings.Contains(b.last.Body.String(), token) {
			t.Errorf("%q is shown", token)
		}
		bodies = append(bodies, strings.ReplaceAll(b.last.Body.String(), formValues(b.form()).Get("csrf"), "TOKEN"))
	}
	if bodies[0] != bodies[1] {
		t.Error("a caller's token looks unlike a wrong one")
	}
}

// TestNextStaysHere checks that a login leads to no other site.
func TestNextStaysHere(t *testing.T) {
	for _, next := range []string{"https://example.org/", "//example.org/console/", "/\\example.org", "/v1/config", "javascript:alert(1)"} {
		b := newBrowser(t, newEntry(t, operatorstest.New(generation, doc()), "key", false))
		b.get(console.Root + "login?next=" + url.QueryEscape(next))
		b.submit(url.Values{"token": {samples.Token("operator")}, "next": {next}})
		if got := b.last.Header().Get("Location"); got != console.Root {
			t.Errorf("next %s leads to %s", next, got)
		}
	}
}

func TestSessionEnds(t *testing.T) {
	rotated, demoted, removed := doc(), doc(), doc()
	last := len(rotated.Callers) - 1 // the operator
	rotated.Callers[last].TokenSHA256 = samples.TokenSHA256("another")
	demoted.Callers[last].Operator, demoted.Callers[0].Operator = false, true
	removed.Callers, removed.Callers[0].Operator = removed.Callers[:last], true
	for name, change := range map[string]func(*browser){
		"time passed":       func(b *browser) { b.entry.now = start.Add(8 * time.Hour) },
		"another token":     func(b *browser) { b.entry.control.Put(rotated) },
		"no operator":       func(b *browser) { b.entry.control.Put(demoted) },
		"caller removed":    func(b *browser) { b.entry.control.Put(removed) },
		"longer time":       func(b *browser) { c := b.cookies[sessionName]; c.Value = "9" + c.Value },
		"signature cut off": func(b *browser) { c := b.cookies[sessionName]; c.Value = c.Value[:len(c.Value)-65] },
		"nonsense":          func(b *browser) { b.cookies[sessionName].Value = "x" },
		"logged out": func(b *browser) {
			b.send(http.MethodPost, console.Root+"logout", url.Values{"csrf": formValues(find(b.page, "form"))["csrf"]})
		},
	} {
		b := newOperator(t)
		if !signed(b) {
			t.Fatalf("%s: the session was never taken", name)
		}
		change(b)
		if signed(b) {
			t.Errorf("%s: the session is still taken", name)
		}
	}
}

// TestSessionAtAnotherEntry sends a browser to another entry of the fleet and
// to one of another fleet.
func TestSessionAtAnotherEntry(t *testing.T) {
	b := newOperator(t)
	b.get(servicePage)
	b.entry = newEntry(t, b.entry.control, "the entries' key", false)
	b.submit(url.Values{"deadline": {"300ms"}})
	if b.last.Code != http.StatusSeeOther || len(b.entry.control.Submitted()) != 1 {
		t.Errorf("same key: %d", b.last.Code)
	}
	b.entry = newEntry(t, b.entry.control, "another key", false)
	if signed(b) {
		t.Error("another key takes the session")
	}
}

// TestEndedSessionOfAForm checks that a form sent too late changes nothing and
// can be sent again after a login.
func TestEndedSessionOfAForm(t *testing.T) {
	b := newOperator(t)
	b.get(servicePage)
	form := b.page
	b.entry.now = start.Add(9 * time.Hour)
	b.submit(url.Values{"deadline": {"300ms"}})
	if b.last.Code != http.StatusUnauthorized || len(b.entry.control.Submitted()) != 0 {
		t.Errorf("%d, %d submitted", b.last.Code, len(b.entry.control.Submitted()))
	}
	b.login(samples.Token("operator"))
	b.page = form
	b.submit(url.Values{"deadline": {"300ms"}})
	if b.last.Code != http.StatusSeeOther || len(b.entry.control.Submitted()) != 1 {
		t.Errorf("sent again: %d", b.last.Code)
	}
}

// TestForgedForms checks that a form from elsewhere changes nothing.
func TestForgedForms(t *testing.T) {
	for name, forge := range map[string]func(b *browser, v url.Values){
		"no token":       func(_ *browser, v url.Values) { v.Del("csrf") },
		"another token":  func(_ *browser, v url.Values) { v.Set("csrf", strings.Repeat("a", 32)) },
		"no cookie":      func(b *browser, _ url.Values) { delete(b.cookies, "fuchsiaroad-csrf") },
		"from elsewhere": func(b *browser, _ url.Values) { b.header.Set("Sec-Fetch-Site", "cross-site") },
		"from a neighbour": func(b *browser, v url.Values) {
			b.header.Set("Sec-Fetch-Site", "same-site")
			v.Del("csrf")
		},
	} {
		b := newOperator(t)
		b.get(servicePage)
		values := formValues(b.form())
		forge(b, values)
		b.send(http.MethodPost, servicePage, values)
		if b.last.Code != http.StatusForbidden || len(b.entry.control.Submitted()) != 0 {
			t.Errorf("%s: %d, %d submitted", name, b.last.Code, len(b.entry.control.Submitted()))
		}
	}
	b := newBrowser(t, newEntry(t, operatorstest.New(generation, doc()), "key", false))
	b.send(http.MethodPost, console.Root+"login", url.Values{"token": {samples.Token("operator")}})
	if b.last.Code != http.StatusForbidden || b.cookies[sessionName] != nil {
		t.Errorf("login without a token of the form: %d", b.last.Code)
	}
}

func TestCookies(t *testing.T) {
	for _, secure := range []bool{false, true} {
		b := signedIn(t, newEntry(t, operatorstest.New(generation, doc()), "key", secure))
		if len(b.cookies) != 2 {
			t.Errorf("%d cookies", len(b.cookies))
		}
		for name, c := range b.cookies {
			if !c.HttpOnly || c.SameSite != http.SameSiteStrictMode || c.Secure != secure || strings.HasPrefix(name, "__Host-") != secure {
				t.Errorf("secure %v: %v", secure, c)
			}
		}
	}
}

func TestHeaders(t *testing.T) {
	b := newOperator(t)
	for _, path := range []string{console.Root, console.Root + "login", console.Root + "service/edit/none"} {
		b.get(path)
		for name, want := range map[string]string{
			"X-Content-Type-Options": "nosniff", "X-Frame-Options": "DENY", "Cache-Control": "no-store", "Referrer-Policy": "same-origin",
		} {
			if got := b.last.Header().Get(name); got != want {
				t.Errorf("%s: %s: %q", path, name, got)
			}
		}
		if policy := b.last.Header().Get("Content-Security-Policy"); !strings.Contains(policy, "default-src 'none'") || strings.Contains(policy, "unsafe") {
			t.Errorf("%s: policy %q", path, policy)
		}
	}
}

func TestNoDocument(t *testing.T) {
	b := newBrowser(t, newEntry(t, operatorstest.New(0, nil), "key", false))
	b.get(console.Root)
	if b.last.Code != http.StatusServiceUnavailable || !b.says("no configuration yet") {
		t.Errorf("%d %s", b.last.Code, b.last.Body)
	}
}
