package soak

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// stutter lets an instance's process run in short spans only, as on a machine that has far too
// much to do.
func (r *run) stutter(random *rand.Rand, lasting time.Duration) error {
	n := r.instance(random)
	if !n.busy.TryLock() {
		return nil
	}
	defer n.busy.Unlock()
	n.disturb(time.Now().Add(lasting))
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		if err := n.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(between(random, 50*time.Millisecond, 700*time.Millisecond))
		if err := n.signal(syscall.SIGCONT); err != nil {
			return err
		}
		time.Sleep(between(random, 10*time.Millisecond, 150*time.Millisecond))
	}
	return nil
}

// leafStall lets the leaves of a service stand still: what is sent to them waits in buffers
// and arrives when they go on.
func (r *run) leafStall(random *rand.Rand, lasting time.Duration) error {
	l := r.leaf(random)
	if l == nil {
		return nil
	}
	resume := l.standStill()
	time.Sleep(lasting)
	resume()
	return nil
}

// declinedShare is the share of requests that a leaf declines in leafDeclines.
const declinedShare = 0.6

// leafDeclines lets most leaves decline a part of their requests.
func (r *run) leafDeclines(random *rand.Rand, lasting time.Duration) error {
	defer r.declineAtMostLeaves(random)()
	time.Sleep(2 * lasting)
	return nil
}

// leavesFail lets most leaves lose the answers of the requests that they run.
func (r *run) leavesFail(random *rand.Rand, lasting time.Duration) error {
	chosen := r.drawLeaves(random)
	for _, l := range chosen {
		l.set(r.site.profile.leaf.work, true)
	}
	time.Sleep(lasting)
	for _, l := range chosen {
		l.set(r.site.profile.leaf.work, false)
	}
	return nil
}

// drawLeaves draws four in five leaves.
func (r *run) drawLeaves(random *rand.Rand) []*fakeLeaf {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	var chosen []*fakeLeaf
	for _, l := range r.site.leaves {
		if random.IntN(5) > 0 {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// declineAtMostLeaves lets four in five leaves decline a part of their requests until undo.
func (r *run) declineAtMostLeaves(random *rand.Rand) (undo func()) {
	chosen := r.drawLeaves(random)
	for _, l := range chosen {
		l.setDeclined(declinedShare)
	}
	return func() {
		for _, l := range chosen {
			l.setDeclined(0)
		}
	}
}

// killAllWhileLeavesDecline ends all instances when they have used up what repeats a window
// without faults has earned, and leaves go on declining. One is played at a time.
func (r *run) killAllWhileLeavesDecline(random *rand.Rand, lasting time.Duration) error {
	if !r.allBusy.TryLock() {
		return nil
	}
	defer r.allBusy.Unlock()
	time.Sleep(repeatWindow + time.Second)
	defer r.declineAtMostLeaves(random)()
	time.Sleep(repeatWindow / 2)
	err := r.killAll(random, lasting)
	time.Sleep(repeatWindow / 2)
	return err
}

// killAll ends all instances at the same moment and starts them again.
func (r *run) killAll(random *rand.Rand, _ time.Duration) error {
	failed := make([]error, len(r.site.instances))
	var restarts sync.WaitGroup
	for i, n := range r.site.instances {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		restarts.Go(func() { failed[i] = r.killInstance(n, own) })
	}
	restarts.Wait()
	return errors.Join(failed...)
}
