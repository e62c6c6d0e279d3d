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
	// newsTimeout bounds one question to a peer of the own zone, which takes less
	// than a millisecond when the peer is well.
	newsTimeout = 250 * time.Millisecond
)

// newsState is what this instance tells others. It is immutable.
type newsState struct {
	known   catalog.Known
	version uint64
	config  json.RawMessage
	hash    uint64
	leaves  json.RawMessage
}

// leafNews is a leaf as instances tell each other of it. Their clocks differ:
// the end of the slow start is told as a time left.
type leafNews struct {
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

// newLeafNews is what is told of a leaf.
func newLeafNews(l *catalog.Leaf, now time.Time) leafNews {
	return leafNews{
		ID: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: l.Slots, Draining: l.Draining,
		WarmLeft: max(l.WarmAt.Sub(now), 0), Born: l.Born, Sequence: l.Sequence, Revision: l.Revision, Restarts: l.Restarts,
	}
}

// leaf is what was told.
func (n *leafNews) leaf(now time.Time) catalog.Leaf {
	return catalog.Leaf{
		ID: n.ID, Service: n.Service, Address: n.Address, Zone: n.Zone, Slots: n.Slots, Draining: n.Draining,
		WarmAt: now.Add(n.WarmLeft), Born: n.Born, Sequence: n.Sequence, Revision: n.Revision, Restarts: n.Restarts,
	}
}

// peerServer answers other instances.
func (n *Node) peerServer() *peer.Server {
	return peer.NewServer(peer.ServerConfig{Instance: n.config.Instance, Key: n.config.PeerKey, News: n, Forward: n})
}

// News implements peer.NewsHandler. An instance that leaves has none: others are
// to ask elsewhere in time.
func (n *Node) News(r peerapi.NewsRequest) *peerapi.News {
	s := n.control.news.Load()
	if s == nil || n.lifecycle.Leaving() {
		return &peerapi.News{ConfigAgeMS: -1, LeavesAgeMS: -1}
	}
	now := time.Now()
	out := &peerapi.News{
		Version: s.version, ConfigAgeMS: ageMS(s.known.ConfigAt, now),
		Revision: s.known.Revision, Hash: s.hash, LeavesAgeMS: ageMS(s.known.LeavesAt, now),
	}
	if r.Version != s.version {
		out.Config = s.config
	}
	if r.Hash != s.hash {
		out.Leaves = s.leaves
	}
	n.sharing.heard(r.Seen, now)
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

// newsOf makes what is told of the catalog, from what was told before where it
// has not changed.
func newsOf(c *catalog.Catalog, before *newsState, now time.Time) (*newsState, error) {
	next := &newsState{known: c.Known(), version: c.Version()}
	if before != nil && before.version == next.version {
		next.config = before.config
	} else if c.Config() == nil {
		next.config = nil
	} else if err := encode(&next.config, c.Config()); err != nil {
		return nil, err
	}
	list := c.List()
	next.hash = catalog.HashOf(list)
	if before != nil && before.hash == next.hash {
		next.leaves = before.leaves
		return next, nil
	}
	told := make([]leafNews, 0, len(list))
	for i := range list {
		told = append(told, newLeafNews(&list[i], now))
	}
	return next, encode(&next.leaves, told)
}

// encode writes a value as JSON.
func encode(into *json.RawMessage, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode news: %w", err)
	}
	*into = data
	return nil
}

// staleNewsError says that a peer's news are too old to be of use.
type staleNewsError struct{ configAge, leavesAge time.Duration }

// Error implements error.
func (e *staleNewsError) Error() string {
	return fmt.Sprintf("news are old: configuration %v, leaves %v", e.configAge, e.leavesAge)
}

// ask gets the news from a peer. Their ages grow by the whole time of the call,
// so that they are never taken for newer than they are.
func (c *control) ask(ctx context.Context, from fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	began := time.Now()
	seen := c.node.sharing.takePending(began)
	news, err := c.node.peers.News(ctx, peer.Target{Instance: from.Name, Address: from.Peer}, peerapi.NewsRequest{
		Version: c.version.Load(), Hash: c.heard.Load(), Seen: seen,
		Quarantine: c.node.executor.Quarantine(),
	})
	if err != nil {
		return err
	}
	c.node.executor.MergeQuarantine(news.Quarantine)
	configAge := time.Duration(news.ConfigAgeMS) * time.Millisecond
	leavesAge := time.Duration(news.LeavesAgeMS) * time.Millisecond
	if configAge < 0 || leavesAge < 0 || max(configAge, leavesAge) > c.bound(newsShare) {
		return &staleNewsError{configAge, leavesAge}
	}
	c.node.sharing.told(news.Slow, began)
	told, err := decodeNews(news)
	if err != nil {
		return err
	}
	told.configAt = began.Add(-configAge)
	told.leavesAt = began.Add(-leavesAge)
	return c.tell(ctx, told)
}

// newsRead is what a peer told.
type newsRead struct {
	version  uint64
	config   *catalog.Config // nil: that of the version asked with
	configAt time.Time
	hash     uint64
	list     catalog.Listing
	differs  bool // list has all leaves, else only its revision counts
	leavesAt time.Time
}

// decodeNews reads a peer's news.
func decodeNews(n *peerapi.News) (newsRead, error) {
	out := newsRead{version: n.Version, list: catalog.Listing{Revision: n.Revision}, hash: n.Hash, differs: n.Leaves != nil}
	if n.Config != nil {
		out.config = &catalog.Config{}
		if err := json.Unmarshal(n.Config, out.config); err != nil {
			return out, fmt.Errorf("decode a peer's configuration: %w", err)
		}
	}
	if !out.differs {
		return out, nil
	}
	var told []json.RawMessage
	if err := json.Unmarshal(n.Leaves, &told); err != nil {
		return out, fmt.Errorf("decode a peer's leaves: %w", err)
	}
	now := time.Now()
	for _, data := range told {
		l, bad := decodeLeafNews(data, now)
		if bad != nil {
			out.list.Bad = append(out.list.Bad, *bad)
			continue
		}
		out.list.Leaves = append(out.list.Leaves, l)
	}
	return out, nil
}

// decodeLeafNews reads what a peer told of one leaf. A peer of another version may
// tell what this one can't read: that names no leaf to use, and the others hold.
func decodeLeafNews(data json.RawMessage, now time.Time) (catalog.Leaf, *catalog.BadEntry) {
	var n leafNews
	if err := json.Unmarshal(data, &n); err != nil {
		return catalog.Leaf{}, &catalog.BadEntry{Name: n.ID, Revision: n.Revision, Reason: "told by a peer: " + err.Error()}
	}
	if n.WarmLeft < 0 || n.WarmLeft > catalog.LongestWarmUp {
		return catalog.Leaf{}, &catalog.BadEntry{Name: n.ID, Revision: n.Revision, Field: "warm_left", Reason: "out of range"}
	}
	l := n.leaf(now)
	return l, l.Check()
}

// takeNews puts a peer's news into the catalog and reports whether anything changed.
func (c *control) takeNews(n newsRead, now time.Time) bool {
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
	if c.takeLeaves(n.list, n.leavesAt, now, "peer") {
		changed = true
	}
	c.heard.Store(n.hash)
	return changed
}
