// Package fleet knows the other instances and decides from whom to learn what the
// platform's store holds. Reads of the store are priced, and bytes between zones
// are too: one instance reads the store, one a zone asks that one, and the others
// ask that of their zone. Nothing hangs on who it is: too many readers cost calls,
// and one that is gone, frozen or itself without knowledge is noticed by the age of
// what it sends.
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
	// PeerAddress is the address at which other instances reach it, IP:port.
	PeerAddress string
	// CPUs is the share of a core that it has; 0 when it did not say.
	CPUs float64
	// AnnouncementID changes with each announcement.
	AnnouncementID uint64
}

// Settings are the times that the fleet works with.
type Settings struct {
	// ForgetAfter is the time without an announcement after which an instance
	// counts as gone.
	ForgetAfter time.Duration
	// PeerBackoff is the initial delay before an instance that failed is asked again; it
	// doubles with each failure in a row up to MaxPeerBackoff.
	PeerBackoff, MaxPeerBackoff time.Duration
	// StalePeerBackoff is the delay before an instance is synchronized from again when
	// what it knows is old.
	StalePeerBackoff time.Duration
	// ListPropagationBound is the time within which every instance knows a new list.
	ListPropagationBound time.Duration
	// RepeatWindow is the span of time that the limit on repeats holds for.
	RepeatWindow time.Duration
	// ShareHoldTime is for how long a smaller part of the fleet's repeats is kept; at least
	// ListPropagationBound and Span.
	ShareHoldTime time.Duration
}

// member is what is known of an instance.
type member struct {
	instance     Instance
	announcedAt  time.Time // when its mark last changed
	backoffUntil time.Time // until when it is passed over
	failures     int       // in a row
	staleUntil   time.Time // until when it is not synchronized from
}

// Fleet is the state. It is used by one goroutine at a time.
type Fleet struct {
	settings Settings
	self     Instance
	members  map[string]*member
	listed   bool
	listedAt time.Time // when the read of the store began that shows the members
	// announced is this instance as the last list has it; the zero value: it has not.
	announced Instance
	seeds     seeds
	shape     Composition
	slack     slack
}

// New returns a fleet that knows only this instance.
func New(self Instance, s Settings) *Fleet {
	f := &Fleet{settings: s, self: self, members: make(map[string]*member)}
	f.reshape()
	return f
}

// ApplyStoreList takes the announcements as a read of the store had them that began at a time.
func (f *Fleet) ApplyStoreList(list []Instance, began time.Time) {
	f.take(list, began, func(m *member, i Instance) {
		if m.instance != i {
			m.instance, m.announcedAt = i, began
		}
	})
	maps.DeleteFunc(f.members, func(_ string, m *member) bool {
		return began.Sub(m.announcedAt) >= f.settings.ForgetAfter
	})
	f.reshape()
	f.noteSlack(began)
}

// ApplyPeerList takes the list that another instance has of a read of the store at a time. That
// one has forgotten who fell silent. A list older than the one in force is not taken.
func (f *Fleet) ApplyPeerList(list []Instance, at time.Time) {
	if f.listed && !at.After(f.listedAt) {
		return
	}
	f.take(list, at, func(m *member, i Instance) { m.instance, m.announcedAt = i, at })
	f.reshape()
	f.noteSlack(at)
}

// ConfirmList notes that the list in force was still that of a read of the store at a time.
func (f *Fleet) ConfirmList(at time.Time) {
	if !f.listed || !at.After(f.listedAt) {
		return
	}
	f.listedAt = at
	for _, m := range f.members {
		m.announcedAt = at
	}
}

// take makes the members those of a list; note keeps what it says of one.
func (f *Fleet) take(list []Instance, at time.Time, note func(*member, Instance)) {
	f.listed, f.listedAt, f.announced = true, at, Instance{}
	named := make(map[string]bool, len(list))
	for _, i := range list {
		named[i.Name] = true
		if i.Name == f.self.Name {
			f.announced = i
			continue
		}
		m := f.members[i.Name]
		if m == nil {
			m = &member{}
			f.members[i.Name] = m
		}
		note(m, i)
	}
	maps.DeleteFunc(f.members, func(name string, _ *member) bool { return !named[name] })
}

// ListReadAt is when the read of the store began that shows the fleet; zero for never.
func (f *Fleet) ListReadAt() time.Time { return f.listedAt }

// IsAnnounced reports whether the list has this instance as it is.
func (f *Fleet) IsAnnounced() bool { return f.announced.means(f.self) }

// Instances returns the instances as the last list had them, by name. This instance is on it
// only if it was on that one.
func (f *Fleet) Instances() []Instance {
	out := make([]Instance, 0, len(f.members)+1)
	for _, m := range f.members {
		out = append(out, m.instance)
	}
	if f.announced.Name != "" {
		out = append(out, f.announced)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// means reports whether two announcements say the same of an instance.
func (i Instance) means(o Instance) bool {
	i.AnnouncementID = o.AnnouncementID
	return i == o
}

// HashInstances is a hash of a list that is ordered by name; marks don't change it. It is not 0.
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

// unlisted is the size that is assumed before the first list: limits that the
// fleet shares are then spent as if it were large.
const unlisted = 100

// Size is the number of instances, this one included. It errs to the high side,
// which is the safe one for limits that the fleet shares.
func (f *Fleet) Size() int {
	if !f.listed {
		return unlisted
	}
	return len(f.members) + 1
}

// strongShards is the number of shards from which a query is handed to a stronger
// instance of the zone. An exchange takes about 80 us of a core: 30 of them take 12 ms
// on a fifth of one, a quarter of the shortest objective.
const strongShards = 30

// ShouldForward reports whether a query over so many shards is handed to a stronger
// instance, where there is one.
func ShouldForward(shards int) bool { return shards >= strongShards }

// strongEnough is how many times this instance's power another must have to be
// handed a query: forwarding costs both of them about a tenth of what a query over
// many shards does.
const strongEnough = 2

// Stronger lists the instances of this zone that have far more power and are not
// passed over, by name.
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
		if m.instance.CPUs >= strongEnough*f.self.CPUs {
			out = append(out, m.instance)
		}
	}
	return out
}

// maxPartners bounds the instances to which connections are kept open ahead.
const maxPartners = 16

// Partners lists the instances to which this one hands over much: the stronger ones of its
// zone, or, where there is none, those of other zones that gather parts for it.
func (f *Fleet) Partners(now time.Time) []Instance {
	out := f.Stronger(now)
	if len(out) == 0 && f.shape.IsCoordinator {
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

// Gatherers lists the instances of another zone that may gather parts for this one:
// those that are not passed over and not far weaker than its strongest, by name.
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
	return slices.DeleteFunc(out, func(i Instance) bool { return i.CPUs*strongEnough <= strongest && strongest > 0 })
}

// outranks orders the instances alike everywhere: those of more power first, as reading the store
// and sending what it holds to a zone takes processor time and a link that grow with the
// configuration and the list of leaves, and the others by a hash.
func (i Instance) outranks(o Instance) bool {
	if i.CPUs != o.CPUs {
		return i.CPUs > o.CPUs
	}
	return i.hash() > o.hash()
}

// hash places instances of the same power.
func (i Instance) hash() uint64 { return xxhash.Sum64String(i.Zone + "\x00" + i.Name) }

// MarkStale notes that an instance is well and its state missing or stale.
func (f *Fleet) MarkStale(i Instance, now time.Time) {
	m := f.members[i.Name]
	if m == nil {
		f.seeds.failed(i.PeerAddress, now, f.settings.StalePeerBackoff)
		return
	}
	m.staleUntil = now.Add(f.settings.StalePeerBackoff)
}

// Failed notes that an instance did not answer.
func (f *Fleet) Failed(i Instance, now time.Time) {
	m := f.members[i.Name]
	if m == nil {
		f.seeds.failed(i.PeerAddress, now, f.settings.PeerBackoff)
		return
	}
	pause := f.settings.PeerBackoff << min(m.failures, maxDoublings)
	m.backoffUntil = now.Add(max(min(pause, f.settings.MaxPeerBackoff), f.settings.PeerBackoff))
	m.failures++
}

// maxDoublings bounds the doublings of a pause.
const maxDoublings = 10

// Answered notes that an instance is well.
func (f *Fleet) Answered(i Instance) {
	if m := f.members[i.Name]; m != nil {
		m.failures = 0
	}
}
