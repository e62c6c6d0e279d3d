package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestAtMostOnce runs several instances through claims, store faults, pauses,
// crashes and late writes: no key runs twice, no request that ran is answered
// not_run, and a recorded result is that of the execution.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rt *rapid.T
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }, noDefect)
		actions := map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(s.violations) > 0 {
					t.Fatalf("%v", s.violations)
				}
			},
		}
		for name, step := range s.steps() {
			actions[name] = func(t *rapid.T) {
				rt = t
				step()
			}
		}
		t.Repeat(actions)
		s.endFaults()
		s.checkSettled()
		if len(s.violations) > 0 {
			t.Fatalf("%v", s.violations)
		}
	})
}

// checkSettled checks, after endFaults, that no instance waits for the store, and
// that a key that never ran is held only by a request that may still run or
// whose instance crashed.
func (s *simulation) checkSettled() {
	for i, n := range s.instances {
		if !n.machine.Idle() {
			s.reportViolation("instance %d is not idle after the store came back", i)
		}
	}
	for _, rec := range s.history[len(s.history)-1].records {
		r := s.requests[rec.Nonce-1]
		_, granted := r.answer.(Granted)
		if s.executions[r.key] == 0 && !r.instanceCrashed && (!granted || r.released) {
			s.reportViolation("key %d is still held by request %d, which never ran", r.key, r.id)
		}
	}
}

// runSimulation runs random steps from a seed, until a violation or until the
// steps and endFaults are done.
func runSimulation(seed uint64, injected defect) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := newSimulation(rng.IntN, injected)
	steps := s.steps()
	names := make([]string, 0, len(steps))
	for name := range steps {
		names = append(names, name)
	}
	slices.Sort(names)
	for range 1200 {
		steps[names[rng.IntN(len(names))]]()
		if len(s.violations) > 0 {
			return s
		}
	}
	s.endFaults()
	s.checkSettled()
	return s
}

// TestSimulationFindsEachDefect checks that the simulation reports a violation for
// each injected defect.
func TestSimulationFindsEachDefect(t *testing.T) {
	const seeds = 2000
	for name, v := range map[string]defect{
		"dispatch before claim":  dispatchBeforeClaim,
		"retry after unknown":    retryAfterUnknown,
		"lost reply is failure":  lostReplyIsFailure,
		"lost reply is success":  lostReplyIsSuccess,
		"abandoned is forgotten": abandonForgets,
		"takeover on expiry":     takeoverOnExpiry,
		"dispatch past deadline": dispatchPastDeadline,
		"run after release":      runAfterRelease,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if s := runSimulation(seed, v); len(s.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Fatalf("no violation found in %d seeds", seeds)
		})
	}
}

// TestAtMostOnceOnFixedSeeds runs the simulation without a defect on fixed seeds.
func TestAtMostOnceOnFixedSeeds(t *testing.T) {
	eventCounts := make(map[string]int)
	for seed := range uint64(500) {
		s := runSimulation(seed, noDefect)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, s.violations)
		}
		for what, n := range s.eventCounts {
			eventCounts[what] += n
		}
	}
	t.Log(eventCounts)
	for _, what := range []string{"run", "ledger.Granted", "ledger.Held", "ledger.Unavailable"} {
		if eventCounts[what] < 1000 {
			t.Errorf("%s happened %d times, too few for the test to be meaningful", what, eventCounts[what])
		}
	}
}
