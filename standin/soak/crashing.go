package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// The promise about a request that crashes the leaves which run it: maxLateRetries sendings
// reach leaves later than lateAfter after the third crash, by instances that are in touch.
const (
	crashesToLate  = 3
	lateAfter      = 4 * time.Second
	maxLateRetries = 3
)

const (
	// contactTime is how long an instance and the store must have been undisturbed.
	contactTime = 4 * time.Second
	// crashingInterval is the time between two sendings of a crashing request to all instances,
	// and crashingTime how long they go on at least.
	crashingInterval = 700 * time.Millisecond
	crashingTime     = 12 * time.Second
	// leafRestartTime is the time until a crashed leaf is replaced by another one.
	leafRestartTime = 3 * time.Second
)

// crashingPath is the second part of the path of crashing requests; all of a kind are the same
// request.
const crashingPath = "crash"

// crashingTarget returns the target of the crashing request of a kind.
func crashingTarget(k kind) string { return fmt.Sprintf("/%s/%s", k, crashingPath) }

// isCrashing reports whether a target is that of a crashing request.
func isCrashing(target string) bool { return strings.HasSuffix(target, "/"+crashingPath) }

// path returns the target of the request.
func (o *outcome) path() string {
	if o.target != "" {
		return o.target
	}
	return o.kind.target(o.request)
}

// crashingRequest sends a request that crashes leaves to all instances again and again.
func (r *run) crashingRequest(random *rand.Rand, lasting time.Duration) error {
	k := []kind{kindSearch, kindSearch, kindOne, kindOnce}[random.IntN(4)]
	for end := time.Now().Add(crashingTime + lasting); time.Now().Before(end); time.Sleep(crashingInterval) {
		var sendings sync.WaitGroup
		for _, n := range r.site.instances {
			request := fmt.Sprintf("%d-crash-%d", r.options.Seed, random.Uint64())
			sendings.Go(func() { r.sendCrashing(n, request, k) })
		}
		sendings.Wait()
	}
	return nil
}

// sendCrashing sends a crashing request to an instance on a connection of its own.
func (r *run) sendCrashing(n *instance, request string, k kind) {
	conn, err := net.DialTimeout("tcp", n.clients.address(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	incarnation := n.started()
	o := r.exchangeTarget(n, conn, bufio.NewReader(conn), outcome{request: request, kind: k, target: crashingTarget(k)})
	r.note(n, incarnation, o)
}

// replaceCrashed ends a leaf that a request has crashed, and replaces it after a while. It
// reports whether the leaf was still running.
func (s *site) replaceCrashed(l *fakeLeaf) bool {
	s.mu.Lock()
	running := s.leaves[l.id] == l
	delete(s.leaves, l.id)
	s.mu.Unlock()
	if !running {
		return false
	}
	go l.close()
	time.AfterFunc(leafRestartTime, func() {
		hosted.Unregister(s.server, l.id)
		if l.draining.IsZero() {
			_ = s.addLeaf(l.service, l.profile.work) // without a port the service has one leaf less
		}
	})
	return true
}

// inTouch reports whether nothing has disturbed an instance and the store for contactTime.
func (r *run) inTouch(n *instance) bool {
	now := time.Now()
	r.site.mu.Lock()
	calm := r.site.storeDisturbed.Before(now)
	r.site.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	return calm && n.disturbed.Before(now) && n.stopping.IsZero() && now.Sub(n.startedAt) > contactTime
}

// checkCrashing counts the sendings of each crashing request that reached leaves too late.
func (r *run) checkCrashing(arrivals []arrival, outcomes []outcome) {
	inTouch := make(map[string]bool)
	for i := range outcomes {
		inTouch[outcomes[i].request] = outcomes[i].inTouch
	}
	r.site.ledger.mu.Lock()
	defer r.site.ledger.mu.Unlock()
	for path, crashes := range r.site.ledger.crashes {
		if len(crashes) < crashesToLate {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		late := make(map[string]bool)
		for _, a := range arrivals {
			if a.path == path && inTouch[a.request] && a.at.After(crashes[crashesToLate-1].Add(lateAfter)) {
				late[a.request] = true
			}
		}
		if len(late) > maxLateRetries {
			r.violation(fmt.Sprintf("request %s, which crashed %d leaves, reached leaves %d times later than %v after the third, of %d allowed",
				path, len(crashes), len(late), lateAfter, maxLateRetries), "", "")
		}
	}
}
