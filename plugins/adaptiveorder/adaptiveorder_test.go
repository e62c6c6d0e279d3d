package adaptiveorder

import (
	"testing"
	"time"
)

func TestStandingQueueIsServedNewestFirst(t *testing.T) {
	p := New()
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	p.ObserveOldestWait(0.9, at(0))
	p.ObserveOldestWait(0.9, at(99))
	if p.NewestFirst() {
		t.Fatal("newest first after less than the interval")
	}
	p.ObserveOldestWait(0.9, at(100))
	if !p.NewestFirst() {
		t.Fatal("oldest first although the queue stood for the interval")
	}
	p.ObserveOldestWait(0.4, at(101))
	if p.NewestFirst() {
		t.Fatal("newest first although the queue is short again")
	}
	p.ObserveOldestWait(0.9, at(150))
	p.ObserveOldestWait(0.9, at(201)) // a new interval began at 150 ms
	if p.NewestFirst() {
		t.Fatal("newest first after a queue that stood for 51 ms")
	}
}
