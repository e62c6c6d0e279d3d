// Package direct is the placement policy by which every entry connects to every leaf. It
// divides each leaf's connection limit among the live entries, so that the limit holds even
// while entries have different lists of them.
package direct

import (
	"cmp"
	"hash/fnv"
	"io"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "direct"

// DefaultHeadroom keeps the limits while two entries are missing from the others' lists.
const DefaultHeadroom = 2

type policy struct{ headroom int }

// New returns a new, independent policy.
func New(cfg plugin.PlacementConfig) plugin.Placement {
	return policy{headroom: max(0, cfg.Headroom)}
}

// Share is limit/n rounded down, where n is the number of listed entries plus the headroom;
// the entries that rendezvous hashing ranks first get one connection more. Suppose that N
// entries hold connections and no list misses more than headroom of them. Then every n is at
// least N and each rank is off by at most headroom, so the shares add up to at most limit.
func (p policy) Share(leafID string, limit int, self string, entries []string) int {
	n := p.headroom + len(entries)
	if n == 0 || limit < 1 {
		return 0
	}
	share := limit / n
	if p.rank(leafID, self, entries) < limit%n-p.headroom {
		share++
	}
	return share
}

// rank counts the listed entries that rendezvous hashing ranks before self for the leaf.
func (policy) rank(leafID, self string, entries []string) int {
	own, rank := score(leafID, self), 0
	for _, e := range entries {
		if e != self && ranksBefore(score(leafID, e), e, own, self) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether entry A ranks before entry B: by the higher score, then by name.
func ranksBefore(a uint64, nameA string, b uint64, nameB string) bool {
	if c := cmp.Compare(a, b); c != 0 {
		return c > 0
	}
	return nameA < nameB
}

// score is the rendezvous weight of the entry for the leaf.
func score(leafID, entry string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, leafID)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, entry)
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3. FNV alone leaves the high bits, which decide the rank,
// with little entropy.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Via returns self, as every connection is direct.
func (policy) Via(_, self string, _ []string) string { return self }
