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

// Bounds on what is taken from a peer's digest.
const (
	maxLeaving     = 256
	maxGenerations = 256
	maxQuarantine  = 256
)

// member gives the membership machine an event and carries out its actions.
func (c *Control) member(e membership.Event) {
	actions := append([]membership.Action(nil), c.membership.Handle(e, time.Now())...)
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SendDigest:
			c.sendDigest(a.Peer)
		case membership.GenerationReported:
			c.roll(rollout.PeerGeneration{Peer: a.Peer.Instance, Generation: a.Generation})
		case membership.MembersChanged:
			c.shares.follow(c.membership.Entries(), time.Now())
			c.rollout.SetInstanceCount(len(c.membership.Entries()))
			c.publish()
		case membership.WakeAt:
			c.membershipAt = a.At
		}
	}
}

// listed takes over the platform's list.
func (c *Control) listed(list []platformapi.Instance) {
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
		c.shares.changed = time.Now()
	}
	c.member(event)
	var keep []peer.Target
	for _, p := range c.membership.Peers() {
		keep = append(keep, targetOf(p))
	}
	c.cfg.Peers.Keep(keep)
	c.forgetSilent(c.membership.Peers())
}

// sendDigest exchanges digests with a peer.
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

// peerFailed notes a peer that did not answer, and tells operators once.
func (c *Control) peerFailed(instance string, err error) {
	if !c.silent[instance] {
		c.silent[instance] = true
		c.cfg.Log.Warn("peer does not answer", "peer", instance, "err", err)
	}
	c.member(membership.PeerFailed{Peer: instance})
}

// peerAnswered notes a peer that answers again.
func (c *Control) peerAnswered(instance string) {
	if c.silent[instance] {
		delete(c.silent, instance)
		c.cfg.Log.Info("peer answers again", "peer", instance)
	}
}

// forgetSilent drops what is known of instances that are off the list.
func (c *Control) forgetSilent(peers []membership.Peer) {
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p.Instance] = true
	}
	maps.DeleteFunc(c.silent, func(instance string, _ bool) bool { return !listed[instance] })
}

// digest builds this instance's digest.
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

// maxAgeMS bounds a peer's word on an age; what is so old counts for nothing.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// age is a peer's word on an age. A negative one is dropped by the machine.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, -1), maxAgeMS)) * time.Millisecond
}

// mergeDigest takes in a peer's digest, up to the bounds.
func (c *Control) mergeDigest(d *peerapi.Digest) {
	in := &membership.Digest{Instance: d.Instance, Generation: d.Generation, Hash: d.Hash, Draining: d.Draining}
	for _, l := range d.DrainMarks[:min(len(d.DrainMarks), maxLeaving)] {
		in.Leaving = append(in.Leaving, membership.LeavingLeaf{Leaf: l.Leaf, StartedAtMS: l.StartMillis, Age: age(l.AgeMS)})
	}
	for _, g := range d.Generations[:min(len(d.Generations), maxGenerations)] {
		in.Generations = append(in.Generations, membership.RelayedGeneration{
			Instance: g.Instance, Generation: g.Generation, Age: age(g.AgeMS),
		})
	}
	if c.cfg.Quarantine != nil && len(d.Quarantine) > 0 {
		c.cfg.Quarantine.MergeQuarantine(d.Quarantine[:min(len(d.Quarantine), maxQuarantine)])
	}
	c.member(membership.DigestReceived{Digest: in})
}

// Digest implements peer.Handler: it takes a peer's digest and gives this
// instance's. Any goroutine may call it.
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

// Document implements peer.Handler. Any goroutine may call it.
func (c *Control) Document(above uint64) *peerapi.Document {
	v := c.current.Load()
	if v == nil || v.Generation <= above {
		return &peerapi.Document{}
	}
	return &peerapi.Document{Generation: v.Generation, Hash: v.Hash, TOML: v.Value}
}

// SawLeaving takes a leaf's own drain mark, seen on a reply, and the leaf's start. It
// does not wait: when too many marks are queued this one is dropped, and the leaf's next
// reply brings it again. Any goroutine may call it.
func (c *Control) SawLeaving(leafID string, born int64) {
	c.sight(membership.LeavingObserved{Leaf: leafID, StartedAtMS: born})
}

// SawBorn takes a start of a leaf that was not known. One that is dropped costs at most
// the life of a mark. Any goroutine may call it.
func (c *Control) SawBorn(leafID string, born int64) {
	c.sight(membership.StartObserved{Leaf: leafID, StartedAtMS: born})
}

// sight hands over what replies showed, without waiting.
func (c *Control) sight(ev membership.Event) {
	select {
	case c.marks <- ev:
	default:
	}
}

// SpreadNow tells some peers at once what the quarantine learnt. It does not
// wait: the next round of digests tells it in any case. Any goroutine may call it.
func (c *Control) SpreadNow() {
	select {
	case c.inbox <- func(time.Time) { c.member(membership.PushNow{}) }:
	default:
	}
}

// SetDraining tells the peers that this instance is leaving. Any goroutine may
// call it.
func (c *Control) SetDraining() {
	c.post(context.Background(), func(time.Time) { c.member(membership.Drain{}) })
}
