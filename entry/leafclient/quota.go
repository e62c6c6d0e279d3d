package leafclient

import (
	"context"
	"slices"
	"sync"
)

// connQuota limits the connections to one leaf to this entry's share of the leaf's
// connection limit. The share may change at any time.
type connQuota struct {
	mu      sync.Mutex
	used    int
	limit   int
	waiters []chan struct{} // longest wait first; closed when the wait is over
}

// acquire takes quota for one connection, or waits for it until the context ends. The
// wait can be short: a cancelled exchange closes its connection just after its end
// was reported.
func (q *connQuota) acquire(ctx context.Context) error {
	q.mu.Lock()
	if q.used < q.limit {
		q.used++
		q.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	q.waiters = append(q.waiters, ready)
	q.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return q.abandonWait(ctx, ready)
	}
}

// abandonWait removes a waiter whose context has ended, and returns the context's
// error. Quota that was granted to it meanwhile goes to the next waiter.
func (q *connQuota) abandonWait(ctx context.Context, ready chan struct{}) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, ready); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return ctx.Err()
	}
	q.used--
	q.grantFree()
	return ctx.Err()
}

// release returns the quota of one connection.
func (q *connQuota) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used--
	q.grantFree()
}

// setLimit sets the limit and reports whether more connections are in use.
func (q *connQuota) setLimit(n int) (over bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.grantFree()
	return q.used > q.limit
}

// grantFree grants free quota to the longest waiters. The caller holds q.mu.
func (q *connQuota) grantFree() {
	for q.used < q.limit && len(q.waiters) > 0 {
		q.used++
		close(q.waiters[0])
		q.waiters = q.waiters[1:]
	}
}

// count returns the number of connections in use and the limit.
func (q *connQuota) count() (used, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used, q.limit
}
