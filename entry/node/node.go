// Package node assembles an entry instance from its components: telemetry, the
// platform client, control, ledger, executor, probes and servers. It starts them, and
// stops them in an order that lets requests in flight finish.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/control"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ledger"
	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/entry/probe"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Version is the program's version.
const Version = "0.1.0-dev"

// maxReplyBytes is the maximum size of a leaf's reply.
const maxReplyBytes = 4 << 20

// Node is one entry instance.
type Node struct {
	settings          *settings.Settings
	log               *telemetry.Log
	metrics           *telemetry.Metrics
	store             *platform.Client
	leafClient        *leafclient.Client
	ledger            *ledger.Ledger
	executor          *executor.Executor
	control           *control.Control
	peers             *peer.Client
	peerServer        *peer.Server
	peerTLS           *tls.Config
	prober            *probe.Prober
	server            *server.Server
	operators         *server.Server // nil when operators share the callers' address
	lifecycle         lifecycle.Lifecycle
	view              atomic.Pointer[view.View]
	connectionsOpened atomic.Bool
	stop              chan struct{}
	stopOnce          sync.Once
	startTime         time.Time
}

// New assembles a node. It opens no sockets; Run opens them.
func New(s *settings.Settings, logSink io.Writer) (*Node, error) {
	log, err := telemetry.NewLog(logSink, telemetry.Options{Level: s.Log.Level, Format: s.Log.Format, LogDecisions: true})
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, metrics: telemetry.NewMetrics(), stop: make(chan struct{}), startTime: time.Now()}
	n.leafClient = leafclient.New(maxReplyBytes)
	transport, err := platformTransport(s.Platform)
	if err != nil {
		return nil, err
	}
	n.store, err = platform.New(platform.Config{
		URL: s.Platform.Address, Token: s.Platform.Token, Instance: s.Instance, Timeout: s.Platform.Timeout,
		Meter: platform.ScopeMeter{Scope: n.metrics.Scope.SubScope("platform")}, Transport: transport,
	})
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	n.ledger, err = ledger.New(ledger.Config{
		Store: n.store, Logger: log.Logger("ledger"), Meter: ledgerMeter{n.metrics.Scope.SubScope("ledger")},
	})
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if err := n.newControl(); err != nil {
		return nil, err
	}
	n.executor = executor.New(executor.Config{
		LeafClient: n.leafClient, LeafObserver: n.control, Log: n.log, Metrics: n.metrics, Policies: executorPolicies(s.Policy),
		Zone: s.Zone, Seed: uint64(time.Now().UnixNano()), FleetKey: s.Peer.Key, Ledger: n.ledger,
		MaxQueries: s.Limits.Queries, MaxQueue: s.Limits.Queue,
	})
	n.prober = probe.New(probe.Config{LeafClient: n.leafClient, StatusRecorder: n.executor, View: n.View, OnWarmed: func() { n.connectionsOpened.Store(true) }})
	if err := n.newServers(); err != nil {
		return nil, err
	}
	return n, nil
}

// View returns the current view; nil before the first configuration document.
func (n *Node) View() *view.View { return n.view.Load() }

// publish makes v the current view. The connection limits are set and the executor
// is notified before queries can use the view.
func (n *Node) publish(v *view.View) {
	n.leafClient.Apply(probe.Targets(v))
	n.executor.SetView(v)
	n.view.Store(v)
	n.lifecycle.MarkServing()
}

// Stop starts a graceful stop and returns at once. Run returns when the stop is done.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Run serves until Stop is called or the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	l, err := n.listen(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.server.Serve(l.callers) })
	if n.operators != nil {
		g.Go(func() error { return n.operators.Serve(l.operators) })
	}
	g.Go(func() error { return n.peerServer.Serve(ctx, l.peers) })
	g.Go(func() error { return n.control.Run(ctx) })
	g.Go(func() error { return n.ledger.Run(ctx) })
	g.Go(func() error { return n.prober.Run(ctx) })
	g.Go(func() error {
		n.waitAndDrain(ctx)
		cancel()
		return nil
	})
	n.log.Component("node").Info("serving", "instance", n.settings.Instance, "zone", n.settings.Zone, "callers", l.callers.Addr().String())
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// close closes what New opened.
func (n *Node) close() {
	n.leafClient.Close()
	n.peers.Close()
	n.store.Close()
	if err := n.metrics.Close(); err != nil {
		n.log.Component("node").Error("metrics were not closed", "err", err)
	}
	n.log.Close()
}

// notReady returns the reason why the load balancer should not send requests to this
// instance; empty if it is ready.
func (n *Node) notReady() string {
	if reason := n.lifecycle.NotReady("no configuration document yet"); reason != "" {
		return reason
	}
	if !n.connectionsOpened.Load() {
		return "connections are being opened"
	}
	return ""
}
