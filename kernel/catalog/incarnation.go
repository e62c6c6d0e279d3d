package catalog

import "time"

// The entries under one ID may describe several incarnations of a leaf in turn: a leaf
// that restarts may keep its ID, and starts without any state. The store's revision
// tells which of two entries is the later one. The start time tells whether they
// describe the same incarnation; for leaves that state none, a heartbeat sequence that
// went back shows a restart.
//
// Start times come from the leaves' clocks, which may step. An entry that was written
// later but has an earlier start time than the active leaf is either a delayed write of
// the old process, or a restart of a leaf whose clock went back. So is one without a start
// time that has a lower sequence than a leaf that drains: a delayed write of the leaf itself would
// take its drain back. The next heartbeat of
// a running leaf replaces the entry in the first case, whereas in the second case the
// entry stays. So such an entry is doubtful until it has been there for
// Settings.EntryTTL. Until then the old leaf stays active, but gets no new work while
// the doubtful entry drains. In both cases no work goes to a draining leaf, and no leaf
// is lost for longer than that time.

// doubtfulEntry is an entry with an earlier start time, or a lower sequence, than the active leaf.
type doubtfulEntry struct {
	entry Leaf
	// since is when the read began that returned the entry for the first time.
	since time.Time
}

// entryRelation tells how a newly read entry relates to the active leaf with its ID.
type entryRelation int

const (
	sameIncarnation entryRelation = iota
	newIncarnation
	earlierStart
	staleEntry // written before the entry of the active leaf
)

// relate compares the entry l with the active leaf old of the same ID.
func relate(old, l *Leaf) entryRelation {
	switch {
	case l.Revision != 0 && l.Revision < old.Revision:
		return staleEntry
	case l.StartMillis != old.StartMillis && l.StartMillis != 0 && old.StartMillis != 0:
		if l.StartMillis < old.StartMillis {
			return earlierStart
		}
		return newIncarnation
	case l.StartMillis != old.StartMillis:
		return newIncarnation // only one of the two states a start time, so the programs differ
	case isRestartBySequence(old, l):
		return newIncarnation
	case l.StartMillis == 0 && l.Restarts > old.Restarts:
		return newIncarnation // another instance saw the restart
	default:
		return sameIncarnation
	}
}

// isRestartBySequence reports whether the entry l of a leaf that states no start time was written later
// than the active leaf old and has a lower sequence.
func isRestartBySequence(old, l *Leaf) bool {
	return l.StartMillis == 0 && old.StartMillis == 0 && l.Sequence < old.Sequence && l.Revision > old.Revision
}

// merge returns the active leaf after a read of its entry. Within one incarnation a
// draining leaf stays draining, and later reads don't move the end of the warm-up.
func (c *Catalog) merge(l Leaf, readStart time.Time) Leaf {
	old, ok := c.lastKnown(l.ID)
	if !ok {
		return l
	}
	switch relate(&old, &l) {
	case staleEntry:
		return old
	case earlierStart:
		return c.mergeDoubtful(old, l, readStart)
	case newIncarnation:
		if old.Draining && !l.Draining && isRestartBySequence(&old, &l) && !c.isDoubtOver(&l, readStart) {
			return c.mergeDoubtful(old, l, readStart)
		}
		if l.StartMillis == 0 {
			l.Restarts = max(l.Restarts, old.Restarts+1) // as received from another instance, or counted here
		}
		delete(c.doubtful, l.ID)
		return l
	}
	delete(c.doubtful, l.ID)
	l.Draining = l.Draining || old.Draining
	l.WarmUpEnd = old.WarmUpEnd
	l.Restarts = max(l.Restarts, old.Restarts)
	return l
}

// mergeDoubtful returns the old leaf until the doubtful entry has been there for
// Settings.EntryTTL, and the entry l after that.
func (c *Catalog) mergeDoubtful(old, l Leaf, readStart time.Time) Leaf {
	if c.isDoubtOver(&l, readStart) {
		delete(c.doubtful, l.ID)
		return l
	}
	d, ok := c.doubtful[l.ID]
	if !ok || d.entry.StartMillis != l.StartMillis {
		d = doubtfulEntry{since: readStart}
	}
	d.entry = l
	c.doubtful[l.ID] = d
	return old
}

// isDoubtOver reports whether a doubtful entry has been there for Settings.EntryTTL.
func (c *Catalog) isDoubtOver(l *Leaf, readStart time.Time) bool {
	d, ok := c.doubtful[l.ID]
	return ok && d.entry.StartMillis == l.StartMillis && readStart.Sub(d.since) >= c.settings.EntryTTL
}

// acceptDoubtful activates the doubtful entries that a read which found the list
// unchanged shows to be at least Settings.EntryTTL old. It reports whether there were any.
func (c *Catalog) acceptDoubtful(readStart time.Time) (changed bool) {
	for id, d := range c.doubtful {
		if readStart.Sub(d.since) >= c.settings.EntryTTL {
			if d.entry.StartMillis == 0 {
				d.entry.Restarts = max(d.entry.Restarts, c.listed[id].Restarts+1)
			}
			c.listed[id] = d.entry
			delete(c.doubtful, id)
			changed = true
		}
	}
	if changed {
		c.indexIncarnations()
	}
	return changed
}

// unlistedRetention is how long a leaf that is missing from the list is remembered: its
// entry may be unreadable for a while, or lapse, and come back in the same incarnation.
const unlistedRetention = 5 * time.Minute

// unlistedLeaf is a leaf that the last list lacks, and since when.
type unlistedLeaf struct {
	leaf  Leaf
	since time.Time
}

// lastKnown returns the active leaf with an ID, or the unlisted leaf that was last active.
func (c *Catalog) lastKnown(id string) (Leaf, bool) {
	if l, ok := c.activeLeaf(id); ok {
		return l, true
	}
	a, ok := c.unlisted[id]
	return a.leaf, ok
}
