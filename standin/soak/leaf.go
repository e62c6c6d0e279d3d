package soak

import (
	"fmt"
	"strings"
	"sync"
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
}

// ledger holds all arrivals at all leaves.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
}

// add notes one arrival.
func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// fakeLeaf is a leaf in this process, behind a proxy.
type fakeLeaf struct {
	id, service string
	raw         *rawleaf.Leaf
	proxy       *proxy
	slots       chan struct{}
	ledger      *ledger

	mu       sync.Mutex
	work     time.Duration
	failing  bool
	draining time.Time // when its drain was written; zero: it was not
}

// slotsEach is how many requests a leaf runs at once; it declines what is over.
const slotsEach = 8

// newLeaf starts a leaf.
func newLeaf(id, service string, work time.Duration, l *ledger) (*fakeLeaf, error) {
	f := &fakeLeaf{id: id, service: service, work: work, ledger: l, slots: make(chan struct{}, slotsEach)}
	var err error
	if f.raw, err = rawleaf.New(f.answer); err != nil {
		return nil, err
	}
	if f.proxy, err = newProxy(f.raw.Address()); err != nil {
		f.raw.Close()
		return nil, err
	}
	return f, nil
}

// close ends the leaf.
func (f *fakeLeaf) close() {
	f.proxy.close()
	f.raw.Close()
}

// set changes the leaf's behaviour.
func (f *fakeLeaf) set(work time.Duration, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work, f.failing = work, failing
}

// answer runs one request.
func (f *fakeLeaf) answer(r rawleaf.Seen) rawleaf.Reply {
	id := r.Header.Get(hosted.HeaderRequest)
	a := arrival{at: time.Now(), request: id, path: r.Target, service: f.service, leaf: f.id}
	if r.Header.Get(hosted.HeaderExpect) != f.id {
		f.ledger.add(a)
		return rawleaf.Reply{Bytes: hosted.Misdirected(f.id)}
	}
	select {
	case f.slots <- struct{}{}:
	default:
		f.ledger.add(a)
		return rawleaf.Reply{Bytes: hosted.Declined()}
	}
	defer func() { <-f.slots }()
	a.ran = true
	f.ledger.add(a)
	f.mu.Lock()
	work, failing := f.work, f.failing
	f.mu.Unlock()
	time.Sleep(work)
	if failing {
		return rawleaf.Reply{End: rawleaf.Reset}
	}
	return rawleaf.Reply{Bytes: hosted.Answer(r, signature(id, f.service, f.id), records(id, f.service))}
}

// signature is a leaf's proof of its answer to a request.
func signature(request, service, leaf string) string {
	return fmt.Sprintf("%s.%s.%016x", service, leaf, xxhash.Sum64String(request+"\x00"+service+"\x00"+leaf))
}

// signedBy returns the service whose leaf signed an answer to the request; ok is
// false when the signature is of another request or of nobody.
func signedBy(sig, request string) (service string, ok bool) {
	parts := strings.Split(sig, ".")
	if len(parts) != 3 || signature(request, parts[0], parts[1]) != sig {
		return "", false
	}
	return parts[0], true
}

// records are the body of a service's answer to a request.
func records(request, service string) string {
	var b strings.Builder
	for i := range recordsEach {
		fmt.Fprintf(&b, "%0*x", recordSize, xxhash.Sum64String(fmt.Sprint(request, service, i)))
	}
	return b.String()
}
