package control

import (
	"context"
	"maps"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/membership"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// Maximum numbers of list elements that are merged from a peer's digest.
const (
	maxLeaving     = 256
	maxGenerations = 256
	maxQuarantine  = 256
)

// handleMembership passes an event to the membership machine and carries out the
// actions that it returns.
func (c *Control) handleMembership(e membership.Event) {
	actions := append([]membership.Action(nil), c.membership.Handle(e, time.Now())...)
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SendDigest:
			c.sendDigest(a.Peer)
		case membership.GenerationReported:
			c.handleRollout(rollout.PeerGeneration{Peer: a.Peer.Instance, Generation: a.Generation})
		case membership.MembersChanged:
			c.shares.setEntries(c.membership.Entries(), time.Now())
			c.rollout.SetInstanceCount(len(c.membership.Entries()))
			c.publish()
		case membership.WakeAt:
			c.membershipAt = a.At
		}
	}
}

// handleInstanceList merges the platform's list of instances.
func (c *Control) handleInstanceList(list []platformapi.Instance) {
	c.instances.Store(&list)
	event := membership.ListRead{}
	for _, in := range list {
		event.Instances = append(event.Instances, membership.Instance{
			ID: in.ID, Entry: in.Role == platformapi.RoleEntry, PeerAddress: in.PeerAddress,
			Leaving: in.State == platformapi.StateLeaving,
		})
	}
	if !c.shares.listKnown {
		c.shares.listKnown = true
		c.shares.changedAt = time.Now()
	}
	c.handleMembership(event)
	var keep []peer.Target
	for _, p := range c.membership.Peers() {
		keep = append(keep, targetOf(p))
	}
	c.cfg.Peers.CloseExcept(keep)
	c.forgetUnresponsive(c.membership.Peers())
}

// sendDigest sends this instance's digest to a peer and merges the one in the
// reply.
func (c *Control) sendDigest(p membership.Peer) {
	d := c.digest(time.Now())
	c.spawn(func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		reply, err := c.cfg.Peers.Digest(call, targetOf(p), d)
		if err != nil {
			c.post(ctx, func(time.Time) { c.peerFailed(p.Instance, err) })
			return
		}
		c.post(ctx, func(time.Time) { c.peerAnswered(p.Instance); c.mergeDigest(reply) })
	})
}

// peerFailed records that a peer did not answer. It logs only the first failure
// of a row.
func (c *Control) peerFailed(instance string, err error) {
	if !c.unresponsive[instance] {
		c.unresponsive[instance] = true
		c.cfg.Log.Warn("peer does not answer", "peer", instance, "err", err)
	}
	c.handleMembership(membership.PeerFailed{Peer: instance})
}

// peerAnswered records that a peer answered, and logs that if the call before it
// had failed.
func (c *Control) peerAnswered(instance string) {
	if c.unresponsive[instance] {
		delete(c.unresponsive, instance)
		c.cfg.Log.Info("peer answers again", "peer", instance)
	}
}

// forgetUnresponsive removes the failure records of instances that are not in
// peers.
func (c *Control) forgetUnresponsive(peers []membership.Peer) {
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p.Instance] = true
	}
	maps.DeleteFunc(c.unresponsive, func(instance string, _ bool) bool { return !listed[instance] })
}

// digest returns this instance's digest.
func (c *Control) digest(now time.Time) *peerapi.Digest {
	d := c.membership.Digest(now)
	current := c.rollout.Current()
	out := &peerapi.Digest{
		Instance: d.Instance, Zone: c.cfg.Zone, Generation: current.Generation, Hash: current.Hash, Draining: d.Draining,
	}
	for _, l := range d.Leaving {
		out.DrainMarks = append(out.DrainMarks, peerapi.DrainMark{Leaf: l.Leaf, StartMillis: l.StartedAtMS, AgeMS: l.Age.Milliseconds()})
	}
	for _, g := range d.Generations {
		out.Generations = append(out.Generations, peerapi.InstanceGeneration{Instance: g.Instance, Generation: g.Generation, AgeMS: g.Age.Milliseconds()})
	}
	if c.cfg.Quarantine != nil {
		out.Quarantine = c.cfg.Quarantine.Quarantine()
	}
	return out
}

// maxAgeMS bounds an age that a peer reports. Information of that age has long
// expired.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// clampAge returns an age that a peer reports, in milliseconds, as a duration from
// -1 ms to maxAgeMS. The membership machine drops entries with a negative age.
func clampAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, -1), maxAgeMS)) * time.Millisecond
}

// mergeDigest merges a peer's digest, with its lists cut to the maximum numbers.
func (c *Control) mergeDigest(d *peerapi.Digest) {
	in := &membership.Digest{Instance: d.Instance, Generation: d.Generation, Hash: d.Hash, Draining: d.Draining}
	for _, l := range d.DrainMarks[:min(len(d.DrainMarks), maxLeaving)] {
		in.Leaving = append(in.Leaving, membership.LeavingLeaf{Leaf: l.Leaf, StartedAtMS: l.StartMillis, Age: clampAge(l.AgeMS)})
	}
	for _, g := range d.Generations[:min(len(d.Generations), maxGenerations)] {
		in.Generations = append(in.Generations, membership.RelayedGeneration{
			Instance: g.Instance, Generation: g.Generation, Age: clampAge(g.AgeMS),
		})
	}
	if c.cfg.Quarantine != nil && len(d.Quarantine) > 0 {
		c.cfg.Quarantine.MergeQuarantine(d.Quarantine[:min(len(d.Quarantine), maxQuarantine)])
	}
	c.handleMembership(membership.DigestReceived{Digest: in})
}

// Digest implements peer.GossipHandler: it merges a peer's digest and returns this
// instance's. If the control goroutine does not answer in time, the reply holds
// only the instance and its zone. Any goroutine may call it.
func (c *Control) Digest(_ string, d *peerapi.Digest) *peerapi.Digest {
	out := &peerapi.Digest{Instance: c.cfg.Instance, Zone: c.cfg.Zone}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply := make(chan *peerapi.Digest, 1)
	c.post(ctx, func(now time.Time) {
		c.mergeDigest(d)
		reply <- c.digest(now)
	})
	select {
	case out = <-reply:
	case <-ctx.Done():
	case <-c.closed:
	}
	return out
}

// Document implements peer.GossipHandler: it returns the document in force if its
// generation is above the given one, else an empty Document. Any goroutine may
// call it.
func (c *Control) Document(above uint64) *peerapi.Document {
	v := c.current.Load()
	if v == nil || v.Generation <= above {
		return &peerapi.Document{}
	}
	return &peerapi.Document{Generation: v.Generation, Hash: v.Hash, TOML: v.Value}
}

// ObserveDraining records that a reply of a leaf carried the leaf's drain mark, with
// the time at which the leaf started in Unix milliseconds. It does not wait: if the
// queue is full, the observation is dropped, and the leaf's next reply repeats it.
// Any goroutine may call it.
func (c *Control) ObserveDraining(leafID string, startedAtMS int64) {
	c.postObservation(membership.LeavingObserved{Leaf: leafID, StartedAtMS: startedAtMS})
}

// ObserveStart records a start of a leaf that was not known, at a time in Unix
// milliseconds. It does not wait: if the queue is full, the observation is dropped,
// and a drain mark of the leaf's earlier process then stays until it expires. Any
// goroutine may call it.
func (c *Control) ObserveStart(leafID string, startedAtMS int64) {
	c.postObservation(membership.StartObserved{Leaf: leafID, StartedAtMS: startedAtMS})
}

// postObservation queues an observation from a leaf's reply, or drops it if the
// queue is full.
func (c *Control) postObservation(ev membership.Event) {
	select {
	case c.observations <- ev:
	default:
	}
}

// GossipNow sends digests to some peers at once, to spread a change of the
// quarantine. It does not wait: if the inbox is full, the request is dropped, as the
// next round of digests carries the change in any case. Any goroutine may call it.
func (c *Control) GossipNow() {
	select {
	case c.inbox <- func(time.Time) { c.handleMembership(membership.PushNow{}) }:
	default:
	}
}

// SetDraining makes this instance's digests say that it is draining. Any goroutine
// may call it.
func (c *Control) SetDraining() {
	c.post(context.Background(), func(time.Time) { c.handleMembership(membership.Drain{}) })
}
