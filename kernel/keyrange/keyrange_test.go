package keyrange_test

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

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

const spaceSize = 48

// bitmap is the brute-force model of a Set.
type bitmap [spaceSize]bool

func (b *bitmap) add(r keyrange.Range) {
	for k := r.From; k < r.To; k++ {
		b[k] = true
	}
}

// runs returns the maximal ranges of keys in r whose bit is want.
func (b *bitmap) runs(r keyrange.Range, want bool) []keyrange.Range {
	var out []keyrange.Range
	for k := r.From; k < r.To; k++ {
		if b[k] != want {
			continue
		}
		if n := len(out); n > 0 && out[n-1].To == k {
			out[n-1].To++
			continue
		}
		out = append(out, keyrange.Range{From: k, To: k + 1})
	}
	return out
}

func drawRange(t *rapid.T) keyrange.Range {
	return keyrange.Range{From: rapid.Uint64Range(0, spaceSize).Draw(t, "from"), To: rapid.Uint64Range(0, spaceSize).Draw(t, "to")}
}

func TestSetAgreesWithBitmap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set keyrange.Set
		var model bitmap
		for range rapid.IntRange(0, 12).Draw(t, "adds") {
			r := drawRange(t)
			set.Add(r)
			model.add(r)
		}
		all := keyrange.Range{To: spaceSize}
		if got, want := set.Ranges(), model.runs(all, true); !slices.Equal(got, want) {
			t.Fatalf("ranges %v, want %v", got, want)
		}
		queried := drawRange(t)
		missing := model.runs(queried, false)
		if got := set.Missing(queried); !slices.Equal(got, missing) {
			t.Fatalf("missing of %v: %v, want %v", queried, got, missing)
		}
		if got, want := set.Overlaps(queried), len(model.runs(queried, true)) > 0; got != want {
			t.Fatalf("overlaps %v: %v, want %v", queried, got, want)
		}
		if got, want := set.Contains(queried), len(missing) == 0; got != want {
			t.Fatalf("contains %v: %v, want %v", queried, got, want)
		}
	})
}

func TestRangePairsAgreeWithBitmap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRange(t), drawRange(t)
		var in bitmap
		in.add(a)
		shared := in.runs(b, true)
		var want keyrange.Range
		if len(shared) == 1 {
			want = shared[0]
		}
		if got := a.Intersect(b); got != want {
			t.Fatalf("%v and %v: intersect %v, want %v", a, b, got, want)
		}
		if got := a.Overlaps(b); got != (len(shared) > 0) {
			t.Fatalf("%v and %v: overlaps %v", a, b, got)
		}
		if got := a.Contains(b); got != (len(in.runs(b, false)) == 0) {
			t.Fatalf("%v contains %v: %v", a, b, got)
		}
	})
}

func FuzzParseList(f *testing.F) {
	for _, s := range []string{"", "0-1", "0-10,10-20", "5-5", "9-3", "1-", "-", "a-b", ",", "18446744073709551614-18446744073709551615", "+1-2", " 1-2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		list, err := keyrange.ParseList(s)
		if err != nil {
			return
		}
		for _, r := range list {
			if r.Empty() {
				t.Fatalf("%q parsed to the empty range %v", s, r)
			}
		}
		reparsed, err := keyrange.ParseList(keyrange.FormatList(list))
		if err != nil || !slices.Equal(list, reparsed) {
			t.Fatalf("%q: %v became %v, %v", s, list, reparsed, err)
		}
	})
}

func FuzzSet(f *testing.F) {
	f.Add([]byte{0, 10, 10, 20})
	f.Add([]byte{5, 9, 0, 47, 3, 3})
	f.Add([]byte{40, 20, 1, 2, 4, 6, 2, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		var set keyrange.Set
		var model bitmap
		for i := 0; i+1 < len(data); i += 2 {
			r := keyrange.Range{From: uint64(data[i]) % spaceSize, To: uint64(data[i+1]) % spaceSize}
			set.Add(r)
			model.add(r)
		}
		want := model.runs(keyrange.Range{To: spaceSize}, true)
		if got := set.Ranges(); !slices.Equal(got, want) {
			t.Fatalf("ranges %v, want %v", got, want)
		}
	})
}
