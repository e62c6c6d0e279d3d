package control

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

const (
	// initialShare is the number of connections to a leaf that an instance may open
	// at first, while it can't know how many others share the leaf's limit.
	initialShare = 1
	// growDelay is how long the set of entries must be unchanged before a share
	// grows, so that entries that start together learn of each other first.
	growDelay = 3 * time.Second
)

// shares delays the growth of this instance's shares of the leaves' connection
// limits. A share shrinks at once, but grows only when the set of entries has not
// changed for growDelay: other entries may not know yet of one that joined, and one
// that left may still hold its connections.
type shares struct {
	entries   []string
	listKnown bool
	changedAt time.Time // when the set of entries changed last
	granted   map[string]int
	heldBack  bool // the growth of at least one share is delayed
	now       time.Time
}

func newShares() shares { return shares{granted: make(map[string]int)} }

// setEntries sets the current entries, in a fixed order.
func (s *shares) setEntries(entries []string, now time.Time) {
	if !slices.Equal(entries, s.entries) {
		s.entries = slices.Clone(entries)
		s.changedAt = now
	}
}

// startRound starts a computation of all shares at time now.
func (s *shares) startRound(now time.Time) {
	s.now = now
	s.heldBack = false
}

// limit returns the number of connections to a leaf that this instance may hold,
// which is want unless growth to it is delayed.
func (s *shares) limit(leaf string, want int) int {
	have, ok := s.granted[leaf]
	if !ok {
		have = initialShare
	}
	if want > have && (!s.listKnown || s.now.Sub(s.changedAt) < growDelay) {
		s.heldBack = true
		want = have
	}
	s.granted[leaf] = want
	return want
}

// growAt returns when the delayed shares may grow. It is zero if none is delayed, or
// if the platform's list of instances has not been read yet.
func (s *shares) growAt() time.Time {
	if !s.heldBack || !s.listKnown {
		return time.Time{}
	}
	return s.changedAt.Add(growDelay)
}

// share returns this instance's share of a leaf's connection limit.
func (c *Control) share(u *document.Upstream, leafID string) int {
	want := c.cfg.Placement.Share(leafID, u.ConnectionLimit, c.cfg.Instance, c.membership.Entries())
	return c.shares.limit(leafID, want)
}
