// Package hosted runs an entry instance on a platform that its users run
// themselves: operators write the configuration as an object of the platform's
// store, leaves register themselves there, and requests are forwarded unchanged.
// An adapter supplies the access to the store, the leaf protocol and the names
// of the headers; the kernel makes the decisions.
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
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
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

// Source is the platform's store. Except for Probe and stale Instances, each read
// returns the contents as of the moment at which it was made, or later.
type Source interface {
	// Config reads the newest configuration; nil while there is none.
	Config(ctx context.Context) (*catalog.Config, error)
	// Leaves reads all registered leaves.
	Leaves(ctx context.Context) (catalog.Listing, error)
	// Instances reads the announcements of all instances, which may be seconds old if
	// mayBeStale is set.
	Instances(ctx context.Context, mayBeStale bool) ([]fleet.Instance, []catalog.BadEntry, error)
	// Probe reads a small object that may be stale, which is cheap. It returns nil if
	// the store serves this instance.
	Probe(ctx context.Context) error
	// Announce writes this instance's announcement and reports whether one existed
	// before; known says that the list in force has one.
	Announce(ctx context.Context, i fleet.Instance, known bool) (existed bool, err error)
	// QuarantineRecords reads the records of requests that crash leaves.
	QuarantineRecords(ctx context.Context) ([]QuarantineRecord, error)
	// WriteQuarantineRecord creates a record if its revision is 0, and else replaces the one of
	// that revision. It returns the new revision. The error is a *QuarantineConflictError if the
	// store has another revision.
	WriteQuarantineRecord(ctx context.Context, r QuarantineRecord) (revision uint64, err error)
	// DeleteQuarantineRecord deletes a record if it has the revision.
	DeleteQuarantineRecord(ctx context.Context, fingerprint string, revision uint64) error
}

// QuarantineRecord is the stored record of a request that is suspected of crashing leaves.
type QuarantineRecord struct {
	// Fingerprint, Level and Probes are those of quarantine.Record.
	Fingerprint   string
	Level, Probes int
	// ExpiresMillis is when the record expires, in Unix milliseconds by the clock of the
	// instance that wrote it.
	ExpiresMillis int64
	// Revision is that of the stored object, 0 if it is not stored yet.
	Revision uint64
}

// QuarantineConflictError means that the store has another revision of a record than the one
// to be written.
type QuarantineConflictError struct {
	// Stored is the record in the store; without a fingerprint if it could not be decoded.
	Stored QuarantineRecord
}

// Error implements error.
func (e *QuarantineConflictError) Error() string {
	return fmt.Sprintf("quarantine record is at revision %d", e.Stored.Revision)
}

// Leaves is the client of the leaf protocol, with its connections.
type Leaves interface {
	executor.LeafClient
	// Apply closes the connections to leaves that are not among the targets.
	Apply(targets []leafclient.Target)
	// Opened returns the number of connections opened so far and open at present.
	Opened() (dials int64, open int)
	// Sockets returns the number of sockets in use.
	Sockets() int
	// Close closes all connections.
	Close()
}

// Config holds the identity, addresses and dependencies of an instance.
type Config struct {
	Instance string
	Zone     string
	// Listen is the address for clients, ReadyAddress that for the balancer's readiness checks
	// and the metrics; both are host:port.
	Listen, ReadyAddress string
	// PeerAddress is the address at which other instances reach this one.
	PeerAddress string
	// PeerKey is the shared secret with which instances authenticate each other.
	PeerKey []byte
	// Seeds are peer addresses of instances that a starting instance asks for the state and
	// the list of instances. They may be outdated or down, and may include its own address.
	Seeds []string
	// Bootstrap says that all instances of the fleet start for the first time.
	Bootstrap bool
	// CPUs is the number of CPU cores that this instance has, often a fraction; 0: not known.
	CPUs float64
	// ReadyPath is the path of the balancer's readiness check.
	ReadyPath string
	Source    Source
	// MetricsAddress is a separate address for the metrics, IP:port; empty: none.
	MetricsAddress string
	// Metrics are the metrics of the instance, which the source's client may use too; New makes
	// them if nil.
	Metrics *telemetry.Metrics
	// NewLeaves makes the client of the leaf protocol, which may call gone from any
	// goroutine for a leaf that indicates that it takes no more work.
	NewLeaves func(gone func(leafID string)) Leaves
	Headers   gateway.Headers
	Tunables  Tunables
	Log       telemetry.Options
	LogSink   io.Writer
}

// Tunables are the settings that may change while an instance runs.
type Tunables struct {
	Catalog catalog.Settings
	// FreshnessBound is the time within which a change in the store must be in force.
	FreshnessBound time.Duration
	// GracePeriod is the time in which an instance that is asked to stop must have ended.
	GracePeriod time.Duration
	Resources   Resources
}

// Node is one hosted instance.
type Node struct {
	config           Config
	log              *telemetry.Log
	metrics          *telemetry.Metrics
	leaves           Leaves
	executor         *executor.Executor
	lifecycle        lifecycle.Lifecycle
	control          *control
	membership       *membership
	peers            *peer.Client
	slowLeaves       *slowleaves.Exchange
	probeStore       *probeStore
	forwarder        *forwarding.Forwarder
	gateway          *gateway.Gateway
	clients          *ingress.Guard
	view             atomic.Pointer[view.View]
	configFreshUntil atomic.Pointer[time.Time] // until then the view's configuration counts as the newest
	limits           atomic.Pointer[catalog.Limits]
	tunables         atomic.Pointer[Tunables]
}

// policies are the policies that a hosted instance uses.
var policies = executor.Policies{
	Dispatch:   dispatch.Policies{Routing: "nearest", Order: "adaptive", Limit: "adaptive"},
	Repetition: "objective",
}

const (
	// lostToSuspect is the number of leaves that must be lost while they run a request before
	// the request is suspected of breaking leaves. One request can lose two by chance, when two
	// leaves crash or reset connections at about the same time; three hardly ever do.
	lostToSuspect = 3
	// firstQuarantine is how long a request is refused after its first probe on one leaf. It is
	// short because the losses may have another cause that all leaves of the service share.
	firstQuarantine = 15 * time.Second
)

// combinerName is the policy that combines the answers of the shards.
const combinerName = "greatest-records"

// New assembles an instance. Its only I/O is opening the log.
func New(c Config) (*Node, error) {
	log, err := telemetry.NewLog(c.LogSink, c.Log)
	if err != nil {
		return nil, err
	}
	if err := policies.Check(); err != nil {
		return nil, err
	}
	if c.Metrics == nil {
		c.Metrics = telemetry.NewMetrics()
	}
	n := &Node{config: c, log: log, metrics: c.Metrics}
	n.tunables.Store(&c.Tunables)
	n.membership = newMembership(n)
	n.slowLeaves = slowleaves.New()
	n.probeStore = newProbeStore(n)
	n.peers = peer.NewClient(peer.ClientConfig{Instance: c.Instance, Key: c.PeerKey, DialTimeout: peerSilenceTimeout, SyncIdleTimeout: peerSilenceTimeout})
	n.control = newControl(n)
	n.leaves = c.NewLeaves(n.control.reportLeafGone)
	n.clients = n.newClientGuard()
	n.forwarder = forwarding.New(forwarding.Config{
		Zone: c.Zone, Fleet: n.membership, Views: n, Lifecycle: &n.lifecycle, Peers: n.peers, CPUs: c.CPUs, Log: log, SyncNow: n.control.syncNow,
	})
	n.executor = executor.New(executor.Config{
		LeafClient: n.leaves, LeafObserver: n.control, Log: log, Metrics: n.metrics, Policies: policies,
		Zone: c.Zone, Seed: uint64(time.Now().UnixNano()), FleetKey: c.PeerKey,
		RepeatSlackShare: n.membership.repeatSlack, EarnsRepeats: n.membership.earnsRepeats, Gatherer: n.forwarder, StateInfo: n.stateInfo, State: n.control, SuspectAfterLosses: lostToSuspect, QuarantineDuration: firstQuarantine, ProbeStore: n.probeStore,
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

// stateInfo describes the configuration and the list of leaves in force; zero before there is
// any state.
func (n *Node) stateInfo() executor.StateInfo {
	state := n.control.state.Load()
	if state == nil {
		return executor.StateInfo{}
	}
	now, last := time.Now(), state.LastReads
	return executor.StateInfo{ConfigAge: now.Sub(last.ConfigAt), LeavesAge: now.Sub(last.LeavesAt), LeavesRevision: last.Revision}
}

// Log returns the logger of a part of the instance.
func (n *Node) Log(part string) *telemetry.ComponentLog { return n.log.Component(part) }

// ApplyTunables puts changed tunables in force.
func (n *Node) ApplyTunables(t Tunables) {
	n.tunables.Store(&t)
	n.control.trySend(retuned{t.Catalog})
}

// Run serves until stop is closed and the instance has drained, or until the context ends.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	defer n.close()
	clients, err := n.listen(ctx, n.config.Listen, ingress.ClientReceiveBuffer)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	defer clients.Close()
	balancer, err := n.listen(ctx, n.config.ReadyAddress, ingress.AdminReceiveBuffer)
	if err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	defer balancer.Close()
	peers, err := n.listen(ctx, n.config.PeerAddress, ingress.PeerReceiveBuffer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer peers.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serveUntil(ctx, n.clientServer(), n.clients.Listen(clients)) })
	g.Go(func() error { return serveUntil(ctx, n.readyServer(), n.newAdminGuard().Listen(balancer)) })
	if n.config.MetricsAddress != "" {
		g.Go(func() error { return n.serveMetrics(ctx) })
	}
	g.Go(func() error { return n.peerServer().Serve(ctx, peers) })
	g.Go(func() error { return n.control.run(ctx) })
	g.Go(func() error { return n.membership.keepAnnounced(ctx) })
	g.Go(func() error { return n.probeStore.run(ctx) })
	g.Go(func() error { return n.forwarder.KeepConnected(ctx, n.membership.listKnown) })
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

// close releases what New opened.
func (n *Node) close() {
	n.leaves.Close()
	n.peers.Close()
	if err := n.metrics.Close(); err != nil {
		n.log.Component("node").Error("metrics were not closed", "err", err)
	}
	n.log.Close()
}
