package control_test

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestEntryWithoutInstanceListHoldsOneConnection starts an entry that reads the
// document but not the list of instances, so that it can't know how many entries
// share a leaf's limit.
func TestEntryWithoutInstanceListHoldsOneConnection(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		generation := f.mustSave(f.entries[0], 2)
		f.waitInForce(2*time.Second, generation)
		withoutList := f.entries[7]
		withoutList.stop()
		withoutList.noList.Store(true)
		withoutList.start(100)
		f.waitInForce(5*time.Second, generation)
		if got := withoutList.control.Load().View().Leaves[0].Connections; got != 1 {
			t.Errorf("without the list: %d connections a leaf, want 1", got)
		}
		withoutList.noList.Store(false)
		time.Sleep(10 * time.Second)
		if got := withoutList.control.Load().View().Leaves[0].Connections; got < 2 {
			t.Errorf("with the list: %d connections a leaf, want its share", got)
		}
	})
}

// peerLog is a Logger that counts the lines about peers.
type peerLog struct{ unresponsive, answering atomic.Int64 }

func (l *peerLog) Info(msg string, _ ...any) {
	if msg == "peer answers again" {
		l.answering.Add(1)
	}
}

func (l *peerLog) Warn(msg string, _ ...any) {
	if msg == "peer does not answer" {
		l.unresponsive.Add(1)
	}
}

func (l *peerLog) Error(string, ...any) {}

// TestUnresponsivePeersAreLoggedOnce disconnects an entry from its peers, as a
// wrong peer key does, and reconnects it. Each peer is logged once per change.
func TestUnresponsivePeersAreLoggedOnce(t *testing.T) {
	log := &peerLog{}
	runFleet(t, 3, func(f *fleet) {
		cut := f.entries[2]
		cut.stop()
		cut.log = log
		cut.start(9)
		time.Sleep(10 * time.Second)
		cut.noPeers.Store(true)
		time.Sleep(20 * time.Second)
		if n := log.unresponsive.Load(); n != 2 {
			t.Errorf("%d lines on 2 silent peers", n)
		}
		cut.noPeers.Store(false)
		time.Sleep(20 * time.Second)
		if n := log.answering.Load(); n != 2 {
			t.Errorf("%d lines on 2 peers that answer again", n)
		}
	})
}
