package catalog

import "time"

// The entries of one ID tell of one leaf after the other: a leaf that starts again
// may keep its ID, and knows nothing of before. Which entry is the later one follows
// from the store's revision. Whether it is of the same start follows from the birth, or,
// for leaves that state none, by a sequence that went back.
//
// Births come from the leaves' clocks, which may step. A birth that is earlier than
// the one in force, in an entry that was written later, is either a write of the old
// process that the store carried out late, or a new start of a leaf whose clock went
// back. The next heartbeat of a leaf that lives replaces the first; the second stays.
// So such an entry is in doubt until it has stood for Settings.EntryTTL. Until then
// the leaf in force stays in force, but gets no new work while the doubtful entry
// drains: neither case may send work to a leaf that leaves, and neither loses the
// leaf for longer than that time.

// doubt is an entry with an earlier birth than the leaf in force, and when the read
// began in which it was first seen.
type doubt struct {
	entry Leaf
	since time.Time
}

// succession says how a later entry of an ID relates to the leaf in force.
type succession int

const (
	sameStart succession = iota
	newStart
	earlierBirth
	staleEntry // written before the entry in force
)

// succeeds compares an entry with the leaf in force under its ID.
func succeeds(old, l *Leaf) succession {
	switch {
	case l.Revision != 0 && l.Revision < old.Revision:
		return staleEntry
	case l.StartMillis != old.StartMillis && l.StartMillis != 0 && old.StartMillis != 0:
		if l.StartMillis < old.StartMillis {
			return earlierBirth
		}
		return newStart
	case l.StartMillis != old.StartMillis:
		return newStart // it began, or ceased, to state its birth: another program
	case l.StartMillis == 0 && l.Sequence < old.Sequence && l.Revision > old.Revision:
		return newStart
	case l.StartMillis == 0 && l.Restarts > old.Restarts:
		return newStart // another instance saw it
	default:
		return sameStart
	}
}

// merge returns the leaf in force after one more reading of its entry. Within one
// start a drain is never taken back, and the end of the slow start does not move
// with each reading.
func (c *Catalog) merge(l Leaf, began time.Time) Leaf {
	old, ok := c.remembered(l.ID)
	if !ok {
		return l
	}
	switch succeeds(&old, &l) {
	case staleEntry:
		return old
	case earlierBirth:
		return c.mergeDoubtful(old, l, began)
	case newStart:
		if l.StartMillis == 0 {
			l.Restarts = max(l.Restarts, old.Restarts+1) // as received, or counted here
		}
		delete(c.doubts, l.ID)
		return l
	}
	delete(c.doubts, l.ID)
	l.Draining = l.Draining || old.Draining
	l.WarmUpEnd = old.WarmUpEnd
	l.Restarts = max(l.Restarts, old.Restarts)
	return l
}

// mergeDoubtful keeps the leaf in force until the doubtful entry has stood for long
// enough.
func (c *Catalog) mergeDoubtful(old, l Leaf, began time.Time) Leaf {
	d, ok := c.doubts[l.ID]
	if !ok || d.entry.StartMillis != l.StartMillis {
		d = doubt{since: began}
	}
	if began.Sub(d.since) >= c.settings.EntryTTL {
		delete(c.doubts, l.ID)
		return l
	}
	d.entry = l
	c.doubts[l.ID] = d
	return old
}

// settleDoubts puts the entries in force that have stood for long enough by a read
// that found the list unchanged.
func (c *Catalog) settleDoubts(began time.Time) (changed bool) {
	for id, d := range c.doubts {
		if began.Sub(d.since) >= c.settings.EntryTTL {
			c.listed[id] = d.entry
			delete(c.doubts, id)
			changed = true
		}
	}
	if changed {
		c.index()
	}
	return changed
}

// forgetAfter is for how long a leaf is remembered that no list names any more: its
// entry may be unreadable for a while, or lapse, and come back within one start.
const forgetAfter = 5 * time.Minute

// absent is a leaf that the last list did not name.
type absent struct {
	leaf  Leaf
	since time.Time
}

// remembered returns the leaf in force under an ID, or the last one that was.
func (c *Catalog) remembered(id string) (Leaf, bool) {
	if l, ok := c.known(id); ok {
		return l, true
	}
	a, ok := c.absent[id]
	return a.leaf, ok
}
