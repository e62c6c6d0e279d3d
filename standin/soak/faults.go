package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// fault is one kind of trouble; it returns when it is over.
type fault struct {
	name string
	play func(r *run, random *rand.Rand, lasting time.Duration) error
}

// defaultFaults are drawn from with equal chances; several are in progress at once.
var defaultFaults = []fault{
	{"kill", (*run).kill}, {"stop", (*run).stop}, {"stop", (*run).stop}, {"pause", (*run).pause}, {"hup", (*run).hup},
	{"client link", (*run).clientLink}, {"store link", (*run).storeLink}, {"store", (*run).storeFault},
	{"leaf link", (*run).leafLink}, {"leaf slow", (*run).leafSlow}, {"leaf crash", (*run).leafCrash},
	{"leaf drain", (*run).leafDrain}, {"configuration", (*run).change}, {"configuration", (*run).change}, {"reshard", (*run).reshard},
}

// namedFaults are played only where a profile or the options name them.
var namedFaults = []fault{
	{"stutter", (*run).stutter}, {"leaf stall", (*run).leafStall}, {"leaf declines", (*run).leafDeclines}, {"leaves fail", (*run).leavesFail}, {"kill all", (*run).killAll},
	{"kill all while leaves decline", (*run).killAllWhileLeavesDecline}, {"crashing request", (*run).crashingRequest},
	{"leaf removal", (*run).leafRemoval}, {"leaf stall at drain", (*run).leafStallAtDrain}, {"store cuts", (*run).storeCuts},
	{"late heartbeat", (*run).lateHeartbeat}, {"services leave", (*run).servicesLeave}, {"store late", (*run).storeLate}, {"store lapse", (*run).storeLapse}, {"store restore", (*run).storeRestore},
	{"client crowd", (*run).clientCrowd},
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// instance draws an instance.
func (r *run) instance(random *rand.Rand) *instance {
	return r.site.instances[random.IntN(len(r.site.instances))]
}

// restart starts an instance again after a moment.
func (r *run) restart(n *instance, random *rand.Rand) error {
	time.Sleep(between(random, 50*time.Millisecond, 400*time.Millisecond))
	return r.site.startInstance(n)
}

// kill ends an instance without a word.
func (r *run) kill(random *rand.Rand, _ time.Duration) error {
	return r.killInstance(r.instance(random), random)
}

// killInstance ends an instance without a word and starts it again.
func (r *run) killInstance(n *instance, random *rand.Rand) error {
	if !n.busy.TryLock() {
		return nil // another fault has its process
	}
	defer n.busy.Unlock()
	n.disturb(time.Now())
	if err := n.signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = n.await() // it was killed: how it ended says nothing
	n.disturb(time.Now())
	return r.restart(n, random)
}

// stop ends an instance by plan; it must end by itself, in time and with 0.
func (r *run) stop(random *rand.Rand, _ time.Duration) error {
	n := r.instance(random)
	if !n.busy.TryLock() {
		return nil
	}
	defer n.busy.Unlock()
	if random.IntN(3) == 0 {
		if err := n.signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.stopping = time.Now()
	n.disturbances = append(n.disturbances, span{n.stopping, n.stopping.Add(graceTime)})
	n.mu.Unlock()
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	late := time.AfterFunc(graceTime+time.Second, func() {
		r.violation("an instance did not end within its grace time", "", n.name)
		_ = n.signal(syscall.SIGKILL)
	})
	err := n.await()
	if late.Stop() && err != nil {
		r.violation(fmt.Sprintf("an instance that was asked to stop ended with %v", err), "", n.name)
	}
	return r.restart(n, random)
}

// pause freezes an instance.
func (r *run) pause(random *rand.Rand, lasting time.Duration) error {
	n := r.instance(random)
	if !n.busy.TryLock() {
		return nil
	}
	defer n.busy.Unlock()
	n.disturb(time.Now().Add(lasting))
	if err := n.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(lasting)
	return n.signal(syscall.SIGCONT)
}

// hup says that the settings have changed; they have not.
func (r *run) hup(random *rand.Rand, _ time.Duration) error {
	n := r.instance(random)
	if !n.busy.TryLock() {
		return nil
	}
	defer n.busy.Unlock()
	return n.signal(syscall.SIGHUP)
}

// harm draws what to do to a link.
func harm(random *rand.Rand) link {
	switch random.IntN(5) {
	case 0:
		return link{delay: between(random, 10*time.Millisecond, 300*time.Millisecond)}
	case 1:
		return link{dropUp: true}
	case 2:
		return link{dropDown: true}
	case 3:
		return link{dropUp: true, dropDown: true}
	default:
		return link{refuse: true}
	}
}

// harmFor harms a proxy's link for a time; some of its connections are reset.
func harmFor(p *proxy, random *rand.Rand, lasting time.Duration) {
	p.set(harm(random))
	if random.IntN(2) == 0 {
		p.reset()
	}
	time.Sleep(lasting)
	p.set(link{})
}

// clientLink harms the way between clients and an instance.
func (r *run) clientLink(random *rand.Rand, lasting time.Duration) error {
	n := r.instance(random)
	n.disturb(time.Now().Add(lasting))
	harmFor(n.clients, random, lasting)
	return nil
}

// storeLink harms the way between an instance and the store.
func (r *run) storeLink(random *rand.Rand, lasting time.Duration) error {
	n := r.instance(random)
	n.disturb(time.Now().Add(lasting))
	harmFor(n.store, random, lasting)
	return nil
}

// leaf draws a leaf that serves; probes' leaves are left alone.
func (r *run) leaf(random *rand.Rand) *fakeLeaf {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	var all []*fakeLeaf
	for _, l := range r.site.leaves {
		if l.draining.IsZero() && !strings.HasPrefix(l.service, "p") {
			all = append(all, l)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[random.IntN(len(all))]
}

// leafLink harms the way to a leaf.
func (r *run) leafLink(random *rand.Rand, lasting time.Duration) error {
	if l := r.leaf(random); l != nil {
		harmFor(l.proxy, random, lasting)
	}
	return nil
}

// leafSlow makes a leaf slow, or lets it lose its answers.
func (r *run) leafSlow(random *rand.Rand, lasting time.Duration) error {
	l := r.leaf(random)
	if l == nil {
		return nil
	}
	l.set(between(random, 50*time.Millisecond, 500*time.Millisecond), random.IntN(3) == 0)
	time.Sleep(lasting)
	l.set(10*time.Millisecond, false)
	return nil
}

// leafCrash ends a leaf without a word and starts another of its service.
func (r *run) leafCrash(random *rand.Rand, lasting time.Duration) error {
	l := r.leaf(random)
	if l == nil {
		return nil
	}
	r.site.remove(l)
	l.close()
	time.Sleep(lasting / 2)
	hosted.Unregister(r.site.server, l.id)
	return r.site.addLeaf(l.service, 10*time.Millisecond)
}

// remove forgets a leaf, so that it writes no more heartbeats.
func (s *site) remove(l *fakeLeaf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaves, l.id)
}

// change writes another version of the configuration.
func (r *run) change(*rand.Rand, time.Duration) error {
	r.operator.Lock()
	defer r.operator.Unlock()
	return r.site.configure()
}

// reshard starts another set of shards, names it a little later, and empties the
// old one once the new version is due everywhere.
func (r *run) reshard(random *rand.Rand, _ time.Duration) error {
	r.operator.Lock()
	defer r.operator.Unlock()
	old := r.site.shards
	if err := r.site.newSet(r.site.profile.drawShards(random)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := r.site.configure(); err != nil {
		return err
	}
	time.Sleep(r.site.profile.bound)
	r.site.mu.Lock()
	var leaving []*fakeLeaf
	for _, l := range r.site.leaves {
		for _, name := range old {
			if l.service == name && l.draining.IsZero() {
				leaving = append(leaving, l)
			}
		}
	}
	r.site.mu.Unlock()
	for _, l := range leaving {
		r.site.drain(l)
	}
	return nil
}
