package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: clients that keep a connection each and ask now and then, of two classes.
const (
	relayShards = 30
	relayPeriod = 8 * time.Second
	relayRounds = 4
	// perConnection is how many requests a client sends on a connection. It then opens another at once
	// and keeps that for its next request.
	perConnection = 2
)

// class is a class of requests over all shards.
type class struct {
	name, prefix, target string
	goal, deadline       time.Duration
	clients              int
	// slow says that leaves work as on the sheets' slowest requests.
	slow bool
}

// relayClasses are the sheets' recall, and a search with the work, the aim and the deadline of their
// receipt.
var relayClasses = []class{
	{name: "recall", prefix: "/ziti980/ti38/", target: "/ziti980/ti38/2f", goal: 100 * time.Millisecond, deadline: time.Second, clients: 1000},
	{name: "search", prefix: slowPrefix, target: slowPrefix + "2f", goal: 400 * time.Millisecond, deadline: 4 * time.Second, clients: 240, slow: true},
}

// slowPrefix begins the paths of requests whose work is that of the sheets' slowest class.
const slowPrefix = "/timi402/"

// sheetLeaf is a leaf of a sharded service of the small sites.
func sheetLeaf(service, zone string) leafOptions {
	return leafOptions{
		service: service, zone: zone, slots: 2, queue: 12, work: 11 * time.Millisecond, spread: 0.35, tail: 0.01, tailFactor: 5, maxWork: 82 * time.Millisecond,
		pause: 120 * time.Millisecond, pauseEvery: 3 * time.Second, records: 62,
	}
}

// newShards starts n shards with a leaf in each of two zones.
func (r *rig) newShards(prefix string, n int, zones ...string) (services []string, err error) {
	for i := range n {
		service := fmt.Sprintf("%s%d", prefix, i)
		services = append(services, service)
		for k, zone := range zones {
			if _, err := r.newLeaf(fmt.Sprintf("i-%s-%d", service, k), sheetLeaf(service, zone)); err != nil {
				return nil, err
			}
		}
	}
	return services, nil
}

// relayStop stops an instance by plan that hands its queries over to a stronger one.
func relayStop(r *rig) (broken bool, err error) {
	shards, err := r.newShards("s", relayShards, "hall-a", "hall-b", "hall-a")
	if err != nil {
		return false, err
	}
	var routes []route
	for _, c := range relayClasses {
		routes = append(routes, route{name: "r-" + c.name, prefix: c.prefix, timeout: c.deadline, goal: c.goal, attempts: 2, shards: shards, topK: 50, least: 0.89})
	}
	r.configure(7, 53, routes...)
	strong, err := r.newNode(nodeOptions{name: "front-hall-a-2", zone: "hall-a", ip: "127.83.0.2", share: 0.8})
	if err != nil {
		return false, err
	}
	weak, err := r.newNode(nodeOptions{name: "front-hall-a-1", zone: "hall-a", ip: "127.83.0.1", share: 0.2, seeds: []string{strong.peers}})
	if err != nil {
		return false, err
	}
	for _, n := range []*node{strong, weak} {
		if err := n.startProcess(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(strong, weak); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	b := newBalancer(strong, weak)
	defer close(b.stop)
	s := &stopWatch{rig: r, balancer: b, node: weak, end: make(chan struct{})}
	for _, c := range relayClasses {
		for i := range c.clients {
			s.clients.Go(func() { s.client(c, time.Duration(i)*relayPeriod/time.Duration(c.clients)) })
		}
	}
	time.Sleep(relayPeriod + 2*time.Second)
	for range relayRounds {
		if trouble() {
			s.stopNode()
			select {
			case <-weak.hasEnded():
			case <-time.After(graceTime):
				weak.signal(syscall.SIGKILL)
			}
			time.Sleep(300 * time.Millisecond)
			if err := weak.startProcess(); err != nil {
				return false, err
			}
			if err := awaitReady(weak); err != nil {
				return false, err
			}
		} else {
			time.Sleep(graceTime)
		}
		time.Sleep(relayPeriod + time.Second)
	}
	close(s.end)
	s.clients.Wait()
	return s.report(), nil
}

// stopWatch has clients ask a node that is stopped by plan, and notes what they see.
type stopWatch struct {
	rig      *rig
	balancer *balancer
	node     *node
	end      chan struct{}
	clients  sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
	stops    []time.Time
}

// stopNode sends SIGTERM.
func (s *stopWatch) stopNode() {
	s.mu.Lock()
	s.stops = append(s.stops, time.Now())
	s.mu.Unlock()
	s.node.signal(syscall.SIGTERM)
}

// client keeps a connection for some requests and asks once a period.
func (s *stopWatch) client(c class, phase time.Duration) {
	conn, _ := dialNode(s.balancer.pick()) // nil on an error, and dialed again before the request
	asked := 0
	for next := time.Now().Add(phase); ; next = next.Add(relayPeriod) {
		select {
		case <-s.end:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(time.Until(next)):
		}
		if conn == nil {
			if conn, _ = dialNode(s.balancer.pick()); conn == nil {
				continue
			}
			asked = 0
		}
		o := conn.ask("GET", c.target, c.deadline, "")
		asked++
		o.class, o.deadline = c.name, c.deadline
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
		if o.closes() || asked == perConnection {
			_ = conn.Close()
			conn, _ = dialNode(s.balancer.pick())
			asked = 0
		}
	}
}

// report writes all outcomes and reports whether the rule was broken.
func (s *stopWatch) report() (broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses, lost := map[string]int{}, map[string]int{}
	s.rig.log("requests: class, id, node, sent at (s), status (0: no complete answer), time (ms)")
	for _, o := range s.outcomes {
		statuses[fmt.Sprintf("%s %s %d", o.class, o.node, o.status)]++
		s.rig.log("%s %s %s %.3f %d %d", o.class, o.id, o.node, o.sent.Sub(s.rig.start).Seconds(), o.status, o.end.Sub(o.sent).Milliseconds())
		if why := s.lost(o); why != "" {
			lost[o.class]++
			s.rig.log("LOST: request %s: %s", o.id, why)
		}
	}
	s.rig.log("answers by class, node and status: %v; lost by class: %v", statuses, lost)
	fmt.Println("answers by class, node and status:", statuses, "lost by class:", lost)
	return len(lost) > 0
}

// lost reports why a request counts as lost around a planned stop, or "".
func (s *stopWatch) lost(o outcome) string {
	if o.status != 0 || o.silent || o.node != s.node.name || o.end.Sub(o.sent) >= o.deadline {
		return ""
	}
	for _, stop := range s.stops {
		sent, cut := o.sent.Sub(stop), o.end.Sub(stop)
		if cut < 0 || sent > graceTime+time.Second {
			continue
		}
		runs := s.rig.runsOf(o.id)
		if len(runs) == 0 && o.end.Sub(o.sent) <= lossSlack {
			continue // neither passed on nor held for long
		}
		if sent <= 3*time.Second && cut >= graceTime*5/6 {
			continue // a leaf may have been at work in the last sixth of the grace period
		}
		return fmt.Sprintf("sent %d ms after SIGTERM, passed on to leaves, and cut %d ms after SIGTERM without an answer (%v); %d leaves ran it, first %v",
			sent.Milliseconds(), cut.Milliseconds(), o.err, len(runs), runs[:min(len(runs), 3)])
	}
	return ""
}
