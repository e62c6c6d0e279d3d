package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestAtMostOnce drives several entries through claims, faults of the store,
// pauses, crashes and late writes: no key runs twice, nothing that ran is
// answered not_run, and a recorded result is the true one.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rt *rapid.T
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }, variantNone)
		actions := map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(w.faults) > 0 {
					t.Fatalf("%v", w.faults)
				}
			},
		}
		for name, step := range w.steps() {
			actions[name] = func(t *rapid.T) {
				rt = t
				step()
			}
		}
		t.Repeat(actions)
		w.heal()
		w.checkHealed()
		if len(w.faults) > 0 {
			t.Fatalf("%v", w.faults)
		}
	})
}

// checkHealed checks that, with the store back and all entries done, no live
// entry owes the store anything, and that a key that never ran is held only by
// a request that may still run or whose entry was killed.
func (w *world) checkHealed() {
	for i, n := range w.nodes {
		if !n.machine.Idle() {
			w.fault("entry %d is not idle after the store came back", i)
		}
	}
	for _, rec := range w.history[len(w.history)-1].records {
		r := w.requests[rec.Nonce-1]
		_, granted := r.answer.(Granted)
		if w.runs[r.key] == 0 && !r.dead && (!granted || r.released) {
			w.fault("key %d is still held by request %d, which never ran", r.key, r.id)
		}
	}
}

// runWorld runs the world on a seed and tells whether a promise broke.
func runWorld(seed uint64, broken variant) *world {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(rng.IntN, broken)
	steps := w.steps()
	names := make([]string, 0, len(steps))
	for name := range steps {
		names = append(names, name)
	}
	slices.Sort(names)
	for range 1200 {
		steps[names[rng.IntN(len(names))]]()
		if len(w.faults) > 0 {
			return w
		}
	}
	w.heal()
	w.checkHealed()
	return w
}

// TestBrokenHoldersAreFound shows that the world finds each broken variant.
func TestBrokenHoldersAreFound(t *testing.T) {
	const seeds = 2000
	for name, v := range map[string]variant{
		"dispatch before claim":  dispatchBeforeClaim,
		"retry after unknown":    retryAfterUnknown,
		"lost reply is failure":  lostReplyIsFailure,
		"lost reply is success":  lostReplyIsSuccess,
		"abandoned is forgotten": abandonForgets,
		"takeover on expiry":     takeoverOnExpiry,
		"dispatch past deadline": dispatchPastDeadline,
		"run after release":      releaseIsDoneWhenUnwritten,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if w := runWorld(seed, v); len(w.faults) > 0 {
					t.Logf("seed %d: %s", seed, w.faults[0])
					return
				}
			}
			t.Fatalf("no fault found in %d seeds", seeds)
		})
	}
}

// TestManySeeds runs the sound world on fixed seeds.
func TestManySeeds(t *testing.T) {
	seen := make(map[string]int)
	for seed := range uint64(500) {
		w := runWorld(seed, variantNone)
		if len(w.faults) > 0 {
			t.Fatalf("seed %d: %v", seed, w.faults)
		}
		for what, n := range w.seen {
			seen[what] += n
		}
	}
	t.Log(seen)
	for _, what := range []string{"run", "ledger.Granted", "ledger.Held", "ledger.Unavailable"} {
		if seen[what] < 1000 {
			t.Errorf("%s happened %d times, too few to show anything", what, seen[what])
		}
	}
}
