package backoff

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestDelaysGrowAndAreCapped(t *testing.T) {
	b := Backoff{Min: 10 * time.Millisecond, Max: time.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	top := 20 * time.Millisecond
	for i := range 100 {
		if d := b.Next(rng); d <= top/2 || d > top {
			t.Fatalf("delay %d is %v, want within (%v, %v]", i, d, top/2, top)
		}
		top = min(b.Max, 2*top)
	}
	b.Reset()
	if d := b.Next(rng); d > 20*time.Millisecond || b.Failures() != 1 {
		t.Fatalf("after a reset: delay %v, %d failures", d, b.Failures())
	}
}

// TestRetriesAreSpread checks that eight instances which failed at the same moment
// retry at different times.
func TestRetriesAreSpread(t *testing.T) {
	const instances = 8
	var retryAt []time.Duration
	for i := range uint64(instances) {
		b := Backoff{Min: 50 * time.Millisecond, Max: 5 * time.Second}
		rng := rand.New(rand.NewPCG(i, 9))
		var sum time.Duration
		for range 8 {
			sum += b.Next(rng)
		}
		retryAt = append(retryAt, sum)
	}
	slices.Sort(retryAt)
	if spread := retryAt[instances-1] - retryAt[0]; spread < time.Second {
		t.Fatalf("eight retries lie within %v", spread)
	}
	for i := 1; i < instances; i++ {
		if retryAt[i]-retryAt[i-1] < 5*time.Millisecond {
			t.Errorf("retries %d and %d are %v apart", i-1, i, retryAt[i]-retryAt[i-1])
		}
	}
}
