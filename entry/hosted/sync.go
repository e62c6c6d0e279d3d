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
	// peerSilenceTimeout bounds the time in which a peer sends nothing; a healthy one answers in
	// less than a millisecond. syncTimeoutShare, a share of the freshness bound, bounds an answer
	// that keeps arriving, as a large one does on a saturated link.
	peerSilenceTimeout = 250 * time.Millisecond
	syncTimeoutShare   = 0.3
	// wholeQuarantineAfter is the time without a synchronization after which all of the
	// quarantine is exchanged, and not only what changed of late.
	wholeQuarantineAfter = 4 * time.Second
	// minFreshnessGain is by how much fresher a peer's state must be for this instance to ask for it.
	minFreshnessGain = time.Second
)

// peerServer serves the calls of other instances.
func (n *Node) peerServer() *peer.Server {
	return peer.NewServer(peer.ServerConfig{
		Instance: n.config.Instance, Key: n.config.PeerKey, Sync: n, Forward: n.forwarder, MaxConnections: n.tunables.Load().Resources.peerConnections(),
		OnReject: n.reportPeerRejection,
	})
}

// Sync implements peer.SyncHandler. A leaving instance answers that it has no state, so that
// others synchronize elsewhere before it ends.
func (n *Node) Sync(from string, r peerapi.SyncRequest) *peerapi.SyncReply {
	s := n.control.state.Load()
	if s == nil || n.lifecycle.Leaving() {
		return statesync.UnknownReply()
	}
	now := time.Now()
	out := s.Reply(&r, now)
	n.membership.writeList(&r, out, now)
	n.slowLeaves.AddFromPeer(r.Observations, now)
	out.SlowLeaves = n.slowLeaves.Report(now)
	out.StoreAnswerMS = n.control.answerTimes.longest(now).Milliseconds()
	n.control.peerContactAt.Store(&now)
	n.executor.MergeQuarantineChanges(r.Quarantine, r.Losses)
	out.Quarantine, out.Losses = n.executor.QuarantineChanges(r.WholeQuarantine)
	n.control.recordFresherPeer(from, r.AgeMS, max(out.ConfigAgeMS, out.LeavesAgeMS))
	return out
}

// shareObservations collects the executor's observations of slow leaves to be sent to peers, and
// tells the executor which leaves are slow by those of all instances.
func (n *Node) shareObservations() {
	now := time.Now()
	n.slowLeaves.Add(n.executor.Observations(), now)
	if slow := n.slowLeaves.SlowLeaves(now); len(slow) > 0 {
		n.executor.ApplySlowLeaves(slow)
	}
}

// staleStateError says that a state, a peer's or this instance's own, is stale.
type staleStateError struct{ age time.Duration }

// Error implements error.
func (e *staleStateError) Error() string { return fmt.Sprintf("state is %v old", e.age) }

// errUnknownState says that a peer has no state, or is leaving.
var errUnknownState = errors.New("has no state yet, or is leaving")

// isStaleState reports whether an error says that a peer answered but its state is stale.
func isStaleState(err error) bool {
	var s *staleStateError
	return errors.As(err, &s)
}

// syncFrom synchronizes from a peer. Stale state is accepted too, with its true age, and reported
// as a staleStateError: an instance that starts during an outage of the store serves by it.
func (c *control) syncFrom(ctx context.Context, source fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, c.boundShare(syncTimeoutShare))
	defer cancel()
	startedAt := time.Now()
	listChanges := c.storeListChanges.Load()
	if listChanges != c.receiverListChanges {
		c.receiver.ForgetLeaves()
		c.receiverListChanges = listChanges
	}
	config := c.state.Load().Config()
	request := c.receiver.Request(config)
	request.FleetHash, request.AgeMS = c.node.membership.listHash(), c.stateAgeMS(startedAt)
	request.Observations = c.node.slowLeaves.TakePending(startedAt)
	c.addQuarantine(&request, startedAt)
	reply, err := c.peers.Sync(ctx, peer.Target{Instance: source.Name, Address: source.PeerAddress}, request)
	if err != nil {
		return err
	}
	c.node.executor.MergeQuarantineChanges(reply.Quarantine, reply.Losses)
	update, err := c.receiver.Apply(reply, config, startedAt, time.Now())
	if err != nil {
		return err
	}
	if !update.HasConfigAndLeaves() {
		return errUnknownState
	}
	c.syncedAt = startedAt
	c.answerTimes.relay(milliseconds(reply.StoreAnswerMS), startedAt)
	c.peerContactAt.Store(&startedAt)
	c.node.slowLeaves.SetPeerReport(reply.SlowLeaves, startedAt)
	c.node.membership.applyPeerList(update)
	if err := c.send(ctx, peerUpdate{update: update, peer: cmp.Or(source.Name, source.PeerAddress), storeListChanges: listChanges}); err != nil {
		c.receiver.ForgetLeaves() // the catalog did not receive the update
		return err
	}
	if age := update.Age(time.Now()); age > c.staleAge(staleShare) {
		return &staleStateError{age}
	}
	return nil
}

// addQuarantine adds what this instance knows of the quarantine to a request, and asks for what
// the peer knows: for all of it if the last synchronization was long ago.
func (c *control) addQuarantine(r *peerapi.SyncRequest, now time.Time) {
	r.WholeQuarantine = now.Sub(c.syncedAt) > wholeQuarantineAfter
	r.Quarantine, r.Losses = c.node.executor.QuarantineChanges(r.WholeQuarantine)
}

// stateAgeMS returns the age of this instance's state in milliseconds; -1 while it has none.
func (c *control) stateAgeMS(now time.Time) int64 {
	s := c.state.Load()
	if s == nil {
		return -1
	}
	config, leaves := statesync.AgeMS(s.LastReads.ConfigAt, now), statesync.AgeMS(s.LastReads.LeavesAt, now)
	if config < 0 || leaves < 0 {
		return -1
	}
	return max(config, leaves)
}

// stateAge returns the age of this instance's state; unknownAge while it has none.
func (c *control) stateAge() time.Duration {
	age := c.stateAgeMS(time.Now())
	if age < 0 {
		return unknownAge
	}
	return milliseconds(age)
}

// unknownAge is the age of missing state, greater than any freshness bound.
const unknownAge = 24 * time.Hour

// recordFresherPeer remembers a peer that asked and has fresher state, if this instance's own state is
// stale, and requests a synchronization from it. This is how the state that one instance could
// read reaches those that the store refuses.
func (c *control) recordFresherPeer(peerName string, theirsMS, oursMS int64) {
	theirs, ours := milliseconds(theirsMS), milliseconds(oursMS)
	if theirsMS < 0 || ours < c.boundShare(staleShare) || theirs+minFreshnessGain > ours {
		return
	}
	if i, ok := c.node.membership.find(peerName); ok {
		c.log.Info("fresher state offered", "peer", peerName, "age", theirs, "own_age", ours)
		c.fresherPeer.Store(&i)
		c.syncNow()
	}
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// applyUpdate applies a peer's state to the catalog and reports whether anything changed.
func (c *control) applyUpdate(m peerUpdate, now time.Time) bool {
	u := m.update
	configFrom, leavesFrom := stateOrigin{peer: m.peer, readStartedAt: u.ConfigAt, isDelta: u.Incremental}, stateOrigin{peer: m.peer, readStartedAt: u.LeavesAt}
	changed := false
	if u.Config != nil {
		changed = c.applyConfig(u.Config, configFrom, now)
	} else if u.Version == 0 {
		c.catalog.RecordConfigMissing(u.ConfigAt)
	} else if u.Version == c.catalog.Version() {
		changed = c.applyConfig(c.catalog.Config(), configFrom, now)
	}
	switch {
	case u.LeavesChanged:
		return c.applyLeaves(u.Leaves, leavesFrom, now) || changed
	case m.storeListChanges == c.storeListChanges.Load():
		return c.catalog.ConfirmLeaves(u.Leaves.Era, u.Leaves.Revision, u.LeavesAt, now) || changed
	default: // the list in force has changed since the peer was asked
		return changed
	}
}
