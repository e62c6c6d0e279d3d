package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
)

// claimCost is a Meter that sums up what claims cost under load.
type claimCost struct {
	mu      sync.Mutex
	latency []time.Duration
	refused int
	writes  int
	records int
	bytes   int
	largest int
}

// LedgerClaim implements Meter.
func (c *claimCost) LedgerClaim(result string, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result != "granted" {
		c.refused++
		return
	}
	c.latency = append(c.latency, latency)
}

// LedgerWrite implements Meter.
func (c *claimCost) LedgerWrite(records, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.records += records
	c.bytes += bytes
	c.largest = max(c.largest, bytes)
}

// quantile returns the q-quantile of the latencies, which must be sorted.
func (c *claimCost) quantile(q float64) time.Duration {
	return c.latency[int(q*float64(len(c.latency)-1))].Round(100 * time.Microsecond)
}

// runLoad sends claims with Poisson arrivals, rate a second in total, to eight
// entries whose store answers in 2 to 6 ms, and returns what the claims cost.
func runLoad(t *testing.T, buckets, rate int, span time.Duration, writeRate float64) (*claimCost, *platformtest.Store) {
	const entries = 8
	store := platformtest.New(1)
	c := &claimCost{}
	var fleet []*entry
	for i := range entries {
		fleet = append(fleet, startEntry(t, store, byte(i), func(cfg *Config) { cfg.Buckets, cfg.Meter = buckets, c }))
	}
	time.Sleep(time.Second)
	store.SetFaults(platformtest.Faults{Latency: 2 * time.Millisecond, Jitter: 4 * time.Millisecond, WriteRate: writeRate})
	rng := rand.New(rand.NewPCG(uint64(rate), uint64(buckets)))
	var callers sync.WaitGroup
	for i := range int(span.Seconds() * float64(rate)) {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
		e := fleet[rng.IntN(entries)]
		callers.Go(func() {
			grant, err := e.Claim(t.Context(), request(fmt.Sprint(i), time.Second))
			if err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
			grant.Record(complete)
		})
	}
	callers.Wait()
	for _, e := range fleet {
		if err := e.Flush(t.Context()); err != nil {
			t.Error(err)
		}
	}
	slices.Sort(c.latency)
	return c, store
}

// TestCostOfClaims logs what claims cost the store; FUCHSIAROAD_LONG=1 runs the
// whole table of docs/design/ledger.md. At up to 300 claims a second, the current
// load, all claims must be granted.
func TestCostOfClaims(t *testing.T) {
	span, rates := 2*time.Second, []int{300}
	if os.Getenv("FUCHSIAROAD_LONG") == "1" {
		span, rates = 20*time.Second, []int{100, 300, 1000}
	}
	for _, buckets := range []int{16, 64, 256} {
		for _, rate := range rates {
			t.Run(fmt.Sprintf("%d buckets %d a second", buckets, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c, store := runLoad(t, buckets, rate, span, 0)
					claims := float64(len(c.latency))
					puts, gets := float64(store.Calls(platform.CallPut)), float64(store.Calls(platform.CallGet))
					t.Logf("granted %.0f refused %d; per claim: writes %.2f reads %.2f; writes/s %.0f reads/s %.0f; latency p50 %v p99 %v; mean %d B largest %d B",
						claims, c.refused, puts/claims, gets/claims, puts/span.Seconds(), gets/span.Seconds(),
						c.quantile(0.5), c.quantile(0.99), c.bytes/c.writes, c.largest)
					if rate <= 300 && c.refused > 0 {
						t.Errorf("%d claims were refused", c.refused)
					}
				})
			})
		}
	}
}

// The store takes 400 writes a second. At 1200 claims a second the ledger must
// still grant 80% of what it grants at 300, and refuses the rest.
func TestOverloadDoesNotCollapse(t *testing.T) {
	const span, writeRate = 5 * time.Second, 400
	granted := make(map[int]float64)
	for _, rate := range []int{150, 300, 600, 1200} {
		synctest.Test(t, func(t *testing.T) {
			c, store := runLoad(t, DefaultBuckets, rate, span, writeRate)
			granted[rate] = float64(len(c.latency)) / span.Seconds()
			t.Logf("%d claims/s come: granted %.0f/s, refused %.0f/s, writes asked for %.0f/s, latency p50 %v p99 %v",
				rate, granted[rate], float64(c.refused)/span.Seconds(), float64(store.Calls(platform.CallPut))/span.Seconds(), c.quantile(0.5), c.quantile(0.99))
		})
	}
	if granted[150] < 140 {
		t.Errorf("within the rate %.0f of 150 claims/s are granted", granted[150])
	}
	if granted[1200] < 0.8*granted[300] {
		t.Errorf("%.0f claims/s are granted in overload, %.0f before it", granted[1200], granted[300])
	}
}
