package hosted

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// A fleet with many routes, over narrow links.
const (
	manyRouteCount  = 20000
	narrowLink      = 1 << 20 // bytes a second
	changesPlayed   = 5
	mostChangeBytes = 4 << 10 // for each instance
)

// TestRouteChangeAmongManyIsSoonInForce changes one of 20,000 routes again and again: each version is
// in force everywhere within half of the bound, and costs bytes by what changed.
func TestRouteChangeAmongManyIsSoonInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCity(t, 6)
		c.zones, c.width = 3, narrowLink
		read := make(map[uint64]*catalog.Config) // as an instance that reads a version again gets it
		c.store.config = func(version uint64) *catalog.Config {
			if read[version] == nil {
				read[version] = manyRoutes(version, manyRouteCount)
			}
			return read[version]
		}
		c.settle()
		defer c.stopAll()
		worst, before := time.Duration(0), c.sent.Load()
		for change := range changesPlayed {
			want := uint64(change + 2)
			c.store.set(func(s *sharedStore) { s.version = want })
			changed := time.Now()
			for c.behind(want) > 0 && time.Since(changed) < 2*bound {
				time.Sleep(20 * time.Millisecond)
			}
			worst = max(worst, time.Since(changed))
			time.Sleep(4*time.Second + time.Duration(change)*130*time.Millisecond)
		}
		bytes := (c.sent.Load() - before) / changesPlayed / int64(c.size)
		t.Logf("in force after %v at most, %d bytes a change and instance", worst, bytes)
		if worst > bound/2 || bytes > mostChangeBytes {
			t.Errorf("in force after %v, want %v; %d bytes a change and instance, want %d", worst, bound/2, bytes, mostChangeBytes)
		}
	})
}
