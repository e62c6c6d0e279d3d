package fleet

import (
	"slices"
	"testing"
	"time"
)

// TestNewcomerAsksSeeds lets an instance know nobody, then seeds that fail, then a list
// without and with itself.
func TestNewcomerAsksSeeds(t *testing.T) {
	list := zone("a", 4)
	for i := range list {
		list[i].PeerAddress = "10.0.0." + string(rune('1'+i)) + ":1"
	}
	f := New(list[0], settings)
	f.SetSeeds([]string{"10.0.9.1:1", "10.0.9.2:1"})
	want := func(at time.Duration, peer string, role Role) Instance {
		t.Helper()
		i, got := f.SyncSource(start.Add(at))
		if i.PeerAddress != peer || got != role {
			t.Errorf("after %v: asks %q as %v, want %q as %v", at, i.PeerAddress, got, peer, role)
		}
		return i
	}
	f.Failed(want(0, "10.0.9.1:1", RoleNewcomer), start)
	f.Failed(want(0, "10.0.9.2:1", RoleNewcomer), start)
	want(0, "", RoleReader)
	want(settings.PeerBackoff, "10.0.9.1:1", RoleNewcomer)
	f.ApplyStoreList(list[1:], start)
	if want(settings.PeerBackoff, "10.0.9.1:1", RoleNewcomer); f.IsAnnounced() {
		t.Error("is announced by a list without it")
	}
	f.ApplyStoreList(list, start.Add(time.Second))
	if _, role := f.SyncSource(start.Add(time.Second)); role == RoleNewcomer || !f.IsAnnounced() {
		t.Errorf("is a %v once it is on the list", role)
	}
	moved := slices.Clone(list)
	moved[0].PeerAddress = "10.0.0.99:1"
	f.ApplyStoreList(moved, start.Add(2*time.Second))
	if f.IsAnnounced() {
		t.Error("is announced by a list that has it at another address")
	}
}

// TestSeedReadsTheStore lets an instance that is a seed start where nobody is on a list: it
// does not wait for the other seeds, which may wait for it.
func TestSeedReadsTheStore(t *testing.T) {
	list := zone("a", 1)
	f := New(list[0], settings)
	f.SetSeeds([]string{list[0].PeerAddress, "10.0.9.2:1"})
	if i, role := f.SyncSource(start); role != RoleReader || !f.IsSeed() || len(f.Seeds()) != 1 {
		t.Errorf("a seed asks %v as %v before any list", i, role)
	}
}

// TestListSpreadsBetweenInstances passes a list on: the receiver knows the fleet as of the
// read of the store, and not an older one.
func TestListSpreadsBetweenInstances(t *testing.T) {
	list := append(zone("a", 5), zone("b", 3)...)
	first, second := New(list[0], settings), New(list[1], settings)
	first.ApplyStoreList(list, start)
	sent := first.Instances()
	if len(sent) != len(list) || HashInstances(sent) != HashInstances(first.Instances()) {
		t.Fatalf("sends %d instances, want %d", len(sent), len(list))
	}
	second.ApplyPeerList(sent, start)
	if second.Size() != len(list) || !second.IsAnnounced() || HashInstances(second.Instances()) != HashInstances(sent) {
		t.Errorf("a fleet of %d is received, want %d with the same hash", second.Size(), len(list))
	}
	second.ApplyPeerList(list[:2], start.Add(-time.Second))
	if second.Size() != len(list) {
		t.Error("an older list is taken")
	}
	second.ConfirmList(start.Add(time.Minute))
	if at := second.ListReadAt(); !at.Equal(start.Add(time.Minute)) {
		t.Errorf("the list is of %v after it was confirmed", at)
	}
	marked := slices.Clone(sent)
	marked[0].AnnouncementID = 77
	if HashInstances(marked) != HashInstances(sent) {
		t.Error("a mark changes the hash")
	}
}

// TestSilentInstanceStaysForgotten passes a list on whose sender has forgotten an instance.
func TestSilentInstanceStaysForgotten(t *testing.T) {
	list := zone("a", 3)
	first, second := New(list[0], settings), New(list[1], settings)
	first.ApplyStoreList(list, start)
	list[0].AnnouncementID++
	list[1].AnnouncementID++
	first.ApplyStoreList(list, start.Add(settings.ForgetAfter))
	second.ApplyPeerList(first.Instances(), start.Add(settings.ForgetAfter))
	if second.Size() != 2 {
		t.Errorf("a fleet of %d, want 2: one is silent", second.Size())
	}
}

// TestFailuresInARowPassOverForLonger lets an instance that is gone fail again and again.
func TestFailuresInARowPassOverForLonger(t *testing.T) {
	set := settings
	set.MaxPeerBackoff = 10 * time.Second
	list := zone("a", 2)
	f := New(list[0], set)
	f.ApplyStoreList(list, start)
	now := start
	for _, pause := range []time.Duration{3, 6, 10, 10} {
		f.Failed(list[1], now)
		if got := f.members[list[1].Name].backoffUntil.Sub(now); got != pause*time.Second {
			t.Errorf("is passed over for %v, want %v", got, pause*time.Second)
		}
		now = now.Add(pause * time.Second)
	}
	f.Answered(list[1])
	f.Failed(list[1], now)
	if got := f.members[list[1].Name].backoffUntil.Sub(now); got != set.PeerBackoff {
		t.Errorf("is passed over for %v after it has answered, want %v", got, set.PeerBackoff)
	}
}

// TestOutdatedIsStillHandedTo synchronizes from a strong instance whose state is old: requests
// are handed to it all the same.
func TestOutdatedIsStillHandedTo(t *testing.T) {
	set := settings
	set.StalePeerBackoff = 3 * time.Second
	list := []Instance{powered("weak", "a", 0.2), powered("strong", "a", 0.8)}
	f := New(list[0], set)
	f.ApplyStoreList(list, start)
	f.MarkStale(list[1], start)
	if _, role := f.SyncSource(start); role == RoleMember {
		t.Error("an instance whose state is old is asked at once again")
	}
	if got := f.Stronger(start); len(got) != 1 {
		t.Errorf("requests are handed to %v, want the strong one", got)
	}
}

// TestOtherLeads names one instance of each other zone.
func TestOtherLeads(t *testing.T) {
	list := append(append(zone("a", 5), zone("b", 3)...), zone("c", 4)...)
	f := New(list[0], settings)
	f.ApplyStoreList(list, start)
	leads := f.OtherZoneLeads(start)
	if len(leads) != 2 || leads[0].Zone == leads[1].Zone || leads[0].Zone == "a" || leads[1].Zone == "a" {
		t.Fatalf("%v, want one instance of zone b and one of c", leads)
	}
	f.Failed(leads[0], start)
	if next := f.OtherZoneLeads(start); slices.Contains(next, leads[0]) || len(next) != 2 {
		t.Errorf("%v after one has failed, want another of its zone", next)
	}
	if f.ZoneSize() != 5 {
		t.Errorf("%d instances of the zone, want 5", f.ZoneSize())
	}
}

// TestStrongInstancesReadAndLead lets a zone have strong and weak instances: a strong one leads, and
// reads for all.
func TestStrongInstancesReadAndLead(t *testing.T) {
	list := []Instance{powered("w1", "a", 0.2), powered("s1", "a", 0.8), powered("w2", "a", 0.2), powered("w3", "b", 0.2), powered("s2", "b", 0.8)}
	for _, self := range list {
		f := New(self, settings)
		f.ApplyStoreList(list, start)
		from, role := f.SyncSource(start)
		strong := self.CPUs > 0.5
		if strong == (role == RoleMember) || !strong && from.CPUs < 0.5 {
			t.Errorf("%s is a %v and asks %s", self.Name, role, from.Name)
		}
	}
}
