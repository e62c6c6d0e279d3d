// Package node assembles an entry instance from its parts: telemetry, the
// platform client, control, ledger, executor, probes and servers. It starts
// them, and stops them in the order that cuts no request off.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/control"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ledger"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/entry/probe"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Version is the program's version.
const Version = "0.1.0-dev"

// maxReply bounds one leaf's reply, in bytes.
const maxReply = 4 << 20

// Node is one entry instance.
type Node struct {
	settings  *settings.Settings
	log       *telemetry.Log
	metrics   *telemetry.Metrics
	store     *platform.Client
	leaves    *leafclient.Client
	ledger    *ledger.Ledger
	executor  *executor.Executor
	control   *control.Control
	peers     *peer.Client
	peerServe *peer.Server
	peerTLS   *tls.Config
	prober    *probe.Prober
	server    *server.Server
	operators *server.Server // nil when operators share the callers' address
	lifecycle lifecycle
	view      atomic.Pointer[view.View]
	warmed    atomic.Bool
	stop      chan struct{}
	stopOnce  sync.Once
	started   time.Time
}

// New assembles a node. It does no I/O but opening the log.
func New(s *settings.Settings, logSink io.Writer) (*Node, error) {
	log, err := telemetry.NewLog(logSink, telemetry.Options{Level: s.Log.Level, JSON: s.Log.Format == "json", Decisions: true})
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, metrics: telemetry.NewMetrics(), stop: make(chan struct{}), started: time.Now()}
	n.leaves = leafclient.New(maxReply)
	transport, err := platformTransport(s.Platform)
	if err != nil {
		return nil, err
	}
	n.store, err = platform.New(platform.Config{
		URL: s.Platform.Address, Token: s.Platform.Token, Instance: s.Instance, Timeout: s.Platform.Timeout,
		Meter: platformMeter{n.metrics.Scope.SubScope("platform")}, Transport: transport,
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
		Leaves: n.leaves, Sightings: n.control, Log: n.log, Metrics: n.metrics, Policies: policies(s.Policy),
		Zone: s.Zone, Seed: uint64(time.Now().UnixNano()), FleetKey: s.Peer.Key, Ledger: n.ledger,
	})
	n.prober = probe.New(probe.Config{Leaves: n.leaves, Learner: n.executor, View: n.View, Warmed: func() { n.warmed.Store(true) }})
	if err := n.newServers(); err != nil {
		return nil, err
	}
	return n, nil
}

// newControl makes control and what it speaks to peers with. The executor does
// not exist yet: control reaches it through the node.
func (n *Node) newControl() error {
	s := n.settings
	var err error
	if n.peerTLS, err = peersTLS(s.TLS); err != nil {
		return err
	}
	placement, err := plugin.Placements.Get(s.Policy.Placement)
	if err != nil {
		return err
	}
	n.peers = peer.NewClient(peer.ClientConfig{Instance: s.Instance, Key: s.Peer.Key, TLS: n.peerTLS})
	n.control = control.New(control.Config{
		Instance: s.Instance, Zone: s.Zone, Store: n.store, Peers: n.peers, Known: s.Peer.Known,
		Placement: placement(plugin.PlacementConfig{Headroom: placementHeadroom}), Quarantine: fleetQuarantine{n}, Publish: n.publish,
		Log: n.log.Part("control"), Seed: uint64(time.Now().UnixNano()),
	})
	n.peerServe = peer.NewServer(peer.ServerConfig{Instance: s.Instance, Key: s.Peer.Key, Handler: n.control})
	return nil
}

// placementHeadroom is the number of live entries that any entry's list may
// miss without a leaf's connection limit being exceeded.
const placementHeadroom = 2

// fleetQuarantine gives control the executor's quarantine.
type fleetQuarantine struct{ node *Node }

// Quarantine implements control.Quarantine.
func (q fleetQuarantine) Quarantine() []peerapi.Quarantined { return q.node.executor.Quarantine() }

// MergeQuarantine implements control.Quarantine.
func (q fleetQuarantine) MergeQuarantine(list []peerapi.Quarantined) {
	q.node.executor.MergeQuarantine(list)
}

// newServers makes the HTTP servers. Operators' routes are on the callers'
// address unless they have one of their own.
func (n *Node) newServers() error {
	s := n.settings
	callers, err := callersTLS(s.TLS)
	if err != nil {
		return err
	}
	config := server.Config{
		Executor: n.executor, Views: n, Lifecycle: &n.lifecycle, Ready: n.notReady, Status: n.status,
		Metrics: n.metrics.Handler(), TLS: callers,
		Limits: server.Limits{BodyBytes: s.Limits.BodyBytes, HeaderBytes: s.Limits.HeaderBytes, ReadTimeout: s.Limits.ReadTimeout, IdleTimeout: s.Limits.IdleTimeout},
	}
	n.server = server.New(config)
	router := n.server.Echo()
	if s.Listen.Operators != "" && s.Listen.Operators != s.Listen.Callers {
		n.operators = server.New(config)
		router = n.operators.Echo()
	}
	operators.New(operators.Config{Control: n.control, Quarantine: n.executor, Views: n, FirstToken: s.Platform.Token}).Register(router)
	pages, err := console.New(console.Config{
		Control: n.control, Views: n, Quarantine: n.executor, Log: n.log.Part("console"), FleetKey: s.Peer.Key, Secure: callers != nil,
	})
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	pages.Register(router)
	return nil
}

// View is the view in force; nil before there is a document.
func (n *Node) View() *view.View { return n.view.Load() }

// publish puts a new view in force. The executor knows it before any query does.
func (n *Node) publish(v *view.View) {
	n.executor.Follow(v)
	n.view.Store(v)
	n.lifecycle.phase.CompareAndSwap(int32(phaseStarting), int32(phaseServing))
}

// Stop starts a graceful stop. It returns at once; Run ends when it is done.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Run serves until Stop and the graceful end, or until the context ends.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	l, err := n.listen()
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
	g.Go(func() error { return n.peerServe.Serve(ctx, l.peers) })
	g.Go(func() error { return n.control.Run(ctx) })
	g.Go(func() error { return n.ledger.Run(ctx) })
	g.Go(func() error { return n.prober.Run(ctx) })
	g.Go(func() error {
		n.awaitStop(ctx)
		cancel()
		return nil
	})
	n.log.Part("node").Info("serving", "instance", n.settings.Instance, "zone", n.settings.Zone, "callers", l.callers.Addr().String())
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// listeners are the sockets of a node.
type listeners struct {
	callers, peers net.Listener
	operators      net.Listener // nil when operators share the callers' address
}

// listen opens all sockets, or none.
func (n *Node) listen() (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.callers, err = net.Listen("tcp", n.settings.Listen.Callers); err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	if l.peers, err = net.Listen("tcp", n.settings.Listen.Peers); err != nil {
		return l, fmt.Errorf("listen for peers: %w", err)
	}
	if n.peerTLS != nil {
		l.peers = tls.NewListener(l.peers, n.peerTLS)
	}
	if n.operators == nil {
		return l, nil
	}
	if l.operators, err = net.Listen("tcp", n.settings.Listen.Operators); err != nil {
		return l, fmt.Errorf("listen for operators: %w", err)
	}
	return l, nil
}

// close gives the sockets up that were opened.
func (l listeners) close() {
	for _, s := range []net.Listener{l.callers, l.peers, l.operators} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// awaitStop waits for Stop and carries the graceful stop out.
func (n *Node) awaitStop(ctx context.Context) {
	select {
	case <-n.stop:
	case <-ctx.Done():
	}
	n.drain(context.WithoutCancel(ctx))
}

// drain stops the instance without cutting a request off.
func (n *Node) drain(ctx context.Context) {
	log := n.log.Part("node")
	n.lifecycle.set(phaseLeaving)
	n.control.SetDraining()
	log.Info("leaving: still serving until the balancer has let go")
	n.lifecycle.waitQuiet(ctx, n.settings.Limits.DrainTime)
	n.lifecycle.set(phaseRefusing)
	log.Info("finishing what is in flight", "queries", n.executor.Running())
	finish, cancel := context.WithTimeout(ctx, n.longestDeadline()+finishTime)
	defer cancel()
	if err := n.executor.Wait(finish); err != nil {
		log.Error("requests were still in flight at the end", "queries", n.executor.Running())
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTime)
	defer cancelFlush()
	if err := n.ledger.Flush(flush); err != nil {
		log.Error("outcomes were not all recorded", "err", err)
	}
	for _, s := range []*server.Server{n.server, n.operators} {
		if s == nil {
			continue
		}
		if err := s.Shutdown(finish); err != nil {
			log.Error("connections were still open at the end", "err", err)
		}
	}
	log.Info("stopped")
}

// longestDeadline is the longest that a query in flight may take.
func (n *Node) longestDeadline() time.Duration {
	var longest time.Duration
	if v := n.View(); v != nil {
		for _, s := range v.Services {
			longest = max(longest, s.Config.Deadline)
		}
	}
	return longest
}

// close gives up what New opened.
func (n *Node) close() {
	n.leaves.Close()
	n.peers.Close()
	n.store.Close()
	if err := n.metrics.Close(); err != nil {
		n.log.Part("node").Error("metrics were not closed", "err", err)
	}
	n.log.Close()
}

// notReady says why the balancer should send no one; "" when it should.
func (n *Node) notReady() string {
	switch n.lifecycle.get() {
	case phaseStarting:
		return "no configuration document yet"
	case phaseLeaving, phaseRefusing:
		return "leaving"
	case phaseServing:
	}
	if !n.warmed.Load() {
		return "connections are being opened"
	}
	return ""
}
