package hosted

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// What one instance sends another of leaves is what has changed since it asked last. The
// whole list of 415 leaves is 73 kB: sent to 60 instances at each change it filled links
// of 14 Mbit/s for 42 ms each, and more so that of the sender. Queries
// of that moment came late, as their connections and hand-overs timed out.

// mostPast is the number of earlier lists from which changes are sent. An instance asks
// at least once for each two reads of the store, so a few would do.
const mostPast = 8

// syncState is what this instance sends to others. It is immutable.
type syncState struct {
	known   catalog.Known
	version uint64
	config  []byte // packed
	hash    uint64
	list    map[string]leafRecord // by ID
	leaves  []byte                // list, packed
	past    []pastList            // the latest last
}

// pastList is a list that was sent before, and what leads from it to the present one.
type pastList struct {
	hash    uint64
	list    map[string]leafRecord
	changed []byte // packed
	gone    []string
}

// newSyncState encodes the catalog, from what was encoded before where it
// has not changed.
func newSyncState(c *catalog.Catalog, before *syncState, now time.Time) (*syncState, error) {
	next := &syncState{known: c.Known(), version: c.Version()}
	if before != nil && before.version == next.version {
		next.config = before.config
	} else if c.Config() != nil {
		var err error
		if next.config, err = pack(c.Config()); err != nil {
			return nil, err
		}
	}
	list := c.List()
	next.hash = catalog.HashOf(list)
	if before != nil && before.hash == next.hash {
		next.list, next.leaves, next.past = before.list, before.leaves, before.past
		return next, nil
	}
	return next, next.setLeaves(list, before, now)
}

// setLeaves fills in a list that differs from the one before.
func (s *syncState) setLeaves(list []catalog.Leaf, before *syncState, now time.Time) error {
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

// same reports whether two readings of a leaf mean the same: heartbeats and what is left
// of a slow start count for nothing.
func (n leafRecord) same(o leafRecord) bool {
	n.WarmLeft, n.Sequence, n.Revision = o.WarmLeft, o.Sequence, o.Revision
	return n == o
}

// writeLeaves fills in the list, or what leads to it from the one with the given hash.
func (s *syncState) writeLeaves(from uint64, out *peerapi.SyncReply) {
	if from == s.hash {
		return
	}
	for _, p := range s.past {
		if p.hash == from && len(p.changed) < len(s.leaves) {
			out.Base, out.Leaves, out.Gone = from, p.changed, p.gone
			return
		}
	}
	out.Leaves = s.leaves
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

// take applies what was received and returns the whole list; differs is false when it is the
// one received before.
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
	if n.Base != 0 {
		if n.Base != t.hash {
			return list, false, errOtherBase
		}
		maps.Copy(next, t.list)
	}
	for _, id := range n.Gone {
		delete(next, id)
	}
	for _, e := range entries {
		l, bad := decodeLeafRecord(e, now)
		next[l.ID] = receivedLeaf{l, bad}
	}
	list.Leaves, list.Bad = splitBad(next)
	if len(list.Bad) == 0 && catalog.HashOf(list.Leaves) != n.Hash {
		return list, false, errOtherList
	}
	t.hash, t.list = n.Hash, next
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

// packFrom is the length from which JSON is compressed, in bytes: 18 ms of a link of 14
// Mbit/s. A compressor takes 1 MB, which an instance of a small fleet need not hold: with
// 2 kB its peak was 15 to 19 MB.
const packFrom = 32 << 10

// writers keeps compressors.
var writers = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return w
}}

// pack writes a value as JSON, compressed where it is long.
func pack(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if len(data) < packFrom {
		return data, nil
	}
	var out bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	return out.Bytes(), nil
}

// mostUnpacked bounds what compressed state may hold, in bytes: a list of 130,000 leaves.
const mostUnpacked = 64 << 20

// gzipMagic begins compressed data; JSON begins otherwise.
var gzipMagic = []byte{0x1f, 0x8b}

// unpack reads what pack has written.
func unpack(data []byte, into any) error {
	if !bytes.HasPrefix(data, gzipMagic) {
		return json.Unmarshal(data, into)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("decompress state: %w", err)
	}
	return json.NewDecoder(io.LimitReader(r, mostUnpacked)).Decode(into)
}
