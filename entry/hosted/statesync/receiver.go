package statesync

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Update is the decoded reply of a peer.
type Update struct {
	// Version is the version of the peer's configuration, 0 for none.
	Version uint64
	// Config is that configuration; nil if it is the one that the request named, or if the
	// peer has none.
	Config *catalog.Config
	// Incremental is set if the peer sent a change to the configuration instead of the whole
	// one.
	Incremental bool
	// ConfigAt, LeavesAt and FleetAt are the times at which the store reads began that the
	// peer's configuration, leaves and instances come from, by this instance's clock. A time is
	// zero if the peer does not know that part.
	ConfigAt, LeavesAt, FleetAt time.Time
	// Leaves has all leaves if LeavesChanged is set, that is, if the peer's list differs from the
	// one received last. Otherwise only its revision is valid.
	Leaves        catalog.Listing
	LeavesChanged bool
	// Instances is the list of instances; nil if the peer has sent none.
	Instances []fleet.Instance
	// FleetHash is the hash of the peer's list of instances.
	FleetHash uint64
}

// HasConfigAndLeaves reports whether the peer knows the configuration and the leaves.
func (u *Update) HasConfigAndLeaves() bool { return !u.ConfigAt.IsZero() && !u.LeavesAt.IsZero() }

// Age returns the age of the configuration or of the leaves, whichever is older.
func (u *Update) Age(now time.Time) time.Duration {
	return max(now.Sub(u.ConfigAt), now.Sub(u.LeavesAt))
}

// Receiver decodes the replies of peers. It keeps the list of leaves received last, to which
// peers send changes. It is not safe for concurrent use.
type Receiver struct {
	leaves receivedLeaves
	// needWhole is set after a received configuration or change was rejected. The next request
	// then asks for the whole configuration.
	needWhole bool
}

// Request returns a request that names the configuration base, which may be nil, and the list
// of leaves received last, so that a peer sends only what differs.
func (r *Receiver) Request(base *catalog.Config) peerapi.SyncRequest {
	out := peerapi.SyncRequest{LeavesHash: r.leaves.hash, AcceptsChange: !r.needWhole}
	if base != nil {
		out.Version = base.Version
	}
	return out
}

// ForgetLeaves makes the next request ask for the whole list of leaves.
func (r *Receiver) ForgetLeaves() { r.leaves.forget() }

// Apply decodes the reply to a request of this receiver for the same base, and keeps the list
// of leaves in it. Ages count from the time at which the request was sent, so that a peer's
// state never seems newer than it is. After a configuration or a list of leaves that is
// rejected, the next request asks for the whole of it.
func (r *Receiver) Apply(reply *peerapi.SyncReply, base *catalog.Config, sent, now time.Time) (*Update, error) {
	out := &Update{
		Version: reply.Version, Incremental: reply.ConfigChange != nil, FleetHash: reply.FleetHash,
		ConfigAt: timeOfAge(reply.ConfigAgeMS, sent), LeavesAt: timeOfAge(reply.LeavesAgeMS, sent), FleetAt: timeOfAge(reply.FleetAgeMS, sent),
	}
	var err error
	out.Config, err = decodeConfig(reply, base)
	if r.needWhole = err != nil; r.needWhole {
		return nil, err
	}
	if out.Instances, err = decodeInstances(reply); err != nil {
		return nil, err
	}
	if out.Leaves, out.LeavesChanged, err = r.leaves.apply(reply, now); err != nil {
		r.ForgetLeaves()
		return nil, err
	}
	return out, nil
}

// timeOfAge returns the time that is an age before now; zero for an unknown age.
func timeOfAge(ageMS int64, now time.Time) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
