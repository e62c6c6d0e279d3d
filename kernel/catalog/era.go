package catalog

import "time"

// A store that is restored from an older copy has lost what was written since, and gives its revisions
// out again. Leaves and operators write what they had written again, some seconds later. So what is known of
// entries from before the restore orders nothing after it: a drain mark may have a lower revision than
// the entry that it replaces, and a lower sequence is no restart. Until leaves have written again, an entry
// that the store lacks is not gone, and one that it had lost before the restore is not back.

// enterEra begins a later era of the store, in which revisions and sequences of entries count anew. It
// reports whether the store was restored.
func (c *Catalog) enterEra(era uint64, now time.Time) (restored bool) {
	if !c.hasLeaves || era == c.era {
		c.era = era
		return false
	}
	c.era, c.restoredAt = era, now
	for id, l := range c.listed {
		c.listed[id] = withoutOrder(l)
	}
	for id, l := range c.lapsed {
		l.Leaf = withoutOrder(l.Leaf)
		c.lapsed[id] = l
	}
	for id, l := range c.unlisted {
		l.leaf = withoutOrder(l.leaf)
		c.unlisted[id] = l
	}
	for id, d := range c.doubtful {
		d.entry = withoutOrder(d.entry)
		c.doubtful[id] = d
	}
	return true
}

// withoutOrder returns a leaf whose next entry is newer, whatever its revision and sequence are.
func withoutOrder(l Leaf) Leaf {
	l.Revision, l.Sequence = 0, 0
	return l
}

// isRestored reports whether the entry of a leaf may be one that had been removed before a restore of
// the store: for the freshness bound it is not taken for a leaf that has come back.
func (c *Catalog) isRestored(id string, now time.Time) bool {
	absent, ok := c.unlisted[id]
	return ok && absent.since.Before(c.restoredAt) && now.Before(c.restoredAt.Add(c.settings.FreshnessBound))
}
