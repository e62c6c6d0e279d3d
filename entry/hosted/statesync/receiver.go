package statesync

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Update is what a peer has sent.
type Update struct {
	// Version is the configuration's version that the peer has in force, 0 for none.
	Version uint64
	// Config is that configuration; nil: it is the one asked with, or there is none.
	Config *catalog.Config
	// ByChange says that the peer has sent what leads to it from the one asked with.
	ByChange bool
	// ConfigAt, LeavesAt and FleetAt are when the reads of the store began from which
	// the peer knows it, by this instance's clock; zero: the peer does not know.
	ConfigAt, LeavesAt, FleetAt time.Time
	// List has all leaves if Differs is set, else only its revision counts.
	List    catalog.Listing
	Differs bool
	// Instances is the list of instances; nil: it is the one asked with.
	Instances []fleet.Instance
	// FleetHash is the hash of the peer's list of instances.
	FleetHash uint64
}

// Knows reports whether the peer knows anything of configuration and leaves.
func (u *Update) Knows() bool { return !u.ConfigAt.IsZero() && !u.LeavesAt.IsZero() }

// Age is that of the older one of configuration and leaves.
func (u *Update) Age(now time.Time) time.Duration {
	return max(now.Sub(u.ConfigAt), now.Sub(u.LeavesAt))
}

// Receiver keeps the list of leaves received last, to which peers send changes. It is
// used by one goroutine.
type Receiver struct {
	leaves receivedLeaves
	// whole says that a change of the configuration could not be taken.
	whole bool
}

// Request names what this instance has, so that only what differs is sent.
func (r *Receiver) Request(base *catalog.Config) peerapi.SyncRequest {
	out := peerapi.SyncRequest{LeavesHash: r.leaves.hash, AcceptsChange: !r.whole}
	if base != nil {
		out.Version = base.Version
	}
	return out
}

// Forget makes the next request ask for the whole list.
func (r *Receiver) Forget() { r.leaves.forget() }

// Take decodes a reply to a request for what differs from a configuration and from the list
// received last. Ages count from when it was sent, so that what a peer sends is never taken for newer than it is.
func (r *Receiver) Take(reply *peerapi.SyncReply, base *catalog.Config, sent, now time.Time) (*Update, error) {
	out := &Update{
		Version: reply.Version, ByChange: reply.ConfigChange != nil, FleetHash: reply.FleetHash,
		ConfigAt: since(reply.ConfigAgeMS, sent), LeavesAt: since(reply.LeavesAgeMS, sent), FleetAt: since(reply.FleetAgeMS, sent),
	}
	var err error
	out.Config, err = decodeConfig(reply, base)
	if r.whole = err != nil; r.whole {
		return nil, err
	}
	if out.Instances, err = decodeInstances(reply); err != nil {
		return nil, err
	}
	if out.List, out.Differs, err = r.leaves.take(reply, now); err != nil {
		r.Forget()
		return nil, err
	}
	return out, nil
}

// since is the moment that lies an age back; zero for an unknown age.
func since(ageMS int64, now time.Time) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
