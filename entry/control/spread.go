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

// pushAll is the number of peers up to which a saver tells all of them. In a
// larger fleet it tells some, and they tell others.
const pushAll = 64

// maxAsked bounds the listed peers that one search asks for the document.
const maxAsked = 16

// roll gives the rollout machine an event and carries out its actions.
func (c *Control) roll(e rollout.Event) {
	actions := append([]rollout.Action(nil), c.rollout.Handle(e, time.Now())...)
	for _, a := range actions {
		c.rollAction(a)
	}
}

func (c *Control) rollAction(a rollout.Action) {
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
		c.enforce(a)
	case rollout.AnnounceGeneration:
		c.push(a.All)
	case rollout.RejectVersion:
		c.cfg.Log.Error("version of the configuration refused", "generation", a.Generation, "source", a.Source, "reason", a.Reason)
	case rollout.ResolveSave:
		c.resolve(a)
	case rollout.WakeAt:
		c.rolloutAt = a.At
	}
}

// parse reads a stored value. One that is not newer than the version in force
// is not read again: only its history matters then.
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

// readStore reads the object and hands the answer to the machine.
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
	c.post(ctx, func(time.Time) { c.roll(event) })
}

// putStore writes the object once and hands the answer to the machine, which
// repeats the write if that is safe.
func (c *Control) putStore(ctx context.Context, a rollout.PutStore) {
	generation, err := c.cfg.Store.Put(ctx, platformapi.KindConfig, platformapi.NameConfig, a.IfVersion, a.Value)
	event := putEvent(a.ID, generation, err)
	c.post(ctx, func(time.Time) { c.roll(event) })
}

// putEvent classes the answer to a conditional update.
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

// enforce puts a version in force at this instance.
func (c *Control) enforce(a rollout.Activate) {
	v := a.Version
	c.current.Store(&v)
	c.cfg.Log.Info("configuration in force", "generation", v.Generation, "hash", v.Hash, "source", a.Source)
	c.publish()
}

// push tells peers of the generation in force at once.
func (c *Control) push(all bool) {
	peers := c.membership.Peers()
	if !all || len(peers) > pushAll {
		c.member(membership.PushNow{})
		return
	}
	for _, p := range peers {
		c.sendDigest(p)
	}
}

// askPeer asks a peer for its document. One without a known address can't be
// asked, but others may be.
func (c *Control) askPeer(a rollout.AskPeer) {
	for _, p := range c.membership.Peers() {
		if p.Instance == a.Peer {
			c.spawn(func(ctx context.Context) { c.fetch(ctx, targetOf(p)) })
			return
		}
	}
	c.askAllPeers()
}

// askAllPeers asks the listed peers, and those of the settings. In a large
// fleet it asks some at random; the next search asks others.
func (c *Control) askAllPeers() {
	asked := make(map[string]bool)
	peers := c.membership.Peers()
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), maxAsked)] {
		asked[p.Address] = true
		c.spawn(func(ctx context.Context) { c.fetch(ctx, targetOf(p)) })
	}
	for _, address := range c.cfg.KnownPeers {
		if !asked[address] {
			c.spawn(func(ctx context.Context) { c.fetch(ctx, peer.Target{Address: address}) })
		}
	}
}

// fetch asks one peer and hands the answer to the machine.
func (c *Control) fetch(ctx context.Context, t peer.Target) {
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
	c.post(ctx, func(time.Time) { c.roll(event) })
}

// targetOf is a peer's address for the client.
func targetOf(p membership.Peer) peer.Target {
	return peer.Target{Instance: p.Instance, Address: p.Address}
}
