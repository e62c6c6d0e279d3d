package console_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/control"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/direct"
)

// latency is that of the store in tests with the real control.
const latency = 5 * time.Millisecond

var errNoPeers = errors.New("no peers here")

// noPeers reaches nobody: the instances of these tests share the store only.
type noPeers struct{}

func (noPeers) Digest(context.Context, peer.Target, *peerapi.Digest) (*peerapi.Digest, error) {
	return nil, errNoPeers
}

func (noPeers) Document(context.Context, peer.Target, uint64) (*peerapi.Document, error) {
	return nil, errNoPeers
}

func (noPeers) CloseExcept([]peer.Target) {}

// listing is a store with an empty list of instances.
type listing struct{ *platformtest.Store }

func (listing) Instances(context.Context) ([]platformapi.Instance, error) { return nil, nil }

// Warn and Error complete the log for the control.
func (noLog) Warn(string, ...any)  {}
func (noLog) Error(string, ...any) {}

// site is some instances with the real control over one store, with a sample
// document in force, in virtual time.
type site struct {
	t        *testing.T
	store    *platformtest.Store
	controls []*control.Control
	consoles []*echo.Echo
}

// runSite runs a test over n instances.
func runSite(t *testing.T, n int, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, store: platformtest.New(1)}
		s.store.SetFaults(platformtest.Faults{Latency: latency})
		if _, err := s.store.Put(t.Context(), platformapi.KindConfig, platformapi.NameConfig, 0, codec.Format(doc())); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		for i := range n {
			c := control.New(control.Config{
				Instance: "entry", Zone: "hall-a", Store: listing{s.store}, Peers: noPeers{}, Log: noLog{}, Seed: uint64(i),
				Placement: direct.New(plugin.PlacementConfig{Headroom: direct.DefaultHeadroom}),
			})
			go func() { done <- c.Run(ctx) }()
			s.add(c)
		}
		time.Sleep(time.Second) // until the document is in force
		test(s)
		cancel()
		for range n {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

// add makes the console of an instance.
func (s *site) add(c *control.Control) {
	s.t.Helper()
	p, err := console.New(console.Config{Control: c, Views: c, Log: noLog{}, FleetKey: []byte("the entries' key")})
	if err != nil {
		s.t.Fatal(err)
	}
	e := echo.New()
	p.Register(e)
	s.controls, s.consoles = append(s.controls, c), append(s.consoles, e)
}

// browser is an operator's at one instance.
func (s *site) browser(at int) *browser {
	s.t.Helper()
	return signedIn(s.t, &entry{echo: s.consoles[at]})
}

// TestRaceOverTheRealControl lets operators at two instances save at the same
// moment: one is accepted, the other is told of it, and nothing is lost when
// that one insists.
func TestRaceOverTheRealControl(t *testing.T) {
	runSite(t, 2, func(s *site) {
		browsers := []*browser{s.browser(0), s.browser(1)}
		browsers[0].get(callerPage)
		browsers[1].get(servicePage)
		changes := []url.Values{{"share": {"5"}}, {"deadline": {"300ms"}}}
		done := make(chan struct{})
		for i, b := range browsers {
			go func() {
				b.submit(changes[i])
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		won, lost := browsers[0], browsers[1]
		if lost.last.Code == http.StatusSeeOther {
			won, lost = lost, won
		}
		if won.last.Code != http.StatusSeeOther || lost.last.Code != http.StatusConflict {
			s.t.Fatalf("%d and %d", won.last.Code, lost.last.Code)
		}
		lost.submit(nil)
		both := changed(5)
		both.Services[0].Deadline = 300 * time.Millisecond
		time.Sleep(2 * time.Second)
		for i, c := range s.controls {
			if v, _ := c.Current(); lost.last.Code != http.StatusSeeOther || v.Hash != codec.Hash(both) {
				s.t.Errorf("insisting: %d; instance %d has\n%s", lost.last.Code, i, codec.Diff(both, v.Document))
			}
		}
	})
}

// TestLostReplyOverTheRealControl loses the reply of each write, before its
// effect, after it and with a late effect, and saves again when the outcome is
// unknown. An open watch tells of an effect even while reads fail.
func TestLostReplyOverTheRealControl(t *testing.T) {
	late := platformtest.Faults{DelayEffects: 1, EffectDelay: 20 * time.Second}
	for name, tc := range map[string]struct {
		faults platformtest.Faults
		pause  time.Duration // before the form is sent again
		status int
		words  string // when it is sent again
	}{
		"after":                {platformtest.Faults{LoseReplies: 1}, 0, http.StatusSeeOther, ""},
		"after, reads fail":    {platformtest.Faults{LoseReplies: 1, FailReads: 1}, 0, http.StatusSeeOther, ""},
		"before":               {platformtest.Faults{LoseRequests: 1}, time.Second, http.StatusGatewayTimeout, ""},
		"before, reads fail":   {platformtest.Faults{LoseRequests: 1, FailReads: 1}, time.Second, http.StatusGatewayTimeout, ""},
		"late, again at once":  {late, 0, http.StatusGatewayTimeout, ""},
		"late, again after it": {late, time.Minute, http.StatusGatewayTimeout, "says the same"},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 1, func(s *site) {
				b := s.browser(0)
				b.get(callerPage)
				tc.faults.Latency = latency
				s.store.SetFaults(tc.faults)
				b.submit(url.Values{"share": {"5"}})
				if b.last.Code != tc.status {
					s.t.Errorf("%d\n%s", b.last.Code, content(find(b.page, "main")))
				}
				s.store.SetFaults(platformtest.Faults{Latency: latency})
				time.Sleep(tc.pause)
				if b.last.Code == http.StatusGatewayTimeout {
					b.submit(nil)
				}
				accepted := b.last.Code == http.StatusSeeOther
				if accepted != (tc.words == "") || !b.says(tc.words) {
					s.t.Errorf("in the end: %d\n%s", b.last.Code, content(find(b.page, "main")))
				}
				time.Sleep(time.Minute) // until late effects have come
				if v, _ := s.controls[0].Current(); v.Hash != codec.Hash(changed(5)) {
					s.t.Errorf("in force:\n%s", codec.Diff(changed(5), v.Document))
				}
			})
		})
	}
}

// TestSubmitterLeaves ends the request of a save while the store is slow: the
// page is gone, the save is not.
func TestSubmitterLeaves(t *testing.T) {
	runSite(t, 1, func(s *site) {
		b := s.browser(0)
		b.get(callerPage)
		form := formValues(b.form())
		form.Set("share", "5")
		ctx, cancel := context.WithTimeout(s.t.Context(), latency/2)
		defer cancel()
		req := b.request(http.MethodPost, callerPage, form).WithContext(ctx)
		rec := httptest.NewRecorder()
		s.consoles[0].ServeHTTP(rec, req)
		if rec.Code != http.StatusGatewayTimeout {
			s.t.Errorf("%d", rec.Code)
		}
		time.Sleep(time.Second)
		if v, _ := s.controls[0].Current(); v.Hash != codec.Hash(changed(5)) {
			s.t.Error("the save was given up with the request")
		}
	})
}
