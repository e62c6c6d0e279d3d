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
				c.RecordSuccess(fp)
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
