package fleet

import (
	"fmt"
	"testing"
)

// strongAndWeak returns two strong instances and the given number of weak ones in each of
// three zones.
func strongAndWeak(weak int) []Instance {
	var out []Instance
	for _, zone := range []string{"a", "b", "c"} {
		for i := range weak + 2 {
			cpus := 0.8
			if i >= 2 {
				cpus = 0.192
			}
			out = append(out, Instance{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, CPUs: cpus, PeerAddress: "10.0.0.1:1", AnnouncementID: 1})
		}
	}
	return out
}

// TestConnectionShareFavorsStrongInstances checks the shares of strong and weak instances,
// of equal ones, and of one without a list.
func TestConnectionShareFavorsStrongInstances(t *testing.T) {
	const limit, many, few = 53, 90, 20
	for _, f := range fleetsWithList(strongAndWeak(18)) {
		strong := f.self.CPUs > 0.5
		got := f.ConnectionShare(limit, many)
		if strong && got != 5 || !strong && got != 1 {
			t.Errorf("%s has %d connections a leaf, want 5 for a strong and 1 for a weak one", f.self.Name, got)
		}
		if got := f.ConnectionShare(limit, few); got != 1 {
			t.Errorf("%s has %d connections a leaf of few shards, want 1", f.self.Name, got)
		}
	}
	for _, f := range fleetsWithList(zoneOf("a", 8)) {
		if got := f.ConnectionShare(26, many); got != 3 {
			t.Errorf("one of 8 equal instances has %d of 26 connections, want 3", got)
		}
	}
	if got := New(instanceWithCPUs("s", "a", 0.8), settings).ConnectionShare(limit, many); got != 1 {
		t.Errorf("%d connections before the first list, want 1", got)
	}
}

// TestCoordinatorsStayWithinConnectionLimit adds up the shares of the instances that run
// queries over many shards. Where a zone has no strong instance, its weak ones run their own
// queries.
func TestCoordinatorsStayWithinConnectionLimit(t *testing.T) {
	const limit, shards = 53, 90
	for _, tc := range []struct {
		name string
		gone map[string]bool
	}{
		{"all instances", nil},
		{"no strong instance in zone a", map[string]bool{"a-0": true, "a-1": true}},
		{"no strong instance in zones a and b", map[string]bool{"a-0": true, "a-1": true, "b-0": true, "b-1": true}},
	} {
		var list []Instance
		for _, i := range strongAndWeak(18) {
			if !tc.gone[i.Name] {
				list = append(list, i)
			}
		}
		sum := 0
		for _, f := range fleetsWithList(list) {
			if f.Composition().IsCoordinator {
				sum += f.ConnectionShare(limit, shards)
			}
		}
		if sum > limit {
			t.Errorf("%s: the coordinators' shares add up to %d connections, limit %d", tc.name, sum, limit)
		}
	}
}

// instanceWithCPUs returns an instance with the given CPUs.
func instanceWithCPUs(name, zone string, cpus float64) Instance {
	return Instance{Name: name, Zone: zone, CPUs: cpus, PeerAddress: "10.0.0.1:1", AnnouncementID: 1}
}

// TestTransientConnectionsWhereShareIsLessThanOne checks which instances must not keep a
// connection to a leaf open.
func TestTransientConnectionsWhereShareIsLessThanOne(t *testing.T) {
	const limit, many, few = 53, 90, 1
	for _, f := range fleetsWithList(strongAndWeak(18)) {
		strong := f.self.CPUs > 0.5
		if got := f.UsesTransientConnections(limit, many); got == strong {
			t.Errorf("%s uses transient connections for a query over many shards: %v, want the opposite", f.self.Name, got)
		}
		if !f.UsesTransientConnections(limit, few) || f.UsesTransientConnections(60, few) {
			t.Errorf("%s keeps one of 53 connections for 60 instances, or keeps none of 60", f.self.Name)
		}
	}
	for _, f := range fleetsWithList(zoneOf("a", 8)) {
		if f.UsesTransientConnections(26, many) {
			t.Error("one of 8 equal instances keeps none of 26 connections")
		}
	}
}

// TestPartnersAreForwardingTargetsAndGatherers checks that a weak instance's partners are the
// strong ones of its zone, and a strong one's those of the other zones.
func TestPartnersAreForwardingTargetsAndGatherers(t *testing.T) {
	for _, f := range fleetsWithList(strongAndWeak(18)) {
		got := f.Partners(start)
		want := 2 // the strong ones of the zone
		if f.self.CPUs > 0.5 {
			want = 4 // those of the other zones
		}
		for _, i := range got {
			if i.CPUs < 0.5 || (i.Zone == f.self.Zone) == (f.self.CPUs > 0.5) {
				t.Errorf("%s has %s as a partner", f.self.Name, i.Name)
			}
		}
		if len(got) != want {
			t.Errorf("%s has %d partners, want %d", f.self.Name, len(got), want)
		}
	}
}
