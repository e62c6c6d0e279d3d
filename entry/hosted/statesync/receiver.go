package statesync

import (
	"fmt"
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
type Receiver struct{ leaves receivedLeaves }

// Hash is that of the list received last; 0: there is none.
func (r *Receiver) Hash() uint64 { return r.leaves.hash }

// Forget makes the next request ask for the whole list.
func (r *Receiver) Forget() { r.leaves.forget() }

// Take decodes a reply to a request that was sent at the given time. Ages count from
// there, so that what a peer sends is never taken for newer than it is.
func (r *Receiver) Take(reply *peerapi.SyncReply, sent, now time.Time) (*Update, error) {
	out := &Update{
		Version: reply.Version, FleetHash: reply.Fleet,
		ConfigAt: since(reply.ConfigAgeMS, sent), LeavesAt: since(reply.LeavesAgeMS, sent), FleetAt: since(reply.FleetAgeMS, sent),
	}
	var err error
	if out.Config, err = decodeConfig(reply); err != nil {
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
