// Package statesync encodes and decodes the state that instances send each other: the
// configuration, the leaves and the instances, each with the age of the read of the platform's
// store that it comes from. Unchanged parts are not sent again. Of configuration and leaves,
// only the changes since the receiver's version are sent where possible, because whole lists
// at each change fill the links of a large fleet. The package sends nothing itself and does
// not choose the instance to sync from.
package statesync

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// maxPastLists is the number of earlier lists of leaves from which changes are sent. An
// instance asks at least once for each two reads of the store, so a few are enough.
const maxPastLists = 8

// unknownAgeMS is sent as the age of a part that is not known.
const unknownAgeMS = -1

// State is the configuration and the list of leaves, encoded for other instances. It is
// immutable.
type State struct {
	// LastReads has the times of the store reads that the state comes from.
	LastReads catalog.LastReads
	config    *configState // nil while there is no configuration
	hash      uint64
	list      map[string]leafRecord // by ID
	leaves    []byte                // list, packed
	past      []pastLeaves          // the latest last
}

// Config returns the configuration, or nil. It must not be changed.
func (s *State) Config() *catalog.Config {
	if s == nil || s.config == nil {
		return nil
	}
	return s.config.config
}

// LeavesHash returns the hash of the list of leaves; 0 for a nil state.
func (s *State) LeavesHash() uint64 {
	if s == nil {
		return 0
	}
	return s.hash
}

// AsOf returns the time at which the last successful read of the configuration or that of the
// leaves began, whichever is earlier; zero while either is missing.
func (s *State) AsOf() time.Time {
	if s == nil {
		return time.Time{}
	}
	if s.LastReads.ConfigAt.Before(s.LastReads.LeavesAt) {
		return s.LastReads.ConfigAt
	}
	return s.LastReads.LeavesAt
}

// New returns the state of a catalog. It reuses the encoded parts of the previous state that
// have not changed; previous may be nil.
func New(c *catalog.Catalog, previous *State, now time.Time) (*State, error) {
	next := &State{LastReads: c.LastReads()}
	if previous != nil {
		next.config = previous.config
	}
	if next.Config() != c.Config() {
		next.config = newConfigState(c.Config(), next.config)
	}
	list := c.ListedLeaves()
	next.hash = catalog.HashLeaves(list)
	if previous != nil && previous.hash == next.hash && previous.LastReads.Era == next.LastReads.Era {
		next.list, next.leaves, next.past = previous.list, previous.leaves, previous.past
		return next, nil
	}
	return next, next.encodeLeaves(list, previous, now)
}

// encodeLeaves sets the list of leaves, its encoding and the changes from earlier lists. The
// list differs from the previous one.
func (s *State) encodeLeaves(list []catalog.Leaf, previous *State, now time.Time) error {
	s.list = make(map[string]leafRecord, len(list))
	records := make([]leafRecord, 0, len(list))
	for i := range list {
		r := newLeafRecord(&list[i], now)
		s.list[r.ID] = r
		records = append(records, r)
	}
	var err error
	if s.leaves, err = pack(records); err != nil {
		return err
	}
	if previous == nil {
		return nil
	}
	past := append(slices.Clone(previous.past), pastLeaves{hash: previous.hash, list: previous.list})
	past = slices.DeleteFunc(past, func(p pastLeaves) bool { return p.hash == s.hash })
	for _, p := range past[max(0, len(past)-maxPastLists):] {
		if err := p.computeChanges(s.list); err != nil {
			return err
		}
		s.past = append(s.past, p)
	}
	return nil
}

// UnknownReply returns the reply of an instance that knows nothing, or that is leaving, so that
// others sync from another instance in time.
func UnknownReply() *peerapi.SyncReply {
	return &peerapi.SyncReply{ConfigAgeMS: unknownAgeMS, LeavesAgeMS: unknownAgeMS, FleetAgeMS: unknownAgeMS}
}

// Reply returns the reply to a peer's request, with the configuration and the leaves as far as
// they differ from those that the request names. InstanceList.FillReply adds the instances;
// until then the reply says that they are unknown.
func (s *State) Reply(r *peerapi.SyncRequest, now time.Time) *peerapi.SyncReply {
	out := &peerapi.SyncReply{
		ConfigAgeMS: AgeMS(s.LastReads.ConfigAt, now),
		Era:         s.LastReads.Era, Revision: s.LastReads.Revision, LeavesHash: s.hash, LeavesAgeMS: AgeMS(s.LastReads.LeavesAt, now), FleetAgeMS: unknownAgeMS,
	}
	s.config.fillReply(r, out)
	s.fillLeaves(r.LeavesHash, out)
	return out
}

// fillLeaves fills in the list of leaves, or the changes to it from the list that the peer has,
// if that list is known and the changes are shorter.
func (s *State) fillLeaves(peerHash uint64, out *peerapi.SyncReply) {
	if peerHash == s.hash {
		return
	}
	for _, p := range s.past {
		if p.hash == peerHash && len(p.changed) < len(s.leaves) {
			out.BaseLeavesHash, out.Leaves, out.RemovedLeaves = peerHash, p.changed, p.removed
			return
		}
	}
	out.Leaves = s.leaves
}

// AgeMS returns the time since a moment in milliseconds; -1 for the zero time.
func AgeMS(at, now time.Time) int64 {
	if at.IsZero() {
		return unknownAgeMS
	}
	return now.Sub(at).Milliseconds()
}
