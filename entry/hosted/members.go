package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/statesync"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of the announcements of instances.
const (
	// announceInterval is the time between two announcements. Each is a priced
	// write; only an instance that ended for good is noticed by their end.
	announceInterval = 3 * time.Minute
	// announceRetry is the first pause after an announcement that failed.
	announceRetry = 500 * time.Millisecond
	// forgetAfter is two announcements missed.
	forgetAfter = 3 * announceInterval
	// listInterval is the time between two reads of the announcements by the reader of
	// the store. Soon after its start it reads them more often, as others start too:
	// after listShare of the time since, and at least listAgain.
	listInterval = 20 * time.Second
	listAgain    = 500 * time.Millisecond
	listShare    = 0.5
	// ownListAfter is the age of the list from which an instance that is not the reader
	// reads it itself: those that it learns from can't.
	ownListAfter = 3 * listInterval / 2
	// listPropagationBound is the time within which every instance knows a new list: the longest
	// age, the call, and what the way over a lead takes, with one that fails.
	listPropagationBound = ownListAfter + callTimeout + 4*time.Second
	// peerBackoff is the initial delay before an instance that failed is asked again, doubled
	// up to maxPeerBackoff. It is short: one that starts again is back soon, and when all do
	// there is nobody else to ask.
	peerBackoff    = 500 * time.Millisecond
	maxPeerBackoff = time.Minute
	// stalePeerBackoff is the delay before an instance whose state is stale is synchronized from again.
	stalePeerBackoff = 3 * time.Second
	// callTimeout bounds one call about announcements.
	callTimeout = 2 * time.Second
	// listWait bounds the wait of an instance that starts again for a list that may
	// have its announcement from before, which then needs no new one.
	listWait = 2 * time.Second
)

// members guards the kernel's fleet by a lock and keeps it up to date.
type members struct {
	node  *Node
	log   *telemetry.ComponentLog
	self  fleet.Instance
	begun time.Time
	// bad reports the announcements that can't be used.
	bad *badEntries
	// known is closed once there is a list.
	known     chan struct{}
	knownOnce sync.Once
	// sent is the list as other instances get it.
	sent atomic.Pointer[statesync.InstanceList]
	// tried is when this instance last read the list; the listing goroutine's own.
	tried time.Time

	mu    sync.Mutex
	fleet *fleet.Fleet
}

// newMembers makes a fleet of one.
func newMembers(n *Node) *members {
	span := n.config.Tunables.Catalog.RepeatLimit.Window
	self := fleet.Instance{Name: n.config.Instance, Zone: n.config.Zone, PeerAddress: n.config.Peer, CPUs: n.config.Power, AnnouncementID: rand.Uint64()}
	m := &members{
		node: n, log: n.log.Component("fleet"), self: self, begun: time.Now(), known: make(chan struct{}),
		bad: newBadEntries(n.log.Component("fleet"), n.metrics.Scope, "instances"),
		fleet: fleet.New(self, fleet.Settings{
			ForgetAfter: forgetAfter, PeerBackoff: peerBackoff, MaxPeerBackoff: maxPeerBackoff, StalePeerBackoff: stalePeerBackoff, ListPropagationBound: listPropagationBound,
			RepeatWindow: span, ShareHoldTime: max(span, listPropagationBound),
		}),
	}
	seeds := append([]string(nil), n.config.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	m.fleet.SetSeeds(seeds)
	return m
}

// look calls a read-only function of the fleet under the lock.
func look[T any](m *members, question func(*fleet.Fleet) T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return question(m.fleet)
}

// transient reports whether this instance's share of the connections to a leaf is less
// than one.
func (m *members) transient(u *document.Upstream) bool {
	return look(m, func(f *fleet.Fleet) bool { return f.UsesTransientConnections(u.ConnectionLimit, len(u.Shards)) })
}

// repeatSlack is this instance's part of the repeats that the fleet may make.
func (m *members) repeatSlack(shards int) float64 {
	return look(m, func(f *fleet.Fleet) float64 { return f.RepeatAllowanceShare(shards, time.Now()) })
}

// Partners lists the instances to which this one hands over much.
func (m *members) Partners(now time.Time) []fleet.Instance {
	return look(m, func(f *fleet.Fleet) []fleet.Instance { return f.Partners(now) })
}

// source is the instance to learn from, and as what this one does so.
func (m *members) source(now time.Time) (fleet.Instance, fleet.Role) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.SyncSource(now)
}

// Stronger lists the instances of the zone to which a large query may be handed.
func (m *members) Stronger(now time.Time) []fleet.Instance {
	return look(m, func(f *fleet.Fleet) []fleet.Instance { return f.Stronger(now) })
}

// Gatherers lists the instances of a zone that may gather parts for this one.
func (m *members) Gatherers(zone string, now time.Time) []fleet.Instance {
	return look(m, func(f *fleet.Fleet) []fleet.Instance { return f.Gatherers(zone, now) })
}

// MarkStale notes that an instance is well and its state missing or stale.
func (m *members) MarkStale(i fleet.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.MarkStale(i, now)
}

// Failed notes that an instance did not answer.
func (m *members) Failed(i fleet.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Failed(i, now)
}

// Answered notes that an instance is well.
func (m *members) Answered(i fleet.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Answered(i)
}

// find is a member by its name.
func (m *members) find(name string) (fleet.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Find(name)
}

// listDue reports whether this instance is to read the announcements itself.
func (m *members) listDue(now time.Time) bool {
	_, role := m.source(now)
	age := now.Sub(look(m, (*fleet.Fleet).ListReadAt))
	if role != fleet.RoleReader {
		return age >= ownListAfter && now.Sub(m.tried) >= listInterval
	}
	since := time.Duration(listShare * float64(now.Sub(m.begun)))
	interval := min(max(since, listAgain), listInterval)
	return age >= interval && now.Sub(m.tried) >= interval
}

// list reads the announcements.
func (m *members) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	m.tried = began
	list, bad, err := m.node.config.Source.Instances(ctx)
	if err != nil {
		m.log.Warn("announcements were not read", "err", err)
		return
	}
	m.bad.report(bad)
	m.change(func(f *fleet.Fleet) { f.ApplyStoreList(list, began) })
}

// received takes the list of another instance.
func (m *members) received(u *statesync.Update) {
	if u.FleetAt.IsZero() {
		return
	}
	m.change(func(f *fleet.Fleet) {
		if u.Instances != nil {
			f.ApplyPeerList(u.Instances, u.FleetAt)
		} else if s := m.sent.Load(); s != nil && s.Hash == u.FleetHash {
			f.ConfirmList(u.FleetAt)
		}
	})
}

// change changes the fleet. A change of its shape changes shares.
func (m *members) change(do func(*fleet.Fleet)) {
	m.mu.Lock()
	before := m.fleet.Composition()
	do(m.fleet)
	after := m.fleet.Composition()
	listed := !m.fleet.ListReadAt().IsZero()
	m.encode(m.fleet.Instances())
	m.mu.Unlock()
	if listed {
		m.knownOnce.Do(func() { close(m.known) })
	}
	if before != after {
		m.log.Info("size of the fleet", "instances", after.Size, "before", before.Size, "runners", after.Coordinators, "runs", after.IsCoordinator)
		m.node.control.resized()
	}
}

// encode renews what others get, where it differs.
func (m *members) encode(list []fleet.Instance) {
	if s := m.sent.Load(); s != nil && s.Hash == fleet.HashInstances(list) {
		return
	}
	s, err := statesync.NewInstanceList(list)
	if err != nil {
		m.log.Error("list of instances was not encoded", "err", err)
		return
	}
	m.sent.Store(s)
}

// hash is that of the list in force, 0 for none.
func (m *members) hash() uint64 {
	if s := m.sent.Load(); s != nil {
		return s.Hash
	}
	return 0
}

// write fills in the list for a peer that asks.
func (m *members) write(r *peerapi.SyncRequest, out *peerapi.SyncReply, now time.Time) {
	at := look(m, (*fleet.Fleet).ListReadAt)
	s := m.sent.Load()
	if s == nil || at.IsZero() {
		return
	}
	out.FleetAgeMS = statesync.AgeMS(at, now)
	s.FillReply(r.Fleet, out)
}
