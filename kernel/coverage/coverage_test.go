package coverage_test

import (
	"flag"
	"math"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/coverage"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
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

const spaceSize = 40

func drawRange(t *rapid.T) keyrange.Range {
	return keyrange.Range{From: rapid.Uint64Range(0, spaceSize+5).Draw(t, "from"), To: rapid.Uint64Range(0, spaceSize+5).Draw(t, "to")}
}

// TestMapAgreesWithBitmap compares maps over random grids with a bitmap: the cells
// must not affect any result.
func TestMapAgreesWithBitmap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spaces := rapid.IntRange(1, 3).Draw(t, "spaces")
		universe := keyrange.Range{From: rapid.Uint64Range(0, 5).Draw(t, "universe"), To: spaceSize}
		grids := make([]*coverage.Grid, spaces)
		bitmaps := make([][spaceSize + 5]bool, spaces)
		for i := range grids {
			var shards []keyrange.Range
			for range rapid.IntRange(0, 6).Draw(t, "cells") {
				shards = append(shards, drawRange(t))
			}
			grids[i] = coverage.NewGrid(universe, shards)
		}
		m := coverage.NewMap(grids)
		for range rapid.IntRange(0, 12).Draw(t, "adds") {
			i, r := rapid.IntRange(0, spaces-1).Draw(t, "space"), drawRange(t)
			overlaps := false
			for k := max(r.From, universe.From); k < min(r.To, universe.To); k++ {
				overlaps = overlaps || bitmaps[i][k]
				bitmaps[i][k] = true
			}
			if got := m.Overlaps(i, r); got != overlaps {
				t.Fatalf("overlaps %v: %v, want %v", r, got, overlaps)
			}
			m.Add(i, r)
		}
		share, complete := 0.0, true
		for i := range grids {
			var want, gaps []keyrange.Range
			queried := drawRange(t)
			for k := universe.From; k < universe.To; k++ {
				if bitmaps[i][k] {
					want = appendKey(want, k)
				} else if queried.From <= k && k < queried.To {
					gaps = appendKey(gaps, k)
				}
			}
			if got := m.Ranges(i); !slices.Equal(got, want) {
				t.Fatalf("space %d: ranges %v, want %v", i, got, want)
			}
			if got := m.Missing(i, queried); !slices.Equal(got, gaps) {
				t.Fatalf("space %d: missing of %v: %v, want %v", i, queried, got, gaps)
			}
			if got := m.Covers(i, queried); got != (len(gaps) == 0) {
				t.Fatalf("space %d: covers %v: %v", i, queried, got)
			}
			var n uint64
			for _, r := range want {
				n += r.Size()
			}
			share += float64(n) / float64(universe.Size()) / float64(spaces)
			complete = complete && n == universe.Size()
		}
		if got := m.Share(); math.Abs(got-share) > 1e-9 || (got == 1) != complete || m.Complete() != complete {
			t.Fatalf("share %v, want %v; complete %v, want %v", got, share, m.Complete(), complete)
		}
		if m.Empty() != (share == 0) {
			t.Fatalf("empty %v at share %v", m.Empty(), share)
		}
	})
}

// appendKey appends the range of key k, or extends the last range when k follows it.
func appendKey(out []keyrange.Range, k uint64) []keyrange.Range {
	if n := len(out); n > 0 && out[n-1].To == k {
		out[n-1].To++
		return out
	}
	return append(out, keyrange.Range{From: k, To: k + 1})
}

// TestShareIsOneOnlyWhenComplete checks that Share is below 1 when one key is missing
// of so many that the quotient rounds to 1.
func TestShareIsOneOnlyWhenComplete(t *testing.T) {
	const size = 1 << 60
	m := coverage.NewMap([]*coverage.Grid{coverage.NewGrid(keyrange.Range{To: size}, nil)})
	m.Add(0, keyrange.Range{To: size - 1})
	if m.Share() >= 1 {
		t.Fatalf("share %v with one key missing", m.Share())
	}
	m.Add(0, keyrange.Range{From: size - 1, To: size})
	if m.Share() != 1 {
		t.Fatalf("share %v with all keys covered", m.Share())
	}
}
