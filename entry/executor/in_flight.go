package executor

import (
	"context"
	"sync"
)

// inFlightQueries counts the queries in flight. Unlike a sync.WaitGroup it may count new ones
// while others wait for its end: a stopping instance still gets some.
type inFlightQueries struct {
	mu   sync.Mutex
	n    int64
	idle chan struct{} // closed when n becomes 0
}

// begin counts one more query and returns their number.
func (q *inFlightQueries) begin() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.n == 0 {
		q.idle = make(chan struct{})
	}
	q.n++
	return q.n
}

// end counts one query less.
func (q *inFlightQueries) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.n--
	if q.n == 0 {
		close(q.idle)
	}
}

// count returns the number of queries in flight.
func (q *inFlightQueries) count() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.n
}

// wait returns as soon as no query is in flight, or with the context's error.
func (q *inFlightQueries) wait(ctx context.Context) error {
	q.mu.Lock()
	n, idle := q.n, q.idle
	q.mu.Unlock()
	if n == 0 {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
