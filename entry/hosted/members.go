package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of the announcements of instances.
const (
	// announceInterval is the time between two announcements. Each is a priced
	// write; only an instance that ended without a word is noticed by their end.
	announceInterval = time.Minute
	// listedWithin is the time within which each instance reads the announcements again:
	// the longest pause and the longest call.
	listedWithin = 3*listInterval/2 + callTimeout
	// forgetAfter is two announcements missed.
	forgetAfter = 3 * announceInterval
	// listInterval is the time between two reads of the announcements, and
	// firstLists how many at the start follow faster, while all instances start.
	listInterval  = 20 * time.Second
	firstInterval = 500 * time.Millisecond
	firstLists    = 3
	// passOver is for how long a reader whose state is old is not asked.
	passOver = 3 * time.Second
	// callTimeout bounds one call about announcements; none of them is urgent.
	callTimeout = 2 * time.Second
)

// members guards the kernel's fleet by a lock and keeps it up to date.
type members struct {
	node *Node
	log  *telemetry.Part
	self fleet.Instance
	// bad reports the announcements that can't be used.
	bad *badEntries

	mu    sync.Mutex
	fleet *fleet.Fleet
}

// newMembers makes a fleet of one.
func newMembers(n *Node) *members {
	span := n.config.Tunables.Catalog.Repeats.Window
	self := fleet.Instance{Name: n.config.Instance, Zone: n.config.Zone, Peer: n.config.Peer, Power: n.config.Power, Mark: rand.Uint64()}
	return &members{
		node: n, log: n.log.Part("fleet"), self: self,
		bad: newBadEntries(n.log.Part("fleet"), n.metrics.Scope, "instances"),
		fleet: fleet.New(self, fleet.Settings{
			ForgetAfter: forgetAfter, PassOver: passOver, ListedWithin: listedWithin,
			Span: span, HoldParts: max(span, listedWithin),
		}),
	}
}

// size is the number of instances.
func (m *members) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Size()
}

// connections is this instance's share of the connections to a leaf.
func (m *members) connections(limit, shards int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Connections(limit, shards)
}

// repeatSlack is this instance's part of the repeats that the fleet may make.
func (m *members) repeatSlack(shards int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.RepeatSlack(shards, time.Now())
}

// reader is the instance to synchronize from, if it is not this one.
func (m *members) reader(now time.Time) (fleet.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Reader(now)
}

// stronger lists the instances of the zone to which a large query may be handed.
func (m *members) stronger(now time.Time) []fleet.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Stronger(now)
}

// gatherers lists the instances of a zone that may gather parts for this one.
func (m *members) gatherers(zone string, now time.Time) []fleet.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Gatherers(zone, now)
}

// failed notes that a reader did not answer, or with old state.
func (m *members) failed(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Failed(name, now)
}

// run announces this instance and lists the others until the context ends.
func (m *members) run(ctx context.Context) error {
	go m.announce(ctx)
	// Instances that start again, all together at the worst, find each other by the
	// announcements from before. Until the first read each runs its queries alone, over
	// connections that it has yet to open: of the 180 requests in the two seconds of such
	// a start of 61 instances 51 came late when it was read after 250 to 750 ms.
	m.list(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		interval := listInterval
		if n < firstLists {
			interval = firstInterval << n
		}
		sleep(ctx, interval/2+rand.N(interval))
		m.list(ctx)
	}
	return ctx.Err()
}

// list reads the announcements. A change of the fleet's shape changes shares.
func (m *members) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, bad, err := m.node.config.Source.Instances(ctx)
	if err != nil {
		m.log.Warn("announcements were not read", "err", err)
		return
	}
	m.bad.report(bad)
	m.mu.Lock()
	before := m.fleet.Shape()
	m.fleet.Listed(list, time.Now())
	after := m.fleet.Shape()
	m.mu.Unlock()
	if before != after {
		m.log.Info("size of the fleet", "instances", after.Size, "before", before.Size, "runners", after.Runners, "runs", after.Runs)
		m.node.control.resized()
	}
}

// announce writes the announcement again and again, until this instance leaves.
func (m *members) announce(ctx context.Context) {
	pause := backoff.Backoff{Min: firstRetry, Max: announceInterval}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	doubt := false // an announcement that is there may be of a call that failed here
	for ctx.Err() == nil && !m.node.lifecycle.Leaving() {
		m.self.Mark++
		call, cancel := context.WithTimeout(ctx, callTimeout)
		existed, err := m.node.config.Source.Announce(call, m.self)
		cancel()
		wait := announceInterval
		if err != nil {
			doubt = true
			wait = pause.Next(random)
			m.log.Warn("announcement was not written", "err", err, "again_in", wait)
		} else {
			m.joined(existed && !doubt)
			pause.Reset()
		}
		sleep(ctx, wait)
	}
}

// joined says that the others can know of this instance from now on.
func (m *members) joined(existed bool) {
	how := fleet.StartNew
	switch {
	case m.node.config.FirstStart:
		how = fleet.StartFirst
	case existed:
		how = fleet.StartAgain
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Joined(how, time.Now())
}

// withdraw takes the announcement back, so that the others don't wait for it to
// fall silent.
func (m *members) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.node.config.Source.Withdraw(ctx, m.self.Name); err != nil {
		m.log.Warn("announcement was not withdrawn", "err", err)
	}
}
