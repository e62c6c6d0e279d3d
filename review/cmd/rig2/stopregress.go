package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	regressRounds = 8
	// stormGap and stormChanges are those of a series of changes of the configuration.
	stormGap     = 330 * time.Millisecond
	stormChanges = 9
	// rollbackSlack is rollback-slack-ms.
	rollbackSlack = 250 * time.Millisecond
	regressEvery  = 50 * time.Millisecond // between two requests of a client
	shardPrefix   = "/ziti980/ti38/"
	alonePrefix   = "/timi403/"
)

// regressCase changes the configuration while the stronger instance of a zone stops by plan, and
// watches at the weaker one that no later request is handled by an older version.
type regressCase struct {
	rig     *rig
	common  []string
	version int
	weak    *node
	end     chan struct{}
	clients sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// stopRegress runs the case.
func stopRegress(r *rig) (broken bool, err error) {
	c := &regressCase{rig: r, end: make(chan struct{})}
	if c.common, err = r.newShards("s", relayShards-1, "hall-a", "hall-b"); err != nil {
		return false, err
	}
	if err := c.startLeaves(1, 1); err != nil {
		return false, err
	}
	c.change()
	strong, err := r.newNode(nodeOptions{name: "front-hall-a-2", zone: "hall-a", ip: "127.83.0.2", share: 0.8})
	if err != nil {
		return false, err
	}
	if c.weak, err = r.newNode(nodeOptions{name: "front-hall-a-1", zone: "hall-a", ip: "127.83.0.1", share: 0.2, seeds: []string{strong.peers}}); err != nil {
		return false, err
	}
	other, err := r.newNode(nodeOptions{name: "front-hall-b-1", zone: "hall-b", ip: "127.83.0.3", share: 0.4, seeds: []string{strong.peers}})
	if err != nil {
		return false, err
	}
	for _, n := range []*node{strong, c.weak, other} {
		if err := n.startProcess(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(strong, c.weak, other); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	for _, prefix := range []string{shardPrefix, alonePrefix} {
		c.clients.Go(func() { c.client(prefix) })
	}
	for range regressRounds {
		if err := c.startLeaves(c.version+1, stormChanges); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		if trouble() {
			strong.signal(syscall.SIGTERM)
		}
		time.Sleep(300 * time.Millisecond)
		for range stormChanges {
			c.change()
			time.Sleep(stormGap)
		}
		if trouble() {
			select {
			case <-strong.hasEnded():
			case <-time.After(graceTime):
				strong.signal(syscall.SIGKILL)
			}
			time.Sleep(300 * time.Millisecond)
			if err := strong.startProcess(); err != nil {
				return false, err
			}
			if err := awaitReady(strong); err != nil {
				return false, err
			}
		} else {
			time.Sleep(time.Second)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(c.end)
	c.clients.Wait()
	return c.report(), nil
}

// startLeaves starts the leaves that only the n versions from first use.
func (c *regressCase) startLeaves(first, n int) error {
	for v := first; v < first+n; v++ {
		last, alone := lastShard(v), aloneService(v)
		for i, zone := range []string{"hall-a", "hall-b"} {
			if _, err := c.rig.newLeaf(fmt.Sprintf("i-%s-%d", last, i), sheetLeaf(last, zone)); err != nil {
				return err
			}
			if _, err := c.rig.newLeaf(fmt.Sprintf("i-%s-%d", alone, i), sheetLeaf(alone, zone)); err != nil {
				return err
			}
		}
	}
	return nil
}

// lastShard and aloneService name the services that only one version uses.
func lastShard(version int) string    { return fmt.Sprintf("last%d", version) }
func aloneService(version int) string { return fmt.Sprintf("alone%d", version) }

// change writes the next version: the last shard and the other route's service are new in it.
func (c *regressCase) change() {
	c.version++
	c.rig.configure(uint64(c.version), 26,
		route{name: "r-recall", prefix: shardPrefix, timeout: time.Second, goal: 100 * time.Millisecond, attempts: 2, shards: append(slices.Clone(c.common), lastShard(c.version)), topK: 50, least: 0.89},
		route{name: "r-receipt", prefix: alonePrefix, timeout: 4 * time.Second, goal: 400 * time.Millisecond, attempts: 2, service: aloneService(c.version)})
}

// client asks the weak instance on one kept connection.
func (c *regressCase) client(prefix string) {
	var conn *clientConn
	for {
		select {
		case <-c.end:
			return
		case <-time.After(regressEvery):
		}
		if conn == nil {
			if conn, _ = dialNode(c.weak); conn == nil {
				continue
			}
		}
		o := conn.ask("GET", prefix+"2f", time.Second, "")
		o.class = prefix
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		if o.closes() {
			_ = conn.Close()
			conn = nil
		}
	}
}

// effect says that a leaf that only one version uses began a request.
type effect struct {
	at      time.Time
	version int
	id      string
}

// effects returns what leaves saw of versions, in order.
func (c *regressCase) effects() (out []effect) {
	c.rig.mu.Lock()
	leaves := c.rig.leaves
	c.rig.mu.Unlock()
	for _, f := range leaves {
		var version int
		if n, _ := fmt.Sscanf(strings.NewReplacer("last", "", "alone", "").Replace(f.service), "%d", &version); n != 1 {
			continue
		}
		f.mu.Lock()
		for id, runs := range f.runs {
			out = append(out, effect{at: runs[0].begin, version: version, id: id})
		}
		f.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b effect) int { return a.at.Compare(b.at) })
	return out
}

// report writes all requests, and reports whether one was handled as only an older version allows than
// one that leaves had seen more than rollbackSlack before it was sent.
func (c *regressCase) report() (broken bool) {
	effects := c.effects()
	handled := make(map[string]int)
	for _, e := range effects {
		handled[e.id] = max(handled[e.id], e.version)
	}
	statuses, regressed := map[string]int{}, 0
	next, newest := 0, effect{}
	slices.SortFunc(c.outcomes, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	c.rig.log("requests: path, id, sent at (s), status, time (ms), version by which leaves handled it")
	for _, o := range c.outcomes {
		statuses[fmt.Sprintf("%s %d", o.class, o.status)]++
		for ; next < len(effects) && effects[next].at.Before(o.sent.Add(-rollbackSlack)); next++ {
			if effects[next].version > newest.version {
				newest = effects[next]
			}
		}
		v := handled[o.id]
		c.rig.log("%s %s %.3f %d %d %d", o.class, o.id, o.sent.Sub(c.rig.start).Seconds(), o.status, o.end.Sub(o.sent).Milliseconds(), v)
		if v > 0 && v < newest.version {
			regressed++
			c.rig.log("CONFIG: request %s was handled by version %d; a leaf had seen version %d %d ms before it was sent (request %s)",
				o.id, v, newest.version, o.sent.Sub(newest.at).Milliseconds(), newest.id)
		}
	}
	c.rig.log("answers by path and status: %v; handled by an older version: %d", statuses, regressed)
	fmt.Println("answers by path and status:", statuses, "handled by an older version:", regressed)
	return regressed > 0
}
