package leafclient

import (
	"context"
	"slices"
	"sync"
)

// places counts the connections to one leaf against this entry's share of the
// leaf's limit, which may change at any time.
type places struct {
	mu      sync.Mutex
	used    int
	limit   int
	waiters []chan struct{}
}

// acquire takes a place, or waits for one until the context ends. A free place
// can be a moment away: a cancelled exchange closes its connection just after
// its end was reported.
func (p *places) acquire(ctx context.Context) error {
	p.mu.Lock()
	if p.used < p.limit {
		p.used++
		p.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	p.waiters = append(p.waiters, ready)
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return p.giveUp(ctx, ready)
	}
}

// giveUp leaves the line. If a place was handed over meanwhile, it is passed on.
func (p *places) giveUp(ctx context.Context, ready chan struct{}) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, ready); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return ctx.Err()
	}
	p.used--
	p.admit()
	return ctx.Err()
}

// release gives a place back.
func (p *places) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.admit()
}

// setLimit changes the share and reports whether more is used than it allows.
func (p *places) setLimit(n int) (over bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.admit()
	return p.used > p.limit
}

// admit hands free places to those that wait longest. The lock is held.
func (p *places) admit() {
	for p.used < p.limit && len(p.waiters) > 0 {
		p.used++
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// count returns the places used and allowed.
func (p *places) count() (used, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.limit
}
