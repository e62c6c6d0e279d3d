package warmup

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// TestOneDialPerLeafAndDialCost runs random ends and checks the rate, the
// bound on dials out, and that the targets are reached and not passed.
func TestOneDialPerLeafAndDialCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		m := New(most)
		now := start
		var targets Targets
		for i := range rapid.IntRange(1, 6).Draw(t, "leaves") {
			targets.Leaves = append(targets.Leaves, Target{
				Leaf:        fmt.Sprint("leaf-", i),
				Connections: rapid.IntRange(0, 4).Draw(t, "connections"),
				DialCost:    time.Duration(rapid.IntRange(1, 6).Draw(t, "cost")) * time.Millisecond,
			})
		}
		last, open, out := map[string]time.Time{}, map[string]int{}, map[string]bool{}
		var wake time.Time
		take := func(actions []Action) {
			wake = time.Time{}
			for _, a := range actions {
				switch a := a.(type) {
				case Dial:
					if out[a.Leaf] {
						t.Fatalf("second dial out to %s", a.Leaf)
					}
					for _, want := range targets.Leaves {
						if want.Leaf == a.Leaf && !last[a.Leaf].IsZero() && now.Sub(last[a.Leaf]) < want.DialCost {
							t.Fatalf("dials of %s are %v apart, want %v", a.Leaf, now.Sub(last[a.Leaf]), want.DialCost)
						}
						if want.Leaf == a.Leaf && open[a.Leaf] >= want.Connections {
							t.Fatalf("dial of %s beyond %d connections", a.Leaf, want.Connections)
						}
					}
					last[a.Leaf], out[a.Leaf] = now, true
					if len(out) > most {
						t.Fatalf("%d dials out, want at most %d", len(out), most)
					}
				case WakeAt:
					wake = a.At
				}
			}
		}
		take(m.Handle(targets, now))
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Millisecond)
			if len(out) == 0 {
				if wake.IsZero() {
					break
				}
				if wake.After(now) {
					now = wake
				}
				take(m.Handle(Tick{}, now))
				continue
			}
			for _, want := range targets.Leaves {
				if !out[want.Leaf] {
					continue
				}
				delete(out, want.Leaf)
				if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
					take(m.Handle(Failed{Leaf: want.Leaf}, now))
				} else {
					open[want.Leaf]++
					take(m.Handle(Opened{Leaf: want.Leaf}, now))
				}
				break
			}
		}
		for _, want := range targets.Leaves {
			if open[want.Leaf] != want.Connections {
				t.Fatalf("%s has %d connections, want %d", want.Leaf, open[want.Leaf], want.Connections)
			}
		}
	})
}

// TestBreadthFirst checks that each leaf gets its first connection before any
// gets its second.
func TestBreadthFirst(t *testing.T) {
	m := New(1)
	targets := Targets{Leaves: []Target{{"a", 2, 0}, {"b", 2, 0}}}
	var got []string
	actions := m.Handle(targets, start)
	for len(actions) > 0 {
		leaf := actions[0].(Dial).Leaf
		got = append(got, leaf)
		actions = m.Handle(Opened{Leaf: leaf}, start)
	}
	if want := "[a b a b]"; fmt.Sprint(got) != want {
		t.Fatalf("dials %v, want %s", got, want)
	}
}

// TestFailurePauses checks that a refused dial is not repeated at once, and
// that the pause doubles.
func TestFailurePauses(t *testing.T) {
	m := New(1)
	now := start
	m.Handle(Targets{Leaves: []Target{{"a", 1, time.Millisecond}}}, now)
	for _, pause := range []time.Duration{firstPause, 2 * firstPause, 4 * firstPause} {
		actions := m.Handle(Failed{Leaf: "a"}, now)
		wake, ok := actions[0].(WakeAt)
		if len(actions) != 1 || !ok || wake.At.Sub(now) != pause {
			t.Fatalf("actions %v, want a wake-up after %v", actions, pause)
		}
		now = wake.At
		if actions = m.Handle(Tick{}, now); len(actions) != 1 || actions[0] != (Dial{Leaf: "a"}) {
			t.Fatalf("actions %v, want a dial", actions)
		}
	}
}

// TestStrayEndsAreIgnored checks that ends without a dial change nothing.
func TestStrayEndsAreIgnored(t *testing.T) {
	m := New(1)
	m.Handle(Opened{Leaf: "a"}, start)
	m.Handle(Failed{Leaf: "a"}, start)
	m.Handle(Targets{Leaves: []Target{{"a", 1, 0}}}, start)
	m.Handle(Opened{Leaf: "a"}, start)
	m.Handle(Opened{Leaf: "a"}, start)
	if m.out != 0 || m.leaves["a"].open != 1 {
		t.Fatalf("%d dials out and %d connections, want 0 and 1", m.out, m.leaves["a"].open)
	}
	if got := m.Handle(Closed{Leaf: "a"}, start); len(got) != 1 || got[0] != (Dial{Leaf: "a"}) {
		t.Fatalf("actions %v after a connection went, want a dial", got)
	}
}
