package catalog

import (
	"maps"
	"time"
)

// sees reports whether a list at the revision is new.
func (c *Catalog) sees(revision uint64) bool { return !c.hasList || revision >= c.revision }

// ApplyLeaves takes the whole list of leaves at a revision of the store. A list
// older than one taken before is dropped, also one of the same revision from an earlier read:
// what was seen leaving stays so, and the list does not age. It
// reports whether anything changed; the first list is a change, also an empty one.
//
// Entries of leaves that live lapse in an outage and come back after it. Those
// missing in the first list after one are held for that time; what is missing
// later is gone. To hold these too let leaves that left after the outage get new
// work for as long. A leaf whose entry is there and bad is not held either: whoever
// overwrote the entry may have taken the leaf's place, and if the leaf lives its next
// heartbeat brings it back.
func (c *Catalog) ApplyLeaves(list Listing, began, now time.Time) bool {
	if !c.sees(list.Revision) || c.hasList && list.Revision == c.revision && began.Before(c.listedAt) {
		return false
	}
	first := !c.hasList
	before := c.leaves()
	next := make(map[string]Leaf, len(list.Leaves))
	for _, l := range list.Leaves {
		next[l.ID] = c.merge(l, began)
	}
	c.remember(before, next, now)
	if c.hasList && began.Sub(c.listedAt) >= c.settings.EntryTTL {
		c.held = missing(before, next)
		for i := range list.Bad {
			delete(c.held, list.Bad[i].Name)
		}
		c.heldUntil = now.Add(c.settings.ReregisterWithin)
	}
	c.hasList, c.revision, c.listedAt = true, list.Revision, began
	c.listed = next
	maps.DeleteFunc(c.doubts, func(id string, _ doubt) bool { _, ok := next[id]; return !ok })
	c.release(now)
	c.index()
	return first || !maps.EqualFunc(before, c.leaves(), sameForRouting)
}

// remember keeps the leaves that a list does not name any more.
func (c *Catalog) remember(before, next map[string]Leaf, now time.Time) {
	for id := range next {
		delete(c.absent, id)
	}
	for id, l := range missing(before, next) {
		if _, ok := c.absent[id]; !ok {
			c.absent[id] = absent{leaf: l, since: now}
		}
	}
	maps.DeleteFunc(c.absent, func(_ string, a absent) bool { return now.Sub(a.since) >= forgetAfter })
}

// index finds the leaves in force by their incarnations.
func (c *Catalog) index() {
	clear(c.byIncarnation)
	for id, l := range c.leaves() {
		c.byIncarnation[l.Incarnation()] = id
	}
}

// release ends the holding of leaves that are back, or whose time is over.
func (c *Catalog) release(now time.Time) {
	if !now.Before(c.heldUntil) {
		clear(c.held)
		return
	}
	maps.DeleteFunc(c.held, func(id string, _ Leaf) bool {
		_, back := c.listed[id]
		return back
	})
}

// missing returns the leaves of one list that another lacks.
func missing(from, in map[string]Leaf) map[string]Leaf {
	out := make(map[string]Leaf)
	for id, l := range from {
		if _, ok := in[id]; !ok {
			out[id] = l
		}
	}
	return out
}

// leaves are those in force: the listed and the held ones.
func (c *Catalog) leaves() map[string]Leaf {
	out := maps.Clone(c.listed)
	maps.Copy(out, c.held)
	for id, d := range c.doubts {
		l := out[id]
		l.Draining = l.Draining || d.entry.Draining
		out[id] = l
	}
	return out
}

// known returns a leaf in force.
func (c *Catalog) known(id string) (Leaf, bool) {
	if l, ok := c.listed[id]; ok {
		return l, true
	}
	l, ok := c.held[id]
	return l, ok
}

// ConfirmLeaves notes that the list in force was still the newest at a read
// that began at the given time. It reports whether anything changed by that.
func (c *Catalog) ConfirmLeaves(revision uint64, began time.Time) bool {
	if !c.hasList || !c.sees(revision) || !began.After(c.listedAt) {
		return false
	}
	c.revision, c.listedAt = revision, began
	return c.settleDoubts(began)
}
