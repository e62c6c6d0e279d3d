package fleet

import (
	"maps"
	"slices"
	"time"
)

// Role is an instance's place in the tree along which the store's content is distributed.
type Role uint8

// The roles.
const (
	// RoleReader reads the store itself.
	RoleReader Role = iota
	// RoleZoneLead synchronizes from the reader, on behalf of its zone. While the reader
	// does not answer or its state is old, the lead reads the store itself: there are only
	// as many leads as zones.
	RoleZoneLead
	// RoleMember synchronizes from the lead of its zone. It reads the store itself only
	// when no instance of its zone answers, and at intervals while the state of all of
	// them is old.
	RoleMember
	// RoleNewcomer synchronizes from a seed, as it is not on the fleet's list yet.
	RoleNewcomer
)

// String returns the role's name for logs.
func (r Role) String() string {
	return [...]string{"reader", "lead", "member", "newcomer"}[r]
}

// SyncSource returns the instance from which this one synchronizes next, and the role in
// which it does so; for RoleReader the instance is the zero value. A seed that is not on the
// list yet does not ask the other seeds, as then none of them might read the store.
func (f *Fleet) SyncSource(now time.Time) (Instance, Role) {
	if !f.IsAnnounced() && !f.seeds.includesSelf {
		if seed, ok := f.seeds.firstAvailable(now); ok {
			return seed, RoleNewcomer
		}
	}
	inZone := func(i Instance) bool { return i.Zone == f.self.Zone }
	if lead := f.highestRanked(now, inZone); lead.Name != f.self.Name {
		return lead, RoleMember
	}
	if reader := f.highestRanked(now, func(Instance) bool { return true }); reader.Name != f.self.Name {
		return reader, RoleZoneLead
	}
	return Instance{}, RoleReader
}

// OtherZoneLeads lists the leads of the other zones, the highest rank first. The reader or a
// zone lead asks them when its own read of the store fails.
func (f *Fleet) OtherZoneLeads(now time.Time) []Instance {
	leads := make(map[string]Instance)
	for _, m := range f.members {
		i := m.instance
		if i.Zone == f.self.Zone || now.Before(m.backoffUntil) || now.Before(m.syncBackoffUntil) {
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

// highestRanked returns the highest-ranked instance among this one and those members that
// include accepts and that can be synchronized from.
func (f *Fleet) highestRanked(now time.Time, include func(Instance) bool) Instance {
	best := f.self
	for _, m := range f.members {
		if !include(m.instance) || now.Before(m.backoffUntil) || now.Before(m.syncBackoffUntil) {
			continue
		}
		if m.instance.outranks(best) {
			best = m.instance
		}
	}
	return best
}

// seeds are the instances whose addresses the settings name. An address may be out of date, and
// its instance may be down.
type seeds struct {
	list         []Instance // with an address only
	includesSelf bool       // this instance is a seed
	backoffUntil map[string]time.Time
}

// SetSeeds sets the addresses from which an instance that knows no other one synchronizes
// first, in the order in which they are asked.
func (f *Fleet) SetSeeds(addresses []string) {
	f.seeds = seeds{backoffUntil: make(map[string]time.Time)}
	for _, a := range addresses {
		if a == f.self.PeerAddress {
			f.seeds.includesSelf = true
			continue
		}
		f.seeds.list = append(f.seeds.list, Instance{PeerAddress: a})
	}
}

// firstAvailable returns the first seed that is not in backoff; false if there is none.
func (s *seeds) firstAvailable(now time.Time) (Instance, bool) {
	for _, i := range s.list {
		if !now.Before(s.backoffUntil[i.PeerAddress]) {
			return i, true
		}
	}
	return Instance{}, false
}

// backOff skips the seed with the address for the delay.
func (s *seeds) backOff(address string, now time.Time, delay time.Duration) {
	if s.backoffUntil != nil {
		s.backoffUntil[address] = now.Add(delay)
	}
}

// Find returns the member with the name; false if there is none.
func (f *Fleet) Find(name string) (Instance, bool) {
	if m := f.members[name]; m != nil {
		return m.instance, true
	}
	return Instance{}, false
}

// IsSeed reports whether the settings name this instance as a seed.
func (f *Fleet) IsSeed() bool { return f.seeds.includesSelf }

// Seeds lists the addresses of the seeds that are not this instance's own.
func (f *Fleet) Seeds() []string {
	out := make([]string, 0, len(f.seeds.list))
	for _, i := range f.seeds.list {
		out = append(out, i.PeerAddress)
	}
	return out
}
