package catalog

import (
	"maps"
	"slices"
	"time"
)

// In an outage of the store, entries of running leaves lapse and come back within
// Settings.ReregisterWithin of its end. A leaf that is missing from the first list after
// an outage is therefore kept in use for that time.
//
// A long time between two reads does not prove an outage: the instance that reads the
// store for others may have been lost, while the store served and leaves left. Only a
// read of this instance's own that failed meanwhile does. Without one, a missing leaf may
// have left right after the last list that had it, and it is out of use within the
// freshness bound of that list.

// lapsedLeaf is a leaf that is kept in use although the last list lacks it.
type lapsedLeaf struct {
	Leaf
	// listedAt is when the read of the last list that had the leaf began.
	listedAt time.Time
	// until is when the leaf is dropped unless it is listed again.
	until time.Time
}

// removalShare is the share of the freshness bound within which a leaf that may have left
// is dropped. The rest is for the time until the next call of Expire.
const removalShare = 0.8

// RecordReadFailure records that a read of the store by this instance itself failed at a
// time.
func (c *Catalog) RecordReadFailure(at time.Time) {
	if at.After(c.readFailedAt) {
		c.readFailedAt = at
	}
}

// updateLapsed determines the leaves that are kept without an entry after a list whose
// read began at readStart: those of prev that next lacks, if entries may have lapsed
// since the last list, or the store was restored from an older copy.
func (c *Catalog) updateLapsed(prev, next map[string]Leaf, list *Listing, restored bool, readStart, now time.Time) {
	if !restored && (!c.hasLeaves || readStart.Sub(c.leavesAt) < c.settings.EntryTTL) {
		return
	}
	wasOutage := restored || c.readFailedAt.After(c.leavesAt)
	lapsed := make(map[string]lapsedLeaf)
	for id, l := range missingFrom(prev, next) {
		kept := lapsedLeaf{Leaf: l, listedAt: c.leavesAt, until: now.Add(c.settings.ReregisterWithin)}
		if before, ok := c.lapsed[id]; ok {
			kept.listedAt = before.listedAt
		}
		if latest := kept.listedAt.Add(c.removalTime()); !wasOutage && latest.Before(kept.until) {
			kept.until = latest
		}
		lapsed[id] = kept
	}
	for i := range list.Bad {
		delete(lapsed, list.Bad[i].Name)
	}
	c.lapsed = lapsed
}

// removalTime returns the time since the last list that had a leaf after which the leaf
// is dropped unless the store had an outage.
func (c *Catalog) removalTime() time.Duration {
	return time.Duration(removalShare * float64(c.settings.FreshnessBound))
}

// dropLapsed drops the lapsed leaves that are listed again, and those whose time to
// register again has passed.
func (c *Catalog) dropLapsed(now time.Time) {
	maps.DeleteFunc(c.lapsed, func(id string, l lapsedLeaf) bool {
		_, back := c.listed[id]
		return back || !now.Before(l.until)
	})
}

// Lapsed describes the leaves that are kept in use although the last list lacks them.
type Lapsed struct {
	// IDs are in order.
	IDs []string
	// Until is when the last of them is dropped.
	Until time.Time
}

// Lapsed returns the leaves that are kept without an entry.
func (c *Catalog) Lapsed() Lapsed {
	out := Lapsed{IDs: slices.Sorted(maps.Keys(c.lapsed))}
	for _, l := range c.lapsed {
		if l.until.After(out.Until) {
			out.Until = l.until
		}
	}
	return out
}
