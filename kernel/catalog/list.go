package catalog

import (
	"maps"
	"slices"
	"time"
)

// isCurrent reports whether a list of the era and the revision is at least as new as the last one.
func (c *Catalog) isCurrent(era, revision uint64) bool {
	return !c.hasLeaves || era > c.era || era == c.era && revision >= c.revision
}

// ApplyLeaves applies the complete list of leaves at a revision of the store. It ignores
// a list older than the last one, and one of the same revision whose read began earlier,
// so that a draining leaf stays draining and LastReads.LeavesAt does not go back. It
// reports whether anything changed; the first list counts as a change even if empty.
//
// Leaves that are missing from the list are dropped at once, unless their entries may
// have lapsed in an outage of the store: see updateLapsed. A leaf whose entry exists but
// is invalid is dropped as well: whoever overwrote the entry may have replaced the leaf,
// and if the leaf still runs, its next heartbeat restores it.
func (c *Catalog) ApplyLeaves(list Listing, readStart, now time.Time) bool {
	if !c.isCurrent(list.Era, list.Revision) || c.hasLeaves && list.Era == c.era && list.Revision == c.revision && readStart.Before(c.leavesAt) {
		return false
	}
	first := !c.hasLeaves
	restored := c.enterEra(list.Era, now)
	prev := c.activeLeaves()
	next := make(map[string]Leaf, len(list.Leaves))
	for _, l := range list.Leaves {
		if !c.isRestored(l.ID, now) {
			next[l.ID] = c.merge(l, readStart)
		}
	}
	c.updateUnlisted(prev, next, now)
	c.updateLapsed(prev, next, &list, restored, readStart, now)
	c.hasLeaves, c.revision, c.leavesAt = true, list.Revision, readStart
	c.listed = next
	maps.DeleteFunc(c.doubtful, func(id string, _ doubtfulEntry) bool { _, ok := next[id]; return !ok })
	c.dropLapsed(now)
	c.indexIncarnations()
	active := c.activeLeaves()
	c.departures = departuresBetween(prev, active)
	return first || !maps.EqualFunc(prev, active, sameForRouting)
}

// Departures holds the IDs of leaves that began to leave with one list, in order.
type Departures struct {
	// Drained are the leaves that the list says to drain, Removed those without an entry that are
	// not kept in use.
	Drained, Removed []string
}

// Departures returns the leaves that began to leave with the last list.
func (c *Catalog) Departures() Departures { return c.departures }

// departuresBetween compares the active leaves before and after a list.
func departuresBetween(prev, next map[string]Leaf) Departures {
	var out Departures
	for _, id := range slices.Sorted(maps.Keys(prev)) {
		l, listed := next[id]
		switch {
		case !listed:
			out.Removed = append(out.Removed, id)
		case l.Draining && !prev[id].Draining:
			out.Drained = append(out.Drained, id)
		}
	}
	return out
}

// updateUnlisted records the leaves that were active before and that the next list lacks,
// and forgets those that are listed again or have been missing for unlistedRetention.
func (c *Catalog) updateUnlisted(prev, next map[string]Leaf, now time.Time) {
	for id := range next {
		delete(c.unlisted, id)
	}
	for id, l := range missingFrom(prev, next) {
		if _, ok := c.unlisted[id]; !ok {
			c.unlisted[id] = unlistedLeaf{leaf: l, since: now}
		}
	}
	maps.DeleteFunc(c.unlisted, func(_ string, a unlistedLeaf) bool { return now.Sub(a.since) >= unlistedRetention })
}

// indexIncarnations rebuilds byIncarnation.
func (c *Catalog) indexIncarnations() {
	clear(c.byIncarnation)
	for id, l := range c.activeLeaves() {
		c.byIncarnation[l.Incarnation()] = id
	}
}

// missingFrom returns the leaves of prev that next lacks.
func missingFrom(prev, next map[string]Leaf) map[string]Leaf {
	out := make(map[string]Leaf)
	for id, l := range prev {
		if _, ok := next[id]; !ok {
			out[id] = l
		}
	}
	return out
}

// activeLeaves returns the listed and the lapsed leaves, by ID. A leaf with a doubtful
// entry that drains counts as draining.
func (c *Catalog) activeLeaves() map[string]Leaf {
	out := maps.Clone(c.listed)
	for id, l := range c.lapsed {
		out[id] = l.Leaf
	}
	for id, d := range c.doubtful {
		l := out[id]
		l.Draining = l.Draining || d.entry.Draining
		out[id] = l
	}
	return out
}

// activeLeaf returns the listed or lapsed leaf with an ID.
func (c *Catalog) activeLeaf(id string) (Leaf, bool) {
	if l, ok := c.listed[id]; ok {
		return l, true
	}
	l, ok := c.lapsed[id]
	return l.Leaf, ok
}

// ConfirmLeaves records that a read that began at readStart found the list unchanged, at
// the given era and revision. It reports whether that activated a doubtful entry.
func (c *Catalog) ConfirmLeaves(era, revision uint64, readStart, now time.Time) bool {
	if !c.hasLeaves || !c.isCurrent(era, revision) || !readStart.After(c.leavesAt) {
		return false
	}
	c.enterEra(era, now)
	c.revision, c.leavesAt = revision, readStart
	return c.acceptDoubtful(readStart)
}
