package hosted

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fleetSizes are those of the table of ages. The large ones take minutes.
var fleetSizes = flag.String("fleet-sizes", "8,61", "numbers of instances whose ages are told, parted by commas")

// zonesOf is the number of zones of a fleet, and farOf the time of a call between two of them:
// that of other regions where there are many instances.
func zonesOf(size int) int {
	if size < 1000 {
		return 3
	}
	return 13
}

func farOf(size int) time.Duration {
	if size < 1000 {
		return peerDelay
	}
	return 40 * time.Millisecond
}

// TestAgesBySize tells the ages of the state of the instances that the store serves, while it
// serves all, and while it gives no answer to the reader, the leads and three in ten members. None
// reaches eight tenths of the bound.
func TestAgesBySize(t *testing.T) {
	t.Logf("bound %v\ninstances, zones | store | median | 99 in 100 | worst", bound)
	for _, text := range strings.Split(*fleetSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatalf("-fleet-sizes: %v", err)
		}
		for _, store := range []string{"serves all", "is silent to leaders"} {
			t.Run(fmt.Sprintf("%d %s", size, store), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ages := agesOf(t, size, store != "serves all")
					at := func(share float64) time.Duration {
						return ages[int(share*float64(len(ages)-1))].Round(time.Millisecond)
					}
					t.Logf("%d in %d | %s | %v | %v | %v", size, zonesOf(size), store, at(0.5), at(0.99), at(1))
					if limit := bound * 8 / 10; at(1) >= limit {
						t.Errorf("worst age %v, want less than %v", at(1), limit)
					}
				})
			})
		}
	}
}

// agesOf lists, in order, the ages of the instances that the store serves, in ten seconds.
func agesOf(t *testing.T, size int, silent bool) []time.Duration {
	c := newCity(t, size)
	c.zones, c.far = zonesOf(size), farOf(size)
	c.settle()
	defer c.stopAll()
	out := make(map[string]bool)
	if silent {
		out = unserved(c.roles())
		c.store.set(func(s *sharedStore) { s.silent = func(name string) bool { return out[name] } })
	}
	var ages []time.Duration
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		for _, address := range slices.Sorted(maps.Keys(c.running)) {
			if r := c.running[address]; !out[r.node.config.Instance] {
				ages = append(ages, r.node.control.age())
			}
		}
	}
	slices.Sort(ages)
	return ages
}
