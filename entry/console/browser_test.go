package console_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/net/html"

	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators/operatorstest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

const generation = 7

// start is the time at which tests begin.
var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func doc() *document.Document { return samples.CapBon(samples.CapBonBasePort) }

// changed is the document with another share of its first caller.
func changed(share int) *document.Document {
	d := doc()
	d.Callers[0].Share = share
	return d
}

// noLog drops the lines.
type noLog struct{}

func (noLog) Info(string, ...any) {}

// entry is a console over a control, with a clock.
type entry struct {
	control *operatorstest.Control
	key     string
	secure  bool
	echo    *echo.Echo
	now     time.Time
}

func newEntry(t testing.TB, control *operatorstest.Control, key string, secure bool) *entry {
	t.Helper()
	e := &entry{control: control, key: key, secure: secure, now: start}
	e.serve(t, control)
	return e
}

// serve makes a console over a control.
func (e *entry) serve(t testing.TB, control operators.Control) {
	t.Helper()
	c, err := console.New(console.Config{
		Control: control, Views: e.control, Quarantine: e.control, Log: noLog{}, FleetKey: []byte(e.key), Secure: e.secure,
		Now: func() time.Time { return e.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	e.echo = echo.New()
	c.Register(e.echo)
}

// browser keeps cookies and reads forms, as an operator's does.
type browser struct {
	t       testing.TB
	entry   *entry
	cookies map[string]*http.Cookie
	header  http.Header
	page    *html.Node
	last    *httptest.ResponseRecorder
}

func newBrowser(t testing.TB, e *entry) *browser {
	return &browser{t: t, entry: e, cookies: map[string]*http.Cookie{}, header: http.Header{}}
}

// signedIn is a browser whose operator has logged in.
func signedIn(t testing.TB, e *entry) *browser {
	t.Helper()
	b := newBrowser(t, e)
	b.login(samples.Token("operator"))
	if b.last.Code != http.StatusSeeOther {
		t.Fatalf("login: %d", b.last.Code)
	}
	return b
}

// newOperator is a browser whose operator has logged in to a console with the
// sample document.
func newOperator(t *testing.T) *browser {
	t.Helper()
	return signedIn(t, newEntry(t, operatorstest.New(generation, doc()), "the entries' key", false))
}

func (b *browser) login(token string) {
	b.t.Helper()
	b.get(console.Root + "login")
	b.submit(url.Values{"token": {token}})
}

// request is a request with the browser's cookies.
func (b *browser) request(method, path string, form url.Values) *http.Request {
	req := httptest.NewRequest(method, path, strings.NewReader(form.Encode()))
	for name, values := range b.header {
		req.Header[name] = values
	}
	if form != nil {
		req.Header.Set("Content-Type", echo.MIMEApplicationForm)
	}
	for _, c := range b.cookies {
		req.AddCookie(c)
	}
	return req
}

// exchange sends a request.
func (b *browser) exchange(method, path string, form url.Values) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	b.entry.echo.ServeHTTP(rec, b.request(method, path, form))
	return rec
}

// send sends a request and reads the page.
func (b *browser) send(method, path string, form url.Values) {
	b.t.Helper()
	b.last = b.exchange(method, path, form)
	for _, c := range b.last.Result().Cookies() {
		b.cookies[c.Name] = c
	}
	var err error
	if b.page, err = html.Parse(strings.NewReader(b.last.Body.String())); err != nil {
		b.t.Fatal(err)
	}
}

func (b *browser) get(path string) {
	b.t.Helper()
	b.send(http.MethodGet, path, nil)
}

// submit sends the form in the page's main part with some fields changed.
func (b *browser) submit(change url.Values) {
	b.t.Helper()
	form := b.form()
	values := formValues(form)
	for name, v := range change {
		values[name] = v
	}
	b.send(http.MethodPost, attribute(form, "action"), values)
}

// form is the form in the main part of the page.
func (b *browser) form() *html.Node {
	b.t.Helper()
	for n := range find(b.page, "main").Descendants() {
		if n.Data == "form" {
			return n
		}
	}
	b.t.Fatalf("no form in\n%s", b.last.Body)
	return nil
}

// formValues are the fields of a form as a browser would send them.
func formValues(form *html.Node) url.Values {
	values := url.Values{}
	for n := range form.Descendants() {
		name := attribute(n, "name")
		switch {
		case name == "":
		case n.Data == "textarea":
			values.Add(name, strings.ReplaceAll(content(n), "\n", "\r\n"))
		case attribute(n, "type") != "checkbox":
			values.Add(name, attribute(n, "value"))
		case has(n, "checked"):
			value := "on"
			if has(n, "value") {
				value = attribute(n, "value")
			}
			values.Add(name, value)
		}
	}
	return values
}

// byID is the element of an ID; nil if there is none.
func (b *browser) byID(id string) *html.Node {
	for n := range b.page.Descendants() {
		if attribute(n, "id") == id {
			return n
		}
	}
	return nil
}

// says reports whether the page's text holds a text.
func (b *browser) says(text string) bool { return strings.Contains(content(b.page), text) }

// find is the first element of a tag.
func find(root *html.Node, tag string) *html.Node {
	for n := range root.Descendants() {
		if n.Type == html.ElementNode && n.Data == tag {
			return n
		}
	}
	return &html.Node{}
}

func attribute(n *html.Node, key string) string {
	for _, a := range n.Attr {
		if a.Key == key {
			return a.Val
		}
	}
	return ""
}

func has(n *html.Node, key string) bool {
	return slices.ContainsFunc(n.Attr, func(a html.Attribute) bool { return a.Key == key })
}

// content is the text of a node, with what it holds.
func content(n *html.Node) string {
	var b strings.Builder
	for d := range n.Descendants() {
		if d.Type == html.TextNode {
			b.WriteString(d.Data)
		}
	}
	return b.String()
}
