package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/membership"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Queue lengths and times of the control goroutine.
const (
	// inboxLength is the number of steps that may wait before posting blocks.
	inboxLength = 256
	// observationsLength is the number of observations of leaves that may wait
	// before further ones are dropped.
	observationsLength = 1024
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
	// listPeriod is the mean time between reads of the list of instances; each
	// pause varies by 10%.
	listPeriod = 2 * time.Second
)

// Control is the state of the control goroutine and the methods that post steps
// to it. Only methods that say so may be called from other goroutines.
type Control struct {
	cfg        Config
	rollout    *rollout.Machine
	membership *membership.Machine
	rnd        *rand.Rand

	ctx          context.Context // the context of Run, which sets it before it starts any goroutine
	inbox        chan func(now time.Time)
	observations chan membership.Event
	io           sync.WaitGroup
	closed       chan struct{} // closed when Run returns

	rolloutAt    time.Time
	membershipAt time.Time
	sequence     uint64
	shares       shares
	unresponsive map[string]bool // peers that did not answer the last call
	nextSave     rollout.SaveID
	waiters      map[rollout.SaveID]chan rollout.Outcome

	current   atomic.Pointer[rollout.Version]
	view      atomic.Pointer[view.View]
	instances atomic.Pointer[[]platformapi.Instance]
}

// New returns a Control, which does nothing until Run is called.
func New(cfg Config) *Control {
	return &Control{
		cfg:          cfg,
		rollout:      rollout.New(rand.New(rand.NewPCG(cfg.Seed, 1))),
		membership:   membership.New(membership.DefaultConfig(cfg.Instance, cfg.Seed)),
		rnd:          rand.New(rand.NewPCG(cfg.Seed, 4)),
		inbox:        make(chan func(time.Time), inboxLength),
		observations: make(chan membership.Event, observationsLength),
		closed:       make(chan struct{}),
		waiters:      make(map[rollout.SaveID]chan rollout.Outcome),
		shares:       newShares(),
		unresponsive: make(map[string]bool),
	}
}

// View returns the view in force, or nil before there is a document. Any
// goroutine may call it.
func (c *Control) View() *view.View { return c.view.Load() }

// Run is the control goroutine; it returns nil when ctx ends. It must be called
// once.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	c.ctx = ctx
	defer c.io.Wait()
	defer close(c.closed)
	defer cancel()
	c.spawn(c.watchConfig)
	c.spawn(c.pollInstances)
	c.handleRollout(rollout.Start{})
	c.handleMembership(membership.Tick{})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(c.timeToNextTick())
		select {
		case <-ctx.Done():
			return nil
		case run := <-c.inbox:
			run(time.Now())
		case observation := <-c.observations:
			c.handleMembership(observation)
		case <-timer.C:
			c.tick(time.Now())
		}
	}
}

// timeToNextTick returns the time until the next tick of a state machine or the
// next growth of connection shares.
func (c *Control) timeToNextTick() time.Duration {
	at := c.membershipAt
	for _, other := range []time.Time{c.rolloutAt, c.shares.growAt()} {
		if !other.IsZero() && other.Before(at) {
			at = other
		}
	}
	return max(0, time.Until(at))
}

// tick passes due ticks to the state machines, and publishes a new view when
// connection shares may grow.
func (c *Control) tick(now time.Time) {
	if !c.rolloutAt.IsZero() && !now.Before(c.rolloutAt) {
		c.rolloutAt = time.Time{}
		c.handleRollout(rollout.Tick{})
	}
	if !now.Before(c.membershipAt) {
		c.handleMembership(membership.Tick{})
	}
	if at := c.shares.growAt(); !at.IsZero() && !now.Before(at) {
		c.publish()
	}
}

// spawn runs f, which does I/O, in a goroutine of its own. Run waits for it.
func (c *Control) spawn(f func(ctx context.Context)) {
	c.io.Add(1)
	go func() {
		defer c.io.Done()
		f(c.ctx)
	}()
}

// post queues a step for the control goroutine and waits while the inbox is full.
// It reports false, without queueing, if ctx ends or Run returns first.
func (c *Control) post(ctx context.Context, step func(now time.Time)) bool {
	select {
	case c.inbox <- step:
		return true
	case <-ctx.Done():
	case <-c.closed:
	}
	return false
}

// runAndWait runs a step on the control goroutine and waits for its end. It
// reports false if ctx ends or Run returns first; the step may then still run.
func (c *Control) runAndWait(ctx context.Context, step func(now time.Time)) bool {
	done := make(chan struct{})
	posted := c.post(ctx, func(now time.Time) {
		step(now)
		close(done)
	})
	if !posted {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-c.closed:
	}
	return false
}

// watchConfig watches the configuration object in the store. An update may repeat
// a known version or bring an older one, as the state machine compares
// generations.
func (c *Control) watchConfig(ctx context.Context) {
	cfg := platform.FollowConfig{
		Kind: platformapi.KindConfig,
		Rand: rand.New(rand.NewPCG(c.cfg.Seed, 2)),
		OnError: func(err error, retryIn time.Duration) {
			c.cfg.Log.Warn("watch of the configuration failed", "err", err, "retry_in", retryIn)
			c.post(ctx, func(now time.Time) { c.setWatchWorking(false, now) })
		},
	}
	err := platform.Follow(ctx, c.cfg.Store, cfg, func(u platform.Update) {
		c.post(ctx, func(now time.Time) { c.setWatchWorking(true, now) })
		for _, obj := range u.Objects {
			c.handleWatchedObject(ctx, obj)
		}
		for _, e := range u.Events {
			if !e.Deleted {
				c.handleWatchedObject(ctx, e.Object)
			}
		}
	})
	if err != nil {
		c.cfg.Log.Error("watch of the configuration ended", "err", err)
	}
}

// setWatchWorking tells the rollout machine whether the watch works, and passes it
// a tick so that it schedules its next poll accordingly.
func (c *Control) setWatchWorking(works bool, now time.Time) {
	c.rollout.SetWatchWorking(works, now)
	c.handleRollout(rollout.Tick{})
}

// handleWatchedObject passes the configuration from a watch update to the rollout
// machine and ignores all other objects.
func (c *Control) handleWatchedObject(ctx context.Context, obj platformapi.Object) {
	if obj.Name != platformapi.NameConfig {
		return
	}
	v := c.parse(obj.Version, obj.Value)
	c.post(ctx, func(time.Time) { c.handleRollout(rollout.VersionSeen{Version: v, Source: rollout.SourceWatch}) })
}

// pollInstances reads the list of instances about every listPeriod until ctx ends.
func (c *Control) pollInstances(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(c.cfg.Seed, 3))
	for {
		list, err := c.cfg.Store.Instances(ctx)
		if err == nil {
			c.post(ctx, func(time.Time) { c.handleInstanceList(list) })
		}
		pause := listPeriod*9/10 + time.Duration(rnd.Int64N(int64(listPeriod/5)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// publish builds and publishes a view of the document in force; without a
// document it does nothing.
func (c *Control) publish() {
	v := c.rollout.Current()
	if v.Document == nil {
		return
	}
	c.shares.startRound(time.Now())
	built := view.Build(v.Generation, v.Hash, v.Document, c.membership.Leaving, c.share)
	c.sequence++
	built.Sequence = c.sequence
	c.view.Store(built)
	if c.cfg.Publish != nil {
		c.cfg.Publish(built)
	}
}
