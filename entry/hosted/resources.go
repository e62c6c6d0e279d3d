package hosted

import (
	"math"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// Resources are the limits of the process that the platform enforces.
type Resources struct {
	// MemoryBytes is the memory limit; 0: not known.
	MemoryBytes int64
	// Sockets is the maximum number of sockets and pipes; 0: not known.
	Sockets int
}

// Shares of the process's resources. What clients may use is what the other parts leave.
const (
	// baseMemory is what the process needs without clients: the program, the state and the logs.
	baseMemory = 48 << 20
	// clientMemoryShare is the share of the other memory that clients' connections and requests
	// may hold. The rest is for leaves' answers, messages of other instances and garbage.
	clientMemoryShare = 0.4
	// defaultMemory is used if the memory limit is not known.
	defaultMemory = 512 << 20
	// otherSocketsShare is the share of the sockets for other instances, the store, the load
	// balancer and the metrics.
	otherSocketsShare = 0.25
	// peerSocketsShare is the share of the sockets for connections that other instances open.
	peerSocketsShare = 0.1
	// minClientSocketsShare is the share of the sockets that clients have at least.
	minClientSocketsShare = 0.25
	// adminSocketsShare is the share of the sockets for the load balancer, and that for the readers
	// of metrics. Neither needs more than maxAdminConnections.
	adminSocketsShare   = 0.03
	maxAdminConnections = 64
	// adminMinLifetime is short as their requests are small and come at once.
	adminMinLifetime = 50 * time.Millisecond
	// adminMemory is the memory for such connections, in bytes.
	adminMemory = 2 << 20
)

// LeafSocketsShare is the share of the sockets that connections to leaves may use.
const LeafSocketsShare = 1 - otherSocketsShare - minClientSocketsShare

// memory returns the memory limit in bytes, or what is assumed if it is not known.
func (r Resources) memory() int64 {
	if r.MemoryBytes == 0 {
		return defaultMemory
	}
	return r.MemoryBytes
}

// clientMemory returns the memory for clients' connections and requests in bytes.
func (r Resources) clientMemory() int64 {
	total := r.memory()
	return int64(clientMemoryShare * float64(max(total-baseMemory, total/4)))
}

// acceptQueue returns the length of a listener's queue.
func (r Resources) acceptQueue() int { return ingress.QueueFor(r.memory()) }

// clientConnections returns the maximum number of clients' connections beside a number of
// connections to leaves.
func (r Resources) clientConnections(leafConnections int) int {
	if r.Sockets == 0 {
		return math.MaxInt
	}
	total := float64(r.Sockets)
	return int(max((1-otherSocketsShare)*total-float64(leafConnections), minClientSocketsShare*total))
}

// peerConnections returns the maximum number of connections that other instances open, 0 for a
// default.
func (r Resources) peerConnections() int {
	return int(math.Ceil(peerSocketsShare * float64(r.Sockets)))
}

// adminConnections returns the maximum number of connections of the load balancer, and of the
// readers of metrics.
func (r Resources) adminConnections() int {
	if r.Sockets == 0 {
		return maxAdminConnections
	}
	return min(maxAdminConnections, int(math.Ceil(adminSocketsShare*float64(r.Sockets))))
}

// newClientGuard returns the guard of the clients' connections.
func (n *Node) newClientGuard() *ingress.Guard {
	return ingress.NewGuard(ingress.Config{
		Limits:      n.clientLimits,
		Connections: func() int { return n.tunables.Load().Resources.clientConnections(n.leaves.Sockets()) },
		Memory:      func() int64 { return n.tunables.Load().Resources.clientMemory() },
		RetryAfter:  clientRetryAfter,
		OnReject:    n.reportRejection,
	})
}

// clientRetryAfter is the Retry-After of a refused client in seconds: another instance can serve
// it at once.
const clientRetryAfter = "0.020"

// clientLimits returns the limits on clients of the configuration in force.
func (n *Node) clientLimits() ingress.Limits {
	l := n.limits.Load()
	if l == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTime, IdleTime: l.IdleTime}
}

// newAdminGuard returns the guard of the connections of one listener for the load balancer or for
// readers of metrics.
func (n *Node) newAdminGuard() *ingress.Guard {
	return ingress.NewGuard(ingress.Config{
		Limits: func() ingress.Limits {
			return ingress.Limits{HeadBytes: adminHeadBytes, HeadTime: adminRequestTime, IdleTime: idleTimeout}
		},
		Connections: n.tunables.Load().Resources.adminConnections,
		MinLifetime: adminMinLifetime,
		Memory:      func() int64 { return adminMemory },
		RequestTime: adminRequestTime,
		OnReject:    n.reportRejection,
	})
}

// reportRejection reports a client's connection or request that was rejected.
func (n *Node) reportRejection(reason ingress.Reason) {
	telemetry.ReportRejection(n.metrics, n.log, "ingress", string(reason))
}

// reportPeerRejection reports a rejected connection or request of another instance.
func (n *Node) reportPeerRejection(reason string) {
	telemetry.ReportRejection(n.metrics, n.log, "peers", reason)
}
