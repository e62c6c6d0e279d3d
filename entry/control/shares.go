package control

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

const (
	// blindShare is the connections to a leaf that an instance opens before it
	// may grow: it can't know yet how many others share the leaf's limit.
	blindShare = 1
	// growAfter is how long the set of entries must have stood still before a
	// share grows. Entries that start together learn of each other meanwhile.
	growAfter = 3 * time.Second
)

// shares holds back the growth of connection shares. A share shrinks at once;
// it grows only when the set of entries has stood still for a while, since
// those that have just come or gone are not known, or not gone, everywhere.
type shares struct {
	entries   []string
	listKnown bool
	changed   time.Time // when the set of entries last changed
	granted   map[string]int
	held      bool // a share is held back
	now       time.Time
}

func newShares() shares { return shares{granted: make(map[string]int)} }

// follow takes the set of entries as it is now, in order.
func (s *shares) follow(entries []string, now time.Time) {
	if !slices.Equal(entries, s.entries) {
		s.entries = slices.Clone(entries)
		s.changed = now
	}
}

// begin starts a new computation of all shares.
func (s *shares) begin(now time.Time) {
	s.now = now
	s.held = false
}

// grant gives the share of a leaf, of which so many connections are wanted.
func (s *shares) grant(leaf string, want int) int {
	have, ok := s.granted[leaf]
	if !ok {
		have = blindShare
	}
	if want > have && (!s.listKnown || s.now.Sub(s.changed) < growAfter) {
		s.held = true
		want = have
	}
	s.granted[leaf] = want
	return want
}

// growAt is when shares that are held back may grow; zero when none is, or
// when that waits for the platform's list.
func (s *shares) growAt() time.Time {
	if !s.held || !s.listKnown {
		return time.Time{}
	}
	return s.changed.Add(growAfter)
}

// share is this instance's share of a leaf's connection limit.
func (c *Control) share(u *document.Upstream, leafID string) int {
	want := c.cfg.Placement.Share(leafID, u.ConnectionLimit, c.cfg.Instance, c.membership.Entries())
	return c.shares.grant(leafID, want)
}
