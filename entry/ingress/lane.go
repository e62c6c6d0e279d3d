package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Sizes of the lanes.
const (
	// chunkLaneSize is the number of long bodies in chunks that the HTTP server decodes at once. It
	// does so byte by byte, and could leave no processor time to others.
	chunkLaneSize = 2
	// chunkLaneBytes is the length from which on a body in chunks is long, in bytes as received.
	chunkLaneBytes = 16 << 10
	// aheadLaneSize is the number of connections that have a request handled which the client sent
	// before it had the previous answer.
	aheadLaneSize = 16
)

// Times for which a place stays empty while others wait, so that a lane does not take all of the
// processor time.
const (
	chunkLanePause = time.Millisecond
	aheadLanePause = 10 * time.Millisecond
)

// lane bounds the number of connections that use the processor for one purpose. They wait in the
// order of their arrival. It leaves processor time to the requests of other connections.
type lane struct {
	places  *semaphore.Weighted
	pause   time.Duration
	waiting atomic.Int64
}

// newLane returns a lane for n connections at once.
func newLane(n int64, pause time.Duration) *lane {
	return &lane{places: semaphore.NewWeighted(n), pause: pause}
}

// place is one connection's place in a lane.
type place struct {
	lane *lane
	held atomic.Bool
	// cancelWait ends the wait for the place; nil while there is none.
	cancelWait atomic.Pointer[context.CancelFunc]
}

// enter takes a place, or waits for one until the deadline or a call of cancel. It reports whether it
// has the place. isCancelled reports a call that came before the wait.
func (p *place) enter(deadline time.Time, isCancelled func() bool) bool {
	if p.held.Load() {
		return true
	}
	if !p.lane.places.TryAcquire(1) && !p.wait(deadline, isCancelled) {
		return false
	}
	p.held.Store(true)
	return true
}

// wait is the part of enter that waits.
func (p *place) wait(deadline time.Time, isCancelled func() bool) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.cancelWait.Store(&cancel)
	defer p.cancelWait.Store(nil)
	if isCancelled() {
		return false
	}
	p.lane.waiting.Add(1)
	defer p.lane.waiting.Add(-1)
	return p.lane.places.Acquire(ctx, 1) == nil
}

// cancel ends a wait for the place.
func (p *place) cancel() {
	if cancel := p.cancelWait.Load(); cancel != nil {
		(*cancel)()
	}
}

// leave gives the place back, if it is held.
func (p *place) leave() {
	if !p.held.Swap(false) {
		return
	}
	release := func() { p.lane.places.Release(1) }
	if p.lane.waiting.Load() > 0 {
		time.AfterFunc(p.lane.pause, release)
		return
	}
	release()
}
