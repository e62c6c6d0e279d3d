package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// departure is the moment from which a leaf is to get no new work, give or take the bound.
type departure struct {
	// at is when the store had acknowledged that the leaf drains or is gone.
	at time.Time
	// removed says that its entry was removed without a drain mark.
	removed bool
}

// how names the way in which the leaf left.
func (d departure) how() string {
	if d.removed {
		return "its entry was removed"
	}
	return "its drain"
}

// servesOn is for how long after the bound a leaf that leaves goes on serving.
const servesOn = 6 * time.Second

// leafDrain empties a leaf after another of its service has started.
func (r *run) leafDrain(random *rand.Rand, lasting time.Duration) error {
	return r.replaceLeaf(random, lasting, r.site.drain)
}

// leafRemoval replaces a leaf whose entry is removed without a drain mark.
func (r *run) leafRemoval(random *rand.Rand, lasting time.Duration) error {
	return r.replaceLeaf(random, lasting, r.site.unlist)
}

// replaceLeaf starts a leaf and lets another of its service leave some time later.
func (r *run) replaceLeaf(random *rand.Rand, lasting time.Duration, leave func(*fakeLeaf)) error {
	l := r.leaf(random)
	if l == nil {
		return nil
	}
	if err := r.site.addLeaf(l.service, 10*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(lasting / 2)
	leave(l)
	return nil
}

// stallBeforeDrain is how long before its drain a leaf stands still in leafStallAtDrain, and
// stallAfterBound for how long after the bound it does so.
const (
	stallBeforeDrain = 300 * time.Millisecond
	stallAfterBound  = 600 * time.Millisecond
)

// leafStallAtDrain drains a leaf that stands still from before its drain until after the bound.
func (r *run) leafStallAtDrain(random *rand.Rand, lasting time.Duration) error {
	return r.replaceLeaf(random, lasting, func(l *fakeLeaf) {
		resume := l.standStill()
		time.Sleep(stallBeforeDrain)
		r.site.drain(l)
		time.Sleep(r.site.profile.bound + stallAfterBound)
		resume()
	})
}

// drain writes that a leaf leaves; it goes on serving for the bound and longer.
func (s *site) drain(l *fakeLeaf) {
	s.mu.Lock()
	l.draining = time.Now()
	s.register(l)
	s.departures[l.id] = departure{at: time.Now()}
	s.mu.Unlock()
	s.closeAfterBound(l)
}

// unlist removes a leaf's entry; it goes on serving for the bound and longer.
func (s *site) unlist(l *fakeLeaf) {
	s.mu.Lock()
	l.draining = time.Now()
	hosted.Unregister(s.server, l.id)
	s.departures[l.id] = departure{at: time.Now(), removed: true}
	s.mu.Unlock()
	s.closeAfterBound(l)
}

// closeAfterBound ends a leaf that leaves.
func (s *site) closeAfterBound(l *fakeLeaf) {
	time.AfterFunc(s.profile.bound+servesOn, func() {
		hosted.Unregister(s.server, l.id)
		s.remove(l)
		l.close()
	})
}

// storeCuts cuts a part of the instances off from the store, all at once.
func (r *run) storeCuts(random *rand.Rand, lasting time.Duration) error {
	if !r.cutsBusy.TryLock() {
		return nil
	}
	defer r.cutsBusy.Unlock()
	lasting += r.site.profile.bound
	harmed := link{dropUp: true, dropDown: true}
	if random.IntN(2) == 0 {
		harmed = link{refuse: true}
	}
	var cuts sync.WaitGroup
	for _, n := range r.site.instances {
		if random.IntN(5) < 3 {
			n.disturb(time.Now().Add(lasting))
			cuts.Go(func() {
				n.store.set(harmed)
				n.store.reset()
				time.Sleep(lasting)
				n.store.set(link{})
			})
		}
	}
	cuts.Wait()
	return nil
}

// span is a time in which something was disturbed.
type span struct{ from, until time.Time }

// isCalm reports whether no disturbance lies between two times or within contactTime before.
func isCalm(disturbances []span, from, until time.Time) bool {
	for _, d := range disturbances {
		if d.from.Before(until) && d.until.After(from.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// stableFrom returns the first time, not before at, at which the store has been undisturbed for
// contactTime.
func (s *site) stableFrom(at time.Time) time.Time {
	for _, d := range s.storeDisturbances {
		if end := d.until.Add(contactTime); d.from.Before(at) && end.After(at) {
			at = end
		}
	}
	return at
}

// DrainUse is what reached leaves after they had left.
type DrainUse struct {
	// Departures is the number of leaves that left, Removed that of those without a drain mark.
	Departures, Removed int
	// Counted is the number of arrivals after a departure, by instances in touch, and Latest the
	// longest time from the departure to one of them.
	Counted int
	Latest  time.Duration
}

// checkDrains looks for requests that reached a leaf later than the bound after it had left,
// sent by instances in touch while the store was stable.
func (r *run) checkDrains(arrivals []arrival, outcomes []outcome) {
	byRequest := make(map[string]*outcome, len(outcomes))
	for i := range outcomes {
		byRequest[outcomes[i].request] = &outcomes[i]
	}
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	for _, d := range r.site.departures {
		r.drainUse.Departures++
		if d.removed {
			r.drainUse.Removed++
		}
	}
	for _, a := range arrivals {
		d, left := r.site.departures[a.leaf]
		o := byRequest[a.request]
		if !left || a.misdirected || o == nil {
			continue
		}
		late := a.at.Sub(r.site.stableFrom(d.at))
		if late <= 0 || !r.sentInTouch(o, a.at) {
			continue
		}
		r.drainUse.Counted++
		r.drainUse.Latest = max(r.drainUse.Latest, late)
		if late > r.site.profile.bound {
			r.violation(fmt.Sprintf("a request reached leaf %s %v after %s, sent %v before by its client, held by the leaf for %v",
				a.leaf, late, d.how(), a.at.Sub(o.sent), a.held), a.request, o.instance)
		}
	}
}

// sentInTouch reports whether a request was taken and sent on by instances in touch with a stable
// store. An instance that a client asks sends requests to one leaf itself; those over shards may be
// sent by any instance.
func (r *run) sentInTouch(o *outcome, arrived time.Time) bool {
	if !isCalm(r.site.storeDisturbances, o.sent, arrived) {
		return false
	}
	for _, n := range r.site.instances {
		if n.name != o.instance && o.kind != kindSearch {
			continue
		}
		n.mu.Lock()
		calm := isCalm(n.disturbances, o.sent, arrived)
		n.mu.Unlock()
		if !calm {
			return false
		}
	}
	return true
}
