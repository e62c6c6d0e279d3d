package hosted

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of reading the store, as shares of the bound within which a change must be in force
// everywhere. An instance that the others leave without fresh state reads the store itself, the
// last member of a zone while two calls without an answer still fit into the bound: what the
// others know or do adds nothing to that.
const (
	// readShare is the age of the reader's state at which it reads, leadTurnShare that of
	// a lead's. The members of a zone take their turns from staleShare to lastTurnShare.
	readShare     = 0.25
	leadTurnShare = 0.45
	lastTurnShare = 0.7
	// retryShare is the mean time between two tries of the store by an instance that is not
	// the reader: two fit into the bound.
	retryShare = 0.4
	// readTimeout bounds the wait for the first byte of an answer at first; a store that is
	// merely slow takes up to 250 ms, and one that is silent is best asked again on a new
	// connection. It doubles with each failure of the reader up to readTimeoutShare, for a store
	// that is slower still; at the start of an instance up to maxReadTimeout.
	readTimeout      = 300 * time.Millisecond
	readTimeoutShare = 0.3
	maxReadTimeout   = 2 * time.Second
	// transferShare bounds a call whose answer has begun.
	transferShare = 0.3
	// firstRetry is the reader's first pause after a failed read, doubled up to retryDelayShare: a
	// call and a pause that began before the store served it again are over within half of the
	// bound. At the start of an instance it is doubled up to maxRetryDelay.
	firstRetry      = 50 * time.Millisecond
	retryDelayShare = 0.2
	maxRetryDelay   = time.Second
)

// storeReader reads the store when it is this instance's turn. It is used by one goroutine.
type storeReader struct {
	*control
	random *rand.Rand
	// started is when the reader was made, readAt when its last good read began.
	started, readAt time.Time
	// failedAt is when the last read that failed ended, zero after a good one. What other
	// instances read later ends its effect too.
	failedAt time.Time
	// pause and timeout are a reader's after its last failure.
	backoff        backoff.Backoff
	pause, timeout time.Duration
	// spread is the retry time of the others over the mean one, 0.75 to 1.25.
	spread float64
}

// newStoreReader makes a reader for an instance that has its first state.
func newStoreReader(c *control) *storeReader {
	return &storeReader{
		control: c, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), started: time.Now(),
		backoff: backoff.Backoff{Min: firstRetry, Max: maxRetryDelay}, timeout: readTimeout,
	}
}

// run reads the store until the context ends. The role may change while it waits.
func (r *storeReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		_, role := r.node.fleet.source(time.Now())
		if wait := r.untilDue(role); wait > 0 {
			sleep(ctx, min(wait, r.bound(readShare)))
			continue
		}
		r.read(ctx, role)
	}
}

// untilDue is the time until this instance reads the store in a role, unless it learns
// something newer before.
func (r *storeReader) untilDue(role fleet.Role) time.Duration {
	at := r.asOf()
	due := at.Add(r.turn(role))
	if r.failedAt.After(at) {
		if retry := r.failedAt.Add(r.retryAfter(role)); retry.After(due) {
			due = retry
		}
	}
	return time.Until(due)
}

// asOf is when the read of the store began that shows this instance's state. A read that has
// just succeeded may not be in force yet.
func (r *storeReader) asOf() time.Time {
	at := r.readAt
	if s := r.state.Load(); s != nil && s.AsOf().After(at) {
		at = s.AsOf()
	}
	if at.IsZero() {
		return r.started
	}
	return at
}

// turn is the age of its state at which this instance reads the store in a role.
func (r *storeReader) turn(role fleet.Role) time.Duration {
	switch role {
	case fleet.RoleReader:
		return r.bound(readShare)
	case fleet.RoleZoneLead:
		return r.bound(leadTurnShare)
	case fleet.RoleMember:
		return r.bound(staleShare + look(r.node.fleet, (*fleet.Fleet).StoreSearchTurn)*(lastTurnShare-staleShare))
	default:
		return r.bound(staleShare)
	}
}

// retryAfter is the time from a read that failed to the next one in a role.
func (r *storeReader) retryAfter(role fleet.Role) time.Duration {
	if role == fleet.RoleReader {
		return r.pause
	}
	return r.bound(retryShare * r.spread)
}

// read reads the store in a role.
func (r *storeReader) read(ctx context.Context, role fleet.Role) {
	began, age := time.Now(), r.age()
	err := r.readAs(ctx, role)
	if ctx.Err() != nil {
		return
	}
	r.observeRead(storeRead{role: role, began: began, age: age, err: err})
	r.readFails.Store(err != nil)
	if err != nil {
		r.failedAt, r.pause, r.spread = time.Now(), min(r.backoff.Next(r.random), r.bound(retryDelayShare)), 0.75+r.random.Float64()/2
		r.timeout = max(min(2*time.Since(began), r.bound(readTimeoutShare)), readTimeout)
		return
	}
	r.readAt, r.failedAt, r.timeout = began, time.Time{}, readTimeout
	r.backoff.Reset()
	if role != fleet.RoleReader {
		r.syncNow() // its lead and the others learn of it by being asked
	}
}

// readAs reads the store in a role. But for the reader this is a search for an instance that
// the store serves: it costs one call where the store does not, and a call that gets no answer
// is made once more, on a new connection. After a failure only a probe is made until the store
// serves this instance again.
func (r *storeReader) readAs(ctx context.Context, role fleet.Role) error {
	if role == fleet.RoleReader {
		return r.readStore(ctx, r.timeout)
	}
	if !r.failedAt.IsZero() {
		if err := r.within(ctx, readTimeout, r.node.config.Source.Probe); err != nil {
			return fmt.Errorf("probe: %w", err)
		}
	}
	err := r.within(ctx, readTimeout, r.readConfig)
	if errors.Is(err, context.DeadlineExceeded) {
		err = r.within(ctx, 2*readTimeout, r.readConfig)
	}
	if err != nil {
		return err
	}
	return r.within(ctx, 2*readTimeout, r.readLeaves)
}

// within makes a call of which each HTTP answer begins within a time. One that has begun may
// take longer, as a large configuration does on a narrow link.
func (c *control) within(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, c.bound(transferShare)))
	defer cancel()
	var silent atomic.Bool
	timer := time.AfterFunc(timeout, func() {
		silent.Store(true)
		cancel()
	})
	defer timer.Stop()
	err := call(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:              func(string) { timer.Reset(timeout) },
		GotFirstResponseByte: func() { timer.Stop() },
	}))
	if err != nil && silent.Load() {
		return fmt.Errorf("no answer within %v: %w", timeout, context.DeadlineExceeded)
	}
	return err
}

// readStore reads the configuration and the leaves from the store.
func (c *control) readStore(ctx context.Context, timeout time.Duration) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.within(ctx, timeout, c.readConfig) })
	g.Go(func() error { return c.within(ctx, timeout, c.readLeaves) })
	return g.Wait()
}

// readConfig reads the configuration once.
func (c *control) readConfig(ctx context.Context) error {
	began := time.Now()
	config, err := c.node.config.Source.Config(ctx)
	if err != nil {
		return err
	}
	return c.post(ctx, configRead{config: config, began: began})
}

// readLeaves reads the list of leaves once.
func (c *control) readLeaves(ctx context.Context) error {
	began := time.Now()
	list, err := c.node.config.Source.Leaves(ctx)
	if err != nil {
		return err
	}
	return c.post(ctx, leavesRead{list: list, began: began})
}

// storeRead is one read of the store by an instance.
type storeRead struct {
	role  fleet.Role
	began time.Time
	age   time.Duration // of this instance's state before the read
	err   error
}

// observeRead counts a read of the store and logs it, but for a reader's reads that succeed.
func (c *control) observeRead(r storeRead) {
	outcome := "read"
	if r.err != nil {
		outcome = "failed"
	}
	c.node.metrics.Scope.SubScope("hosted").Tagged(map[string]string{"role": r.role.String(), "outcome": outcome}).Counter("store_reads").Inc(1)
	pairs := []any{"role", r.role, "age", r.age, "took", time.Since(r.began)}
	switch {
	case r.err != nil:
		c.log.Warn("store read failed", append(pairs, "err", r.err)...)
	case r.role != fleet.RoleReader:
		c.log.Info("store read", pairs...)
	}
}
