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
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"three leaves", []step{{"a", 0, false}, {"b", 0, false}, {"c", 0, true}}},
		{"one leaf again and again", []step{{"a", 0, false}, {"a", 1, false}, {"a", 2, false}, {"a", 3, false}}},
		{"a success between", []step{{"a", 0, false}, {"b", 0, false}, {"", 0, false}, {"c", 0, false}, {"a", 0, false}, {"b", 0, true}}},
		{"long ago", []step{{"a", 0, false}, {"b", 0, false}, {"c", lasts, false}}},
		{"counted from anew", []step{{"a", 0, false}, {"b", 0, false}, {"c", 0, true}, {"a", 0, false}}},
	} {
		s := quarantine.Strikes{For: lasts, Most: 8}
		for i, st := range tc.steps {
			if st.leaf == "" {
				s.Ran(fp)
				continue
			}
			if got := s.Lost(fp, st.leaf, enough, epoch.Add(st.at)); got != st.want {
				t.Errorf("%s, step %d: suspected %v, want %v", tc.name, i, got, st.want)
			}
		}
	}
}

// TestStrikesAreBounded sends losses of many requests.
func TestStrikesAreBounded(t *testing.T) {
	s := quarantine.Strikes{For: time.Minute, Most: 4}
	for i := range 100 {
		s.Lost(fmt.Sprint("request-", i), "a", 2, epoch.Add(time.Duration(i)*time.Second))
	}
	if !s.Lost("request-99", "b", 2, epoch.Add(100*time.Second)) {
		t.Error("the latest request was forgotten")
	}
	if s.Lost("request-10", "b", 2, epoch.Add(100*time.Second)) {
		t.Error("an early request is still remembered beyond the bound")
	}
}
