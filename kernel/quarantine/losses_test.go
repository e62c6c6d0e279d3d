package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// TestRequestIsSuspectedAfterLosses checks after which losses a request is suspected.
func TestRequestIsSuspectedAfterLosses(t *testing.T) {
	const threshold, window = 3, time.Minute
	type step struct {
		leaf        string // the lost leaf; empty: the request ran to completion
		at          time.Duration
		want        bool
		incarnation int // how often the leaf has served again
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"three leaves", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "c", want: true}}},
		{"one incarnation again and again", []step{{leaf: "a"}, {leaf: "a", at: 1}, {leaf: "a", at: 2}, {leaf: "a", at: 3}}},
		{"one leaf that serves in between", []step{{leaf: "a"}, {leaf: "a", incarnation: 1}, {leaf: "a", incarnation: 2, want: true}}},
		{"two leaves in turn", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "a", incarnation: 1, want: true}}},
		{"a success in between", []step{{leaf: "a"}, {leaf: "b"}, {}, {leaf: "c"}, {leaf: "a"}, {leaf: "b", want: true}}},
		{"losses that have expired", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "c", at: window}}},
		{"count starts again after suspicion", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "c", want: true}, {leaf: "a"}}},
	} {
		c := quarantine.LossCounter{Window: window, MaxRequests: 8}
		for i, st := range tc.steps {
			if st.leaf == "" {
				c.RecordSuccess(fp, epoch.Add(st.at))
				continue
			}
			if got := c.RecordLoss(fp, quarantine.Incarnation{Leaf: st.leaf, Number: st.incarnation}, threshold, epoch.Add(st.at)); got != st.want {
				t.Errorf("%s, step %d: suspected %v, want %v", tc.name, i, got, st.want)
			}
		}
	}
}

// TestTrackedRequestsAreBounded records losses of more requests than are tracked.
func TestTrackedRequestsAreBounded(t *testing.T) {
	c := quarantine.LossCounter{Window: time.Minute, MaxRequests: 4}
	for i := range 100 {
		c.RecordLoss(fmt.Sprint("request-", i), quarantine.Incarnation{Leaf: "a"}, 2, epoch.Add(time.Duration(i)*time.Second))
	}
	if !c.RecordLoss("request-99", quarantine.Incarnation{Leaf: "b"}, 2, epoch.Add(100*time.Second)) {
		t.Error("the latest request was forgotten")
	}
	if c.RecordLoss("request-10", quarantine.Incarnation{Leaf: "b"}, 2, epoch.Add(100*time.Second)) {
		t.Error("an early request is still remembered beyond the bound")
	}
}

// TestLossesOfSeveralInstancesAddUp counts the losses that several instances saw, each fewer than
// the threshold.
func TestLossesOfSeveralInstancesAddUp(t *testing.T) {
	const threshold = 3
	counters := make([]quarantine.LossCounter, 3)
	for i := range counters {
		counters[i] = quarantine.LossCounter{Window: time.Hour, MaxRequests: 8, ShareFor: 10 * time.Second}
		leaf := quarantine.Incarnation{Leaf: fmt.Sprint("leaf-", i)}
		if counters[i].RecordLoss(fp, leaf, threshold, epoch.Add(time.Duration(i)*time.Second)) {
			t.Fatal("suspected after one loss")
		}
	}
	now := epoch.Add(3 * time.Second)
	first, second := counters[0].Changes(false, 10, now), counters[1].Changes(false, 10, now)
	if got := counters[2].Merge(first, now); len(got) != 0 {
		t.Fatalf("suspects %v after two losses", got)
	}
	if got := counters[2].Merge(first, now); len(got) != 0 {
		t.Fatalf("suspects %v as a loss is told twice", got)
	}
	if got := counters[2].Merge(second, now); len(got) != 1 || got[0] != fp {
		t.Fatalf("suspects %v after three losses", got)
	}
}

// TestSuccessClearsLossesAtPeers clears losses that were sent to another instance, which sends
// them back.
func TestSuccessClearsLossesAtPeers(t *testing.T) {
	newCounter := func() quarantine.LossCounter {
		return quarantine.LossCounter{Window: time.Hour, MaxRequests: 8, ShareFor: 10 * time.Second}
	}
	a, b := newCounter(), newCounter()
	a.RecordLoss(fp, quarantine.Incarnation{Leaf: "a"}, 3, epoch)
	a.RecordLoss(fp, quarantine.Incarnation{Leaf: "b"}, 3, epoch)
	b.Merge(a.Changes(false, 10, epoch), epoch)
	now := epoch.Add(time.Second)
	a.RecordSuccess(fp, now)
	a.Merge(b.Changes(false, 10, now), now)
	b.Merge(a.Changes(false, 10, now), now)
	now = now.Add(time.Second)
	for name, c := range map[string]*quarantine.LossCounter{"a": &a, "b": &b} {
		if c.RecordLoss(fp, quarantine.Incarnation{Leaf: "c"}, 3, now) || c.RecordLoss(fp, quarantine.Incarnation{Leaf: "d"}, 3, now) {
			t.Errorf("%s: losses before a success count", name)
		}
	}
}

// TestChangesOfLossesAreBounded sends losses only for a while after a change, and at most as many
// as asked for, those of the requests with most losses first.
func TestChangesOfLossesAreBounded(t *testing.T) {
	c := quarantine.LossCounter{Window: time.Hour, MaxRequests: 8, ShareFor: 10 * time.Second}
	c.RecordLoss("once", quarantine.Incarnation{Leaf: "a"}, 3, epoch)
	c.RecordLoss("twice", quarantine.Incarnation{Leaf: "a"}, 3, epoch)
	c.RecordLoss("twice", quarantine.Incarnation{Leaf: "b"}, 3, epoch)
	if got := c.Changes(false, 1, epoch); len(got) != 1 || got[0].Fingerprint != "twice" || len(got[0].Lost) != 2 {
		t.Errorf("changes %v", got)
	}
	late := epoch.Add(10 * time.Second)
	if got := c.Changes(false, 10, late); len(got) != 0 {
		t.Errorf("changes %v after the time to send them", got)
	}
	if got := c.Changes(true, 10, late); len(got) != 2 {
		t.Errorf("all losses %v", got)
	}
}
