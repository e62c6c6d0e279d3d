package repetition

import (
	"flag"
	"os"
	"slices"
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

// TestBudgetNeverExceedsItsShare takes tokens at random moments.
func TestBudgetNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hedgeShare := rapid.Float64Range(0, 1).Draw(t, "hedge share")
		retryShare := rapid.Float64Range(0, 1).Draw(t, "retry share")
		b := NewBudget(hedgeShare, retryShare)
		deposits, hedges, retries := 0, 0, 0
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 500).Draw(t, "operations") {
			switch op {
			case 0, 1:
				b.Deposit()
				deposits++
			case 2:
				if b.TakeHedge(time.Time{}) {
					hedges++
				}
			case 3:
				if b.TakeRetry(time.Time{}) {
					retries++
				}
			}
			const slack = 1e-6
			initialRetries := 0.0 // the tokens of a new budget
			if retryShare > 0 {
				initialRetries = retryBurst
			}
			if float64(hedges) > hedgeShare*float64(deposits)+slack || float64(retries) > initialRetries+retryShare*float64(deposits)+slack {
				t.Fatalf("%d hedges and %d retries of %d first sub-requests at shares %v and %v",
					hedges, retries, deposits, hedgeShare, retryShare)
			}
		}
	})
}

// TestBudgetSavesAtMostItsBurst checks that a long time without hedges and retries
// does not allow a large burst of them later.
func TestBudgetSavesAtMostItsBurst(t *testing.T) {
	b := NewBudget(0.05, 0.1)
	for range 100_000 {
		b.Deposit()
	}
	hedges, retries := 0, 0
	for b.TakeHedge(time.Time{}) {
		hedges++
	}
	for b.TakeRetry(time.Time{}) {
		retries++
	}
	if hedges != hedgeBurst || retries != retryBurst {
		t.Fatalf("%d hedges and %d retries after many deposits, want %d and %d", hedges, retries, hedgeBurst, retryBurst)
	}
}

// TestQuantileIsWithinOneBucket compares the sketch with the sorted observations.
func TestQuantileIsWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l LatencySketch
		all := rapid.SliceOfN(rapid.Int64Range(int64(sketchFloor), int64(time.Minute)), minSketchWeight, 200).Draw(t, "latencies")
		for _, d := range all {
			l.Observe(time.Duration(d))
		}
		slices.Sort(all)
		q := rapid.Float64Range(0.01, 0.99).Draw(t, "quantile")
		// The sketch may round the rank by one either way.
		rank := int(q * float64(len(all)))
		low, high := all[max(0, rank-1)], all[min(len(all)-1, rank+1)]
		got := float64(l.Quantile(q))
		if got < float64(low)*0.999 || got > float64(high)*sketchGrowth*1.001 {
			t.Fatalf("quantile %v is %v, want between %v and %v", q, time.Duration(got), time.Duration(low), time.Duration(high))
		}
	})
}

func TestQuantileNeedsObservations(t *testing.T) {
	var l LatencySketch
	for range minSketchWeight - 1 {
		l.Observe(time.Second)
	}
	if d := l.Quantile(0.5); d != 0 {
		t.Fatalf("quantile %v of too few observations, want 0", d)
	}
}

func TestSketchForgetsOldObservations(t *testing.T) {
	var l LatencySketch
	for range 2000 {
		l.Observe(time.Second)
	}
	for range 8000 {
		l.Observe(time.Millisecond)
	}
	if d := l.Quantile(0.95); d > 2*time.Millisecond {
		t.Fatalf("quantile %v long after the last slow observation, want about 1 ms", d)
	}
}

func TestNewObservationsOutweighCappedWeight(t *testing.T) {
	var l LatencySketch
	for range 2000 {
		l.Observe(time.Second)
	}
	l.CapWeight(40)
	if d := l.Quantile(0.5); d < 900*time.Millisecond {
		t.Fatalf("median %v right after CapWeight, want about the old observations' 1 s", d)
	}
	for range 60 {
		l.Observe(time.Millisecond)
	}
	if d := l.Quantile(0.5); d > 2*time.Millisecond {
		t.Fatalf("median %v after more new observations than the cap, want about 1 ms", d)
	}
}
