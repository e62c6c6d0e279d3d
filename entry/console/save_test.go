package console_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators/operatorstest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// inForce is the document in force.
func inForce(b *browser) *document.Document {
	v, _ := b.entry.control.Current()
	return v.Document
}

// share is the share of the first sample caller.
func share(d *document.Document) int {
	for i := range d.Callers {
		if d.Callers[i].Name == doc().Callers[0].Name {
			return d.Callers[i].Share
		}
	}
	return 0
}

// TestAcceptedIsTold follows a save to the status page, and tries links that
// tell of saves that never were.
func TestAcceptedIsTold(t *testing.T) {
	b := newOperator(t)
	b.entry.control.Status = callerapi.ConfigStatus{Highest: 8, Instances: []callerapi.InstanceConfig{{Instance: "entry-0", Generation: 8}, {Instance: "entry-1", Generation: 7}}}
	b.get(callerPage)
	b.submit(url.Values{"share": {"5"}})
	page := b.last.Header().Get("Location")
	b.get(page)
	if !b.says("Generation 8 was accepted. 1 of 2 instances are known to have it in force.") {
		t.Errorf("%s says\n%s", page, content(find(b.page, "main")))
	}
	for _, forged := range []string{console.Root + "status?saved=9", strings.Replace(page, "saved=8", "saved=9", 1)} {
		b.get(forged)
		if b.last.Code != http.StatusOK || b.says("was accepted") {
			t.Errorf("%s: %d\n%s", forged, b.last.Code, content(find(b.page, "main")))
		}
	}
}

// TestRacingOperators opens a form twice. The second to save is told of the
// first's change, keeps the own input, and saves it on top when it insists.
func TestRacingOperators(t *testing.T) {
	first := newOperator(t)
	second := signedIn(t, first.entry)
	first.get(callerPage)
	second.get(servicePage)
	first.submit(url.Values{"share": {"5"}})
	second.submit(url.Values{"deadline": {"300ms"}})
	if second.last.Code != http.StatusConflict || codec.Hash(inForce(first)) != codec.Hash(changed(5)) {
		t.Fatalf("%d, in force:\n%s", second.last.Code, codec.Diff(changed(5), inForce(first)))
	}
	if len(first.entry.control.Submitted()) != 1 {
		t.Error("a form known to have lost was submitted")
	}
	if !second.says("generation 8 was stored meanwhile") || !second.says(`+deadline = "300ms"`) || second.says("share = 5") {
		t.Errorf("it says\n%s", content(find(second.page, "main")))
	}
	if v := formValues(second.form()); v.Get("deadline") != "300ms" || v.Get("if_version") != "8" {
		t.Errorf("deadline %s, opened with %s", v.Get("deadline"), v.Get("if_version"))
	}
	second.submit(nil)
	both := changed(5)
	both.Services[0].Deadline = 300 * time.Millisecond
	if second.last.Code != http.StatusSeeOther || codec.Hash(inForce(first)) != codec.Hash(both) {
		t.Errorf("insisting: %d\n%s", second.last.Code, codec.Diff(both, inForce(first)))
	}
}

// TestRaceForOneField shows the second what its save would undo.
func TestRaceForOneField(t *testing.T) {
	first := newOperator(t)
	second := signedIn(t, first.entry)
	first.get(callerPage)
	second.get(callerPage)
	first.submit(url.Values{"share": {"5"}})
	second.submit(url.Values{"share": {"9"}})
	if second.last.Code != http.StatusConflict || !second.says("-share = 5\n+share = 9") || share(inForce(first)) != 5 {
		t.Errorf("%d\n%s", second.last.Code, content(find(second.page, "main")))
	}
}

// TestRaceForOneName adds a caller of one name twice. The second can't replace
// the first, even when it insists.
func TestRaceForOneName(t *testing.T) {
	first := newOperator(t)
	second := signedIn(t, first.entry)
	first.get(newCaller)
	second.get(newCaller)
	first.submit(url.Values{"name": {"auditor"}, "token_sha256": {someHash}})
	won := codec.Hash(inForce(first))
	other := strings.Repeat("b", len(someHash))
	second.submit(url.Values{"name": {"auditor"}, "token_sha256": {other}})
	if second.last.Code != http.StatusConflict || !second.says(`"auditor" is in use`) {
		t.Errorf("%d\n%s", second.last.Code, content(find(second.page, "main")))
	}
	second.submit(nil)
	if second.last.Code != http.StatusUnprocessableEntity || codec.Hash(inForce(first)) != won {
		t.Errorf("insisting: %d", second.last.Code)
	}
}

// TestRaceAtTheStore has another instance's save come first, where this one
// did not know of it yet.
func TestRaceAtTheStore(t *testing.T) {
	b := newOperator(t)
	b.get(callerPage)
	b.entry.control.OvertakeNext(operatorstest.Overtaken, changed(5))
	b.submit(url.Values{"share": {"9"}})
	if b.last.Code != http.StatusConflict || !b.says("-share = 5\n+share = 9") || formValues(b.form()).Get("share") != "9" {
		t.Errorf("%d\n%s", b.last.Code, content(find(b.page, "main")))
	}
	b.submit(nil)
	if b.last.Code != http.StatusSeeOther || share(inForce(b)) != 9 {
		t.Errorf("insisting: %d", b.last.Code)
	}
}

// TestRaceWithARemoval saves a form whose item another operator has removed.
func TestRaceWithARemoval(t *testing.T) {
	first := newOperator(t)
	second := signedIn(t, first.entry)
	first.get(removeCaller)
	second.get(strings.Replace(removeCaller, "remove", "edit", 1))
	first.submit(nil)
	second.submit(url.Values{"share": {"9"}})
	if second.last.Code != http.StatusConflict || !second.says(`+name = "growers"`) {
		t.Errorf("%d\n%s", second.last.Code, content(find(second.page, "main")))
	}
}

// TestUnreadableConflict loses against a version that can't be read yet.
func TestUnreadableConflict(t *testing.T) {
	b := newOperator(t)
	b.get(callerPage)
	b.entry.control.OvertakeNext(operatorstest.Unreadable, changed(5))
	b.submit(url.Values{"share": {"9"}})
	if b.last.Code != http.StatusConflict || !b.says("can't be read yet") || formValues(b.form()).Get("if_version") != "7" {
		t.Errorf("%d\n%s", b.last.Code, content(find(b.page, "main")))
	}
}

// TestUnknown has the store's reply lost, once after the save took effect and
// once before. Saving again then finds out, and never saves twice.
func TestUnknown(t *testing.T) {
	for fault, again := range map[operatorstest.Fault]struct {
		status int
		words  string
	}{
		operatorstest.LostReply:   {http.StatusConflict, "generation 8, stored meanwhile, says the same"},
		operatorstest.LostRequest: {http.StatusSeeOther, ""},
	} {
		b := newOperator(t)
		b.get(callerPage)
		b.entry.control.FailNext(fault)
		b.submit(url.Values{"share": {"5"}})
		if b.last.Code != http.StatusGatewayTimeout || !b.says("It is not known whether the document was saved") || !b.says(codec.Hash(changed(5))) {
			t.Errorf("fault %d: %d\n%s", fault, b.last.Code, content(find(b.page, "main")))
		}
		if v := formValues(b.form()); v.Get("share") != "5" || v.Get("if_version") != "7" {
			t.Errorf("fault %d: share %s, opened with %s", fault, v.Get("share"), v.Get("if_version"))
		}
		b.submit(nil)
		v, _ := b.entry.control.Current()
		if b.last.Code != again.status || !b.says(again.words) || v.Generation != generation+1 || v.Hash != codec.Hash(changed(5)) {
			t.Errorf("fault %d, again: %d, generation %d\n%s", fault, b.last.Code, v.Generation, content(find(b.page, "main")))
		}
	}
}

func TestRefusedByTheStore(t *testing.T) {
	b := newOperator(t)
	b.get(callerPage)
	b.entry.control.FailNext(operatorstest.Refuse)
	b.submit(url.Values{"share": {"5"}})
	if b.last.Code != http.StatusServiceUnavailable || b.last.Header().Get("Retry-After") != "2" || !b.says("nothing was changed: the store is down") {
		t.Errorf("%d, Retry-After %q\n%s", b.last.Code, b.last.Header().Get("Retry-After"), content(find(b.page, "main")))
	}
	if formValues(b.form()).Get("share") != "5" {
		t.Error("the input is gone")
	}
}

// TestInstanceBehind sends a form opened at an instance that knew a newer
// version: nothing is built on the older one.
func TestInstanceBehind(t *testing.T) {
	b := newOperator(t)
	b.get(callerPage)
	b.submit(url.Values{"share": {"5"}, "if_version": {"8"}})
	if b.last.Code != http.StatusServiceUnavailable || len(b.entry.control.Submitted()) != 0 || formValues(b.form()).Get("if_version") != "8" {
		t.Errorf("%d, %d submitted", b.last.Code, len(b.entry.control.Submitted()))
	}
	b.entry.control.Put(doc())
	b.submit(nil)
	if b.last.Code != http.StatusSeeOther || b.entry.control.Submitted()[0].IfVersion != 8 {
		t.Errorf("when it has caught up: %d", b.last.Code)
	}
}

// TestInvalidVersionInTheStore shows the fault and replaces the version.
func TestInvalidVersionInTheStore(t *testing.T) {
	b := newOperator(t)
	b.entry.control.Break("line 1: no TOML")
	b.get(callerPage)
	if !b.says("generation 8, which is not a valid document: line 1: no TOML") {
		t.Error("the fault is not shown")
	}
	b.submit(url.Values{"share": {"5"}})
	if sent := b.entry.control.Submitted(); b.last.Code != http.StatusSeeOther || sent[0].IfVersion != 8 {
		t.Errorf("%d, %+v", b.last.Code, sent)
	}
}

// TestInvalidVersionMeanwhile loses against a version that is not a valid
// document, and replaces it at the second try.
func TestInvalidVersionMeanwhile(t *testing.T) {
	b := newOperator(t)
	b.get(callerPage)
	b.entry.control.Break("line 1: no TOML")
	b.submit(url.Values{"share": {"5"}})
	if b.last.Code != http.StatusConflict || !b.says("generation 8 was stored meanwhile and is not a valid document") || !b.says("would change in generation 7") || !b.says("+share = 5") {
		t.Errorf("%d\n%s", b.last.Code, content(find(b.page, "main")))
	}
	b.submit(nil)
	if b.last.Code != http.StatusSeeOther || share(inForce(b)) != 5 {
		t.Errorf("insisting: %d", b.last.Code)
	}
}

// TestInputIsEscaped sends markup and looks for it in the page.
func TestInputIsEscaped(t *testing.T) {
	b := newOperator(t)
	b.get(upstreamPage)
	const markup = `</textarea><img src=x>"'`
	b.submit(url.Values{"shard": {markup}, "slots": {markup}})
	if b.last.Code != http.StatusUnprocessableEntity || strings.Contains(b.last.Body.String(), "<img") {
		t.Errorf("%d\n%s", b.last.Code, b.last.Body)
	}
}
