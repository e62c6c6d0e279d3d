package fleet

import (
	"fmt"
	"testing"
)

// unequal returns two strong and so many weak instances in each of three zones.
func unequal(weak int) []Instance {
	var out []Instance
	for _, zone := range []string{"a", "b", "c"} {
		for i := range weak + 2 {
			power := 0.8
			if i >= 2 {
				power = 0.192
			}
			out = append(out, Instance{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, CPUs: power, PeerAddress: "10.0.0.1:1", AnnouncementID: 1})
		}
	}
	return out
}

// TestConnections checks the shares of unequal and of equal instances.
func TestConnections(t *testing.T) {
	const limit, many, few = 53, 90, 20
	for _, f := range fleets(unequal(18)) {
		strong := f.self.CPUs > 0.5
		got := f.ConnectionShare(limit, many)
		if strong && got != 5 || !strong && got != 1 {
			t.Errorf("%s has %d connections a leaf, want 5 for a strong and 1 for a weak one", f.self.Name, got)
		}
		if got := f.ConnectionShare(limit, few); got != 1 {
			t.Errorf("%s has %d connections a leaf of few shards, want 1", f.self.Name, got)
		}
	}
	for _, f := range fleets(zone("a", 8)) {
		if got := f.ConnectionShare(26, many); got != 3 {
			t.Errorf("one of 8 equal instances has %d of 26 connections, want 3", got)
		}
	}
	if got := New(powered("s", "a", 0.8), settings).ConnectionShare(limit, many); got != 1 {
		t.Errorf("%d connections before the first list, want 1", got)
	}
}

// TestConnectionsStayWithinTheLimit adds up the shares of the instances that run
// queries over many shards, with and without the strong ones of a zone: their weak
// ones run their own then.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	const limit, shards = 53, 90
	for _, tc := range []struct {
		name string
		gone map[string]bool
	}{
		{"all there", nil},
		{"no strong one in zone a", map[string]bool{"a-0": true, "a-1": true}},
		{"none in a and b", map[string]bool{"a-0": true, "a-1": true, "b-0": true, "b-1": true}},
	} {
		var list []Instance
		for _, i := range unequal(18) {
			if !tc.gone[i.Name] {
				list = append(list, i)
			}
		}
		sum := 0
		for _, f := range fleets(list) {
			if f.Composition().IsCoordinator {
				sum += f.ConnectionShare(limit, shards)
			}
		}
		if sum > limit {
			t.Errorf("%s: instances that run queries share %d of %d connections", tc.name, sum, limit)
		}
	}
}

// powered is an instance with a power.
func powered(name, zone string, power float64) Instance {
	return Instance{Name: name, Zone: zone, CPUs: power, PeerAddress: "10.0.0.1:1", AnnouncementID: 1}
}

// TestTransient checks whose share of a leaf's connections is less than one.
func TestTransient(t *testing.T) {
	const limit, many, few = 53, 90, 1
	for _, f := range fleets(unequal(18)) {
		strong := f.self.CPUs > 0.5
		if got := f.UsesTransientConnections(limit, many); got == strong {
			t.Errorf("%s: %v for a large query", f.self.Name, got)
		}
		if !f.UsesTransientConnections(limit, few) || f.UsesTransientConnections(60, few) {
			t.Errorf("%s: keeps one of 53 connections for 60 instances, or none of 60", f.self.Name)
		}
	}
	for _, f := range fleets(zone("a", 8)) {
		if f.UsesTransientConnections(26, many) {
			t.Error("one of 8 equal instances keeps none of 26 connections")
		}
	}
}

// TestPartners lists those to whom requests are handed over.
func TestPartners(t *testing.T) {
	for _, f := range fleets(unequal(18)) {
		got := f.Partners(start)
		want := 2 // the strong ones of the zone
		if f.self.CPUs > 0.5 {
			want = 4 // those of the other zones
		}
		for _, i := range got {
			if i.CPUs < 0.5 || (i.Zone == f.self.Zone) == (f.self.CPUs > 0.5) {
				t.Errorf("%s hands over to %s", f.self.Name, i.Name)
			}
		}
		if len(got) != want {
			t.Errorf("%s has %d partners, want %d", f.self.Name, len(got), want)
		}
	}
}
