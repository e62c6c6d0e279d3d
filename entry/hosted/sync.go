package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

const (
	// syncTimeout bounds one question to a peer of the own zone, which takes less
	// than a millisecond when the peer is well.
	syncTimeout = 250 * time.Millisecond
)

// leafRecord is a leaf as instances tell each other of it. Their clocks differ:
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
		WarmLeft: max(l.WarmAt.Sub(now), 0), Born: l.Born, Sequence: l.Sequence, Revision: l.Revision, Restarts: l.Restarts,
	}
}

// leaf is what was received.
func (n *leafRecord) leaf(now time.Time) catalog.Leaf {
	return catalog.Leaf{
		ID: n.ID, Service: n.Service, Address: n.Address, Zone: n.Zone, Slots: n.Slots, Draining: n.Draining,
		WarmAt: now.Add(n.WarmLeft), Born: n.Born, Sequence: n.Sequence, Revision: n.Revision, Restarts: n.Restarts,
	}
}

// peerServer answers other instances.
func (n *Node) peerServer() *peer.Server {
	return peer.NewServer(peer.ServerConfig{Instance: n.config.Instance, Key: n.config.PeerKey, Sync: n, Forward: n})
}

// Sync implements peer.SyncHandler. An instance that leaves knows nothing: others are
// to ask elsewhere in time.
func (n *Node) Sync(r peerapi.SyncRequest) *peerapi.SyncReply {
	s := n.control.state.Load()
	if s == nil || n.lifecycle.Leaving() {
		return &peerapi.SyncReply{ConfigAgeMS: -1, LeavesAgeMS: -1}
	}
	now := time.Now()
	out := &peerapi.SyncReply{
		Version: s.version, ConfigAgeMS: ageMS(s.known.ConfigAt, now),
		Revision: s.known.Revision, Hash: s.hash, LeavesAgeMS: ageMS(s.known.LeavesAt, now),
	}
	if r.Version != s.version {
		out.Config = s.config
	}
	s.writeLeaves(r.Hash, out)
	n.sharing.observe(r.Seen, now)
	out.Slow = n.sharing.tell(now)
	n.executor.MergeQuarantine(r.Quarantine)
	out.Quarantine = n.executor.Quarantine()
	return out
}

// ageMS is for how long something has been known, -1 for never.
func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// staleStateError says that a peer's state is too old to be of use.
type staleStateError struct{ configAge, leavesAge time.Duration }

// Error implements error.
func (e *staleStateError) Error() string {
	return fmt.Sprintf("state is old: configuration %v, leaves %v", e.configAge, e.leavesAge)
}

// ask synchronizes from a peer. The ages grow by the whole time of the call,
// so that what it sends is never taken for newer than it is.
func (c *control) ask(ctx context.Context, from fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	began := time.Now()
	seen := c.node.sharing.takePending(began)
	reply, err := c.node.peers.Sync(ctx, peer.Target{Instance: from.Name, Address: from.Peer}, peerapi.SyncRequest{
		Version: c.version.Load(), Hash: c.received.hash, Seen: seen,
		Quarantine: c.node.executor.Quarantine(),
	})
	if err != nil {
		return err
	}
	c.node.executor.MergeQuarantine(reply.Quarantine)
	configAge := time.Duration(reply.ConfigAgeMS) * time.Millisecond
	leavesAge := time.Duration(reply.LeavesAgeMS) * time.Millisecond
	if configAge < 0 || leavesAge < 0 || max(configAge, leavesAge) > c.bound(staleShare) {
		return &staleStateError{configAge, leavesAge}
	}
	c.node.sharing.setReported(reply.Slow, began)
	got := syncRead{version: reply.Version, configAt: began.Add(-configAge), leavesAt: began.Add(-leavesAge)}
	if got.config, err = decodeConfig(reply); err != nil {
		return err
	}
	if got.list, got.differs, err = c.received.take(reply, time.Now()); err != nil {
		c.received.forget()
		return err
	}
	if err := c.tell(ctx, got); err != nil {
		c.received.forget() // the catalog has not got it
		return err
	}
	return nil
}

// syncRead is what a peer sent.
type syncRead struct {
	version  uint64
	config   *catalog.Config // nil: that of the version asked with
	configAt time.Time
	list     catalog.Listing
	differs  bool // list has all leaves, else only its revision counts
	leavesAt time.Time
}

// decodeConfig reads a peer's configuration; nil: it is the one asked with.
func decodeConfig(n *peerapi.SyncReply) (*catalog.Config, error) {
	if n.Config == nil {
		return nil, nil
	}
	out := &catalog.Config{}
	if err := unpack(n.Config, out); err != nil {
		return nil, fmt.Errorf("decode a peer's configuration: %w", err)
	}
	return out, nil
}

// decodeLeafRecord reads what a peer sent of one leaf; its ID is returned in any case. A peer of another version may
// send what this one can't read: that names no leaf to use, and the others hold.
func decodeLeafRecord(data json.RawMessage, now time.Time) (catalog.Leaf, *catalog.BadEntry) {
	var n leafRecord
	if err := json.Unmarshal(data, &n); err != nil {
		return catalog.Leaf{ID: n.ID}, &catalog.BadEntry{Name: n.ID, Revision: n.Revision, Reason: "sent by a peer: " + err.Error()}
	}
	l := n.leaf(now)
	if n.WarmLeft < 0 || n.WarmLeft > catalog.LongestWarmUp {
		return l, &catalog.BadEntry{Name: n.ID, Revision: n.Revision, Field: "warm_left", Reason: "out of range"}
	}
	return l, l.Check()
}

// takeSync puts a peer's state into the catalog and reports whether anything changed.
func (c *control) takeSync(n syncRead, now time.Time) bool {
	changed := false
	if n.config != nil {
		changed = c.takeConfig(n.config, n.configAt, now, "peer")
	} else if n.version == 0 {
		c.catalog.ConfigMissing(n.configAt)
	} else if n.version == c.catalog.Version() {
		changed = c.takeConfig(c.catalog.Config(), n.configAt, now, "peer")
	}
	if !n.differs {
		return c.catalog.LeavesConfirmed(n.list.Revision, n.leavesAt) || changed
	}
	return c.takeLeaves(n.list, n.leavesAt, now, "peer") || changed
}
