package statesync

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// leafRecord is the encoding of a leaf in a list that instances send each other. Their
// clocks differ, so the end of the leaf's warm-up is sent as the time left, WarmLeft.
type leafRecord struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	WarmLeft                   time.Duration
	// Born, Sequence, Revision and Restarts identify the incarnation of a leaf. Born is
	// catalog.Leaf.StartMillis.
	Born     int64  `json:",omitempty"`
	Sequence int64  `json:",omitempty"`
	Revision uint64 `json:",omitempty"`
	Restarts int    `json:",omitempty"`
}

// newLeafRecord encodes a leaf.
func newLeafRecord(l *catalog.Leaf, now time.Time) leafRecord {
	return leafRecord{
		ID: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: l.Slots, Draining: l.Draining,
		WarmLeft: max(l.WarmUpEnd.Sub(now), 0), Born: l.StartMillis, Sequence: l.Sequence, Revision: l.Revision, Restarts: l.Restarts,
	}
}

// leaf decodes a record.
func (r *leafRecord) leaf(now time.Time) catalog.Leaf {
	return catalog.Leaf{
		ID: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining,
		WarmUpEnd: now.Add(r.WarmLeft), StartMillis: r.Born, Sequence: r.Sequence, Revision: r.Revision, Restarts: r.Restarts,
	}
}

// equalState reports whether two records of a leaf are equal except for heartbeats and the
// time left of the warm-up.
func (r leafRecord) equalState(o leafRecord) bool {
	r.WarmLeft, r.Sequence, r.Revision = o.WarmLeft, o.Sequence, o.Revision
	return r == o
}

// decodeLeafRecord decodes one leaf of a peer's list. For an invalid leaf it returns a bad entry
// and a leaf that has at least the ID, as far as the ID could be read. A peer of another program
// version may send a leaf that this one can't decode; the other leaves of its list are used.
func decodeLeafRecord(data json.RawMessage, now time.Time) (catalog.Leaf, *catalog.BadEntry) {
	var r leafRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return catalog.Leaf{ID: r.ID}, &catalog.BadEntry{Name: r.ID, Revision: r.Revision, Reason: "sent by a peer: " + err.Error()}
	}
	l := r.leaf(now)
	if r.WarmLeft < 0 || r.WarmLeft > catalog.MaxWarmUp {
		return l, &catalog.BadEntry{Name: r.ID, Revision: r.Revision, Field: "warm_left", Reason: "out of range"}
	}
	return l, l.Validate()
}

// pastLeaves is an earlier list of leaves and the changes from it to the current list.
type pastLeaves struct {
	hash    uint64
	list    map[string]leafRecord
	changed []byte   // packed records of the leaves that are new or differ
	removed []string // IDs
}

// computeChanges sets the changes from the earlier list to the current one.
func (p *pastLeaves) computeChanges(current map[string]leafRecord) error {
	changed := []leafRecord{}
	for _, id := range slices.Sorted(maps.Keys(current)) {
		if old, ok := p.list[id]; !ok || !old.equalState(current[id]) {
			changed = append(changed, current[id])
		}
	}
	p.removed = nil
	for _, id := range slices.Sorted(maps.Keys(p.list)) {
		if _, ok := current[id]; !ok {
			p.removed = append(p.removed, id)
		}
	}
	var err error
	p.changed, err = pack(changed)
	return err
}

// receivedLeaves is the list of leaves received last. It is not safe for concurrent use.
type receivedLeaves struct {
	era  uint64 // of the store at the last reply
	hash uint64 // 0 if there is no list
	list map[string]receivedLeaf
}

// receivedLeaf is one leaf of a received list. If it is invalid, bad says why.
type receivedLeaf struct {
	leaf catalog.Leaf
	bad  *catalog.BadEntry
}

// forget makes the next request ask for the whole list.
func (l *receivedLeaves) forget() { *l = receivedLeaves{era: l.era} }

// Errors of a received list of leaves.
var (
	errUnknownBaseList  = errors.New("received changes of a list of leaves that this instance does not have")
	errListHashMismatch = errors.New("the hash of the received list of leaves does not match")
)

// apply applies the list or the changes of a reply and returns the whole list. If the reply
// has neither, the list is the one received last: changed is false and only the revision is
// returned.
func (l *receivedLeaves) apply(reply *peerapi.SyncReply, now time.Time) (list catalog.Listing, changed bool, err error) {
	list.Era, list.Revision = reply.Era, reply.Revision
	l.enterEra(reply.Era)
	if reply.Leaves == nil {
		return list, false, nil
	}
	var entries []json.RawMessage
	if err := unpack(reply.Leaves, &entries); err != nil {
		return list, false, fmt.Errorf("decode a peer's leaves: %w", err)
	}
	next := make(map[string]receivedLeaf, len(l.list)+len(entries))
	if reply.BaseLeavesHash != 0 {
		if reply.BaseLeavesHash != l.hash {
			return list, false, errUnknownBaseList
		}
		maps.Copy(next, l.list)
	}
	for _, id := range reply.RemovedLeaves {
		delete(next, id)
	}
	for _, e := range entries {
		leaf, bad := decodeLeafRecord(e, now)
		next[leaf.ID] = receivedLeaf{leaf, bad}
	}
	list.Leaves, list.Bad = splitValid(next)
	if len(list.Bad) == 0 && catalog.HashLeaves(list.Leaves) != reply.LeavesHash {
		return list, false, errListHashMismatch
	}
	l.hash, l.list = reply.LeavesHash, next
	return list, true, nil
}

// enterEra drops the revisions and sequences of the list in another era of the store, in which they
// order nothing.
func (l *receivedLeaves) enterEra(era uint64) {
	if era == l.era {
		return
	}
	l.era = era
	for id, r := range l.list {
		r.leaf.Revision, r.leaf.Sequence = 0, 0
		l.list[id] = r
	}
}

// splitValid returns the valid leaves and the bad entries, each ordered by ID.
func splitValid(list map[string]receivedLeaf) (leaves []catalog.Leaf, bad []catalog.BadEntry) {
	leaves = make([]catalog.Leaf, 0, len(list))
	for _, id := range slices.Sorted(maps.Keys(list)) {
		if l := list[id]; l.bad == nil {
			leaves = append(leaves, l.leaf)
		} else {
			bad = append(bad, *l.bad)
		}
	}
	return leaves, bad
}
