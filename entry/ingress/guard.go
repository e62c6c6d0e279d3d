package ingress

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Shares of a Guard's bounds.
const (
	// runningShare is the share of the connections whose requests may run at once. The others let
	// new connections in.
	runningShare = 0.75
	// largeShare is the share of the memory that large requests may use.
	largeShare = 0.75
	// stalledShare is the share of the memory that answers may hold which clients don't take.
	stalledShare = 0.125
	// connectionShare is the share of the memory that idle connections may use.
	connectionShare = 0.25
)

const (
	// plainConnectionCost is the memory of an idle connection without TLS, in bytes.
	plainConnectionCost = 10 << 10
	// TLSConnectionCost is the memory of an idle connection with TLS, in bytes.
	TLSConnectionCost = 48 << 10
	// largeRequest is the size from which on a request is large, in bytes. It is above that of a
	// request with the largest usual head.
	largeRequest = 128 << 10
)

// Guard bounds the connections of one or more listeners. It is safe for concurrent use.
type Guard struct {
	config               Config
	chunkLane, aheadLane *lane
	evictions            *rate.Limiter
	room                 chan struct{} // holds one token after a connection has ended or become passive

	mu      sync.Mutex
	open    int
	running int
	used    int64 // bytes
	stalled int64 // bytes of used, of answers that clients don't take
	byState [evictableStates]*list.List
}

// NewGuard returns a Guard without connections.
func NewGuard(c Config) *Guard {
	if c.OnReject == nil {
		c.OnReject = func(Reason) {}
	}
	if c.MinLifetime == 0 {
		c.MinLifetime = defaultMinLifetime
	}
	if c.ConnectionCost == 0 {
		c.ConnectionCost = plainConnectionCost
	}
	g := &Guard{
		config:    c,
		chunkLane: newLane(chunkLaneSize, chunkLanePause), aheadLane: newLane(aheadLaneSize, aheadLanePause),
		evictions: rate.NewLimiter(maxEvictionRate, evictionBurst), room: make(chan struct{}, 1),
	}
	for i := range g.byState {
		g.byState[i] = list.New()
	}
	return g
}

// Usage is what a Guard's connections use.
type Usage struct {
	Connections, Running int
	MemoryBytes          int64
}

// Usage returns what the connections use.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Connections: g.open, Running: g.running, MemoryBytes: g.used}
}

// limits returns the limits in force.
func (g *Guard) limits() Limits { return g.config.Limits().withDefaults() }

// maxConnections returns the maximum number of open connections.
func (g *Guard) maxConnections() int {
	byMemory := int(connectionShare * float64(g.config.Memory()) / float64(g.config.ConnectionCost))
	return max(1, min(g.config.Connections(), byMemory))
}

// Bounds on how often connections are closed for new ones. While they apply, new ones wait in the
// kernel's queue.
const (
	// defaultMinLifetime is the default of Config.MinLifetime.
	defaultMinLifetime = 250 * time.Millisecond
	// maxEvictionRate is the maximum number of connections that are closed in a second.
	maxEvictionRate = 1000
	// evictionBurst is the number of connections that may be closed at once.
	evictionBurst = 100
)

// admit returns a connection that counts, or nil if it was closed because no other one may be. It
// waits while all others are too young to be closed.
func (g *Guard) admit(inner net.Conn) *Conn {
	c := newConn(g, inner)
	for {
		limit := g.maxConnections()
		g.mu.Lock()
		if g.open < limit {
			g.open++
			g.enter(c, stateNew)
			g.mu.Unlock()
			return c
		}
		v, wait := g.oldestEvictable(time.Now())
		if v != nil {
			g.config.OnReject(closeReason(v.state))
			g.detach(v)
		}
		g.mu.Unlock()
		switch {
		case v != nil:
			_ = v.Conn.Close()
			_ = g.evictions.Wait(context.Background()) // only the end of the context would be an error
		case wait > 0:
			g.awaitRoom(wait)
		default:
			g.config.OnReject(ReasonConnections)
			_ = inner.Close()
			return nil
		}
	}
}

// awaitRoom waits until a connection has ended or become passive, at most for the timeout.
func (g *Guard) awaitRoom(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-g.room:
	case <-timer.C:
	}
}

// closeReason returns why a connection of a state is closed for a new one.
func closeReason(s state) Reason {
	if s == stateNew || s == stateIdle {
		return ReasonIdle
	}
	return ReasonSlow
}

// oldestEvictable returns the connection to close for a new one, or else the time after which there
// may be one; 0 if there is none at all. The caller holds g.mu.
func (g *Guard) oldestEvictable(now time.Time) (c *Conn, wait time.Duration) {
	for s, l := range g.byState {
		front := l.Front()
		if front == nil {
			continue
		}
		c := front.Value.(*Conn)
		rest := g.config.MinLifetime - now.Sub(c.since)
		if state(s).isPassive() || rest <= 0 {
			return c, 0
		}
		if wait == 0 || rest < wait {
			wait = rest
		}
	}
	return nil, wait
}

// detach ends the accounting of a connection. The caller holds g.mu and closes the connection.
func (g *Guard) detach(c *Conn) {
	if c.state == stateClosed {
		return
	}
	g.release(c)
	g.enter(c, stateClosed)
	c.cancelWaits()
	g.open--
	g.notifyRoom()
}

// notifyRoom wakes awaitRoom.
func (g *Guard) notifyRoom() {
	select {
	case g.room <- struct{}{}:
	default:
	}
}

// enter puts a connection into a state. The caller holds g.mu.
func (g *Guard) enter(c *Conn, s state) {
	if c.state == s && c.element != nil {
		return
	}
	if c.element != nil {
		g.byState[c.state].Remove(c.element)
		c.element = nil
	}
	if c.state == stateRunning {
		g.running--
	}
	if s == stateRunning {
		g.running++
	}
	c.state, c.since = s, time.Now()
	if s < evictableStates {
		c.element = g.byState[s].PushBack(c)
	}
	if s.isPassive() {
		g.notifyRoom()
	}
}

// begin follows the first byte of a request.
func (g *Guard) begin(c *Conn) { g.move(c, stateSmall) }

// wait precedes a wait in the lane of requests that were sent ahead.
func (g *Guard) wait(c *Conn) { g.move(c, stateAhead) }

// move puts an open connection into a state.
func (g *Guard) move(c *Conn, s state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != stateClosed && !c.evicted {
		g.enter(c, s)
	}
}

// mayRun reports whether another request may run.
func (g *Guard) mayRun() bool {
	limit := int(runningShare * float64(g.maxConnections()))
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running < max(1, limit)
}

// run follows the last byte of a request.
func (g *Guard) run(c *Conn) { g.move(c, stateRunning) }

// finish follows the end of a request's answer.
func (g *Guard) finish(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == stateClosed {
		return
	}
	g.release(c)
	c.evicted = false
	g.enter(c, stateIdle)
}

// reject puts a connection that gets a refusal and is then closed among the first to close.
func (g *Guard) reject(c *Conn, reason Reason) {
	g.config.OnReject(reason)
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != stateClosed {
		g.release(c)
		g.enter(c, stateEnding)
	}
}

// close ends the accounting of a connection that the HTTP server closes.
func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detach(c)
}

// wasEvicted reports whether the connection's request was ended for lack of memory.
func (g *Guard) wasEvicted(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.evicted
}

// hasEnded reports whether the connection is closed or its request was ended for lack of memory.
func (g *Guard) hasEnded(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.evicted || c.state == stateClosed
}

// isArriving reports whether a part of the connection's request has not arrived.
func (g *Guard) isArriving(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.state == stateSmall || c.state == stateLarge
}
