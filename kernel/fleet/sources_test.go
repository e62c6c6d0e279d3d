package fleet

import (
	"slices"
	"testing"
	"time"
)

// TestNewcomerSynchronizesFromSeeds starts an instance that knows only seeds: it asks them
// in turn, reads the store while all are in backoff, and asks them until a list has it.
func TestNewcomerSynchronizesFromSeeds(t *testing.T) {
	list := zoneOf("a", 4)
	for i := range list {
		list[i].PeerAddress = "10.0.0." + string(rune('1'+i)) + ":1"
	}
	f := New(list[0], settings)
	f.SetSeeds([]string{"10.0.9.1:1", "10.0.9.2:1"})
	checkSource := func(at time.Duration, peer string, role Role) Instance {
		t.Helper()
		i, got := f.SyncSource(start.Add(at))
		if i.PeerAddress != peer || got != role {
			t.Errorf("after %v: synchronizes from %q as %v, want %q as %v", at, i.PeerAddress, got, peer, role)
		}
		return i
	}
	f.Failed(checkSource(0, "10.0.9.1:1", RoleNewcomer), start)
	f.Failed(checkSource(0, "10.0.9.2:1", RoleNewcomer), start)
	checkSource(0, "", RoleReader)
	checkSource(settings.PeerBackoff, "10.0.9.1:1", RoleNewcomer)
	f.ApplyStoreList(list[1:], start)
	if checkSource(settings.PeerBackoff, "10.0.9.1:1", RoleNewcomer); f.IsAnnounced() {
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

// TestSeedReadsStoreBeforeFirstList starts a seed where no instance has a list: it reads the
// store and does not ask the other seeds, which may be waiting for it.
func TestSeedReadsStoreBeforeFirstList(t *testing.T) {
	list := zoneOf("a", 1)
	f := New(list[0], settings)
	f.SetSeeds([]string{list[0].PeerAddress, "10.0.9.2:1"})
	if i, role := f.SyncSource(start); role != RoleReader || !f.IsSeed() || len(f.Seeds()) != 1 {
		t.Errorf("a seed synchronizes from %v as %v before any list, want to read the store", i, role)
	}
}

// TestPeerListIsAppliedUnlessOlder sends one instance's list to another: the receiver has
// the same list and hash, ignores an older list, and takes over the time of a confirmation.
func TestPeerListIsAppliedUnlessOlder(t *testing.T) {
	list := append(zoneOf("a", 5), zoneOf("b", 3)...)
	first, second := New(list[0], settings), New(list[1], settings)
	first.ApplyStoreList(list, start)
	sent := first.Instances()
	if len(sent) != len(list) || HashInstances(sent) != HashInstances(first.Instances()) {
		t.Fatalf("sends %d instances, want %d", len(sent), len(list))
	}
	second.ApplyPeerList(sent, start)
	if second.Size() != len(list) || !second.IsAnnounced() || HashInstances(second.Instances()) != HashInstances(sent) {
		t.Errorf("%d instances after a peer's list, want %d with the same hash", second.Size(), len(list))
	}
	second.ApplyPeerList(list[:2], start.Add(-time.Second))
	if second.Size() != len(list) {
		t.Error("an older list replaced the list in force")
	}
	second.ConfirmList(start.Add(time.Minute))
	if at := second.ListReadAt(); !at.Equal(start.Add(time.Minute)) {
		t.Errorf("the list was read at %v after it was confirmed for a minute later", at)
	}
	announcedAgain := slices.Clone(sent)
	announcedAgain[0].AnnouncementID = 77
	if HashInstances(announcedAgain) != HashInstances(sent) {
		t.Error("an announcement ID changes the hash")
	}
}

// TestPeerListLacksDroppedInstance sends a list whose sender has dropped an instance that
// stopped announcing itself.
func TestPeerListLacksDroppedInstance(t *testing.T) {
	list := zoneOf("a", 3)
	first, second := New(list[0], settings), New(list[1], settings)
	first.ApplyStoreList(list, start)
	list[0].AnnouncementID++
	list[1].AnnouncementID++
	first.ApplyStoreList(list, start.Add(settings.ForgetAfter))
	second.ApplyPeerList(first.Instances(), start.Add(settings.ForgetAfter))
	if second.Size() != 2 {
		t.Errorf("%d instances, want 2: one has stopped announcing itself", second.Size())
	}
}

// TestBackoffDoublesWithConsecutiveFailures lets an instance fail repeatedly, and answer.
func TestBackoffDoublesWithConsecutiveFailures(t *testing.T) {
	testSettings := settings
	testSettings.MaxPeerBackoff = 10 * time.Second
	list := zoneOf("a", 2)
	f := New(list[0], testSettings)
	f.ApplyStoreList(list, start)
	now := start
	for _, seconds := range []time.Duration{3, 6, 10, 10} {
		f.Failed(list[1], now)
		if got := f.members[list[1].Name].backoffUntil.Sub(now); got != seconds*time.Second {
			t.Errorf("backoff of %v, want %v", got, seconds*time.Second)
		}
		now = now.Add(seconds * time.Second)
	}
	f.Answered(list[1])
	f.Failed(list[1], now)
	if got := f.members[list[1].Name].backoffUntil.Sub(now); got != testSettings.PeerBackoff {
		t.Errorf("backoff of %v after it has answered, want %v", got, testSettings.PeerBackoff)
	}
}

// TestStaleInstanceStillGetsQueries marks a strong instance's state as stale: it is not
// synchronized from, but queries are still forwarded to it.
func TestStaleInstanceStillGetsQueries(t *testing.T) {
	testSettings := settings
	testSettings.StalePeerBackoff = 3 * time.Second
	list := []Instance{instanceWithCPUs("weak", "a", 0.2), instanceWithCPUs("strong", "a", 0.8)}
	f := New(list[0], testSettings)
	f.ApplyStoreList(list, start)
	f.MarkStale(list[1], start)
	if _, role := f.SyncSource(start); role == RoleMember {
		t.Error("synchronizes at once again from an instance whose state is stale")
	}
	if got := f.Stronger(start); len(got) != 1 {
		t.Errorf("queries are forwarded to %v, want the strong instance", got)
	}
}

// TestOtherZoneLeadsHasOneInstancePerZone checks the leads of the other zones, before and
// after one of them has failed.
func TestOtherZoneLeadsHasOneInstancePerZone(t *testing.T) {
	list := append(append(zoneOf("a", 5), zoneOf("b", 3)...), zoneOf("c", 4)...)
	f := New(list[0], settings)
	f.ApplyStoreList(list, start)
	leads := f.OtherZoneLeads(start)
	if len(leads) != 2 || leads[0].Zone == leads[1].Zone || leads[0].Zone == "a" || leads[1].Zone == "a" {
		t.Fatalf("%v, want one instance of zone b and one of c", leads)
	}
	f.Failed(leads[0], start)
	if next := f.OtherZoneLeads(start); slices.Contains(next, leads[0]) || len(next) != 2 {
		t.Errorf("%v after a lead has failed, want another instance of its zone", next)
	}
	if f.ZoneSize() != 5 {
		t.Errorf("%d instances of the zone, want 5", f.ZoneSize())
	}
}

// TestStrongInstancesReadAndLead checks that the reader and the zone leads are strong
// instances where a zone has strong and weak ones.
func TestStrongInstancesReadAndLead(t *testing.T) {
	list := []Instance{instanceWithCPUs("w1", "a", 0.2), instanceWithCPUs("s1", "a", 0.8), instanceWithCPUs("w2", "a", 0.2), instanceWithCPUs("w3", "b", 0.2), instanceWithCPUs("s2", "b", 0.8)}
	for _, self := range list {
		f := New(self, settings)
		f.ApplyStoreList(list, start)
		from, role := f.SyncSource(start)
		strong := self.CPUs > 0.5
		if strong == (role == RoleMember) || !strong && from.CPUs < 0.5 {
			t.Errorf("%s is a %v and synchronizes from %s", self.Name, role, from.Name)
		}
	}
}
