// Package statesync encodes what an instance knows of the platform's store for other
// instances, and decodes what they send: the configuration, the leaves and the instances,
// each with the age of the store's word. What has not changed is not sent again, and of
// the leaves only what has changed since the asking instance received a list: whole lists
// at each change fill the links of a large fleet. Sending and choosing whom to ask are
// not its job.
package statesync

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// mostPast is the number of earlier lists from which changes are sent. An instance asks
// at least once for each two reads of the store, so a few would do.
const mostPast = 8

// unknownMS is the age of what is not known.
const unknownMS = -1

// State is what this instance sends to others of configuration and leaves. It is immutable.
type State struct {
	// Known says how new it is.
	Known  catalog.LastReads
	config *configState // nil while there is no configuration
	hash   uint64
	list   map[string]leafRecord // by ID
	leaves []byte                // list, packed
	past   []pastList            // the latest last
}

// Config is the configuration, or nil. It must not be changed.
func (s *State) Config() *catalog.Config {
	if s == nil || s.config == nil {
		return nil
	}
	return s.config.config
}

// Hash is that of the list of leaves; 0 before there is a state.
func (s *State) Hash() uint64 {
	if s == nil {
		return 0
	}
	return s.hash
}

// AsOf is when the older one of the last good reads of configuration and leaves began; zero
// while either is missing.
func (s *State) AsOf() time.Time {
	if s == nil {
		return time.Time{}
	}
	if s.Known.ConfigAt.Before(s.Known.LeavesAt) {
		return s.Known.ConfigAt
	}
	return s.Known.LeavesAt
}

// New encodes the catalog, from what was encoded before where it has not changed.
func New(c *catalog.Catalog, before *State, now time.Time) (*State, error) {
	next := &State{Known: c.LastReads()}
	if before != nil {
		next.config = before.config
	}
	if next.Config() != c.Config() {
		next.config = newConfigState(c.Config(), next.config)
	}
	list := c.ListedLeaves()
	next.hash = catalog.HashLeaves(list)
	if before != nil && before.hash == next.hash {
		next.list, next.leaves, next.past = before.list, before.leaves, before.past
		return next, nil
	}
	return next, next.setLeaves(list, before, now)
}

// setLeaves fills in a list that differs from the one before.
func (s *State) setLeaves(list []catalog.Leaf, before *State, now time.Time) error {
	s.list = make(map[string]leafRecord, len(list))
	all := make([]leafRecord, 0, len(list))
	for i := range list {
		l := newLeafRecord(&list[i], now)
		s.list[l.ID] = l
		all = append(all, l)
	}
	var err error
	if s.leaves, err = pack(all); err != nil {
		return err
	}
	if before == nil {
		return nil
	}
	past := append(slices.Clone(before.past), pastList{hash: before.hash, list: before.list})
	past = slices.DeleteFunc(past, func(p pastList) bool { return p.hash == s.hash })
	for _, p := range past[max(0, len(past)-mostPast):] {
		if err := p.lead(s.list); err != nil {
			return err
		}
		s.past = append(s.past, p)
	}
	return nil
}

// Unknown is the reply of an instance that knows nothing, or leaves: others are to ask
// elsewhere in time.
func Unknown() *peerapi.SyncReply {
	return &peerapi.SyncReply{ConfigAgeMS: unknownMS, LeavesAgeMS: unknownMS, FleetAgeMS: unknownMS}
}

// Reply is what a peer that asks gets of configuration and leaves.
func (s *State) Reply(r *peerapi.SyncRequest, now time.Time) *peerapi.SyncReply {
	out := &peerapi.SyncReply{
		ConfigAgeMS: AgeMS(s.Known.ConfigAt, now),
		Revision:    s.Known.Revision, LeavesHash: s.hash, LeavesAgeMS: AgeMS(s.Known.LeavesAt, now), FleetAgeMS: unknownMS,
	}
	s.config.write(r, out)
	s.writeLeaves(r.LeavesHash, out)
	return out
}

// writeLeaves fills in the list, or what leads to it from the one with the given hash.
func (s *State) writeLeaves(from uint64, out *peerapi.SyncReply) {
	if from == s.hash {
		return
	}
	for _, p := range s.past {
		if p.hash == from && len(p.changed) < len(s.leaves) {
			out.BaseLeavesHash, out.Leaves, out.RemovedLeaves = from, p.changed, p.gone
			return
		}
	}
	out.Leaves = s.leaves
}

// AgeMS is for how long something has been known, in milliseconds; -1 for never.
func AgeMS(at, now time.Time) int64 {
	if at.IsZero() {
		return unknownMS
	}
	return now.Sub(at).Milliseconds()
}
