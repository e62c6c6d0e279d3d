// Package fleet knows the other instances and decides from whom to learn
// the platform's store. Reads of the store are priced, and bytes between zones
// are too: one instance reads the store, one a zone asks that one, and the others
// ask that of their zone. Nothing hangs on who it is: too many readers cost calls,
// and one that is gone, frozen or itself without knowledge is noticed by the age of
// what it tells and passed over.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is one instance as it announced itself.
type Instance struct {
	Name string
	Zone string
	// Peer is the address at which other instances reach it, IP:port.
	Peer string
	// Power is the share of a core that it has; 0 when it did not say.
	Power float64
	// Mark changes with each announcement.
	Mark uint64
}

// Settings are the times that the fleet works with.
type Settings struct {
	// ForgetAfter is the time without an announcement after which an instance
	// counts as gone.
	ForgetAfter time.Duration
	// PassOver is for how long a reader that failed is not asked.
	PassOver time.Duration
	// ListedWithin is the time within which every instance reads the list again.
	ListedWithin time.Duration
	// Span is the span of time that the limit on repeats holds for.
	Span time.Duration
	// HoldParts is for how long a smaller part of the fleet's repeats is kept; at least
	// ListedWithin and Span.
	HoldParts time.Duration
}

// member is what is known of an instance.
type member struct {
	instance    Instance
	announcedAt time.Time // when its mark last changed
	passTo      time.Time // until when it is passed over
}

// Fleet is the state. It is used by one goroutine at a time.
type Fleet struct {
	settings Settings
	self     Instance
	members  map[string]*member
	listed   bool
	shape    Shape
	slack    slack
}

// New returns a fleet that knows only this instance.
func New(self Instance, s Settings) *Fleet {
	f := &Fleet{settings: s, self: self, members: make(map[string]*member)}
	f.reshape()
	return f
}

// Listed takes the announcements as the store has them.
func (f *Fleet) Listed(list []Instance, now time.Time) {
	f.listed = true
	named := make(map[string]bool, len(list))
	for _, i := range list {
		named[i.Name] = true
		if i.Name == f.self.Name {
			continue
		}
		m := f.members[i.Name]
		if m == nil {
			m = &member{}
			f.members[i.Name] = m
		}
		if m.instance != i {
			m.instance, m.announcedAt = i, now
		}
	}
	maps.DeleteFunc(f.members, func(name string, m *member) bool {
		return !named[name] || now.Sub(m.announcedAt) >= f.settings.ForgetAfter
	})
	f.reshape()
	f.noteSlack(now)
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

// Reader is the instance to synchronize from; ok is false when this instance is to
// read the store itself.
func (f *Fleet) Reader(now time.Time) (i Instance, ok bool) {
	lead := f.first(now, func(i Instance) bool { return i.Zone == f.self.Zone })
	if lead.Name != f.self.Name {
		return lead, true
	}
	head := f.first(now, func(Instance) bool { return true })
	return head, head.Name != f.self.Name
}

// first is the instance of the highest rank, this one included, that is among
// those meant and not passed over.
func (f *Fleet) first(now time.Time, among func(Instance) bool) Instance {
	best, score := f.self, rank(f.self)
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		if !among(m.instance) || now.Before(m.passTo) {
			continue
		}
		if r := rank(m.instance); r > score {
			best, score = m.instance, r
		}
	}
	return best
}

// strongShards is the number of shards from which a query is handed to a stronger
// instance of the zone. An exchange takes about 80 us of a core: 30 of them take 12 ms
// on a fifth of one, a quarter of the shortest objective.
const strongShards = 30

// HandsOver reports whether a query over so many shards is handed to a stronger
// instance, where there is one.
func HandsOver(shards int) bool { return shards >= strongShards }

// strongEnough is how many times this instance's power another must have to be
// handed a query: forwarding costs both of them about a tenth of what a query over
// many shards does.
const strongEnough = 2

// Stronger lists the instances of this zone that have far more power and are not
// passed over, by name.
func (f *Fleet) Stronger(now time.Time) []Instance {
	if f.self.Power <= 0 {
		return nil
	}
	var out []Instance
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		if m.instance.Zone != f.self.Zone || now.Before(m.passTo) {
			continue
		}
		if m.instance.Power >= strongEnough*f.self.Power {
			out = append(out, m.instance)
		}
	}
	return out
}

// Gatherers lists the instances of another zone that may gather parts for this one:
// those that are not passed over and not far weaker than its strongest, by name.
func (f *Fleet) Gatherers(zone string, now time.Time) []Instance {
	var out []Instance
	strongest := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		if m.instance.Zone != zone || now.Before(m.passTo) {
			continue
		}
		out = append(out, m.instance)
		strongest = max(strongest, m.instance.Power)
	}
	return slices.DeleteFunc(out, func(i Instance) bool { return i.Power*strongEnough <= strongest && strongest > 0 })
}

// rank orders the instances alike everywhere.
func rank(i Instance) uint64 { return xxhash.Sum64String(i.Zone + "\x00" + i.Name) }

// Failed notes that an instance did not answer, or with old state.
func (f *Fleet) Failed(name string, now time.Time) {
	if m := f.members[name]; m != nil {
		m.passTo = now.Add(f.settings.PassOver)
	}
}
