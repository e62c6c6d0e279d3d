package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
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
	// maxPendingReads bounds the reads without an answer.
	maxPendingReads = 5
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

// storeReader reads the store when it is this instance's turn. Reads overlap while the store answers
// late, so that the age of the state does not grow with the number of reads that wait. It is not safe
// for concurrent use.
type storeReader struct {
	*control
	random *rand.Rand
	// started is when the reader was made, lastReadAt when its last successful read began.
	started, lastReadAt time.Time
	// failedAt is when the last read ended if it failed, else zero. It has no effect once state
	// arrives that another instance read later.
	failedAt time.Time
	// pending are the reads in progress, the oldest first; ended receives their results.
	pending []*storeRead
	ended   chan *storeRead
	// unanswered is the number of reads that began since the last one that was answered.
	unanswered int
	// followUpDelay is the time after which the reader's read without an answer is followed by another.
	followUpDelay time.Duration
	// readerRetryDelay is the delay before the reader's next read after a failure.
	backoff          backoff.Backoff
	readerRetryDelay time.Duration
	// retryJitter is the factor, 0.75 to 1.25, on the mean retry delay of instances other than the
	// reader.
	retryJitter float64
}

// newStoreReader makes a storeReader for an instance that has loaded its first state.
func newStoreReader(c *control) *storeReader {
	return &storeReader{
		control: c, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), started: time.Now(), ended: make(chan *storeRead, maxPendingReads),
		backoff: backoff.Backoff{Min: minStoreRetryDelay, Max: maxInitialRetryDelay}, followUpDelay: minReadTimeout, retryJitter: 1,
	}
}

// run reads the store at its turns until the context ends. It waits in short steps, because the
// role may change meanwhile.
func (r *storeReader) run(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for ctx.Err() == nil {
		_, role := r.node.membership.syncSource(time.Now())
		wait := r.untilDue(role)
		if wait <= 0 && len(r.pending) < maxPendingReads {
			read := r.begin(role)
			reads.Go(func() { r.perform(ctx, read) })
			continue
		}
		select {
		case <-ctx.Done():
		case read := <-r.ended:
			r.end(ctx, read)
		case <-time.After(min(max(wait, minStoreRetryDelay), r.boundShare(readerReadAgeShare))):
		}
	}
}

// untilDue returns the time until this instance is to read the store in a role, unless fresher
// state arrives before.
func (r *storeReader) untilDue(role fleet.Role) time.Duration {
	readAt := r.stateReadAt()
	due := readAt.Add(r.readAge(role))
	if r.failedAt.After(readAt) {
		due = latest(due, r.failedAt.Add(r.retryDelayFor(role)))
	}
	if n := len(r.pending); n > 0 {
		due = latest(due, r.pending[n-1].startedAt.Add(r.followUpDelayFor(role)))
	}
	return time.Until(due)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
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

// readAge returns the age of its state at which this instance reads the store in a role. Of a store that
// answers late the first state is old already, and peers that start too have none that is fresher.
func (r *storeReader) readAge(role fleet.Role) time.Duration {
	if r.lastReadAt.IsZero() && r.storeDelay() > 0 {
		return r.boundShare(readerReadAgeShare)
	}
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

// followUpDelayFor returns the time in a role after which a read without an answer is followed by
// another one.
func (r *storeReader) followUpDelayFor(role fleet.Role) time.Duration {
	switch {
	case role == fleet.RoleReader:
		return r.followUpDelay
	case r.unanswered <= 1:
		return minReadTimeout
	default:
		return r.retryDelayFor(role)
	}
}

// begin begins a read in a role.
func (r *storeReader) begin(role fleet.Role) *storeRead {
	if len(r.pending) > 0 {
		r.followUpDelay = min(2*r.followUpDelay, r.boundShare(readerReadAgeShare))
	}
	read := &storeRead{
		role: role, startedAt: time.Now(), age: r.stateAge(),
		probes: role != fleet.RoleReader && (!r.failedAt.IsZero() || r.unanswered > 1),
	}
	r.unanswered++
	r.pending = append(r.pending, read)
	return read
}

// perform makes the calls of a read.
func (r *storeReader) perform(ctx context.Context, read *storeRead) {
	read.err = r.readInRole(ctx, read)
	select {
	case r.ended <- read:
	case <-ctx.Done():
	}
}

// end reports a read that has ended and sets the times of the next one.
func (r *storeReader) end(ctx context.Context, read *storeRead) {
	r.pending = slices.DeleteFunc(r.pending, func(p *storeRead) bool { return p == read })
	if ctx.Err() != nil {
		return
	}
	r.reportRead(read)
	now := time.Now()
	if read.err != nil {
		r.endFailed(read, now)
		return
	}
	r.storeReadFailing.Store(false)
	r.unanswered = 0
	r.followUpDelay = min(max(2*now.Sub(read.startedAt), minReadTimeout), r.boundShare(readerReadAgeShare))
	if read.startedAt.After(r.lastReadAt) {
		r.lastReadAt, r.failedAt = read.startedAt, time.Time{}
		r.backoff.Reset()
	}
	if read.role != fleet.RoleReader {
		r.syncNow() // asking tells its peers that it has fresher state, for which they then ask
	}
}

// endFailed sets the time of the next read after one that failed. One that was given up counts as
// failed since it was followed by others.
func (r *storeReader) endFailed(read *storeRead, now time.Time) {
	if read.startedAt.Before(r.lastReadAt) {
		return // a later read has succeeded
	}
	r.storeReadFailing.Store(true)
	r.recordFailedRead(read.startedAt, now)
	if failedAt := read.startedAt.Add(minReadTimeout); failedAt.Before(now) {
		now = failedAt
	}
	r.failedAt = latest(r.failedAt, now)
	r.readerRetryDelay, r.retryJitter = min(r.backoff.Next(r.random), r.boundShare(maxReaderRetryDelayShare)), 0.75+r.random.Float64()/2
}

// readInRole reads the store in a role. For roles other than the reader this is a search for an
// instance that the store serves: an instance that the store refuses spends only one call on it.
// After a failure only a probe is made until the store serves this instance again.
func (r *storeReader) readInRole(ctx context.Context, read *storeRead) error {
	if read.role == fleet.RoleReader {
		return r.readAsReader(ctx)
	}
	if read.probes {
		if err := r.watchedCall(ctx, r.node.config.Source.Probe); err != nil {
			return fmt.Errorf("probe: %w", err)
		}
	}
	if err := r.readBoth(ctx); err != nil {
		return err
	}
	// Peers that give no fresh state don't tell of the quarantine either.
	return r.watchedCall(ctx, r.node.probeStore.load)
}

// readAsReader reads the store, and the quarantine too while no peer tells of it.
func (r *storeReader) readAsReader(ctx context.Context) error {
	if err := r.readAtOnce(ctx); err != nil || !r.isIsolated(time.Now()) {
		return err
	}
	return r.watchedCall(ctx, r.node.probeStore.load)
}

// readBoth reads the configuration and, if the store has answered that, the leaves; both at once
// while the store answers late.
func (r *storeReader) readBoth(ctx context.Context) error {
	if r.storeDelay() > 0 {
		return r.readAtOnce(ctx)
	}
	if err := r.watchedCall(ctx, r.readConfig); err != nil {
		return err
	}
	return r.watchedCall(ctx, r.readLeaves)
}

// readAtOnce reads the configuration and the leaves at once.
func (r *storeReader) readAtOnce(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.watchedCall(ctx, r.readConfig) })
	g.Go(func() error { return r.watchedCall(ctx, r.readLeaves) })
	return g.Wait()
}

// isIsolated reports whether this instance knows others and has exchanged state with none of
// them for isolationTime.
func (c *control) isIsolated(now time.Time) bool {
	contactAt := c.peerContactAt.Load()
	silent := contactAt == nil || now.Sub(*contactAt) > isolationTime
	return silent && readFleet(c.node.membership, (*fleet.Fleet).Size) > 1
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

// storeRead is one read of the store.
type storeRead struct {
	role      fleet.Role
	startedAt time.Time
	age       time.Duration // of this instance's state before the read
	probes    bool          // the read begins with a probe
	err       error
}

// reportRead counts a read of the store and logs it, except for successful reads by the reader.
func (c *control) reportRead(r *storeRead) {
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
