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
	// announceInterval is the time between two announcements. It is long because each is a write
	// that costs money, and only the permanent end of an instance is noticed by their absence.
	announceInterval = 3 * time.Minute
	// minAnnounceRetryDelay is the first delay after an announcement that failed, doubled up to announceInterval.
	minAnnounceRetryDelay = 500 * time.Millisecond
	// forgetInstanceAfter is the age at which an announcement expires, after two missed ones.
	forgetInstanceAfter = 3 * announceInterval
	// listInterval is the time between two reads of the announcements by the reader of
	// the store. Soon after its own start it reads them more often, as others may be starting
	// too: each listIntervalShare of the time since its start, but not below minListInterval.
	listInterval      = 20 * time.Second
	minListInterval   = 500 * time.Millisecond
	listIntervalShare = 0.5
	// fallbackListAge is the age of the list at which an instance other than the reader reads the
	// announcements itself, since those that it synchronizes from evidently can't.
	fallbackListAge = 3 * listInterval / 2
	// listPropagationBound is the time within which every instance has a new list: the greatest
	// age of a list, the call, and 4 s for the way through a zone lead, one of which may fail.
	listPropagationBound = fallbackListAge + instanceCallTimeout + 4*time.Second
	// peerBackoff is the initial delay before an instance that failed is asked again, doubled
	// up to maxPeerBackoff. It is short because a restarting instance is back soon, and when all
	// instances restart there is no other to ask.
	peerBackoff    = 500 * time.Millisecond
	maxPeerBackoff = time.Minute
	// stalePeerBackoff is the delay before an instance whose state is stale is synchronized from again.
	stalePeerBackoff = 3 * time.Second
	// instanceCallTimeout bounds one read or write of announcements.
	instanceCallTimeout = 2 * time.Second
	// bootstrapCurrentLists is the time since the start at a bootstrap in which the announcements
	// are read as of now. Stale reads after it still have all that joined at the bootstrap.
	bootstrapCurrentLists = 10 * time.Second
	// ownAnnouncementWait bounds the wait of a restarting instance for a list that may have its
	// earlier announcement, which it then need not write again.
	ownAnnouncementWait = 2 * time.Second
)

// membership is the fleet as this instance knows it: it guards the kernel's fleet by a lock and
// updates it from the announcements in the store and the lists of peers.
type membership struct {
	node      *Node
	log       *telemetry.ComponentLog
	self      fleet.Instance
	startedAt time.Time
	// badInstances reports the announcements that can't be used.
	badInstances *badEntryReporter
	// listKnown is closed once there is a list of instances.
	listKnown     chan struct{}
	listKnownOnce sync.Once
	// wasKnown says that all others counted this instance before its start. Only the goroutine
	// of keepAnnounced uses it.
	wasKnown bool
	// joined is closed once this instance's announcement is in the store.
	joined chan struct{}
	// encodedList is the list as it is sent to other instances.
	encodedList atomic.Pointer[statesync.InstanceList]
	// listTriedAt is when this instance last tried to read the list. The initial load sets it, and
	// then only the goroutine of runListRefresh uses it.
	listTriedAt time.Time

	mu    sync.Mutex
	fleet *fleet.Fleet
	// loggedAllowance is the share of the repeat allowance that was logged last.
	loggedAllowance float64
}

// newMembership makes a fleet that has only this instance.
func newMembership(n *Node) *membership {
	repeatWindow := n.config.Tunables.Catalog.RepeatLimit.Window
	self := fleet.Instance{Name: n.config.Instance, Zone: n.config.Zone, PeerAddress: n.config.PeerAddress, CPUs: n.config.CPUs, AnnouncementID: rand.Uint64()}
	m := &membership{
		node: n, log: n.log.Component("fleet"), self: self, startedAt: time.Now(), listKnown: make(chan struct{}), joined: make(chan struct{}),
		badInstances: newBadEntryReporter(n.log.Component("fleet"), n.metrics.Scope, "instances"),
		fleet: fleet.New(self, fleet.Settings{
			ForgetAfter: forgetInstanceAfter, PeerBackoff: peerBackoff, MaxPeerBackoff: maxPeerBackoff, StalePeerBackoff: stalePeerBackoff, ListPropagationBound: listPropagationBound,
			StartedAt: time.Now(), RepeatWindow: repeatWindow, ShareHoldTime: max(repeatWindow, listPropagationBound),
		}),
	}
	seeds := append([]string(nil), n.config.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	m.fleet.SetSeeds(seeds)
	return m
}

// readFleet calls a function that only reads the fleet, under the lock.
func readFleet[T any](m *membership, read func(*fleet.Fleet) T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return read(m.fleet)
}

// usesTransientConnections reports whether this instance's share of the connections to a leaf is
// less than one, so that it closes each connection after use.
func (m *membership) usesTransientConnections(u *document.Upstream) bool {
	return readFleet(m, func(f *fleet.Fleet) bool { return f.UsesTransientConnections(u.ConnectionLimit, len(u.Shards)) })
}

// repeatSlack returns this instance's share of the repeats of subrequests that the fleet may make.
func (m *membership) repeatSlack(shards int) float64 {
	return readFleet(m, func(f *fleet.Fleet) float64 { return f.RepeatAllowanceShare(shards, time.Now()) })
}

// earnsRepeats reports whether the requests of this instance earn repeats of subrequests.
func (m *membership) earnsRepeats() bool {
	return readFleet(m, func(f *fleet.Fleet) bool { return f.EarnsRepeats(time.Now()) })
}

// Partners lists the instances to which this one often hands over queries.
func (m *membership) Partners(now time.Time) []fleet.Instance {
	return readFleet(m, func(f *fleet.Fleet) []fleet.Instance { return f.Partners(now) })
}

// syncSource returns the instance to synchronize from, and this instance's role in doing so.
func (m *membership) syncSource(now time.Time) (fleet.Instance, fleet.Role) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.SyncSource(now)
}

// Stronger lists the instances of the zone to which a large query may be handed.
func (m *membership) Stronger(now time.Time) []fleet.Instance {
	return readFleet(m, func(f *fleet.Fleet) []fleet.Instance { return f.Stronger(now) })
}

// Gatherers lists the instances of a zone that may gather parts for this one.
func (m *membership) Gatherers(zone string, now time.Time) []fleet.Instance {
	return readFleet(m, func(f *fleet.Fleet) []fleet.Instance { return f.Gatherers(zone, now) })
}

// MarkStale records that an instance answered but has no state or stale state.
func (m *membership) MarkStale(i fleet.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.MarkStale(i, now)
}

// Failed records that an instance did not answer.
func (m *membership) Failed(i fleet.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Failed(i, now)
}

// Answered records that an instance answered.
func (m *membership) Answered(i fleet.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Answered(i)
}

// find returns the instance of a name, and whether there is one.
func (m *membership) find(name string) (fleet.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Find(name)
}

// listReadDue reports whether it is time for this instance to read the announcements itself.
func (m *membership) listReadDue(now time.Time) bool {
	_, role := m.syncSource(now)
	age := now.Sub(readFleet(m, (*fleet.Fleet).ListReadAt))
	if role != fleet.RoleReader {
		return age >= fallbackListAge && now.Sub(m.listTriedAt) >= listInterval
	}
	sinceStartInterval := time.Duration(listIntervalShare * float64(now.Sub(m.startedAt)))
	interval := min(max(sinceStartInterval, minListInterval), listInterval)
	return age >= interval && now.Sub(m.listTriedAt) >= interval
}

// refreshList reads the announcements and applies them to the fleet.
func (m *membership) refreshList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, instanceCallTimeout)
	defer cancel()
	startedAt := time.Now()
	m.listTriedAt = startedAt
	list, bad, err := m.node.config.Source.Instances(ctx, !m.needsCurrentList(startedAt))
	if err != nil {
		m.log.Warn("announcements were not read", "err", err)
		return
	}
	m.badInstances.report(bad)
	m.updateFleet(func(f *fleet.Fleet) { f.ApplyStoreList(list, startedAt) })
}

// needsCurrentList reports whether the announcements must be read as of now: at a bootstrap
// the first complete list decides how the limits are shared.
func (m *membership) needsCurrentList(now time.Time) bool {
	return m.node.config.Bootstrap && now.Sub(m.startedAt) < bootstrapCurrentLists
}

// applyPeerList applies the list of instances that a peer sent, or its confirmation that the list
// of this instance is still the same.
func (m *membership) applyPeerList(u *statesync.Update) {
	if u.FleetAt.IsZero() {
		return
	}
	m.updateFleet(func(f *fleet.Fleet) {
		if u.Instances != nil {
			f.ApplyPeerList(u.Instances, u.FleetAt)
		} else if s := m.encodedList.Load(); s != nil && s.Hash == u.FleetHash {
			f.ConfirmList(u.FleetAt)
		}
	})
}

// updateFleet changes the fleet. If its composition differs afterwards, the control goroutine is notified,
// because the shares of limits have changed.
func (m *membership) updateFleet(update func(*fleet.Fleet)) {
	m.mu.Lock()
	before := m.fleet.Composition()
	update(m.fleet)
	after := m.fleet.Composition()
	listed := !m.fleet.ListReadAt().IsZero()
	m.encodeList(m.fleet.Instances())
	m.mu.Unlock()
	if listed {
		m.listKnownOnce.Do(func() { close(m.listKnown) })
	}
	if before != after {
		m.log.Info("size of the fleet", "instances", after.Size, "before", before.Size, "runners", after.Coordinators, "runs", after.IsCoordinator)
		m.node.control.reportFleetResized()
	}
}

// encodeList encodes the list for other instances if it has changed.
func (m *membership) encodeList(list []fleet.Instance) {
	if s := m.encodedList.Load(); s != nil && s.Hash == fleet.HashInstances(list) {
		return
	}
	s, err := statesync.NewInstanceList(list)
	if err != nil {
		m.log.Error("list of instances was not encoded", "err", err)
		return
	}
	m.encodedList.Store(s)
}

// listHash returns the hash of the list in force, 0 for none.
func (m *membership) listHash() uint64 {
	if s := m.encodedList.Load(); s != nil {
		return s.Hash
	}
	return 0
}

// writeList adds the list of instances and its age to the answer to a peer.
func (m *membership) writeList(r *peerapi.SyncRequest, out *peerapi.SyncReply, now time.Time) {
	readAt := readFleet(m, (*fleet.Fleet).ListReadAt)
	encoded := m.encodedList.Load()
	if encoded == nil || readAt.IsZero() {
		return
	}
	out.FleetAgeMS = statesync.AgeMS(readAt, now)
	encoded.FillReply(r.FleetHash, out)
}
