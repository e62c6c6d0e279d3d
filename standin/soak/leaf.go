package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// recordSize and recordsEach are the size of a record and their number in a part.
const (
	recordSize  = 16
	recordsEach = 4
)

// arrival is a request that a leaf got.
type arrival struct {
	at      time.Time
	request string
	path    string
	service string
	leaf    string
	ran     bool
	// misdirected says that it named another leaf.
	misdirected bool
	// held is how long the leaf had stood still before it read the request.
	held time.Duration
}

// ledger holds all arrivals at all leaves, and the crashes of leaves by path of the request.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
	crashes  map[string][]time.Time
	// endless holds the answers without an end that are being sent.
	endless map[*endlessAnswer]struct{}
}

// addCrash records that a request crashed a leaf.
func (l *ledger) addCrash(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes == nil {
		l.crashes = make(map[string][]time.Time)
	}
	l.crashes[path] = append(l.crashes[path], time.Now())
}

// add notes one arrival.
func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// fakeLeaf is a leaf in this process, behind a proxy.
type fakeLeaf struct {
	id, service, zone string
	raw               *rawleaf.Leaf
	proxy             *proxy
	closed            chan struct{}
	closeOnce         sync.Once
	profile           leafProfile
	slots             chan struct{}
	queued            atomic.Int64 // requests that wait for a slot
	ledger            *ledger
	started           time.Time
	// report notes a broken promise.
	report func(what, request, leaf string)
	// crash ends the leaf because of a request and reports whether it was still running.
	crash func(*fakeLeaf) bool

	mu      sync.Mutex
	work    time.Duration
	failing bool
	// err spoils errShare of its answers; nil: none.
	err      leafError
	errShare float64
	// declined is the share of the requests that it declines.
	declined float64
	// resumed is closed when a leaf that stands still goes on; nil: it does not stand still.
	resumed  chan struct{}
	draining time.Time // when its drain was written or its entry removed; zero: it was not
	removed  bool      // its entry was removed
}

// newLeaf starts a leaf.
func newLeaf(id, service, zone, ip string, work time.Duration, profile leafProfile, l *ledger) (*fakeLeaf, error) {
	f := &fakeLeaf{id: id, service: service, zone: zone, work: work, profile: profile, ledger: l, slots: make(chan struct{}, profile.slots), closed: make(chan struct{})}
	var err error
	if f.raw, err = rawleaf.New(f.answer); err != nil {
		return nil, err
	}
	if f.proxy, err = newProxy(ip, f.raw.Address()); err != nil {
		f.raw.Close()
		return nil, err
	}
	go f.pauses()
	return f, nil
}

// close ends the leaf.
func (f *fakeLeaf) close() {
	f.closeOnce.Do(func() { close(f.closed) })
	f.proxy.close()
	f.raw.Close()
}

// set changes the leaf's behaviour.
func (f *fakeLeaf) set(work time.Duration, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work, f.failing = work, failing
}

// standStill stops the leaf until resume: what it is sent meanwhile arrives after that.
func (f *fakeLeaf) standStill() (resume func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed != nil {
		return func() {}
	}
	resumed := make(chan struct{})
	f.resumed = resumed
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.resumed = nil
		close(resumed)
	}
}

// setDeclined sets the share of the requests that the leaf declines.
func (f *fakeLeaf) setDeclined(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.declined = share
}

// declines draws whether the leaf declines a request.
func (f *fakeLeaf) declines() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.Float64() < f.declined
}

// awaitResume waits while the leaf stands still.
func (f *fakeLeaf) awaitResume() {
	f.mu.Lock()
	resumed := f.resumed
	f.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pauses plays the leaf's own pauses until it is closed.
func (f *fakeLeaf) pauses() {
	for f.profile.pause > 0 {
		select {
		case <-f.closed:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(f.profile.pauseInterval))):
		}
		resume := f.standStill()
		time.Sleep(f.profile.pause)
		resume()
	}
}

// takeSlot waits for a slot and reports whether there was one in time; a leaf declines what
// its queue has no room for.
func (f *fakeLeaf) takeSlot(deadline time.Duration) bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
	}
	if f.queued.Add(1) > int64(f.profile.queue) {
		f.queued.Add(-1)
		return false
	}
	defer f.queued.Add(-1)
	select {
	case f.slots <- struct{}{}:
		return true
	case <-time.After(deadline):
		return false
	}
}

// workTime draws the time that a request takes.
func (f *fakeLeaf) workTime() (work time.Duration, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(f.work) * math.Exp(f.profile.spread*rand.NormFloat64())), f.failing
}

// answer runs one request.
func (f *fakeLeaf) answer(r rawleaf.Seen) rawleaf.Reply {
	read := time.Now()
	f.awaitResume()
	id := r.Header.Get(hosted.HeaderRequest)
	a := arrival{at: time.Now(), request: id, path: r.Target, service: f.service, leaf: f.id, held: time.Since(read)}
	if r.Header.Get(hosted.HeaderExpect) != f.id {
		a.misdirected = true
		f.ledger.add(a)
		return rawleaf.Reply{Bytes: hosted.Misdirected(r, f.id)}
	}
	deadline, err := strconv.Atoi(r.Header.Get(hosted.HeaderDeadlineMS))
	if err != nil || f.declines() || !f.takeSlot(time.Duration(deadline)*time.Millisecond) {
		f.ledger.add(a)
		return rawleaf.Reply{Bytes: hosted.Declined(r)}
	}
	defer func() { <-f.slots }()
	a.ran = true
	f.ledger.add(a)
	work, failing := f.workTime()
	time.Sleep(work)
	if isCrashing(r.Target) {
		if f.crash(f) {
			f.ledger.addCrash(r.Target)
		}
		return rawleaf.Reply{End: rawleaf.Reset}
	}
	if failing {
		return rawleaf.Reply{End: rawleaf.Reset}
	}
	reply := rawleaf.Reply{Bytes: hosted.Answer(r, signature(id, f.service, f.id), records(id, f.service)), OnBody: func(body []byte) {
		if len(body) > 0 && string(body) != longBody(id) {
			f.report("a leaf got another body", id, f.id)
		}
	}}
	f.spoil(id, &reply)
	return reply
}

// signature is a leaf's proof of its answer to a request.
func signature(request, service, leaf string) string {
	return fmt.Sprintf("%s.%s.%016x", service, leaf, xxhash.Sum64String(request+"\x00"+service+"\x00"+leaf))
}

// signer is whose signature an answer to a request bears, and what it signed.
type signer struct {
	service, leaf string
	status        int
}

// signedBy returns who signed an answer to the request; ok is false when the signature is of
// another request or of nobody.
func signedBy(sig, request string) (by signer, ok bool) {
	parts := strings.Split(sig, ".")
	if len(parts) != 3 || signature(request, parts[0], parts[1]) != sig {
		return signer{}, false
	}
	by.service = parts[0]
	by.leaf, by.status = statusOf(parts[1])
	return by, true
}

// records are the body of a service's answer to a request.
func records(request, service string) string {
	var b strings.Builder
	for i := range recordsEach {
		fmt.Fprintf(&b, "%0*x", recordSize, xxhash.Sum64String(fmt.Sprint(request, service, i)))
	}
	return b.String()
}
