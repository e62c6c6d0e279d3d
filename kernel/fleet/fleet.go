// Package fleet keeps the list of this system's instances and chooses the instance from
// which this one synchronizes what the platform's store holds. Store reads and traffic
// between zones are billed, so one instance reads the store, one instance in each other
// zone synchronizes from the reader, and the rest from the one in their zone. The choice
// needs no agreement: several readers at once only cost more calls, and a source that is
// gone, stalled or out of date is recognized by the age of its state. The package also
// computes this instance's shares of the limits that the whole fleet divides.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is one instance as it announced itself.
type Instance struct {
	Name string
	Zone string
	// PeerAddress is where other instances reach it, IP:port.
	PeerAddress string
	// CPUs is the number of cores, or the fraction of one, that it may use; 0: not announced.
	CPUs float64
	// AnnouncementID changes with each announcement and shows that the instance is alive.
	AnnouncementID uint64
	// Revision is the store's revision of the announcement. Announcements are ordered by it.
	Revision uint64
	// KnownFrom is the time from which all other instances count it, by its own clock, so that
	// it knows after a restart whether they do; zero: unknown.
	KnownFrom time.Time
}

// Settings are the delays and lifetimes that a Fleet uses.
type Settings struct {
	// ForgetAfter is the time without an announcement after which an instance
	// counts as gone.
	ForgetAfter time.Duration
	// PeerBackoff is the initial delay before an instance that failed is asked again. It
	// doubles with each consecutive failure, up to MaxPeerBackoff.
	PeerBackoff, MaxPeerBackoff time.Duration
	// StalePeerBackoff is the delay before this instance synchronizes again from one whose
	// state was stale.
	StalePeerBackoff time.Duration
	// ListPropagationBound is the time within which every instance has a new list.
	ListPropagationBound time.Duration
	// StartedAt is the start of this instance's process.
	StartedAt time.Time
	// RepeatWindow is the length of the window for which the fleet's limit on repeats
	// (hedges and retries) holds.
	RepeatWindow time.Duration
	// ShareHoldTime is the delay before an increase of this instance's share of the repeats
	// takes effect; at least ListPropagationBound and RepeatWindow.
	ShareHoldTime time.Duration
}

// member is the state of another instance.
type member struct {
	instance         Instance
	announcedAt      time.Time // time of the list in which its announcement last changed
	backoffUntil     time.Time // until when it is not used at all
	failures         int       // consecutive
	syncBackoffUntil time.Time // until when it is not synchronized from
}

// Fleet is the list of instances as this instance knows it. It is not safe for concurrent
// use.
type Fleet struct {
	settings   Settings
	self       Instance
	members    map[string]*member
	hasList    bool
	listReadAt time.Time // start of the store read that returned the list
	// selfListed is this instance's entry on the last list; the zero value: not listed.
	selfListed  Instance
	seeds       seeds
	composition Composition
	allowance   allowanceShares
}

// New returns a fleet that knows only this instance.
func New(self Instance, s Settings) *Fleet {
	f := &Fleet{settings: s, self: self, members: make(map[string]*member)}
	f.updateComposition()
	return f
}

// ApplyStoreList replaces the list with the announcements from a store read that began at
// the given time. It drops an instance that has not announced itself for ForgetAfter.
func (f *Fleet) ApplyStoreList(list []Instance, began time.Time) {
	f.replaceMembers(list, began, func(m *member, i Instance) {
		if m.instance != i {
			m.instance, m.announcedAt = i, began
		}
	})
	maps.DeleteFunc(f.members, func(_ string, m *member) bool {
		return began.Sub(m.announcedAt) >= f.settings.ForgetAfter
	})
	f.updateComposition()
	f.recordAllowanceShare(began)
}

// ApplyPeerList replaces the list with another instance's, which stems from a store read
// that began at the given time. The sender has dropped the instances that stopped
// announcing themselves. A list that is not newer than the one in force is ignored.
func (f *Fleet) ApplyPeerList(list []Instance, at time.Time) {
	if f.hasList && !at.After(f.listReadAt) {
		return
	}
	f.replaceMembers(list, at, func(m *member, i Instance) { m.instance, m.announcedAt = i, at })
	f.updateComposition()
	f.recordAllowanceShare(at)
}

// ConfirmList notes that a store read that began at the given time returned the list in
// force again.
func (f *Fleet) ConfirmList(at time.Time) {
	if !f.hasList || !at.After(f.listReadAt) {
		return
	}
	f.listReadAt = at
	for _, m := range f.members {
		m.announcedAt = at
	}
	f.allowance.bootstrap.observeList(f, at)
}

// replaceMembers makes the members those of the list. It calls update with each listed
// instance other than this one.
func (f *Fleet) replaceMembers(list []Instance, at time.Time, update func(*member, Instance)) {
	f.hasList, f.listReadAt, f.selfListed = true, at, Instance{}
	named := make(map[string]bool, len(list))
	for _, i := range list {
		named[i.Name] = true
		if i.Name == f.self.Name {
			f.selfListed = i
			continue
		}
		m := f.members[i.Name]
		if m == nil {
			m = &member{}
			f.members[i.Name] = m
		}
		update(m, i)
	}
	maps.DeleteFunc(f.members, func(name string, _ *member) bool { return !named[name] })
}

// ListReadAt is when the store read began that returned the list in force; zero before the
// first list.
func (f *Fleet) ListReadAt() time.Time { return f.listReadAt }

// IsAnnounced reports whether the list has this instance with its present zone, address and
// CPUs.
func (f *Fleet) IsAnnounced() bool { return f.selfListed.sameExceptID(f.self) }

// SelfListed is this instance's entry on the last list; the zero value if it is not listed.
func (f *Fleet) SelfListed() Instance { return f.selfListed }

// Instances returns the instances of the last list, ordered by name. This instance is among
// them only if that list has it.
func (f *Fleet) Instances() []Instance {
	out := make([]Instance, 0, len(f.members)+1)
	for _, m := range f.members {
		out = append(out, m.instance)
	}
	if f.selfListed.Name != "" {
		out = append(out, f.selfListed)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// sameExceptID reports whether two announcements are of an instance with the same data, apart
// from what each announcement changes.
func (i Instance) sameExceptID(o Instance) bool {
	i.AnnouncementID, i.Revision, i.KnownFrom = o.AnnouncementID, o.Revision, o.KnownFrom
	return i == o
}

// HashInstances returns a hash of a list that is ordered by name; never 0. AnnouncementID,
// Revision and KnownFrom do not count.
func HashInstances(list []Instance) uint64 {
	h := xxhash.New()
	var buf []byte
	for _, i := range list {
		buf = append(buf[:0], i.Name...)
		buf = append(append(buf, 0), i.Zone...)
		buf = append(append(buf, 0), i.PeerAddress...)
		buf = strconv.AppendFloat(append(buf, 0), i.CPUs, 'g', -1, 64)
		_, _ = h.Write(append(buf, 0)) // never fails
	}
	return max(h.Sum64(), 1)
}

// assumedSize is the size of the fleet that is assumed before the first list. It is large,
// so that this instance's shares of the fleet's limits are small.
const assumedSize = 100

// Size is the number of instances, this one included. It is rather too high than too low,
// so that the shares of the fleet's limits do not add up to more than the limits.
func (f *Fleet) Size() int {
	if !f.hasList {
		return assumedSize
	}
	return len(f.members) + 1
}

// minForwardShards is the least number of shards at which a query is forwarded to a stronger
// instance of the zone. An exchange with a leaf takes about 80 us of a core, so 30 exchanges
// take 12 ms on a fifth of a core: a quarter of the shortest latency objective.
const minForwardShards = 30

// ShouldForward reports whether a query over that many shards is forwarded to a stronger
// instance of the zone, where there is one.
func ShouldForward(shards int) bool { return shards >= minForwardShards }

// minCPURatio is how many times this instance's CPUs another one must have to count as
// stronger. Forwarding costs each of the two about a tenth of the processor time of a query
// over many shards, so a small difference does not pay for it.
const minCPURatio = 2

// Stronger lists the instances of this zone with at least minCPURatio times the CPUs of this
// one that are not in backoff, ordered by name.
func (f *Fleet) Stronger(now time.Time) []Instance {
	if f.self.CPUs <= 0 {
		return nil
	}
	var out []Instance
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		if m.instance.Zone != f.self.Zone || now.Before(m.backoffUntil) {
			continue
		}
		if m.instance.CPUs >= minCPURatio*f.self.CPUs {
			out = append(out, m.instance)
		}
	}
	return out
}

// maxPartners bounds the instances to which connections are opened ahead of need.
const maxPartners = 16

// Partners lists the instances to which this one often sends requests, so that connections
// to them are kept open: the stronger ones of its zone, or, if it is a coordinator without
// a stronger one, those of other zones that gather parts of its queries.
func (f *Fleet) Partners(now time.Time) []Instance {
	out := f.Stronger(now)
	if len(out) == 0 && f.composition.IsCoordinator {
		zones := make(map[string]bool)
		for _, m := range f.members {
			zones[m.instance.Zone] = m.instance.Zone != f.self.Zone
		}
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			if zones[zone] {
				out = append(out, f.Gatherers(zone, now)...)
			}
		}
	}
	return out[:min(len(out), maxPartners)]
}

// Gatherers lists the instances of another zone that may gather parts of a query for this
// one, ordered by name: those that are not in backoff and not far weaker than the strongest
// of them.
func (f *Fleet) Gatherers(zone string, now time.Time) []Instance {
	var out []Instance
	strongest := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		if m.instance.Zone != zone || now.Before(m.backoffUntil) {
			continue
		}
		out = append(out, m.instance)
		strongest = max(strongest, m.instance.CPUs)
	}
	return slices.DeleteFunc(out, func(i Instance) bool { return i.CPUs*minCPURatio <= strongest && strongest > 0 })
}

// outranks reports whether i comes before o in the order that all instances use to choose
// the reader and the zone leads. More CPUs come first: reading the store and sending its
// content to a zone takes processor time and bandwidth that grow with the configuration and
// the list of leaves. Instances with equal CPUs are ordered by a hash.
func (i Instance) outranks(o Instance) bool {
	if i.CPUs != o.CPUs {
		return i.CPUs > o.CPUs
	}
	return i.rankHash() > o.rankHash()
}

// rankHash orders instances with equal CPUs.
func (i Instance) rankHash() uint64 { return xxhash.Sum64String(i.Zone + "\x00" + i.Name) }

// MarkStale notes that an instance answered, but that its state is missing or stale.
// Synchronization avoids it for StalePeerBackoff; queries may still go to it.
func (f *Fleet) MarkStale(i Instance, now time.Time) {
	m := f.members[i.Name]
	if m == nil {
		f.seeds.backOff(i.PeerAddress, now, f.settings.StalePeerBackoff)
		return
	}
	m.syncBackoffUntil = now.Add(f.settings.StalePeerBackoff)
}

// Failed notes that an instance did not answer and puts it into backoff.
func (f *Fleet) Failed(i Instance, now time.Time) {
	m := f.members[i.Name]
	if m == nil {
		f.seeds.backOff(i.PeerAddress, now, f.settings.PeerBackoff)
		return
	}
	delay := f.settings.PeerBackoff << min(m.failures, maxBackoffDoublings)
	m.backoffUntil = now.Add(max(min(delay, f.settings.MaxPeerBackoff), f.settings.PeerBackoff))
	m.failures++
}

// maxBackoffDoublings bounds the doublings of PeerBackoff.
const maxBackoffDoublings = 10

// Answered notes that an instance answered, which resets its count of failures.
func (f *Fleet) Answered(i Instance) {
	if m := f.members[i.Name]; m != nil {
		m.failures = 0
	}
}
