package node

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/control"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// newControl creates the control component, and the client and server for messages
// between peers. The executor does not exist yet, so control gets it through the
// node.
func (n *Node) newControl() error {
	s := n.settings
	var err error
	if n.peerTLS, err = peerTLSConfig(s.TLS, n.log.Component("tls")); err != nil {
		return err
	}
	placement, err := plugin.Placements.Get(s.Policy.Placement)
	if err != nil {
		return err
	}
	n.peers = peer.NewClient(peer.ClientConfig{Instance: s.Instance, Key: s.Peer.Key, TLS: n.peerTLS})
	n.control = control.New(control.Config{
		Instance: s.Instance, Zone: s.Zone, Store: n.store, Peers: n.peers, KnownPeers: s.Peer.Known,
		Placement: placement(plugin.PlacementConfig{Headroom: placementHeadroom}), Quarantine: executorQuarantine{n}, Publish: n.publish,
		Log: n.log.Component("control"), Seed: uint64(time.Now().UnixNano()),
	})
	n.peerServer = peer.NewServer(peer.ServerConfig{
		Instance: s.Instance, Key: s.Peer.Key, Gossip: n.control,
		OnReject: func(reason string) { telemetry.ReportRejection(n.metrics, n.log, "peers", reason) },
	})
	return nil
}

// placementHeadroom is the number of live entries that may be missing from any
// entry's list without a leaf's connection limit being exceeded.
const placementHeadroom = 2

// executorQuarantine implements control.Quarantine with the executor's quarantine.
type executorQuarantine struct{ node *Node }

// Quarantine implements control.Quarantine.
func (q executorQuarantine) Quarantine() []peerapi.QuarantineRecord {
	return q.node.executor.Quarantine()
}

// MergeQuarantine implements control.Quarantine.
func (q executorQuarantine) MergeQuarantine(list []peerapi.QuarantineRecord) {
	q.node.executor.MergeQuarantine(list)
}

// newServers creates the HTTP servers. The operators' routes are served on the
// callers' address unless the settings give operators an address of their own.
func (n *Node) newServers() error {
	s := n.settings
	callers, err := callerTLSConfig(s.TLS, n.log.Component("tls"))
	if err != nil {
		return err
	}
	config := server.Config{
		Executor: n.executor, Views: n, Lifecycle: &n.lifecycle, Ready: n.notReady, Status: n.status,
		Metrics: n.metrics.Handler(), TLS: callers,
		OnReject: func(reason ingress.Reason) {
			telemetry.ReportRejection(n.metrics, n.log, "ingress", string(reason))
		},
		Limits: server.Limits{
			BodyBytes: s.Limits.BodyBytes, HeaderBytes: s.Limits.HeaderBytes, ReadTimeout: s.Limits.ReadTimeout, IdleTimeout: s.Limits.IdleTimeout,
			Connections: callerConnections(s.Limits.Connections), MemoryBytes: s.Limits.MemoryBytes,
		},
	}
	n.server = server.New(config)
	router := n.server.Echo()
	if s.Listen.Operators != "" && s.Listen.Operators != s.Listen.Callers {
		config.Limits.Connections = max(config.Limits.Connections/operatorsPart, minOperatorsConnections)
		config.Limits.MemoryBytes = max(config.Limits.MemoryBytes/operatorsPart, minOperatorsMemory)
		n.operators = server.New(config)
		router = n.operators.Echo()
	}
	operators.New(operators.Config{Control: n.control, Quarantine: n.executor, Views: n, FirstToken: s.Platform.Token}).Register(router)
	pages, err := console.New(console.Config{
		Control: n.control, Views: n, Quarantine: n.executor, Log: n.log.Component("console"), FleetKey: s.Peer.Key, Secure: callers != nil,
	})
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	pages.Register(router)
	return nil
}

const (
	// operatorsPart is the part of the bounds of callers that operators have on an address of their
	// own.
	operatorsPart = 8
	// minOperatorsMemory holds some documents, in bytes.
	minOperatorsMemory      = 16 << 20
	minOperatorsConnections = 64
	// callersDescriptorShare is the share of the process's descriptors for callers, if the settings
	// give no number of connections.
	callersDescriptorShare = 0.5
)

// callerConnections returns the maximum number of callers' connections: that of the settings, or,
// if it is 0, a share of the process's descriptors.
func callerConnections(setting int) int {
	if setting > 0 {
		return setting
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(1, int(callersDescriptorShare*float64(limit.Cur)))
}
