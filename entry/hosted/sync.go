package hosted

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/statesync"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

const (
	// syncTimeout bounds the silence of a peer, which answers in less than a millisecond
	// when it is well. syncShare is the share of the bound that an answer may take which
	// arrives all the while: a large one does on a full link.
	syncTimeout = 250 * time.Millisecond
	syncShare   = 0.3
	// fresherBy is by how much newer a peer's state must be to be worth asking for.
	fresherBy = time.Second
)

// peerServer answers other instances.
func (n *Node) peerServer() *peer.Server {
	return peer.NewServer(peer.ServerConfig{Instance: n.config.Instance, Key: n.config.PeerKey, Sync: n, Forward: n.forwarder})
}

// Sync implements peer.SyncHandler. An instance that leaves knows nothing: others are
// to ask elsewhere in time.
func (n *Node) Sync(from string, r peerapi.SyncRequest) *peerapi.SyncReply {
	s := n.control.state.Load()
	if s == nil || n.lifecycle.Leaving() {
		return statesync.Unknown()
	}
	now := time.Now()
	out := s.Reply(&r, now)
	n.fleet.write(&r, out, now)
	n.slow.Observe(r.Observations, now)
	out.SlowLeaves = n.slow.Report(now)
	n.executor.MergeQuarantine(r.Quarantine)
	out.Quarantine = n.executor.Quarantine()
	n.control.compare(from, r.AgeMS, max(out.ConfigAgeMS, out.LeavesAgeMS))
	return out
}

// shareObservations collects what the executor saw, and passes on what others did.
func (n *Node) shareObservations() {
	now := time.Now()
	n.slow.Add(n.executor.Observations(), now)
	if slow := n.slow.Slow(now); len(slow) > 0 {
		n.executor.ReportSlow(slow)
	}
}

// staleStateError says that a peer's state is old.
type staleStateError struct{ age time.Duration }

// Error implements error.
func (e *staleStateError) Error() string { return fmt.Sprintf("state is %v old", e.age) }

// errUnknownState says that a peer knows nothing, or leaves.
var errUnknownState = errors.New("knows nothing yet, or leaves")

// stale reports whether an error says that a peer is well but its state is old.
func stale(err error) bool {
	var s *staleStateError
	return errors.As(err, &s)
}

// ask synchronizes from a peer. Old state is taken too, as it is never taken for newer
// than it is, and reported as an error: an instance that starts in an outage serves by it.
func (c *control) ask(ctx context.Context, from fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, c.bound(syncShare))
	defer cancel()
	began := time.Now()
	base := c.storeLists.Load()
	if base != c.receiverBase {
		c.receiver.Forget()
		c.receiverBase = base
	}
	config := c.state.Load().Config()
	request := c.receiver.Request(config)
	request.FleetHash, request.AgeMS = c.node.fleet.hash(), c.ageMS(began)
	request.Observations, request.Quarantine = c.node.slow.TakePending(began), c.node.executor.Quarantine()
	reply, err := c.peers.Sync(ctx, peer.Target{Instance: from.Name, Address: from.PeerAddress}, request)
	if err != nil {
		return err
	}
	c.node.executor.MergeQuarantine(reply.Quarantine)
	update, err := c.receiver.Take(reply, config, began, time.Now())
	if err != nil {
		return err
	}
	if !update.Knows() {
		return errUnknownState
	}
	c.node.slow.SetReported(reply.SlowLeaves, began)
	c.node.fleet.received(update)
	if err := c.post(ctx, peerUpdate{update: update, peer: cmp.Or(from.Name, from.PeerAddress), base: base}); err != nil {
		c.receiver.Forget() // the catalog has not got it
		return err
	}
	if age := update.Age(time.Now()); age > c.bound(staleShare) {
		return &staleStateError{age}
	}
	return nil
}

// ageMS is the age of what this instance knows; -1 while it knows nothing.
func (c *control) ageMS(now time.Time) int64 {
	s := c.state.Load()
	if s == nil {
		return -1
	}
	config, leaves := statesync.AgeMS(s.Known.ConfigAt, now), statesync.AgeMS(s.Known.LeavesAt, now)
	if config < 0 || leaves < 0 {
		return -1
	}
	return max(config, leaves)
}

// age is that of what this instance knows; as good as endless while it knows nothing.
func (c *control) age() time.Duration {
	age := c.ageMS(time.Now())
	if age < 0 {
		return unknownAge
	}
	return ms(age)
}

// unknownAge is over any bound.
const unknownAge = 24 * time.Hour

// compare takes the age of what an asking instance knows. While this one's own state is
// old, it asks one that knows better: so what one instance could read reaches those that
// the store refuses.
func (c *control) compare(from string, theirsMS, oursMS int64) {
	theirs, ours := ms(theirsMS), ms(oursMS)
	if theirsMS < 0 || ours < c.bound(staleShare) || theirs+fresherBy > ours {
		return
	}
	if i, ok := c.node.fleet.find(from); ok {
		c.log.Info("fresher state offered", "peer", from, "age", theirs, "own_age", ours)
		c.suggested.Store(&i)
		c.syncNow()
	}
}

// ms converts milliseconds of the wire.
func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// takeUpdate puts a peer's state into the catalog and reports whether anything changed.
func (c *control) takeUpdate(m peerUpdate, now time.Time) bool {
	u := m.update
	configFrom, leavesFrom := origin{peer: m.peer, began: u.ConfigAt, byChange: u.ByChange}, origin{peer: m.peer, began: u.LeavesAt}
	changed := false
	if u.Config != nil {
		changed = c.takeConfig(u.Config, configFrom, now)
	} else if u.Version == 0 {
		c.catalog.RecordConfigMissing(u.ConfigAt)
	} else if u.Version == c.catalog.Version() {
		changed = c.takeConfig(c.catalog.Config(), configFrom, now)
	}
	switch {
	case u.Differs:
		return c.takeLeaves(u.List, leavesFrom, now) || changed
	case m.base == c.storeLists.Load():
		return c.catalog.ConfirmLeaves(u.List.Revision, u.LeavesAt) || changed
	default: // the list in force is another by now
		return changed
	}
}
