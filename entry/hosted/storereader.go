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

// Times of reading the store. Shares are of the freshness bound, within which a change must be in
// force everywhere. An instance that gets no fresh state from its peers reads the store itself;
// even the last member of a zone does so while two calls without an answer still fit into the
// bound. This holds whatever its peers know or do.
const (
	// readerReadAgeShare is the age of its state at which the reader reads the store, and
	// leadReadAgeShare that at which a zone lead does. The members of a zone read it one after
	// the other at ages from staleShare to maxMemberReadAgeShare.
	readerReadAgeShare    = 0.25
	leadReadAgeShare      = 0.45
	maxMemberReadAgeShare = 0.7
	// nonReaderRetryShare is the mean time between two attempts to read the store by an instance
	// other than the reader: two fit into the bound.
	nonReaderRetryShare = 0.4
	// minReadTimeout is the first bound on the wait for the first byte of an answer. A store that is
	// merely slow takes up to 250 ms; one that does not answer by then is best asked again on a
	// new connection. After a failure the reader waits twice as long as the failed read took, up to
	// maxReadTimeoutShare, in case the store is slower still. The initial load does the same up to
	// maxInitialReadTimeout.
	minReadTimeout        = 300 * time.Millisecond
	maxReadTimeoutShare   = 0.3
	maxInitialReadTimeout = 2 * time.Second
	// maxUnansweredShare is the longest time in which a read of the store fails without an answer.
	maxUnansweredShare = 0.35
	// transferTimeoutShare bounds a call once its answer has begun.
	transferTimeoutShare = 0.3
	// minStoreRetryDelay is the reader's first delay after a failed read, doubled up to
	// maxReaderRetryDelayShare: a call and a delay that began before the store recovered are thus
	// over within half of the bound. The initial load doubles it up to maxInitialRetryDelay.
	minStoreRetryDelay       = 50 * time.Millisecond
	maxReaderRetryDelayShare = 0.2
	maxInitialRetryDelay     = time.Second
	// isolationTime is the time without an exchange of state with a peer after which an instance
	// reads the quarantine itself: several synchronizations.
	isolationTime = 2 * time.Second
)

// storeReader reads the store when it is this instance's turn. It is not safe for concurrent use.
type storeReader struct {
	*control
	random *rand.Rand
	// started is when the reader was made, lastReadAt when its last successful read began.
	started, lastReadAt time.Time
	// failedAt is when the last read ended if it failed, else zero. It has no effect once state
	// arrives that another instance read later.
	failedAt time.Time
	// readerRetryDelay is the delay, and timeout the bound on the wait for the first byte, of the
	// reader's next read after a failure.
	backoff                   backoff.Backoff
	readerRetryDelay, timeout time.Duration
	// retryJitter is the factor, 0.75 to 1.25, on the mean retry delay of instances other than the
	// reader.
	retryJitter float64
}

// newStoreReader makes a storeReader for an instance that has loaded its first state.
func newStoreReader(c *control) *storeReader {
	return &storeReader{
		control: c, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), started: time.Now(),
		backoff: backoff.Backoff{Min: minStoreRetryDelay, Max: maxInitialRetryDelay}, timeout: minReadTimeout,
	}
}

// run reads the store at its turns until the context ends. It waits in short steps, because the
// role may change meanwhile.
func (r *storeReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		_, role := r.node.membership.syncSource(time.Now())
		if wait := r.untilDue(role); wait > 0 {
			sleep(ctx, min(wait, r.boundShare(readerReadAgeShare)))
			continue
		}
		r.read(ctx, role)
	}
}

// untilDue returns the time until this instance is to read the store in a role, unless fresher
// state arrives before.
func (r *storeReader) untilDue(role fleet.Role) time.Duration {
	readAt := r.stateReadAt()
	due := readAt.Add(r.readAge(role))
	if r.failedAt.After(readAt) {
		if retry := r.failedAt.Add(r.retryDelayFor(role)); retry.After(due) {
			due = retry
		}
	}
	return time.Until(due)
}

// stateReadAt returns when the read of the store began from which this instance's state comes. It
// counts this instance's last successful read although the catalog may not have applied it yet.
func (r *storeReader) stateReadAt() time.Time {
	readAt := r.lastReadAt
	if s := r.state.Load(); s != nil && s.AsOf().After(readAt) {
		readAt = s.AsOf()
	}
	if readAt.IsZero() {
		return r.started
	}
	return readAt
}

// readAge returns the age of its state at which this instance reads the store in a role.
func (r *storeReader) readAge(role fleet.Role) time.Duration {
	switch role {
	case fleet.RoleReader:
		return r.boundShare(readerReadAgeShare)
	case fleet.RoleZoneLead:
		return r.boundShare(leadReadAgeShare)
	case fleet.RoleMember:
		return r.boundShare(staleShare + readFleet(r.node.membership, (*fleet.Fleet).StoreSearchTurn)*(maxMemberReadAgeShare-staleShare))
	default:
		return r.boundShare(staleShare)
	}
}

// retryDelayFor returns the delay from a failed read to the next one in a role.
func (r *storeReader) retryDelayFor(role fleet.Role) time.Duration {
	if role == fleet.RoleReader {
		return r.readerRetryDelay
	}
	return r.boundShare(nonReaderRetryShare * r.retryJitter)
}

// read reads the store in a role, reports the read and sets the times of the next one.
func (r *storeReader) read(ctx context.Context, role fleet.Role) {
	startedAt, age := time.Now(), r.stateAge()
	err := r.readInRole(ctx, role)
	if ctx.Err() != nil {
		return
	}
	r.reportRead(storeRead{role: role, startedAt: startedAt, age: age, err: err})
	r.storeReadFailing.Store(err != nil)
	if err != nil {
		r.failedAt = time.Now()
		r.recordFailedRead(startedAt, r.failedAt)
		r.readerRetryDelay, r.retryJitter = min(r.backoff.Next(r.random), r.boundShare(maxReaderRetryDelayShare)), 0.75+r.random.Float64()/2
		r.timeout = max(min(2*time.Since(startedAt), r.boundShare(maxReadTimeoutShare)), minReadTimeout)
		return
	}
	r.lastReadAt, r.failedAt, r.timeout = startedAt, time.Time{}, minReadTimeout
	r.backoff.Reset()
	if role != fleet.RoleReader {
		r.syncNow() // asking tells its peers that it has fresher state, for which they then ask
	}
}

// recordFailedRead records that a read of the store has failed, unless it took longer than the
// store is waited for: then the process stood still in it, and its time-out shows nothing.
func (c *control) recordFailedRead(startedAt, endedAt time.Time) {
	if endedAt.Sub(startedAt) <= c.boundShare(maxUnansweredShare) {
		c.readFailedAt.Store(&endedAt)
	}
}

// readInRole reads the store in a role. For roles other than the reader this is a search for an
// instance that the store serves: an instance that the store refuses spends only one call on it.
// A call that gets no answer is repeated once, on a new connection. After a failure only a probe
// is made until the store serves this instance again.
func (r *storeReader) readInRole(ctx context.Context, role fleet.Role) error {
	if role == fleet.RoleReader {
		return r.readAsReader(ctx)
	}
	if !r.failedAt.IsZero() {
		if err := r.callWithTimeout(ctx, minReadTimeout, r.node.config.Source.Probe); err != nil {
			return fmt.Errorf("probe: %w", err)
		}
	}
	err := r.callWithTimeout(ctx, minReadTimeout, r.readConfig)
	if errors.Is(err, context.DeadlineExceeded) {
		err = r.callWithTimeout(ctx, 2*minReadTimeout, r.readConfig)
	}
	if err != nil {
		return err
	}
	if err := r.callWithTimeout(ctx, 2*minReadTimeout, r.readLeaves); err != nil {
		return err
	}
	// Peers that give no fresh state don't tell of the quarantine either.
	return r.callWithTimeout(ctx, 2*minReadTimeout, r.node.probeStore.load)
}

// readAsReader reads the store, and the quarantine too while no peer tells of it.
func (r *storeReader) readAsReader(ctx context.Context) error {
	if err := r.readStore(ctx, r.timeout); err != nil || !r.isIsolated(time.Now()) {
		return err
	}
	return r.callWithTimeout(ctx, r.timeout, r.node.probeStore.load)
}

// isIsolated reports whether this instance knows others and has exchanged state with none of
// them for isolationTime.
func (c *control) isIsolated(now time.Time) bool {
	contactAt := c.peerContactAt.Load()
	silent := contactAt == nil || now.Sub(*contactAt) > isolationTime
	return silent && readFleet(c.node.membership, (*fleet.Fleet).Size) > 1
}

// callWithTimeout makes a call and fails it with context.DeadlineExceeded if an HTTP answer does not
// begin within the timeout. An answer that has begun may take longer, up to
// transferTimeoutShare, as a large configuration does on a slow link.
func (c *control) callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, c.boundShare(transferTimeoutShare)))
	defer cancel()
	var timedOut atomic.Bool
	timer := time.AfterFunc(timeout, func() {
		timedOut.Store(true)
		cancel()
	})
	defer timer.Stop()
	err := call(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:              func(string) { timer.Reset(timeout) },
		GotFirstResponseByte: func() { timer.Stop() },
	}))
	if err != nil && timedOut.Load() {
		return fmt.Errorf("no answer within %v: %w", timeout, context.DeadlineExceeded)
	}
	return err
}

// readStore reads the configuration and the leaves from the store.
func (c *control) readStore(ctx context.Context, timeout time.Duration) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.callWithTimeout(ctx, timeout, c.readConfig) })
	g.Go(func() error { return c.callWithTimeout(ctx, timeout, c.readLeaves) })
	return g.Wait()
}

// readConfig reads the configuration once and sends it to the control goroutine.
func (c *control) readConfig(ctx context.Context) error {
	startedAt := time.Now()
	config, err := c.node.config.Source.Config(ctx)
	if err != nil {
		return err
	}
	return c.send(ctx, configRead{config: config, startedAt: startedAt})
}

// readLeaves reads the list of leaves once and sends it to the control goroutine.
func (c *control) readLeaves(ctx context.Context) error {
	startedAt := time.Now()
	list, err := c.node.config.Source.Leaves(ctx)
	if err != nil {
		return err
	}
	return c.send(ctx, leavesRead{list: list, startedAt: startedAt})
}

// storeRead describes one read of the store for logs and metrics.
type storeRead struct {
	role      fleet.Role
	startedAt time.Time
	age       time.Duration // of this instance's state before the read
	err       error
}

// reportRead counts a read of the store and logs it, except for successful reads by the reader.
func (c *control) reportRead(r storeRead) {
	outcome := "read"
	if r.err != nil {
		outcome = "failed"
	}
	c.node.metrics.Scope.SubScope("hosted").Tagged(map[string]string{"role": r.role.String(), "outcome": outcome}).Counter("store_reads").Inc(1)
	attrs := []any{"role", r.role, "age", r.age, "took", time.Since(r.startedAt)}
	switch {
	case r.err != nil:
		c.log.Warn("store read failed", append(attrs, "err", r.err)...)
	case r.role != fleet.RoleReader:
		c.log.Info("store read", attrs...)
	}
}
