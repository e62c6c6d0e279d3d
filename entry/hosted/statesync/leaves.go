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

// leafRecord is a leaf as instances send each other of it. Their clocks differ:
// the end of the slow start is sent as a time left.
type leafRecord struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	WarmLeft                   time.Duration
	// Born, Sequence, Revision and Restarts tell the starts of a leaf apart.
	Born     int64  `json:",omitempty"`
	Sequence int64  `json:",omitempty"`
	Revision uint64 `json:",omitempty"`
	Restarts int    `json:",omitempty"`
}

// newLeafRecord is what is sent of a leaf.
func newLeafRecord(l *catalog.Leaf, now time.Time) leafRecord {
	return leafRecord{
		ID: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: l.Slots, Draining: l.Draining,
		WarmLeft: max(l.WarmUpEnd.Sub(now), 0), Born: l.StartMillis, Sequence: l.Sequence, Revision: l.Revision, Restarts: l.Restarts,
	}
}

// leaf is what was received.
func (n *leafRecord) leaf(now time.Time) catalog.Leaf {
	return catalog.Leaf{
		ID: n.ID, Service: n.Service, Address: n.Address, Zone: n.Zone, Slots: n.Slots, Draining: n.Draining,
		WarmUpEnd: now.Add(n.WarmLeft), StartMillis: n.Born, Sequence: n.Sequence, Revision: n.Revision, Restarts: n.Restarts,
	}
}

// same reports whether two readings of a leaf mean the same: heartbeats and what is left
// of a slow start count for nothing.
func (n leafRecord) same(o leafRecord) bool {
	n.WarmLeft, n.Sequence, n.Revision = o.WarmLeft, o.Sequence, o.Revision
	return n == o
}

// decodeLeafRecord reads what a peer sent of one leaf; its ID is returned in any case. A
// peer of another version may send what this one can't read: that names no leaf to use,
// and the others hold.
func decodeLeafRecord(data json.RawMessage, now time.Time) (catalog.Leaf, *catalog.BadEntry) {
	var n leafRecord
	if err := json.Unmarshal(data, &n); err != nil {
		return catalog.Leaf{ID: n.ID}, &catalog.BadEntry{Name: n.ID, Revision: n.Revision, Reason: "sent by a peer: " + err.Error()}
	}
	l := n.leaf(now)
	if n.WarmLeft < 0 || n.WarmLeft > catalog.MaxWarmUp {
		return l, &catalog.BadEntry{Name: n.ID, Revision: n.Revision, Field: "warm_left", Reason: "out of range"}
	}
	return l, l.Validate()
}

// pastList is a list that was sent before, and what leads from it to the present one.
type pastList struct {
	hash    uint64
	list    map[string]leafRecord
	changed []byte // packed
	gone    []string
}

// lead finds what leads from a past list to the present one.
func (p *pastList) lead(to map[string]leafRecord) error {
	changed := []leafRecord{}
	for _, id := range slices.Sorted(maps.Keys(to)) {
		if was, ok := p.list[id]; !ok || !was.same(to[id]) {
			changed = append(changed, to[id])
		}
	}
	p.gone = nil
	for _, id := range slices.Sorted(maps.Keys(p.list)) {
		if _, ok := to[id]; !ok {
			p.gone = append(p.gone, id)
		}
	}
	var err error
	p.changed, err = pack(changed)
	return err
}

// receivedLeaves is the list that another instance sent last. It is used by one goroutine.
type receivedLeaves struct {
	hash uint64 // 0: there is none
	list map[string]receivedLeaf
}

// receivedLeaf is one entry of such a list; bad is set where it can't be used.
type receivedLeaf struct {
	leaf catalog.Leaf
	bad  *catalog.BadEntry
}

// forget makes the next request ask for the whole list.
func (t *receivedLeaves) forget() { *t = receivedLeaves{} }

// Errors of a received list of leaves.
var (
	errOtherBase = errors.New("changes of a list that was not received")
	errOtherList = errors.New("the received list is not the one with its hash")
)

// take applies what was received and returns the whole list; differs is false when it is
// the one received before.
func (t *receivedLeaves) take(n *peerapi.SyncReply, now time.Time) (list catalog.Listing, differs bool, err error) {
	list.Revision = n.Revision
	if n.Leaves == nil {
		return list, false, nil
	}
	var entries []json.RawMessage
	if err := unpack(n.Leaves, &entries); err != nil {
		return list, false, fmt.Errorf("decode a peer's leaves: %w", err)
	}
	next := make(map[string]receivedLeaf, len(t.list)+len(entries))
	if n.BaseLeavesHash != 0 {
		if n.BaseLeavesHash != t.hash {
			return list, false, errOtherBase
		}
		maps.Copy(next, t.list)
	}
	for _, id := range n.RemovedLeaves {
		delete(next, id)
	}
	for _, e := range entries {
		l, bad := decodeLeafRecord(e, now)
		next[l.ID] = receivedLeaf{l, bad}
	}
	list.Leaves, list.Bad = splitBad(next)
	if len(list.Bad) == 0 && catalog.HashLeaves(list.Leaves) != n.LeavesHash {
		return list, false, errOtherList
	}
	t.hash, t.list = n.LeavesHash, next
	return list, true, nil
}

// splitBad lists the entries that can be used, in the order of their IDs, and the others.
func splitBad(list map[string]receivedLeaf) (leaves []catalog.Leaf, bad []catalog.BadEntry) {
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
