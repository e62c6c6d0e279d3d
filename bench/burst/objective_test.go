package burst

import (
	"testing"
	"time"
)

// search is a burst of two kinds of query over shards whose leaves shed: the more urgent
// one has work of 11 ms and an objective of 100, the other 3.8 and 50. The deadline is far
// beyond both.
func search(shards, replicas int, load float64) Params {
	p := Default(shards, load)
	p.Replicas, p.Entries, p.Connections = replicas, 7, 26
	p.Stragglers, p.StragglerFactor, p.Dist = 0.01, 5, Fixed
	p.Pause, p.PauseEvery = 120*time.Millisecond, 3*time.Second
	p.LeafQueue, p.Deadline = 12, 1500*time.Millisecond
	p.Policies.Routing, p.Repetition = "nearest", "objective"
	p.Duration, p.Warm = 6*time.Second, time.Second
	p.Kinds = []Kind{
		{Name: "urgent", Part: 0.75, Work: 11 * time.Millisecond, Objective: 100 * time.Millisecond, Priority: 1, LeastCoverage: 0.89},
		{Name: "quick", Part: 0.25, Work: 3800 * time.Microsecond, Objective: 50 * time.Millisecond, Priority: 2, LeastCoverage: 0.75},
	}
	return p
}

// goodput is the answers in time a second over all kinds.
func goodput(r Result) float64 {
	sum := 0.0
	for _, k := range r.Kinds {
		sum += k.Goodput
	}
	return sum
}

// peak is the capacity in queries a second of a search: slots over the work of a query,
// less the time in which leaves stand still.
func peak(p Params) float64 {
	return float64(p.Replicas*p.Slots) / p.meanWork().Seconds() * (1 - p.Pause.Seconds()/p.PauseEvery.Seconds())
}

// TestGoodputHoldsUnderOverload asks for up to ten times what can be served: answers in
// time stay at 0.85 of the slots' capacity, and nine of ten of the more urgent kind's best
// second remain at any load. Judged by the deadline, as a service without an objective is,
// next to nothing is in time.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for _, tc := range []struct {
		shards, replicas int
		loads            []float64
		lasts            time.Duration
	}{
		{20, 2, []float64{1.2, 2, 5, 10}, 6 * time.Second},
		{90, 3, []float64{1.2, 5}, 3 * time.Second},
	} {
		best := 0.0
		for _, load := range tc.loads {
			p := search(tc.shards, tc.replicas, load)
			p.Duration = tc.lasts
			r := mustRun(t, p)
			best = max(best, r.Kinds[0].Goodput)
			if got, want := goodput(r), 0.85*peak(p); got < want {
				t.Errorf("%d shards, load %.1f: %.0f answers in time a second, want %.0f", tc.shards, load, got, want)
			}
			if r.Kinds[0].Goodput < 0.9*best {
				t.Errorf("%d shards, load %.1f: %.0f of the urgent kind a second, want nine of ten of %.0f", tc.shards, load, r.Kinds[0].Goodput, best)
			}
		}
		p := search(tc.shards, tc.replicas, 2)
		p.Duration, p.DeadlineOnly = tc.lasts, true
		if r := mustRun(t, p); goodput(r) > 0.3*peak(p) {
			t.Errorf("%d shards: %.0f a second without the objective, want the need to show", tc.shards, goodput(r))
		}
	}
}

// TestUrgentIsNotServedWorse compares the kinds at loads beyond the capacity.
func TestUrgentIsNotServedWorse(t *testing.T) {
	for _, load := range []float64{1.2, 1.5, 2, 5, 10} {
		r := mustRun(t, search(20, 2, load))
		if urgent, quick := r.Kinds[0].InTime, r.Kinds[1].InTime; urgent < quick-0.05 {
			t.Errorf("load %.1f: %.3f of the urgent kind in time, %.3f of the other", load, urgent, quick)
		}
	}
}

// TestOverloadEndsWithTheBurst asks five times the capacity for a second and a fifth of
// it afterwards. A second later nothing is refused, and as much is in time as without a
// burst, whatever it left behind.
func TestOverloadEndsWithTheBurst(t *testing.T) {
	const seeds = 50
	after, calm := make([]float64, 2), make([]float64, 2) // in time, by kind
	for seed := range uint64(seeds) {
		for _, burst := range []bool{true, false} {
			p := search(20, 2, 5)
			p.Seed, p.Rest, p.RestLoad = seed, time.Second, 0.2
			p.Warm, p.Duration = 2*time.Second, 4*time.Second
			if !burst {
				p.Load = p.RestLoad
			}
			r, err := Run(p)
			if err != nil {
				t.Fatal(err)
			}
			for i, k := range r.Kinds {
				if !burst {
					calm[i] += k.InTime / seeds
					continue
				}
				after[i] += k.InTime / seeds
				if k.Refused > 0 {
					t.Errorf("seed %d: a second after the burst %+v", seed, k)
				}
			}
		}
	}
	for i := range after {
		if after[i] < calm[i]-0.01 {
			t.Errorf("kind %d: %.3f in time a second after the burst, %.3f without one", i, after[i], calm[i])
		}
	}
	t.Logf("in time after the burst %.4f, without one %.4f", after, calm)
}

// TestSlowLeavesAreNoReasonToRefuse makes a third of the leaves slow at a load that fits:
// whoever can't be in time is answered late and not refused.
func TestSlowLeavesAreNoReasonToRefuse(t *testing.T) {
	p := search(20, 2, 0.2)
	p.Slow, p.SlowFactor = 0.35, 6
	for _, k := range mustRun(t, p).Kinds {
		if k.Refused > 0.01 {
			t.Errorf("%.3f of kind %s refused, want none", k.Refused, k.Name)
		}
	}
}

// TestSlownessOfAllLeavesIsNoReasonToRefuse makes all leaves too slow for the objectives at a
// load that fits: an answer that can only be late is better than none, and refusing some does
// not make others earlier.
func TestSlownessOfAllLeavesIsNoReasonToRefuse(t *testing.T) {
	for _, load := range []float64{0.01, 0.02, 0.04} {
		p := search(20, 2, load)
		p.Slow, p.SlowFactor = 1, 12
		for _, k := range mustRun(t, p).Kinds {
			if k.Refused > 0.01 {
				t.Errorf("load %.2f: %.3f of kind %s refused, want none", load, k.Refused, k.Name)
			}
		}
	}
}
