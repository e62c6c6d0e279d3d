package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// setStoreFaults replaces the store's faults. Its answers take Options.StoreDelay at least.
func (r *run) setStoreFaults(f platform.Faults) error {
	f.ReplyDelayMS = max(f.ReplyDelayMS, r.options.StoreDelay.Milliseconds())
	return r.site.server.SetFaults(f)
}

// disturbStore notes that the store is disturbed until a time.
func (s *site) disturbStore(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := until.Add(settleTime); at.After(s.storeDisturbed) {
		s.storeDisturbed = at
	}
	s.storeDisturbances = append(s.storeDisturbances, span{time.Now(), until})
}

// storeFault takes the store away from all, or slows it.
func (r *run) storeFault(random *rand.Rand, lasting time.Duration) error {
	if !r.storeBusy.TryLock() {
		return nil
	}
	defer r.storeBusy.Unlock()
	r.site.disturbStore(time.Now().Add(lasting))
	f := []platform.Faults{{Outage: true}, {Hang: true}, {ReplyDelayMS: 400}, {LoseWriteShare: 0.5}}[random.IntN(4)]
	if err := r.setStoreFaults(f); err != nil {
		return err
	}
	time.Sleep(lasting)
	return r.setStoreFaults(platform.Faults{})
}

// maxLateAnswer is the longest time that an answer takes in storeLate: half of the shortest bound.
const maxLateAnswer = 1500 * time.Millisecond

// storeLate lets the store's answers take up to maxLateAnswer, another time again and again. That is
// no disturbance: the store serves all.
func (r *run) storeLate(random *rand.Rand, lasting time.Duration) error {
	if !r.storeBusy.TryLock() {
		return nil
	}
	defer r.storeBusy.Unlock()
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		if err := r.setStoreFaults(platform.Faults{ReplyDelayMS: between(random, 0, maxLateAnswer).Milliseconds()}); err != nil {
			return err
		}
		time.Sleep(between(random, 100*time.Millisecond, 600*time.Millisecond))
	}
	return r.setStoreFaults(platform.Faults{})
}

// Times of an outage in which entries lapse.
const (
	// lapseTime is the time without a heartbeat after which an entry lapses.
	lapseTime = 3 * heartbeat
	// backTime is within which a running leaf registers again after an outage.
	backTime = 1900 * time.Millisecond
)

// storeLapse takes the store away from all, leaves too, for longer than entries live.
func (r *run) storeLapse(random *rand.Rand, lasting time.Duration) error {
	if !r.storeBusy.TryLock() {
		return nil
	}
	defer r.storeBusy.Unlock()
	f := []platform.Faults{{Outage: true}, {Hang: true}}[random.IntN(2)]
	from := time.Now()
	r.site.disturbStore(from.Add(lapseTime + lasting + backTime))
	r.site.setBeating(false)
	defer r.site.setBeating(true)
	if err := r.setStoreFaults(f); err != nil {
		return err
	}
	time.Sleep(lapseTime)
	for _, l := range r.site.runningLeaves() {
		hosted.Unregister(r.site.server, l.id)
	}
	time.Sleep(lasting)
	if err := r.setStoreFaults(platform.Faults{}); err != nil {
		return err
	}
	r.registerAgain(random, r.site.runningLeaves())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses = append(r.lapses, span{from, time.Now()})
	return nil
}

// registerAgain lets leaves write their entries again within backTime, each at a time of its own.
func (r *run) registerAgain(random *rand.Rand, leaves []*fakeLeaf) {
	random.Shuffle(len(leaves), func(i, j int) { leaves[i], leaves[j] = leaves[j], leaves[i] })
	for _, l := range leaves {
		time.Sleep(backTime / time.Duration(len(leaves)))
		r.site.mu.Lock()
		if _, runs := r.site.leaves[l.id]; runs && !l.removed {
			r.site.register(l)
		}
		r.site.mu.Unlock()
	}
}

// restoreAge is the age of the copy from which storeRestore restores the store, and leavesLost the
// number of leaves that start meanwhile.
const (
	restoreAge = 4 * time.Second
	leavesLost = 8
)

// storeRestore takes the store away for a moment and lets it come back from a copy some seconds old.
// What the operator and the leaves had written since is written again. Leaves that started meanwhile
// leave when the store has been stable again.
func (r *run) storeRestore(random *rand.Rand, lasting time.Duration) error {
	if !r.storeBusy.TryLock() {
		return nil
	}
	defer r.storeBusy.Unlock()
	copied := r.site.server.Revision()
	var started []*fakeLeaf
	for range leavesLost {
		l, err := r.site.startLeaf("alone", r.site.profile.leaf.work)
		if err != nil {
			return err
		}
		started = append(started, l)
	}
	time.Sleep(restoreAge)
	if err := r.restoreStore(random, copied, lasting/4); err != nil {
		return err
	}
	time.Sleep(contactTime)
	for i, l := range started {
		if i%2 == 0 {
			r.site.drain(l)
		} else {
			r.site.unlist(l)
		}
	}
	time.Sleep(r.site.profile.bound + servesOn/2)
	return nil
}

// restoreStore plays an outage after which the store has what it had at a revision.
func (r *run) restoreStore(random *rand.Rand, revision uint64, outage time.Duration) error {
	r.operator.Lock()
	defer r.operator.Unlock()
	r.site.disturbStore(time.Now().Add(outage + backTime))
	if err := r.setStoreFaults(platform.Faults{Outage: true}); err != nil {
		return err
	}
	time.Sleep(outage)
	lost, err := r.site.restore(revision)
	if err != nil {
		return err
	}
	if err := r.setStoreFaults(platform.Faults{}); err != nil {
		return err
	}
	r.registerAgain(random, lost)
	return nil
}

// restore restores the store as it was at a revision, writes the configuration again if the store
// has lost it, and removes the entries that were removed since. It returns the leaves that have
// lost what they had written.
func (s *site) restore(revision uint64) (lost []*fakeLeaf, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, _ := s.server.Object("config", "main")
	written := make(map[string]uint64)
	for id := range s.leaves {
		entry, _ := s.server.Object(hosted.KindLeaves, id)
		written[id] = entry.Version
	}
	if err := s.server.Restore(revision); err != nil {
		return nil, err
	}
	if newest.Version > revision {
		s.server.Set("config", "main", newest.Value)
	}
	for id, d := range s.departures {
		if _, found := s.server.Object(hosted.KindLeaves, id); found && (d.removed || s.leaves[id] == nil) {
			hosted.Unregister(s.server, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.leaves)) {
		if written[id] > revision {
			lost = append(lost, s.leaves[id])
		}
	}
	return lost, nil
}

// checkLapses checks that leaves stay in use while their entries have lapsed: requests of an
// outage, and of the time until all are registered again, are served.
func (r *run) checkLapses(outcomes []outcome) {
	for _, lapse := range r.lapses {
		asked, served := 0, 0
		for i := range outcomes {
			o := &outcomes[i]
			if o.watch || o.sent.Before(lapse.from) || o.sent.After(lapse.until) || !r.instanceCalm(o.instance, o.sent, o.end) {
				continue
			}
			asked++
			if o.status == 200 {
				served++
			}
		}
		if float64(served) < calmShare*float64(asked) {
			r.violation("running leaves whose entries had lapsed were out of use: "+servedOf(served, asked), "", "")
		}
	}
}
