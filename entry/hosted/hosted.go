// Package hosted runs an entry instance on a platform of its users' own: the
// configuration is an object that their operators write, leaves register
// themselves in the platform's store, and requests are passed on as they come.
// An adapter gives it the store's words, the leaf's protocol and the names of
// headers; decisions are the kernel's.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/forwarding"
	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/slowleaves"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
)

// Source reads the platform's store. Each call answers for the moment at which
// it was made, or later.
type Source interface {
	// Config reads the newest configuration; nil while there is none.
	Config(ctx context.Context) (*catalog.Config, error)
	// Leaves reads all registered leaves.
	Leaves(ctx context.Context) (catalog.Listing, error)
	// Instances reads the announcements of all instances; they may be seconds old.
	Instances(ctx context.Context) ([]fleet.Instance, []catalog.BadEntry, error)
	// Probe asks for a small object that may be old, which costs little. Without an error
	// the store serves this instance.
	Probe(ctx context.Context) error
	// Announce writes this instance's announcement, and reports whether there was one;
	// known says that there should be.
	Announce(ctx context.Context, i fleet.Instance, known bool) (existed bool, err error)
}

// Leaves is the leaf protocol with its connections.
type Leaves interface {
	executor.Leaves
	// Apply drops the connections of leaves that are not named.
	Apply(targets []leafclient.Target)
	// Opened is the number of connections opened so far and open now.
	Opened() (dials int64, open int)
	// Close drops all.
	Close()
}

// Config is what an instance is made of.
type Config struct {
	Instance string
	Zone     string
	// Listen is the clients' address, Ready that of the balancer's questions and
	// of the metrics.
	Listen, Ready string
	// Peer is the address at which other instances reach this one.
	Peer string
	// PeerKey is the secret that instances prove to each other.
	PeerKey []byte
	// Seeds are addresses of instances, like Peer, at which one that knows no other finds
	// some. They may be old or down; its own may be among them.
	Seeds []string
	// FirstStart says that all instances start, for the first time.
	FirstStart bool
	// Power is the share of a core that this instance has; 0: not known.
	Power float64
	// ReadyPath is the path of the balancer's question.
	ReadyPath string
	Source    Source
	// Metrics is an address of its own for the metrics, IP:port; empty: none.
	Metrics string
	// Instruments are those that the source's client counts with; nil makes some.
	Instruments *telemetry.Metrics
	// NewLeaves makes the leaf protocol; gone may be called from any goroutine
	// for a leaf that shows that it takes no more work.
	NewLeaves func(gone func(leafID string)) Leaves
	Headers   gateway.Headers
	Tunables  Tunables
	Log       telemetry.Options
	LogSink   io.Writer
}

// Tunables are what may change while an instance runs.
type Tunables struct {
	Catalog catalog.Settings
	// Bound is the time within which a change in the store must be in force.
	Bound time.Duration
	// Grace is the time between the word to stop and the end.
	Grace time.Duration
}

// Node is one hosted instance.
type Node struct {
	config    Config
	log       *telemetry.Log
	metrics   *telemetry.Metrics
	leaves    Leaves
	executor  *executor.Executor
	lifecycle lifecycle.Lifecycle
	control   *control
	fleet     *members
	peers     *peer.Client
	slow      *slowleaves.Exchange
	forwarder *forwarding.Forwarder
	gateway   *gateway.Gateway
	view      atomic.Pointer[view.View]
	current   atomic.Pointer[time.Time] // until when the view's configuration is the newest
	limits    atomic.Pointer[catalog.Limits]
	tunables  atomic.Pointer[Tunables]
}

// hostedPolicies are the policies of a hosted instance.
var hostedPolicies = executor.Policies{
	Dispatch:   dispatch.Policies{Routing: "nearest", Order: "adaptive", Limit: "adaptive"},
	Repetition: "objective",
}

const (
	// lostToSuspect is the number of leaves that must be lost under a request before it
	// is suspected: two are lost to one request when two leaves crash or reset
	// connections at about the same time, which three hardly do.
	lostToSuspect = 3
	// quarantineFor is how long a request that breaks leaves is refused before one leaf
	// is risked again. It is short, since the losses may have had another cause that all
	// leaves of the service share.
	quarantineFor = 15 * time.Second
)

// combinerName is the combiner of answers over shards.
const combinerName = "greatest-records"

// New assembles an instance. It does no I/O but opening the log.
func New(c Config) (*Node, error) {
	log, err := telemetry.NewLog(c.LogSink, c.Log)
	if err != nil {
		return nil, err
	}
	if err := hostedPolicies.Check(); err != nil {
		return nil, err
	}
	if c.Instruments == nil {
		c.Instruments = telemetry.NewMetrics()
	}
	n := &Node{config: c, log: log, metrics: c.Instruments}
	n.tunables.Store(&c.Tunables)
	n.fleet = newMembers(n)
	n.slow = slowleaves.New()
	n.peers = peer.NewClient(peer.ClientConfig{Instance: c.Instance, Key: c.PeerKey, DialTimeout: syncTimeout, Silence: syncTimeout})
	n.control = newControl(n)
	n.leaves = c.NewLeaves(n.control.leafGone)
	n.forwarder = forwarding.New(forwarding.Config{
		Zone: c.Zone, Fleet: n.fleet, Views: n, Lifecycle: &n.lifecycle, Peers: n.peers, CPUs: c.Power, Log: log, SyncNow: n.control.syncNow,
	})
	n.executor = executor.New(executor.Config{
		Leaves: n.leaves, LeafObserver: n.control, Log: log, Metrics: n.metrics, Policies: hostedPolicies,
		Zone: c.Zone, Seed: uint64(time.Now().UnixNano()), FleetKey: c.PeerKey,
		RepeatSlack: n.fleet.repeatSlack, Gatherer: n.forwarder, Ages: n.ages, LostToSuspect: lostToSuspect, QuarantineFor: quarantineFor,
	})
	newCombiner, err := plugin.Combiners.Get(combinerName)
	if err != nil {
		return nil, err
	}
	n.gateway = gateway.New(gateway.Config{
		Executor: n.executor, Views: n, Lifecycle: &n.lifecycle, Headers: c.Headers,
		Combiner: newCombiner(), Relay: n.forwarder, Log: log, Metrics: n.metrics,
	})
	n.forwarder.SetGateway(n.gateway)
	return n, nil
}

// ages are those of the configuration and of the list of leaves in force.
func (n *Node) ages() (config, leaves time.Duration) {
	state := n.control.state.Load()
	if state == nil {
		return 0, 0
	}
	now := time.Now()
	return now.Sub(state.LastReads.ConfigAt), now.Sub(state.LastReads.LeavesAt)
}

// Log returns the logger of a part.
func (n *Node) Log(part string) *telemetry.ComponentLog { return n.log.Component(part) }

// Retune puts changed settings in force.
func (n *Node) Retune(t Tunables) {
	n.tunables.Store(&t)
	n.control.offer(retuned{t.Catalog})
}

// Run serves until stop is closed and the graceful end, or until the context ends.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	defer n.close()
	clients, err := n.listen(ctx, n.config.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	defer clients.Close()
	balancer, err := n.listen(ctx, n.config.Ready)
	if err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	defer balancer.Close()
	peers, err := n.listen(ctx, n.config.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer peers.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serveUntil(ctx, n.clientServer(), clients) })
	g.Go(func() error { return serveUntil(ctx, n.readyServer(), balancer) })
	if n.config.Metrics != "" {
		g.Go(func() error { return n.serveMetrics(ctx) })
	}
	g.Go(func() error { return n.peerServer().Serve(ctx, peers) })
	g.Go(func() error { return n.control.run(ctx) })
	g.Go(func() error { return n.fleet.announce(ctx) })
	g.Go(func() error { return n.forwarder.KeepConnected(ctx, n.fleet.known) })
	g.Go(func() error {
		select {
		case <-stop:
			n.drain(ctx)
		case <-ctx.Done():
		}
		cancel()
		return nil
	})
	n.log.Component("node").Info("serving", "instance", n.config.Instance, "zone", n.config.Zone, "clients", n.config.Listen)
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// close gives up what New opened.
func (n *Node) close() {
	n.leaves.Close()
	n.peers.Close()
	if err := n.metrics.Close(); err != nil {
		n.log.Component("node").Error("metrics were not closed", "err", err)
	}
	n.log.Close()
}
