package fleet

import (
	"fmt"
	"testing"
	"time"
)

var (
	start    = time.Unix(1000, 0)
	settings = Settings{ForgetAfter: 45 * time.Second, PeerBackoff: 3 * time.Second, ListPropagationBound: 30 * time.Second, ShareHoldTime: 30 * time.Second}
)

// zoneOf returns n instances of one zone.
func zoneOf(name string, n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{Name: fmt.Sprintf("%s-%d", name, i), Zone: name, PeerAddress: "10.0.0.1:1", AnnouncementID: 1})
	}
	return out
}

// fleetsWithList returns one Fleet for each instance of the list; all have that list.
func fleetsWithList(list []Instance) []*Fleet {
	var out []*Fleet
	for _, i := range list {
		f := New(i, settings)
		f.ApplyStoreList(list, start)
		out = append(out, f)
	}
	return out
}

// TestInstancesAgreeOnOneReader checks that all instances choose the same reader of the
// store, and that only one instance of each zone synchronizes from another zone.
func TestInstancesAgreeOnOneReader(t *testing.T) {
	list := append(zoneOf("a", 5), zoneOf("b", 3)...)
	readers, crossZone := 0, map[string]int{}
	for i, f := range fleetsWithList(list) {
		if f.Size() != len(list) {
			t.Fatalf("size %d, want %d", f.Size(), len(list))
		}
		r, role := f.SyncSource(start)
		switch {
		case role == RoleReader:
			readers++
		case r.Zone != list[i].Zone:
			crossZone[list[i].Zone]++
		}
	}
	if readers != 1 || crossZone["a"]+crossZone["b"] != 1 {
		t.Errorf("%d readers and %v that synchronize from another zone, want one of each", readers, crossZone)
	}
}

// TestFailedReaderIsSkippedDuringBackoff lets the reader fail: another instance replaces it
// until the backoff ends.
func TestFailedReaderIsSkippedDuringBackoff(t *testing.T) {
	for _, f := range fleetsWithList(zoneOf("a", 3)) {
		first, role := f.SyncSource(start)
		if role == RoleReader {
			continue
		}
		f.Failed(first, start)
		if next, _ := f.SyncSource(start); next.Name == first.Name {
			t.Errorf("%s synchronizes from a reader that failed", f.self.Name)
		}
		if again, _ := f.SyncSource(start.Add(3 * time.Second)); again.Name != first.Name {
			t.Errorf("%s synchronizes from %s and not %s after the backoff", f.self.Name, again.Name, first.Name)
		}
	}
}

// TestInstanceWithoutAnnouncementsIsDropped stops one instance's announcements, and lets
// another one withdraw its own.
func TestInstanceWithoutAnnouncementsIsDropped(t *testing.T) {
	list := zoneOf("a", 3)
	f := New(list[0], settings)
	if f.Size() <= len(list) {
		t.Errorf("size %d before any list: the shares of the limits would be too large", f.Size())
	}
	f.ApplyStoreList(list, start)
	for s := time.Duration(0); s <= 50*time.Second; s += 10 * time.Second {
		list[1].AnnouncementID++
		f.ApplyStoreList(list, start.Add(s))
	}
	if f.Size() != 2 {
		t.Errorf("size %d, want 2: one instance has stopped announcing itself", f.Size())
	}
	f.ApplyStoreList(list[:1], start.Add(51*time.Second))
	if f.Size() != 1 {
		t.Errorf("size %d, want 1: the other instance has withdrawn", f.Size())
	}
}
