// Package forwarding has other instances run requests or parts of them. An instance with a
// small share of a core forwards a query over many shards to an instance of its zone that has
// more. The parts of a query whose leaves are in another zone are gathered by an instance of
// that zone. The package also runs what other instances forward to this one.
package forwarding

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Fleet lists the instances to which requests can be forwarded.
type Fleet interface {
	// Stronger lists the instances of this zone to which a large query may be forwarded.
	Stronger(now time.Time) []fleet.Instance
	// Gatherers lists the instances of a zone that may gather parts for this one.
	Gatherers(zone string, now time.Time) []fleet.Instance
	// Partners lists the instances to which this one forwards many requests.
	Partners(now time.Time) []fleet.Instance
	// Failed records that an instance did not answer.
	Failed(i fleet.Instance, now time.Time)
	// Answered records that an instance is healthy.
	Answered(i fleet.Instance)
}

// Views provides the view in force.
type Views interface {
	// View returns nil before there is a view.
	View() *view.View
	// IsCurrent reports whether the view may be acted on.
	IsCurrent() bool
}

// Lifecycle reports whether this instance refuses requests.
type Lifecycle interface{ Refusing() bool }

// Peers calls other instances.
type Peers interface {
	Forward(ctx context.Context, to peer.Target, r *peerapi.ForwardRequest, a peer.OfferOptions) (*peerapi.ForwardReply, error)
	NextReply(ctx context.Context, to peer.Target, id uint64) (*peerapi.ForwardReply, error)
	// Connect opens a connection unless one is open.
	Connect(ctx context.Context, to peer.Target) error
}

// Config has the settings and dependencies of a Forwarder.
type Config struct {
	// Zone is this instance's availability zone.
	Zone      string
	Fleet     Fleet
	Views     Views
	Lifecycle Lifecycle
	Peers     Peers
	// CPUs is the number of cores that this instance may use, often a fraction of one; 0 if
	// it is unknown.
	CPUs float64
	Log  *telemetry.Log
	// SyncNow starts a sync with another instance. It is called when an instance is found to
	// have a newer configuration.
	SyncNow func()
}

// Forwarder forwards requests and runs those that are forwarded to it. It implements
// gateway.Relay, executor.Gatherer and peer.ForwardHandler.
type Forwarder struct {
	config  Config
	gateway *gateway.Gateway
	// forwardDelays estimates the delay of forwarding a request within the zone, and
	// gatherDelays that of having a group gathered in another zone.
	forwardDelays, gatherDelays delayEstimate
}

// New returns a forwarder. It can forward requests, but runs none for other instances before
// SetGateway.
func New(c Config) *Forwarder {
	initial := initialDelay(c.CPUs)
	return &Forwarder{
		config: c, forwardDelays: delayEstimate{initial: initial}, gatherDelays: delayEstimate{initial: min(initial+crossZoneDelay, maxForwardDelay)},
	}
}

// SetGateway sets the gateway that runs the requests and groups that other instances forward.
func (f *Forwarder) SetGateway(g *gateway.Gateway) { f.gateway = g }

// maxForwardedBody is the largest body of a request that is forwarded, in bytes. A message holds
// several copies of it, on both sides.
const maxForwardedBody = 32 << 10

// canForward reports whether a request may be sent to another instance, whole or for a group.
func canForward(r *executor.Request) bool { return len(r.Forwarded.Body) <= maxForwardedBody }

// ForwardDelay returns the delay that forwarding a request adds to the time of its run. Most
// forwarded requests do not exceed it.
func (f *Forwarder) ForwardDelay() time.Duration { return f.forwardDelays.upperBound() }

// GatherDelay returns the delay that having a group gathered in another zone adds to the time
// of its run. Most groups do not exceed it.
func (f *Forwarder) GatherDelay() time.Duration { return f.gatherDelays.upperBound() }
