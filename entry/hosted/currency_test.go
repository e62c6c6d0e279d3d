package hosted

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// recordingLeaves is a client of leaves that all answer at once. It records which ones were sent
// requests.
type recordingLeaves struct {
	noLeaves
	mu   sync.Mutex
	sent []string // names of leaves
}

// Run implements executor.LeafClient.
func (l *recordingLeaves) Run(_ context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	if !sent() {
		return nil, &leafclient.DialError{Leaf: t.ID, Err: leafclient.ErrCancelledBeforeSend}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, t.Name)
	return &leafclient.Reply{
		Version: 1, Ranges: []keyrange.Range{r.Range}, LeafStatus: leafclient.LeafStatus{Versions: []uint64{1}},
		Attachment: &leafclient.ForwardedResponse{Status: http.StatusOK, Header: make(http.Header), Signature: t.ID},
	}, nil
}

// take returns the leaves that were sent requests since the last call.
func (l *recordingLeaves) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.sent
	l.sent = nil
	return out
}

// countByLeaf counts the requests sent to each leaf since the last call.
func (l *recordingLeaves) countByLeaf() map[string]int {
	out := make(map[string]int)
	for _, name := range l.take() {
		out[name]++
	}
	return out
}

// startStoppable runs an instance whose loops can be stopped and run again, as if the process stood
// still meanwhile.
func startStoppable(f *testFleet) (n *Node, goOn func(), standStill func()) {
	f.start(0, true)
	f.mu.Lock()
	n = f.running[peerAddress(0)].node
	f.mu.Unlock()
	time.Sleep(10 * time.Second)
	f.running[peerAddress(0)].stopLoops()
	var cancel context.CancelFunc
	var done sync.WaitGroup
	goOn = func() {
		var ctx context.Context
		ctx, cancel = context.WithCancel(context.Background())
		done.Go(func() { _ = n.control.run(ctx) })
	}
	standStill = func() {
		cancel()
		done.Wait()
	}
	return n, goOn, standStill
}

// TestInstanceThatStoodStillSendsNothingByOldList has an instance stand still while leaves leave:
// requests that it reads when it goes on wait until it has read the list again.
func TestInstanceThatStoodStillSendsNothingByOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kept = "leaf-00"
		leaves := &recordingLeaves{}
		f := newTestFleet(t, 1)
		f.newLeaves = func() Leaves { return leaves }
		entries := map[string]catalog.Leaf{}
		for i := range 4 {
			id := fmt.Sprintf("leaf-%02d", i)
			entries[id] = catalog.Leaf{ID: id, Service: "s", Zone: "z0", Address: "127.0.0.1:1", Slots: 2}
		}
		list := &entryList{entries: entries}
		f.store.leaves = list.list
		f.store.config = wideConfig()
		n, goOn, standStill := startStoppable(f)
		defer f.stopAll()
		goOn()
		time.Sleep(time.Second)
		if !f.ask(0, wideRoute, harmlessTarget) || len(leaves.take()) == 0 {
			t.Fatal("a request before the stand was not served")
		}
		standStill()
		f.store.update(func(*sharedStore) {
			for id := range entries {
				if id != kept {
					delete(entries, id)
				}
			}
		})
		time.Sleep(testBound + time.Second)
		served := make(chan bool, 1)
		go func() { served <- f.ask(0, wideRoute, harmlessTarget) }()
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if sent := leaves.take(); len(sent) > 0 {
			t.Errorf("sent to %v by a list that is %v old", sent, n.control.stateAge())
		}
		goOn()
		defer standStill()
		if !<-served {
			t.Error("the request was not served after the instance went on")
		}
		if sent := leaves.take(); !slices.Equal(sent, []string{kept}) {
			t.Errorf("sent to %v, want only the leaf that is left", sent)
		}
	})
}

// TestInstanceThatStoodStillRoutesNothingByOldConfiguration moves a route to another service while
// an instance stands still: a request that it reads when it goes on goes to the new service.
func TestInstanceThatStoodStillRoutesNothingByOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaves := &recordingLeaves{}
		f := newTestFleet(t, 1)
		f.newLeaves = func() Leaves { return leaves }
		f.store.leaves = func() []catalog.Leaf {
			return []catalog.Leaf{
				{ID: "old", Service: "old", Zone: "z0", Address: "127.0.0.1:1", Slots: 2}, {ID: "new", Service: "new", Zone: "z0", Address: "127.0.0.1:2", Slots: 2},
			}
		}
		f.store.config = func(version uint64) *catalog.Config {
			service := "old"
			if version > 1 {
				service = "new"
			}
			return &catalog.Config{Version: version, Routes: []*catalog.Route{{
				Name: "r", Prefix: "/r/", Host: "h", Idempotent: true, Timeout: time.Second, Attempts: 2, Targets: []document.RouteTarget{{Service: service, Weight: 1}},
			}}}
		}
		n, goOn, standStill := startStoppable(f)
		defer f.stopAll()
		goOn()
		time.Sleep(time.Second)
		ask := func() int {
			r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
			r.Host, r.RequestURI = "h", "/r/x"
			w := httptest.NewRecorder()
			n.gateway.ServeHTTP(w, r)
			return w.Code
		}
		if code := ask(); code != http.StatusOK || leaves.countByLeaf()["old"] != 1 {
			t.Fatalf("status %d before the stand", code)
		}
		standStill()
		f.store.update(func(s *sharedStore) { s.version = 2 })
		time.Sleep(testBound + time.Second)
		status := make(chan int, 1)
		go func() { status <- ask() }()
		time.Sleep(20 * time.Millisecond)
		goOn()
		defer standStill()
		if code := <-status; code != http.StatusOK {
			t.Errorf("status %d after the instance went on", code)
		}
		if sent := leaves.countByLeaf(); sent["old"] != 0 || sent["new"] != 1 {
			t.Errorf("sent to %v, want only to the new service", sent)
		}
	})
}

// TestReadThatTimedOutInAStandIsNoAttempt has an instance stand still in a read of the store: the
// time-out that it finds afterwards does not make its old state current.
func TestReadThatTimedOutInAStandIsNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		n, goOn, standStill := startStoppable(f)
		defer f.stopAll()
		goOn()
		time.Sleep(time.Second)
		if !n.control.IsCurrent() {
			t.Fatal("fresh state is not current")
		}
		standStill()
		began := time.Now()
		time.Sleep(2 * testBound)
		n.control.recordSilence(began, time.Now())
		n.control.recordFailedRead(began, time.Now())
		if n.control.IsCurrent() {
			t.Errorf("state that is %v old is current after a read that began %v before", n.control.stateAge(), 2*testBound)
		}
		n.control.recordSilence(time.Now().Add(-minReadTimeout), time.Now())
		if !n.control.IsCurrent() {
			t.Error("the instance does not serve by its old state although a read has no answer")
		}
		goOn()
		defer standStill()
		ctx, cancel := context.WithTimeout(t.Context(), testBound)
		defer cancel()
		if !n.control.Await(ctx) {
			t.Error("the state was not renewed after the stand")
		}
	})
}

// TestInstanceServesByOldListWhileStoreIsAway has the store not answer for minutes: the instance
// has tried to renew its state and serves by what it has.
func TestInstanceServesByOldListWhileStoreIsAway(t *testing.T) {
	for _, tc := range []struct {
		name     string
		size     int
		disturb  func(s *sharedStore)
		restarts bool
	}{
		{"refused", 4, func(s *sharedStore) { s.refuses = func(string) bool { return true } }, false},
		{"silent", 4, func(s *sharedStore) { s.isSilent = func(string) bool { return true } }, false},
		{"silent, instances restart", 4, func(s *sharedStore) { s.isSilent = func(string) bool { return true } }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leaves := &recordingLeaves{}
				f := newTestFleet(t, tc.size)
				f.newLeaves = func() Leaves { return leaves }
				list := &entryList{entries: map[string]catalog.Leaf{"leaf-00": {ID: "leaf-00", Service: "s", Zone: "z0", Address: "127.0.0.1:1", Slots: 2}}}
				f.store.leaves = list.list
				f.store.config = wideConfig()
				f.settle()
				defer f.stopAll()
				f.store.update(tc.disturb)
				for i := range 2000 {
					time.Sleep(50 * time.Millisecond)
					if tc.restarts && i%100 == 99 {
						f.restart(i / 100 % tc.size)
						time.Sleep(500 * time.Millisecond)
					}
					start := time.Now()
					if served := f.askAll(wideRoute, harmlessTarget); served != tc.size {
						t.Fatalf("%v into the outage %d of %d instances serve", time.Duration(i)*50*time.Millisecond, served, tc.size)
					}
					if took := time.Since(start); took > 10*time.Millisecond {
						t.Fatalf("%v into the outage a request took %v", time.Duration(i)*50*time.Millisecond, took)
					}
				}
			})
		})
	}
}

// wideConfig returns a configuration with the wide route, over one service.
func wideConfig() func(uint64) *catalog.Config {
	route := &catalog.Route{
		Name: wideRoute, Prefix: "/wide/", Host: "h", Idempotent: true, Timeout: time.Second, Objective: 100 * time.Millisecond, Attempts: 2,
		Shards: []string{"s"}, LeastCoverage: 0.5,
	}
	config := &catalog.Config{Version: 1, Routes: []*catalog.Route{route}}
	return func(uint64) *catalog.Config { return config }
}
