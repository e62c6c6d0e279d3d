package control_test

import (
	"testing"
	"time"
)

// TestBlindEntryHoldsOneConnection starts an entry that reads the document but
// not the list of instances: it can't know how many share a leaf's limit.
func TestBlindEntryHoldsOneConnection(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		generation := f.accept(f.entries[0], 2)
		f.within(2*time.Second, generation)
		blind := f.entries[7]
		blind.stop()
		blind.noList.Store(true)
		blind.start(100)
		f.within(5*time.Second, generation)
		if got := blind.control.Load().View().Leaves[0].Connections; got != 1 {
			t.Errorf("without the list: %d connections a leaf, want 1", got)
		}
		blind.noList.Store(false)
		time.Sleep(10 * time.Second)
		if got := blind.control.Load().View().Leaves[0].Connections; got < 2 {
			t.Errorf("with the list: %d connections a leaf, want its share", got)
		}
	})
}
