package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer is the platform's: it asks each node once a second whether it is ready, and gives new
// connections to those of the zone that have not missed two questions. If fewer than half of the
// zone's nodes are left, it uses all of them.
type balancer struct {
	mu     sync.Mutex
	nodes  []*node
	misses map[*node]int
	stop   chan struct{}
}

// newBalancer starts the questions for the nodes of one zone.
func newBalancer(nodes ...*node) *balancer {
	b := &balancer{nodes: nodes, misses: make(map[*node]int), stop: make(chan struct{})}
	for _, n := range nodes {
		go b.watch(n)
	}
	return b
}

// watch asks one node until the end.
func (b *balancer) watch(n *node) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-tick.C:
		}
		ok := n.isReady()
		b.mu.Lock()
		if ok {
			b.misses[n] = 0
		} else {
			b.misses[n]++
		}
		b.mu.Unlock()
	}
}

// pick returns the node for a new connection.
func (b *balancer) pick() *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*node
	for _, n := range b.nodes {
		if b.misses[n] < 2 {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(b.nodes) {
		in = b.nodes
	}
	return in[rand.IntN(len(in))]
}
