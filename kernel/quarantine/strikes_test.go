package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// TestStrikes checks after which losses a request is suspected.
func TestStrikes(t *testing.T) {
	const enough, lasts = 3, time.Minute
	type step struct {
		leaf string // lost; empty: the request ran to its end
		at   time.Duration
		want bool
		life int // how often the leaf has served again
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"three leaves", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "c", want: true}}},
		{"one leaf again and again", []step{{leaf: "a"}, {leaf: "a", at: 1}, {leaf: "a", at: 2}, {leaf: "a", at: 3}}},
		{"one leaf that serves between", []step{{leaf: "a"}, {leaf: "a", life: 1}, {leaf: "a", life: 2, want: true}}},
		{"two leaves by turns", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "a", life: 1, want: true}}},
		{"a success between", []step{{leaf: "a"}, {leaf: "b"}, {}, {leaf: "c"}, {leaf: "a"}, {leaf: "b", want: true}}},
		{"long ago", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "c", at: lasts}}},
		{"counted from anew", []step{{leaf: "a"}, {leaf: "b"}, {leaf: "c", want: true}, {leaf: "a"}}},
	} {
		s := quarantine.LossCounter{Window: lasts, MaxRequests: 8}
		for i, st := range tc.steps {
			if st.leaf == "" {
				s.RecordSuccess(fp)
				continue
			}
			if got := s.RecordLoss(fp, quarantine.Incarnation{Leaf: st.leaf, Number: st.life}, enough, epoch.Add(st.at)); got != st.want {
				t.Errorf("%s, step %d: suspected %v, want %v", tc.name, i, got, st.want)
			}
		}
	}
}

// TestStrikesAreBounded sends losses of many requests.
func TestStrikesAreBounded(t *testing.T) {
	s := quarantine.LossCounter{Window: time.Minute, MaxRequests: 4}
	for i := range 100 {
		s.RecordLoss(fmt.Sprint("request-", i), quarantine.Incarnation{Leaf: "a"}, 2, epoch.Add(time.Duration(i)*time.Second))
	}
	if !s.RecordLoss("request-99", quarantine.Incarnation{Leaf: "b"}, 2, epoch.Add(100*time.Second)) {
		t.Error("the latest request was forgotten")
	}
	if s.RecordLoss("request-10", quarantine.Incarnation{Leaf: "b"}, 2, epoch.Add(100*time.Second)) {
		t.Error("an early request is still remembered beyond the bound")
	}
}
