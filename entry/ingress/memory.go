package ingress

// release returns all memory that a connection holds. The caller holds g.mu.
func (g *Guard) release(c *Conn) {
	g.used -= c.held
	g.stalled -= c.stalledBytes
	c.held, c.stalledBytes = 0, 0
}

// reserve adds n bytes to what a connection holds. If memory is used up, it ends requests that
// have been arriving for the longest time. It reports false if no room could be made or the
// connection's own request was ended.
func (g *Guard) reserve(c *Conn, n int64) bool {
	total := g.config.Memory()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted || c.state == stateClosed {
		return false
	}
	isLarge := c.held+n > largeRequest
	if isLarge {
		total = int64(largeShare * float64(total))
	}
	for g.used+n > total {
		v := g.oldestArriving(c, isLarge)
		if v == nil {
			return false
		}
		g.evict(v)
	}
	g.used += n
	c.held += n
	if isLarge && c.state == stateSmall {
		g.enter(c, stateLarge)
	}
	return true
}

// oldestArriving returns the request that is ended for another one, nil if there is none. Small
// requests are not ended for large ones. The caller holds g.mu.
func (g *Guard) oldestArriving(other *Conn, forLarge bool) *Conn {
	for _, s := range []state{stateLarge, stateSmall} {
		if forLarge && s == stateSmall {
			return nil
		}
		for e := g.byState[s].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); c != other && c.held > 0 {
				return c
			}
		}
	}
	return nil
}

// evict ends a request that has not arrived: its next read fails. The caller holds g.mu.
func (g *Guard) evict(c *Conn) {
	g.config.OnReject(ReasonMemory)
	g.release(c)
	c.evicted = true
	g.enter(c, stateEnding)
	c.setInterrupted(true)
	c.cancelWaits()
}

// stall accounts for n bytes of an answer that the client does not take. It reports whether there
// is room for them.
func (g *Guard) stall(c *Conn, n int64) bool {
	limit := int64(stalledShare * float64(g.config.Memory()))
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state < evictableStates {
		return true
	}
	if c.state == stateClosed || g.stalled+n > limit {
		return false
	}
	g.stalled += n
	g.used += n
	c.held += n
	c.stalledBytes += n
	g.enter(c, stateStalled)
	return true
}

// resume follows a write that has ended after a stall.
func (g *Guard) resume(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != stateStalled {
		return
	}
	g.used -= c.stalledBytes
	g.stalled -= c.stalledBytes
	c.held -= c.stalledBytes
	c.stalledBytes = 0
	g.enter(c, stateRunning)
}
