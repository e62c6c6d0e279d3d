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

// Bounds and times of control.
const (
	inboxLength = 256
	marksLength = 1024
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
	// listEvery is the time between reads of the list of instances.
	listEvery = 2 * time.Second
)

// Control is the control goroutine's state and its entrances. Only methods
// that say so may be called from other goroutines.
type Control struct {
	cfg        Config
	rollout    *rollout.Machine
	membership *membership.Machine
	rnd        *rand.Rand

	ctx    context.Context // of Run; set before anything runs
	inbox  chan func(now time.Time)
	marks  chan membership.Event
	io     sync.WaitGroup
	closed chan struct{}

	rolloutAt    time.Time
	membershipAt time.Time
	sequence     uint64
	shares       shares
	silent       map[string]bool // peers that did not answer the last time
	nextSave     rollout.SaveID
	waiters      map[rollout.SaveID]chan rollout.Outcome

	current   atomic.Pointer[rollout.Version]
	view      atomic.Pointer[view.View]
	instances atomic.Pointer[[]platformapi.Instance]
}

// New makes a control; Run makes it work.
func New(cfg Config) *Control {
	return &Control{
		cfg:        cfg,
		rollout:    rollout.New(rand.New(rand.NewPCG(cfg.Seed, 1))),
		membership: membership.New(membership.DefaultConfig(cfg.Instance, cfg.Seed)),
		rnd:        rand.New(rand.NewPCG(cfg.Seed, 4)),
		inbox:      make(chan func(time.Time), inboxLength),
		marks:      make(chan membership.Event, marksLength),
		closed:     make(chan struct{}),
		waiters:    make(map[rollout.SaveID]chan rollout.Outcome),
		shares:     newShares(),
		silent:     make(map[string]bool),
	}
}

// View is the view in force; nil before there is a document. Any goroutine may
// call it.
func (c *Control) View() *view.View { return c.view.Load() }

// Run works until the context ends. It is called once.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	c.ctx = ctx
	defer c.io.Wait()
	defer close(c.closed)
	defer cancel()
	c.spawn(c.follow)
	c.spawn(c.pollList)
	c.roll(rollout.Start{})
	c.member(membership.Tick{})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(c.untilWake())
		select {
		case <-ctx.Done():
			return nil
		case run := <-c.inbox:
			run(time.Now())
		case mark := <-c.marks:
			c.member(mark)
		case <-timer.C:
			c.tick(time.Now())
		}
	}
}

// untilWake is the time to the next tick of a machine.
func (c *Control) untilWake() time.Duration {
	at := c.membershipAt
	for _, other := range []time.Time{c.rolloutAt, c.shares.growAt()} {
		if !other.IsZero() && other.Before(at) {
			at = other
		}
	}
	return max(0, time.Until(at))
}

// tick gives the machines the ticks that are due.
func (c *Control) tick(now time.Time) {
	if !c.rolloutAt.IsZero() && !now.Before(c.rolloutAt) {
		c.rolloutAt = time.Time{}
		c.roll(rollout.Tick{})
	}
	if !now.Before(c.membershipAt) {
		c.member(membership.Tick{})
	}
	if at := c.shares.growAt(); !at.IsZero() && !now.Before(at) {
		c.publish()
	}
}

// spawn runs I/O apart from the control goroutine.
func (c *Control) spawn(f func(ctx context.Context)) {
	c.io.Add(1)
	go func() {
		defer c.io.Done()
		f(c.ctx)
	}()
}

// post hands a step to the control goroutine. It reports whether the step will
// run; it waits while the inbox is full.
func (c *Control) post(ctx context.Context, step func(now time.Time)) bool {
	select {
	case c.inbox <- step:
		return true
	case <-ctx.Done():
	case <-c.closed:
	}
	return false
}

// ask runs a step on the control goroutine and waits until it has run.
func (c *Control) ask(ctx context.Context, step func(now time.Time)) bool {
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

// follow watches the configuration. An update may repeat what is known, or be
// older: the machine compares generations.
func (c *Control) follow(ctx context.Context) {
	cfg := platform.FollowConfig{
		Kind: platformapi.KindConfig,
		Rand: rand.New(rand.NewPCG(c.cfg.Seed, 2)),
		OnError: func(err error, retryIn time.Duration) {
			c.cfg.Log.Warn("watch of the configuration failed", "err", err, "retry_in", retryIn)
			c.post(ctx, func(now time.Time) { c.watched(false, now) })
		},
	}
	err := platform.Follow(ctx, c.cfg.Store, cfg, func(u platform.Update) {
		c.post(ctx, func(now time.Time) { c.watched(true, now) })
		for _, obj := range u.Objects {
			c.sawObject(ctx, obj)
		}
		for _, e := range u.Events {
			if !e.Deleted {
				c.sawObject(ctx, e.Object)
			}
		}
	})
	if err != nil {
		c.cfg.Log.Error("watch of the configuration ended", "err", err)
	}
}

// watched tells the machine whether the watch works. A tick lets it plan its
// next poll by that.
func (c *Control) watched(works bool, now time.Time) {
	c.rollout.SetWatchWorking(works, now)
	c.roll(rollout.Tick{})
}

// sawObject hands an object of a watch to the machine.
func (c *Control) sawObject(ctx context.Context, obj platformapi.Object) {
	if obj.Name != platformapi.NameConfig {
		return
	}
	v := c.parse(obj.Version, obj.Value)
	c.post(ctx, func(time.Time) { c.roll(rollout.VersionSeen{Version: v, Source: rollout.SourceWatch}) })
}

// pollList reads the list of instances now and then.
func (c *Control) pollList(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(c.cfg.Seed, 3))
	for {
		list, err := c.cfg.Store.Instances(ctx)
		if err == nil {
			c.post(ctx, func(time.Time) { c.listed(list) })
		}
		pause := listEvery*9/10 + time.Duration(rnd.Int64N(int64(listEvery/5)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// publish builds and publishes a view of the document in force.
func (c *Control) publish() {
	v := c.rollout.Current()
	if v.Document == nil {
		return
	}
	c.shares.begin(time.Now())
	built := view.Build(v.Generation, v.Hash, v.Document, c.membership.Leaving, c.share)
	c.sequence++
	built.Sequence = c.sequence
	c.view.Store(built)
	if c.cfg.Publish != nil {
		c.cfg.Publish(built)
	}
}
