// Package direct lets every entry connect to every leaf and divides each
// leaf's connection limit among the live entries, so that the limit holds
// even when entries see different lists.
package direct

import (
	"cmp"
	"hash/fnv"
	"io"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "direct"

// DefaultHeadroom allows two entries that have joined unseen by others.
const DefaultHeadroom = 2

type policy struct{ headroom int }

// New returns an independent instance.
func New(cfg plugin.PlacementConfig) plugin.Placement {
	return policy{headroom: max(0, cfg.Headroom)}
}

// Share is limit/m rounded down, where m counts the listed entries and the
// headroom, and one more for the entries that rendezvous hashing ranks first.
// If no list misses more than headroom of the N entries that hold connections,
// every m is at least N and each rank is off by at most headroom, so the sum
// of all shares stays within the limit.
func (p policy) Share(leafID string, limit int, self string, entries []string) int {
	m := p.headroom + len(entries)
	if m == 0 || limit < 1 {
		return 0
	}
	share := limit / m
	if p.rank(leafID, self, entries) < limit%m-p.headroom {
		share++
	}
	return share
}

// rank counts the listed entries that come before self for the leaf.
func (policy) rank(leafID, self string, entries []string) int {
	own, n := score(leafID, self), 0
	for _, e := range entries {
		if e != self && before(score(leafID, e), e, own, self) {
			n++
		}
	}
	return n
}

// before orders by score, then by name.
func before(a uint64, nameA string, b uint64, nameB string) bool {
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

// mix spreads the hash's low-entropy high bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Via is always self: the connection is direct.
func (policy) Via(_, self string, _ []string) string { return self }
