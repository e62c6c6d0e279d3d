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

// zone returns n instances of one zone.
func zone(name string, n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{Name: fmt.Sprintf("%s-%d", name, i), Zone: name, PeerAddress: "10.0.0.1:1", AnnouncementID: 1})
	}
	return out
}

// fleets makes one fleet an instance, all with the same list.
func fleets(list []Instance) []*Fleet {
	var out []*Fleet
	for _, i := range list {
		f := New(i, settings)
		f.ApplyStoreList(list, start)
		out = append(out, f)
	}
	return out
}

// TestOneReader checks that all instances agree on one reader of the store, and
// that only one a zone asks outside of its zone.
func TestOneReader(t *testing.T) {
	list := append(zone("a", 5), zone("b", 3)...)
	readers, crossing := 0, map[string]int{}
	for i, f := range fleets(list) {
		if f.Size() != len(list) {
			t.Fatalf("size %d, want %d", f.Size(), len(list))
		}
		r, role := f.SyncSource(start)
		switch {
		case role == RoleReader:
			readers++
		case r.Zone != list[i].Zone:
			crossing[list[i].Zone]++
		}
	}
	if readers != 1 || crossing["a"]+crossing["b"] != 1 {
		t.Errorf("%d readers and %v that ask another zone, want one of each", readers, crossing)
	}
}

// TestFailedReaderIsPassedOver lets the reader fail, and come back.
func TestFailedReaderIsPassedOver(t *testing.T) {
	for _, f := range fleets(zone("a", 3)) {
		first, role := f.SyncSource(start)
		if role == RoleReader {
			continue
		}
		f.Failed(first, start)
		if next, _ := f.SyncSource(start); next.Name == first.Name {
			t.Errorf("%s asks a reader that failed", f.self.Name)
		}
		if again, _ := f.SyncSource(start.Add(3 * time.Second)); again.Name != first.Name {
			t.Errorf("%s asks %s and not %s after the pause", f.self.Name, again.Name, first.Name)
		}
	}
}

// TestSilentInstanceIsForgotten stops one instance's announcements.
func TestSilentInstanceIsForgotten(t *testing.T) {
	list := zone("a", 3)
	f := New(list[0], settings)
	if f.Size() <= len(list) {
		t.Errorf("size %d before any list: limits would be spent too freely", f.Size())
	}
	f.ApplyStoreList(list, start)
	for s := time.Duration(0); s <= 50*time.Second; s += 10 * time.Second {
		list[1].AnnouncementID++
		f.ApplyStoreList(list, start.Add(s))
	}
	if f.Size() != 2 {
		t.Errorf("size %d, want 2: one instance has fallen silent", f.Size())
	}
	f.ApplyStoreList(list[:1], start.Add(51*time.Second))
	if f.Size() != 1 {
		t.Errorf("size %d, want 1: the other has withdrawn", f.Size())
	}
}
