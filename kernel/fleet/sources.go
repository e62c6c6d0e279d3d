package fleet

import (
	"maps"
	"slices"
	"time"
)

// Role is an instance's place in the spread of what the store holds.
type Role uint8

// The roles.
const (
	// RoleReader reads the store itself.
	RoleReader Role = iota
	// RoleZoneLead asks the reader, for its zone. While the reader's state is old or it does
	// not answer, a lead reads the store itself: there are as many as zones.
	RoleZoneLead
	// RoleMember asks the lead of its zone. It reads the store itself only when nobody
	// of its zone answers, or now and then while all that they know is old.
	RoleMember
	// RoleNewcomer asks the seeds, as the fleet's list does not have it yet.
	RoleNewcomer
)

// String names the role in logs.
func (r Role) String() string {
	return [...]string{"reader", "lead", "member", "newcomer"}[r]
}

// SyncSource is the instance that this one learns from next, and as what it does so. A reader
// has none to ask. Seeds don't ask each other before the list has them: somebody must read
// the store.
func (f *Fleet) SyncSource(now time.Time) (Instance, Role) {
	if !f.IsAnnounced() && !f.seeds.own {
		if seed, ok := f.seeds.next(now); ok {
			return seed, RoleNewcomer
		}
	}
	inZone := func(i Instance) bool { return i.Zone == f.self.Zone }
	if lead := f.first(now, inZone); lead.Name != f.self.Name {
		return lead, RoleMember
	}
	if head := f.first(now, func(Instance) bool { return true }); head.Name != f.self.Name {
		return head, RoleZoneLead
	}
	return Instance{}, RoleReader
}

// OtherZoneLeads lists the leads of the other zones, of the highest rank first: whom a reader
// or lead asks when its own read of the store fails.
func (f *Fleet) OtherZoneLeads(now time.Time) []Instance {
	leads := make(map[string]Instance)
	for _, m := range f.members {
		i := m.instance
		if i.Zone == f.self.Zone || now.Before(m.backoffUntil) || now.Before(m.staleUntil) {
			continue
		}
		if lead, ok := leads[i.Zone]; !ok || i.outranks(lead) {
			leads[i.Zone] = i
		}
	}
	return slices.SortedFunc(maps.Values(leads), func(a, b Instance) int {
		if a.outranks(b) {
			return -1
		}
		return 1
	})
}

// ZoneSize is the number of instances of this zone, this one included.
func (f *Fleet) ZoneSize() int {
	n := 1
	for _, m := range f.members {
		if m.instance.Zone == f.self.Zone {
			n++
		}
	}
	return n
}

// first is the instance of the highest rank, this one included, that is among
// those meant and can be synchronized from.
func (f *Fleet) first(now time.Time, among func(Instance) bool) Instance {
	best := f.self
	for _, m := range f.members {
		if !among(m.instance) || now.Before(m.backoffUntil) || now.Before(m.staleUntil) {
			continue
		}
		if m.instance.outranks(best) {
			best = m.instance
		}
	}
	return best
}

// seeds are the addresses of instances that the settings name. They may be old or down.
type seeds struct {
	list         []Instance // without names: the address stands for one
	own          bool       // this instance is one of them
	backoffUntil map[string]time.Time
}

// SetSeeds sets the addresses at which an instance that knows no other finds some, in the
// order in which they are asked.
func (f *Fleet) SetSeeds(addresses []string) {
	f.seeds = seeds{backoffUntil: make(map[string]time.Time)}
	for _, a := range addresses {
		if a == f.self.PeerAddress {
			f.seeds.own = true
			continue
		}
		f.seeds.list = append(f.seeds.list, Instance{PeerAddress: a})
	}
}

// next is the first seed that is not passed over.
func (s *seeds) next(now time.Time) (Instance, bool) {
	for _, i := range s.list {
		if !now.Before(s.backoffUntil[i.PeerAddress]) {
			return i, true
		}
	}
	return Instance{}, false
}

// failed passes a seed over, by its address.
func (s *seeds) failed(address string, now time.Time, pause time.Duration) {
	if s.backoffUntil != nil {
		s.backoffUntil[address] = now.Add(pause)
	}
}

// Find is a member by its name.
func (f *Fleet) Find(name string) (Instance, bool) {
	if m := f.members[name]; m != nil {
		return m.instance, true
	}
	return Instance{}, false
}

// IsSeed reports whether the settings name this instance as a seed.
func (f *Fleet) IsSeed() bool { return f.seeds.own }

// Seeds lists the addresses of the seeds that are not this instance's own.
func (f *Fleet) Seeds() []string {
	out := make([]string, 0, len(f.seeds.list))
	for _, i := range f.seeds.list {
		out = append(out, i.PeerAddress)
	}
	return out
}
