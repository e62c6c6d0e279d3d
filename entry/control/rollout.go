package control

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/membership"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// maxAnnounceAll is the largest number of peers to all of which the instance that
// saved a version sends its digest at once. With more peers it sends the digest to
// some, which pass the generation on.
const maxAnnounceAll = 64

// maxPeersAsked is the maximum number of listed peers that are asked for the
// document at a time.
const maxPeersAsked = 16

// handleRollout passes an event to the rollout machine and carries out the actions
// that it returns.
func (c *Control) handleRollout(e rollout.Event) {
	actions := append([]rollout.Action(nil), c.rollout.Handle(e, time.Now())...)
	for _, a := range actions {
		c.doRolloutAction(a)
	}
}

func (c *Control) doRolloutAction(a rollout.Action) {
	switch a := a.(type) {
	case rollout.ReadStore:
		c.spawn(c.readStore)
	case rollout.PutStore:
		c.spawn(func(ctx context.Context) { c.putStore(ctx, a) })
	case rollout.AskPeer:
		c.askPeer(a)
	case rollout.AskAllPeers:
		c.askAllPeers()
	case rollout.Activate:
		c.activate(a)
	case rollout.AnnounceGeneration:
		c.announce(a.All)
	case rollout.RejectVersion:
		c.cfg.Log.Error("version of the configuration refused", "generation", a.Generation, "source", a.Source, "reason", a.Reason)
	case rollout.ResolveSave:
		c.resolveSave(a)
	case rollout.WakeAt:
		c.rolloutAt = a.At
	}
}

// parse parses a stored value into a Version, with InvalidReason set if the
// document is invalid. A value older than the version in force is not parsed, as
// the rollout machine only needs its history; the value in force is not parsed
// again.
func (c *Control) parse(generation uint64, value []byte) rollout.Version {
	v := rollout.Version{Generation: generation, Value: value}
	current := c.current.Load()
	if current != nil && generation < current.Generation {
		return v
	}
	if current != nil && generation == current.Generation && bytes.Equal(value, current.Value) {
		return *current
	}
	doc, err := codec.Parse(value)
	if err != nil {
		v.InvalidReason = err.Error()
		return v
	}
	v.Document = doc
	v.Hash = codec.Hash(doc)
	return v
}

// readStore reads the configuration object and passes the outcome to the rollout
// machine.
func (c *Control) readStore(ctx context.Context) {
	obj, err := c.cfg.Store.Get(ctx, platformapi.KindConfig, platformapi.NameConfig)
	var event rollout.Event = rollout.StoreFailed{}
	var none *platform.NotFoundError
	switch {
	case err == nil:
		event = rollout.VersionSeen{Version: c.parse(obj.Version, obj.Value), Source: rollout.SourceStore}
	case errors.As(err, &none):
		event = rollout.StoreEmpty{}
	}
	c.post(ctx, func(time.Time) { c.handleRollout(event) })
}

// putStore writes the configuration object once and passes the outcome to the
// rollout machine, which retries the write if that is safe.
func (c *Control) putStore(ctx context.Context, a rollout.PutStore) {
	generation, err := c.cfg.Store.Put(ctx, platformapi.KindConfig, platformapi.NameConfig, a.IfVersion, a.Value)
	event := putEvent(a.ID, generation, err)
	c.post(ctx, func(time.Time) { c.handleRollout(event) })
}

// putEvent converts the result of a conditional write to an event.
func putEvent(id rollout.SaveID, generation uint64, err error) rollout.Event {
	var conflict *platform.ConflictError
	var unknown *platform.UnknownEffectError
	switch {
	case err == nil:
		return rollout.PutDone{ID: id, Generation: generation}
	case errors.As(err, &conflict):
		return rollout.PutConflict{ID: id}
	case errors.As(err, &unknown):
		return rollout.PutUnknown{ID: id}
	}
	return rollout.PutRefused{ID: id, Reason: err.Error(), RetryAfter: platform.RetryAfter(err)}
}

// activate puts a version in force at this instance.
func (c *Control) activate(a rollout.Activate) {
	v := a.Version
	c.current.Store(&v)
	c.cfg.Log.Info("configuration in force", "generation", v.Generation, "hash", v.Hash, "source", a.Source)
	c.publish()
}

// announce sends digests with the generation in force at once: to all peers if all
// is set and there are at most maxAnnounceAll, else to some.
func (c *Control) announce(all bool) {
	peers := c.membership.Peers()
	if !all || len(peers) > maxAnnounceAll {
		c.handleMembership(membership.PushNow{})
		return
	}
	for _, p := range peers {
		c.sendDigest(p)
	}
}

// askPeer asks a peer for its document. If the peer's address is not known, it asks
// other peers instead.
func (c *Control) askPeer(a rollout.AskPeer) {
	for _, p := range c.membership.Peers() {
		if p.Instance == a.Peer {
			c.spawn(func(ctx context.Context) { c.fetchDocument(ctx, targetOf(p)) })
			return
		}
	}
	c.askAllPeers()
}

// askAllPeers asks up to maxPeersAsked listed peers, chosen at random each time, and
// those of KnownPeers that are not among them, for the document.
func (c *Control) askAllPeers() {
	asked := make(map[string]bool)
	peers := c.membership.Peers()
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), maxPeersAsked)] {
		asked[p.Address] = true
		c.spawn(func(ctx context.Context) { c.fetchDocument(ctx, targetOf(p)) })
	}
	for _, address := range c.cfg.KnownPeers {
		if !asked[address] {
			c.spawn(func(ctx context.Context) { c.fetchDocument(ctx, peer.Target{Address: address}) })
		}
	}
}

// fetchDocument asks one peer for a newer document and passes the outcome to the
// rollout machine.
func (c *Control) fetchDocument(ctx context.Context, t peer.Target) {
	above := uint64(0)
	if current := c.current.Load(); current != nil {
		above = current.Generation
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	doc, err := c.cfg.Peers.Document(call, t, above)
	var event rollout.Event = rollout.PeerFailed{Peer: t.Instance}
	if err == nil && doc.Generation > 0 && len(doc.TOML) > 0 {
		v := c.parse(doc.Generation, doc.TOML)
		event = rollout.VersionSeen{Version: v, Source: rollout.SourcePeer, Peer: t.Instance}
	}
	c.post(ctx, func(time.Time) { c.handleRollout(event) })
}

// targetOf returns the target of calls to a peer.
func targetOf(p membership.Peer) peer.Target {
	return peer.Target{Instance: p.Instance, Address: p.Address}
}
