package control_test

import (
	"sync/atomic"
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

// warnings counts the lines on peers.
type warnings struct{ silent, answering atomic.Int64 }

func (w *warnings) Info(msg string, _ ...any) {
	if msg == "peer answers again" {
		w.answering.Add(1)
	}
}

func (w *warnings) Warn(msg string, _ ...any) {
	if msg == "peer does not answer" {
		w.silent.Add(1)
	}
}

func (w *warnings) Error(string, ...any) {}

// TestSilentPeersAreToldOnce cuts an entry off from its peers, as a wrong key
// does, and lets it back.
func TestSilentPeersAreToldOnce(t *testing.T) {
	log := &warnings{}
	runFleet(t, 3, func(f *fleet) {
		cut := f.entries[2]
		cut.stop()
		cut.log = log
		cut.start(9)
		time.Sleep(10 * time.Second)
		cut.noPeers.Store(true)
		time.Sleep(20 * time.Second)
		if n := log.silent.Load(); n != 2 {
			t.Errorf("%d lines on 2 silent peers", n)
		}
		cut.noPeers.Store(false)
		time.Sleep(20 * time.Second)
		if n := log.answering.Load(); n != 2 {
			t.Errorf("%d lines on 2 peers that answer again", n)
		}
	})
}
