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

// fleetSizes are the sizes of the fleets that TestAgesBySize runs. Large ones take minutes.
var fleetSizes = flag.String("fleet-sizes", "8,61", "numbers of instances whose ages are told, parted by commas")

// zoneCount returns the number of zones of a fleet of a size. A large fleet has zones in several regions.
func zoneCount(size int) int {
	if size < 1000 {
		return 3
	}
	return 13
}

// crossZoneDelayOf returns the time of a call between two zones of a fleet of a size.
func crossZoneDelayOf(size int) time.Duration {
	if size < 1000 {
		return peerDelay
	}
	return 40 * time.Millisecond
}

// TestAgesBySize logs how old the state of the instances that the store serves gets, while it
// serves all instances, and while it gives no answer to the reader, the leads and three in ten
// members. No age may reach eight tenths of the freshness bound.
func TestAgesBySize(t *testing.T) {
	t.Logf("bound %v\ninstances, zones | store | median | 99 in 100 | worst", testBound)
	for _, text := range strings.Split(*fleetSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatalf("-fleet-sizes: %v", err)
		}
		for _, store := range []string{"serves all", "is silent to leaders"} {
			t.Run(fmt.Sprintf("%d %s", size, store), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ages := sampleStateAges(t, size, store != "serves all")
					at := func(share float64) time.Duration {
						return ages[int(share*float64(len(ages)-1))].Round(time.Millisecond)
					}
					t.Logf("%d in %d | %s | %v | %v | %v", size, zoneCount(size), store, at(0.5), at(0.99), at(1))
					if limit := testBound * 8 / 10; at(1) >= limit {
						t.Errorf("worst age %v, want less than %v", at(1), limit)
					}
				})
			})
		}
	}
}

// sampleStateAges samples the ages of the state of the instances that the store serves for ten seconds
// and returns them sorted. With silent set the store does not answer some instances.
func sampleStateAges(t *testing.T, size int, silent bool) []time.Duration {
	f := newTestFleet(t, size)
	f.zones, f.crossZoneDelay = zoneCount(size), crossZoneDelayOf(size)
	f.settle()
	defer f.stopAll()
	unserved := make(map[string]bool)
	if silent {
		unserved = pickUnserved(f.roles())
		f.store.update(func(s *sharedStore) { s.isSilent = func(name string) bool { return unserved[name] } })
	}
	var ages []time.Duration
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		for _, address := range slices.Sorted(maps.Keys(f.running)) {
			if r := f.running[address]; !unserved[r.node.config.Instance] {
				ages = append(ages, r.node.control.stateAge())
			}
		}
	}
	slices.Sort(ages)
	return ages
}
