package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
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

// lateHeartbeat lets a leaf drain, and the store carry out a heartbeat of before the drain after the
// bound. The leaf's next heartbeat says again that it drains.
func (r *run) lateHeartbeat(random *rand.Rand, lasting time.Duration) error {
	return r.replaceLeaf(random, lasting, func(l *fakeLeaf) {
		before := r.site.entryOf(l)
		r.site.drain(l)
		time.Sleep(r.site.profile.bound + between(random, 0, servesOn/2))
		hosted.Replace(r.site.server, before)
		time.Sleep(heartbeat)
		hosted.Replace(r.site.server, r.site.entryOf(l))
	})
}

// servicesLeave lets all leaves of two services leave at once: of the one that serves the routes to
// one leaf, after others have started, and of one that no route leads to any more. After the bound
// all instances are asked at one moment.
func (r *run) servicesLeave(random *rand.Rand, lasting time.Duration) error {
	if !r.allLeaving.TryLock() {
		return nil
	}
	defer r.allLeaving.Unlock()
	leave := r.site.drain
	if random.IntN(2) == 0 {
		leave = r.site.unlist
	}
	old, dropped := r.site.readyLeaves("alone"), r.site.readyLeaves(probeService(r.site.currentVersion()))
	for range r.site.profile.leavesEach {
		if err := r.site.addLeaf("alone", r.site.profile.leaf.work); err != nil {
			return err
		}
	}
	if err := r.change(random, 0); err != nil {
		return err
	}
	time.Sleep(max(lasting, r.site.profile.bound))
	for _, l := range slices.Concat(old, dropped) {
		leave(l)
	}
	for _, wait := range []time.Duration{r.site.profile.bound / 2, r.site.profile.bound/2 + askAfterBound} {
		time.Sleep(wait)
		r.askAll(kindOne)
		r.askAll(kindProbe)
	}
	return nil
}

// askAfterBound is how long after the bound all instances are asked.
const askAfterBound = 100 * time.Millisecond

// askAll sends a request to each instance at one moment.
func (r *run) askAll(k kind) {
	var all sync.WaitGroup
	round := time.Now().UnixNano()
	for i, n := range r.site.instances {
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", n.clients.address(), time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			incarnation := n.started()
			o := r.exchange(n, conn, bufio.NewReader(conn), fmt.Sprintf("%d-all-%d-%d", r.options.Seed, round, i), k)
			o.watch = true
			r.note(n, incarnation, o)
		})
	}
	all.Wait()
}

// readyLeaves returns the leaves of a service that do not leave.
func (s *site) readyLeaves(service string) []*fakeLeaf {
	var out []*fakeLeaf
	for _, l := range s.runningLeaves() {
		if l.service == service && l.draining.IsZero() {
			out = append(out, l)
		}
	}
	return out
}

// currentVersion returns the newest version of the configuration.
func (s *site) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
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
	l.draining, l.removed = time.Now(), true
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
		if late <= 0 || !r.sentInTouch(o, &a) {
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
// store. Without a log line of the send, one over shards may have been sent by any instance.
func (r *run) sentInTouch(o *outcome, a *arrival) bool {
	if !isCalm(r.site.storeDisturbances, o.sent, a.at) || !r.instanceCalm(o.instance, o.sent, a.at) {
		return false
	}
	if o.kind != kindSearch {
		return true
	}
	senders := r.sends[send{a.request, a.leaf}]
	if len(senders) == 0 {
		for _, n := range r.site.instances {
			senders = append(senders, n.name)
		}
	}
	return !slices.ContainsFunc(senders, func(name string) bool { return !r.instanceCalm(name, o.sent, a.at) })
}

// instanceCalm reports whether an instance was undisturbed between two times and for contactTime
// before.
func (r *run) instanceCalm(name string, from, until time.Time) bool {
	i := slices.IndexFunc(r.site.instances, func(n *instance) bool { return n.name == name })
	if i < 0 {
		return false
	}
	n := r.site.instances[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	return isCalm(n.disturbances, from, until)
}
