package hosted

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// A fleet with many routes, over narrow links.
const (
	manyRouteCount = 20000
	narrowLink     = 1 << 20 // bytes a second
	changeCount    = 5
	maxChangeBytes = 4 << 10 // for each instance
)

// TestRouteChangeOverNarrowLinks changes one of 20,000 routes several times: each version is in force
// everywhere within half of the bound, and few bytes are sent, since only the change is.
func TestRouteChangeOverNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 6)
		f.zones, f.bandwidth = 3, narrowLink
		read := make(map[uint64]*catalog.Config) // repeated reads of a version get the same configuration
		f.store.config = func(version uint64) *catalog.Config {
			if read[version] == nil {
				read[version] = configWithRoutes(version, manyRouteCount)
			}
			return read[version]
		}
		f.settle()
		defer f.stopAll()
		worst, before := time.Duration(0), f.sentBytes.Load()
		for change := range changeCount {
			want := uint64(change + 2)
			f.store.update(func(s *sharedStore) { s.version = want })
			changed := time.Now()
			for f.countNotInForce(want) > 0 && time.Since(changed) < 2*testBound {
				time.Sleep(20 * time.Millisecond)
			}
			worst = max(worst, time.Since(changed))
			time.Sleep(4*time.Second + time.Duration(change)*130*time.Millisecond)
		}
		bytes := (f.sentBytes.Load() - before) / changeCount / int64(f.size)
		t.Logf("in force after %v at most, %d bytes a change and instance", worst, bytes)
		if worst > testBound/2 || bytes > maxChangeBytes {
			t.Errorf("in force after %v, want %v; %d bytes a change and instance, want %d", worst, testBound/2, bytes, maxChangeBytes)
		}
	})
}
