// Package forwarding has requests run by other instances: an instance with little processor
// hands a query over many shards to a stronger one of its zone, and parts whose leaves are
// in another zone are gathered by an instance there. It also runs what others hand over.
package forwarding

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Fleet knows whom to ask.
type Fleet interface {
	// Stronger lists the instances of the zone to which a large query may be handed.
	Stronger(now time.Time) []fleet.Instance
	// Gatherers lists the instances of a zone that may gather parts for this one.
	Gatherers(zone string, now time.Time) []fleet.Instance
	// Partners lists the instances to which this one hands over much.
	Partners(now time.Time) []fleet.Instance
	// Failed notes that an instance did not answer, Answered that it is well.
	Failed(i fleet.Instance, now time.Time)
	Answered(i fleet.Instance)
}

// Views gives the view in force, nil before there is one.
type Views interface{ View() *view.View }

// Lifecycle says whether this instance refuses requests.
type Lifecycle interface{ Refusing() bool }

// Peers calls other instances.
type Peers interface {
	Forward(ctx context.Context, to peer.Target, r *peerapi.ForwardRequest, a peer.OfferOptions) (*peerapi.ForwardReply, error)
	NextReply(ctx context.Context, to peer.Target, id uint64) (*peerapi.ForwardReply, error)
	// Connect opens a connection where none is kept.
	Connect(ctx context.Context, to peer.Target) error
}

// Config is what a forwarder needs.
type Config struct {
	// Zone is this instance's availability zone.
	Zone      string
	Fleet     Fleet
	Views     Views
	Lifecycle Lifecycle
	Peers     Peers
	// Power is the share of a core that this instance has; 0: not known.
	Power float64
	Log   *telemetry.Log
	// SyncNow is called when another instance has a newer configuration.
	SyncNow func()
}

// Forwarder hands requests over and runs those that are handed to it. It implements
// gateway.Relay, executor.Gatherer and peer.ForwardHandler.
type Forwarder struct {
	config  Config
	gateway *gateway.Gateway
	// forwardDelays is what handing a request over takes within the zone, gatherDelays
	// what having a group gathered in another one does.
	forwardDelays, gatherDelays delayEstimate
}

// New makes a forwarder. It runs nothing before Serve.
func New(c Config) *Forwarder {
	first := firstDelay(c.Power)
	return &Forwarder{
		config: c, forwardDelays: delayEstimate{first: first}, gatherDelays: delayEstimate{first: min(first+crossZone, mostForwardDelay)},
	}
}

// Serve sets the gateway that runs what other instances hand over.
func (f *Forwarder) Serve(g *gateway.Gateway) { f.gateway = g }

// ForwardDelay is what handing a request over takes beside the run.
func (f *Forwarder) ForwardDelay() time.Duration { return f.forwardDelays.high() }

// GatherDelay is what having a group gathered takes beside the run.
func (f *Forwarder) GatherDelay() time.Duration { return f.gatherDelays.high() }
