package direct

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
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

// entryNames returns the names of n entries.
func entryNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("entry-%03d", i)
	}
	return out
}

// TestLimitHoldsWhileListsDiffer gives every live entry its own list, which misses up to
// headroom of the live entries and may have dead ones. The shares must not exceed the limit.
func TestLimitHoldsWhileListsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		headroom := rapid.IntRange(0, 4).Draw(t, "headroom")
		limit := rapid.IntRange(0, 120).Draw(t, "limit")
		all := entryNames(30)
		live := all[:rapid.IntRange(1, 20).Draw(t, "live")]
		p := New(plugin.PlacementConfig{Headroom: headroom})
		sum := 0
		for i, self := range live {
			list := slices.Clone(live)
			for range rapid.IntRange(0, headroom).Draw(t, "missed") {
				k := rapid.IntRange(0, len(list)-1).Draw(t, "which")
				if list[k] != self {
					list = slices.Delete(list, k, k+1)
				}
			}
			list = append(list, all[20:20+rapid.IntRange(0, 10).Draw(t, "dead")]...)
			share := p.Share("leaf", limit, self, list)
			if share < 0 {
				t.Fatalf("entry %d has the share %d", i, share)
			}
			sum += share
		}
		if sum > limit {
			t.Fatalf("shares add up to %d, limit %d", sum, limit)
		}
	})
}

// TestSharesOfEightEntries checks the least share and the sum of shares of eight entries at
// several limits.
func TestSharesOfEightEntries(t *testing.T) {
	entries := entryNames(8)
	for limit, want := range map[int][2]int{25: {2, 19}, 40: {4, 40 - 8}, 110: {11, 88}} {
		p := New(plugin.PlacementConfig{Headroom: DefaultHeadroom})
		least, sum := limit, 0
		for _, e := range entries {
			s := p.Share("leaf", limit, e, entries)
			least = min(least, s)
			sum += s
		}
		if least != want[0] || sum != want[1] {
			t.Errorf("limit %d: least share %d and sum %d, want %v", limit, least, sum, want)
		}
	}
}

// TestLostEntryMovesFewConnections removes one of eight entries: the others take over about its
// share of each leaf, and no entry's share changes by more than one connection.
func TestLostEntryMovesFewConnections(t *testing.T) {
	p := New(plugin.PlacementConfig{Headroom: DefaultHeadroom})
	before := entryNames(8)
	moves, total := 0, 0
	for leaf := range 200 {
		id := fmt.Sprint("leaf-", leaf)
		for _, e := range before[1:] {
			old, now := p.Share(id, 25, e, before), p.Share(id, 25, e, before[1:])
			if d := now - old; d < -1 || d > 1 {
				t.Fatalf("the share of %s changed from %d to %d, want a change of at most 1", e, old, now)
			}
			if now != old {
				moves++
			}
			total += old
		}
	}
	if share := float64(moves) / float64(total); share > 0.2 {
		t.Fatalf("%.2f of the connections moved, want less than 0.2", share)
	}
}

// TestRemainderIsSpreadOverEntries checks that the connections left over by the division go to
// different entries for different leaves.
func TestRemainderIsSpreadOverEntries(t *testing.T) {
	p := New(plugin.PlacementConfig{Headroom: DefaultHeadroom})
	entries := entryNames(8)
	got := map[string]int{}
	for leaf := range 400 {
		for _, e := range entries {
			got[e] += p.Share(fmt.Sprint("leaf-", leaf), 25, e, entries)
		}
	}
	for e, n := range got { // 19 of 25 connections over 8 entries are 2.375 for each leaf
		if n < 900 || n > 1000 {
			t.Errorf("%s has %d connections over 400 leaves, want about 950", e, n)
		}
	}
}
