package console_test

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/net/html"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Pages of forms.
const (
	sitePage      = console.Root + "site"
	upstreamPage  = console.Root + "upstream/edit/lot-trace"
	callerPage    = console.Root + "caller/edit/house-one"
	newUpstream   = console.Root + "upstream/new"
	newService    = console.Root + "service/new"
	newCaller     = console.Root + "caller/new"
	newRoute      = console.Root + "route/new"
	removeCaller  = console.Root + "caller/remove/growers"
	removeService = console.Root + "service/remove/label"
)

const someHash = "00000000000000000000000000000000000000000000000000000000000000aa"

// TestUnchangedFormsSaveTheSame checks that no form loses anything.
func TestUnchangedFormsSaveTheSame(t *testing.T) {
	b := newOperator(t)
	paths := []string{sitePage}
	for _, u := range doc().Upstreams {
		paths = append(paths, console.Root+"upstream/edit/"+u.Name)
	}
	for _, s := range doc().Services {
		paths = append(paths, console.Root+"service/edit/"+s.Name)
	}
	for _, c := range doc().Callers {
		paths = append(paths, console.Root+"caller/edit/"+c.Name)
	}
	for _, path := range paths {
		b.get(path)
		b.submit(nil)
		if v, _ := b.entry.control.Current(); b.last.Code != http.StatusSeeOther || v.Hash != codec.Hash(doc()) {
			t.Errorf("%s: %d\n%s", path, b.last.Code, codec.Diff(doc(), v.Document))
		}
	}
}

// TestEachFormSaves changes, adds and removes, and compares the whole document.
func TestEachFormSaves(t *testing.T) {
	for _, tc := range []struct {
		path   string
		fields url.Values
		want   func(d *document.Document)
	}{
		{sitePage, url.Values{"site": {"cap-bon-2"}}, func(d *document.Document) { d.Site = "cap-bon-2" }},
		{upstreamPage, url.Values{"slots": {"3"}, "dial_cost": {"8ms"}}, func(d *document.Document) {
			d.Upstreams[0].Slots, d.Upstreams[0].DialCost = 3, 8*time.Millisecond
		}},
		{newUpstream, url.Values{
			"name": {"archive"}, "key_space": {"10"}, "connection_limit": {"5"}, "slots": {"1"},
			"shard": {"4-10 a-1 hall-b 10.0.0.2:90\r\n\r\n0-4 a-0 hall-a 10.0.0.1:90\r\n4-10 a-2 hall-a 10.0.0.3:90"},
		}, func(d *document.Document) {
			d.Upstreams = append(d.Upstreams, document.Upstream{
				Name: "archive", KeySpace: 10, ConnectionLimit: 5, Slots: 1,
				Shards: []document.Shard{
					{Range: keyrange.Range{From: 0, To: 4}, Leaves: []document.Leaf{{ID: "a-0", Zone: "hall-a", Address: "10.0.0.1:90"}}},
					{Range: keyrange.Range{From: 4, To: 10}, Leaves: []document.Leaf{{ID: "a-1", Zone: "hall-b", Address: "10.0.0.2:90"}, {ID: "a-2", Zone: "hall-a", Address: "10.0.0.3:90"}}},
				},
			})
		}},
		{servicePage, url.Values{"deadline": {"300ms"}, "upstreams": {"lot-trace", "grower-portal"}, "key_required": {"on"}}, func(d *document.Document) {
			s := &d.Services[0]
			s.Deadline, s.Upstreams, s.KeyRequired = 300*time.Millisecond, []string{"lot-trace", "grower-portal"}, true
		}},
		{newService, url.Values{"name": {"audit"}, "upstreams": {"lot-trace"}}, func(d *document.Document) {
			d.Services = append(d.Services, document.Service{
				Name: "audit", Upstreams: []string{"lot-trace"}, Deadline: 200 * time.Millisecond, HedgeQuantile: codec.DefaultHedgeQuantile,
				RetryBudget: codec.DefaultRetryBudget, CanaryAbove: codec.DefaultCanaryAbove, KeyRequired: true,
			})
		}},
		{callerPage, url.Values{"share": {"4"}, "services": nil, "operator": {"on"}}, func(d *document.Document) {
			c := &d.Callers[0]
			c.Share, c.Services, c.Operator = 4, nil, true
		}},
		{newCaller, url.Values{"name": {"auditor"}, "token_sha256": {" " + someHash + " "}, "services": {"recall"}}, func(d *document.Document) {
			d.Callers = append(d.Callers, document.Caller{Name: "auditor", TokenSHA256: someHash, Share: 1, Services: []string{"recall"}})
		}},
		{servicePage, url.Values{"objective": {"50ms"}, "priority": {"2"}, "attempts": {"3"}}, func(d *document.Document) {
			s := &d.Services[0]
			s.Objective, s.Priority, s.Attempts = 50*time.Millisecond, 2, 3
		}},
		{newRoute, url.Values{"name": {"peek"}, "host": {"plant.example"}, "prefix": {"/peek/"}, "target": {"recall 3\r\n\r\nreceipts"}}, func(d *document.Document) {
			d.Routes = append(d.Routes, document.Route{Name: "peek", Host: "plant.example", Prefix: "/peek/", Targets: []document.RouteTarget{
				{Service: "recall", Weight: 3}, {Service: "receipts", Weight: 1},
			}})
		}},
		{removeCaller, nil, func(d *document.Document) { d.Callers = append(d.Callers[:3], d.Callers[4:]...) }},
	} {
		b := newOperator(t)
		b.get(tc.path)
		b.submit(tc.fields)
		if b.last.Code != http.StatusSeeOther {
			t.Errorf("%s: %d\n%s", tc.path, b.last.Code, content(b.page))
		}
		want := doc()
		tc.want(want)
		sent := b.entry.control.Submitted()
		if len(sent) != 1 || sent[0].IfVersion != generation {
			t.Fatalf("%s: submitted %d", tc.path, len(sent))
		}
		if diff := codec.Diff(want, sent[0].Document); diff != "" || string(sent[0].TOML) != string(codec.Format(want)) {
			t.Errorf("%s:\n%s", tc.path, diff)
		}
	}
}

// TestFaultsStandBesideTheirFields enters one bad value at a time.
func TestFaultsStandBesideTheirFields(t *testing.T) {
	const shards = "0-30 a hall-a 10.0.0.1:90\n30-65536 b hall-a nowhere:90\n"
	for _, tc := range []struct{ path, field, value, fault string }{
		{sitePage, "site", "Cap Bon", "lower-case"},
		{upstreamPage, "slots", "two", "is not a whole number"},
		{upstreamPage, "slots", "0", "0 must be from 1 to"},
		{upstreamPage, "key_space", "-1", "0 or more"},
		{upstreamPage, "connection_limit", "", "is not a whole number"},
		{upstreamPage, "dial_cost", "soon", "is not a duration"},
		{upstreamPage, "dial_cost", "-1s", "must not be negative"},
		{upstreamPage, "shard", "", "at least one is needed"},
		{upstreamPage, "shard", "0-65536 a hall-a\n", "line 1: want key range, leaf ID, zone and address, found 3 words"},
		{upstreamPage, "shard", "all a hall-a 10.0.0.1:90\n", `line 1: "all" is not a key range`},
		{upstreamPage, "shard", shards, `line 2, address: "nowhere:90" is not IP:port`},
		{upstreamPage, "shard", "\n30-65536 b hall-a 10.0.0.1:90\n", "line 2, range: keys 0-30 before it are in no shard"},
		{newUpstream, "name", "lot-trace", `"lot-trace" is in use`},
		{servicePage, "deadline", "250", "is not a duration"},
		{servicePage, "deadline", "0s", "must be from 1ms"},
		{servicePage, "settle", "1s", "must be from 0s to 250ms"},
		{servicePage, "least_coverage", "95%", "is not a number"},
		{servicePage, "least_coverage", "1.5", "must be from 0 to 1"},
		{servicePage, "hedge_quantile", "NaN", "must be between 0 and 1"},
		{servicePage, "canary_above", "1.5", "is not a whole number"},
		{servicePage, "upstreams", "lot-archive", `"lot-archive" does not exist`},
		{callerPage, "token_sha256", samples.Token("house-one"), "64 lower-case hex digits"},
		{callerPage, "token_sha256", samples.TokenSHA256("house-two"), "caller house-two has the same token"},
		{callerPage, "share", "0", "must be from 1 to 1000"},
		{newCaller, "name", "house-one", "is in use"},
		{newCaller, "name", "<script>", "lower-case"},
	} {
		b := newOperator(t)
		b.get(tc.path)
		b.submit(url.Values{tc.field: {tc.value}})
		if b.last.Code != http.StatusUnprocessableEntity || len(b.entry.control.Submitted()) != 0 {
			t.Errorf("%s %s=%q: %d, %d submitted", tc.path, tc.field, tc.value, b.last.Code, len(b.entry.control.Submitted()))
			continue
		}
		control, list := b.byID("field-"+tc.field), b.byID("fault-"+tc.field)
		if list == nil || !strings.Contains(content(list), tc.fault) {
			t.Errorf("%s %s=%q: no fault beside it in\n%s", tc.path, tc.field, tc.value, content(find(b.page, "main")))
			continue
		}
		if attribute(control, "aria-invalid") != "true" || !strings.Contains(attribute(control, "aria-describedby"), "fault-"+tc.field) {
			t.Errorf("%s %s: the control is not marked", tc.path, tc.field)
		}
		if got := formValues(b.form()).Get(tc.field); strings.TrimSpace(got) != strings.TrimSpace(strings.ReplaceAll(tc.value, "\n", "\r\n")) {
			t.Errorf("%s %s: the input became %q", tc.path, tc.field, got)
		}
		if got := formValues(b.form()).Get("if_version"); got != "7" {
			t.Errorf("%s: opened with %s", tc.path, got)
		}
	}
}

// TestFocusIsOnTheFirstFault checks the focus and the list above the form.
func TestFocusIsOnTheFirstFault(t *testing.T) {
	b := newOperator(t)
	b.get(servicePage)
	b.submit(url.Values{"deadline": {"soon"}, "settle": {"later"}, "canary_above": {"-1"}})
	var focus, links []string
	for n := range find(b.page, "main").Descendants() {
		if has(n, "autofocus") {
			focus = append(focus, attribute(n, "id"))
		}
		if href := attribute(n, "href"); strings.HasPrefix(href, "#") {
			links = append(links, href)
		}
	}
	if strings.Join(focus, " ") != "field-deadline" || strings.Join(links, " ") != "#field-deadline #field-settle #field-canary_above" {
		t.Errorf("focus on %v, links %v", focus, links)
	}
	if title := content(find(b.page, "title")); !strings.HasPrefix(title, "Error: ") {
		t.Errorf("title %q", title)
	}
}

// TestFaultsElsewhere checks that a change that breaks another item says which.
func TestFaultsElsewhere(t *testing.T) {
	b := newOperator(t)
	b.get(removeService)
	b.submit(nil)
	if b.last.Code != http.StatusUnprocessableEntity || len(b.entry.control.Submitted()) != 0 {
		t.Errorf("%d, %d submitted", b.last.Code, len(b.entry.control.Submitted()))
	}
	if !b.says(`caller house-one: services[3]: "label" does not exist`) || !strings.Contains(b.last.Body.String(), `href="/console/caller/edit/house-one"`) {
		t.Errorf("it does not say where:\n%s", content(find(b.page, "main")))
	}
	b.get(console.Root + "caller/remove/operator")
	b.submit(nil)
	if b.last.Code != http.StatusUnprocessableEntity || !b.says("at least one needs operator = true") {
		t.Errorf("last operator: %d", b.last.Code)
	}
}

func TestMalformedForms(t *testing.T) {
	b := newOperator(t)
	b.get(servicePage)
	for status, change := range map[int]url.Values{
		http.StatusBadRequest:            {"if_version": {"seven"}},
		http.StatusRequestEntityTooLarge: {"deadline": {strings.Repeat("9", 3<<20)}},
	} {
		page := b.page
		b.submit(change)
		if b.last.Code != status || len(b.entry.control.Submitted()) != 0 {
			t.Errorf("%d, want %d", b.last.Code, status)
		}
		b.page = page
	}
	b.get(console.Root + "service/edit/none")
	if b.last.Code != http.StatusNotFound {
		t.Errorf("no such service: %d", b.last.Code)
	}
}

// TestPagesAreUsableWithoutAScript checks labels, descriptions and headings of
// every page, and that none holds a script, a style or a caller's token.
func TestPagesAreUsableWithoutAScript(t *testing.T) {
	b := newOperator(t)
	b.entry.control.List = []platformapi.Instance{{ID: "entry-9", Role: platformapi.RoleEntry}}
	b.entry.control.Records = []peerapi.QuarantineRecord{{Fingerprint: "f", Level: 1}}
	paths := []string{
		console.Root, console.Root + "status", console.Root + "document", console.Root + "quarantine", console.Root + "login", sitePage, upstreamPage,
		servicePage, callerPage, newUpstream, newService, newCaller, removeCaller, console.Root + "service/edit/none",
	}
	for _, path := range paths {
		b.get(path)
		b.checkPage(path)
		if path == servicePage {
			b.submit(url.Values{"deadline": {"soon"}, "upstreams": nil})
			b.checkPage(path + " with faults")
		}
	}
}

// checkPage checks the structure of the page.
func (b *browser) checkPage(path string) {
	b.t.Helper()
	labels, headings := map[string]bool{}, 0
	for n := range b.page.Descendants() {
		switch n.Data {
		case "label":
			labels[attribute(n, "for")] = true
		case "h1":
			headings++
		}
	}
	if headings != 1 || attribute(find(b.page, "html"), "lang") != "en" {
		b.t.Errorf("%s: %d h1 headings", path, headings)
	}
	for n := range b.page.Descendants() {
		switch {
		case n.Type != html.ElementNode:
		case n.Data == "script" || n.Data == "style" || has(n, "style") || has(n, "onclick"):
			b.t.Errorf("%s: %s in the page", path, n.Data)
		case n.Data == "input" && attribute(n, "type") == "hidden":
		case (n.Data == "input" || n.Data == "textarea") && !labels[attribute(n, "id")]:
			b.t.Errorf("%s: %s has no label", path, attribute(n, "name"))
		case n.Data == "fieldset" && find(n, "legend").Data == "":
			b.t.Errorf("%s: a fieldset has no legend", path)
		}
		for _, id := range strings.Fields(attribute(n, "aria-describedby")) {
			if b.byID(id) == nil {
				b.t.Errorf("%s: no description %s", path, id)
			}
		}
	}
	for _, c := range doc().Callers {
		if strings.Contains(b.last.Body.String(), samples.Token(c.Name)) {
			b.t.Errorf("%s: it shows the token of %s", path, c.Name)
		}
	}
}

// TestQuarantine lifts one fingerprint, and tries one that is not listed.
func TestQuarantine(t *testing.T) {
	b := newOperator(t)
	b.entry.control.Records = []peerapi.QuarantineRecord{{Fingerprint: "cleared", Level: 3}, {Fingerprint: "f2", Level: 2, RemainingMS: 61_400}, {Fingerprint: "f1", Level: 4}}
	b.get(console.Root + "quarantine")
	var cells []string
	for n := range find(b.page, "tbody").Descendants() {
		if n.Data == "td" || n.Data == "th" {
			cells = append(cells, strings.TrimSpace(content(n)))
		}
	}
	if text := strings.Join(cells, ", "); text != "f2, 2, in quarantine, 1m1s, Lift f2, f1, 1, under suspicion, 0s, Lift f1" {
		t.Errorf("it says %q", text)
	}
	page := b.page
	b.submit(nil)
	if b.last.Code != http.StatusSeeOther || strings.Join(b.entry.control.Lifted, " ") != "f2" {
		t.Errorf("%d, lifted %v", b.last.Code, b.entry.control.Lifted)
	}
	b.page = page
	b.submit(url.Values{"fingerprint": {"cleared"}})
	if b.last.Code != http.StatusNotFound || len(b.entry.control.Lifted) != 1 {
		t.Errorf("not listed: %d, lifted %v", b.last.Code, b.entry.control.Lifted)
	}
}

var csrfValue = regexp.MustCompile(`name="csrf" value="[^"]*"`)

// TestPages compares whole pages.
func TestPages(t *testing.T) {
	b := newOperator(t)
	b.entry.control.Status = callerapi.ConfigStatus{Highest: generation, Instances: []callerapi.InstanceConfig{
		{Instance: "entry-0", Generation: generation, Hash: codec.Hash(doc()), AgeMS: 120},
		{Instance: "entry-1", Generation: generation - 1, AgeMS: 2000},
	}}
	b.entry.control.List = []platformapi.Instance{
		{ID: "entry-1", Role: platformapi.RoleEntry}, {ID: "entry-2", Role: platformapi.RoleEntry}, {ID: "leaf-0", Role: platformapi.RoleLeaf},
	}
	for name, visit := range map[string]func(){
		"overview": func() { b.get(console.Root) },
		"status":   func() { b.get(console.Root + "status") },
		"login":    func() { b.get(console.Root + "login") },
		"removal":  func() { b.get(removeCaller) },
		"caller_with_faults": func() {
			b.get(callerPage)
			b.submit(url.Values{"share": {"many"}, "token_sha256": {"short"}})
		},
	} {
		visit()
		page := csrfValue.ReplaceAll(b.last.Body.Bytes(), []byte(`name="csrf" value="TOKEN"`))
		goldie.New(t, goldie.WithNameSuffix(".html")).Assert(t, name, page)
	}
}
