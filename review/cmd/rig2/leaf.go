package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// leafOptions describes a leaf of a sheet.
type leafOptions struct {
	service, zone string
	slots, queue  int
	// work is the mean time of a request; spread, tail and tailFactor shape it as on the sheets.
	work             time.Duration
	spread           float64
	tail, tailFactor float64
	maxWork          time.Duration
	// Each pauseEvery the leaf pauses.
	pause, pauseEvery time.Duration
	records           int // of an answer, 16 bytes each
}

// leaf is a sound leaf: it runs requests that name it, says so of those that it does not run, and
// drops those whose connection closes.
type leaf struct {
	leafOptions
	rig      *rig
	id       string
	address  string
	born     time.Time
	server   *http.Server
	slotPool chan struct{}
	done     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	random   *rand.Rand
	queued   int
	sequence int64
	runs     map[string][]runTimes // by request
}

// runTimes are when a leaf began and ended a request; end is zero while it works.
type runTimes struct{ begin, end time.Time }

// newLeaf starts a leaf and registers it in the store.
func (r *rig) newLeaf(id string, o leafOptions) (*leaf, error) {
	return r.newLeafAt("127.0.0.1:0", id, o)
}

// newLeafAt starts a leaf at an address.
func (r *rig) newLeafAt(address, id string, o leafOptions) (*leaf, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &leaf{
		leafOptions: o, rig: r, id: id, address: l.Addr().String(), born: time.Now(), slotPool: make(chan struct{}, o.slots), done: make(chan struct{}),
		random: rand.New(rand.NewPCG(r.random.Uint64(), 2)), runs: make(map[string][]runTimes),
	}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(l) }()
	f.beat()
	go f.beatAlways()
	r.mu.Lock()
	r.leaves = append(r.leaves, f)
	r.mu.Unlock()
	return f, nil
}

// close ends the leaf.
func (f *leaf) close() {
	f.once.Do(func() {
		close(f.done)
		_ = f.server.Close()
	})
}

// beat writes the leaf's entry.
func (f *leaf) beat() {
	f.mu.Lock()
	f.sequence++
	entry := hosted.Leaf{ID: f.id, Service: f.service, Zone: f.zone, Address: f.address, Sequence: f.sequence, Born: f.born.UnixMilli()}
	first := f.sequence == 1
	f.mu.Unlock()
	if first {
		hosted.Register(f.rig.storeServer, entry)
		return
	}
	hosted.Beat(f.rig.storeServer, entry)
}

// beatAlways writes heartbeats until the leaf ends.
func (f *leaf) beatAlways() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-tick.C:
			f.beat()
		}
	}
}

// ServeHTTP implements http.Handler.
func (f *leaf) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(hosted.HeaderRequest)
	if id != "" {
		w.Header().Set(hosted.HeaderRequest, id)
	}
	if expected := q.Header.Get(hosted.HeaderExpect); expected != "" && expected != f.id {
		w.Header().Set(hosted.HeaderInstance, f.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !f.enter(q.Context()) {
		w.Header().Set(hosted.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-f.slotPool }()
	f.note(id, true)
	defer f.note(id, false)
	_, _ = io.Copy(io.Discard, q.Body)
	select {
	case <-time.After(f.workTime() + f.pauseLeft(time.Now())):
	case <-q.Context().Done():
		return
	}
	w.Header().Set(hosted.HeaderSignature, f.id+"/"+id)
	_, _ = w.Write(bytes.Join(recordsOf(f.id+"/"+id, f.records), nil))
}

// enter waits for a slot; false if the queue is full or the caller has gone.
func (f *leaf) enter(ctx context.Context) bool {
	f.mu.Lock()
	if f.queued >= f.slots+f.queue {
		f.mu.Unlock()
		return false
	}
	f.queued++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.queued--
		f.mu.Unlock()
	}()
	select {
	case f.slotPool <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// note records that the leaf begins or ends a request.
func (f *leaf) note(id string, begins bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if begins {
		f.runs[id] = append(f.runs[id], runTimes{begin: time.Now()})
		return
	}
	list := f.runs[id]
	list[len(list)-1].end = time.Now()
}

// workTime draws the time of one request.
func (f *leaf) workTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := float64(f.work) * math.Exp(f.spread*f.random.NormFloat64()-f.spread*f.spread/2)
	if f.random.Float64() < f.tail {
		x *= f.tailFactor
	}
	return min(time.Duration(x), f.maxWork)
}

// pauseLeft returns the rest of the leaf's pause.
func (f *leaf) pauseLeft(now time.Time) time.Duration {
	if f.pauseEvery == 0 {
		return 0
	}
	h := time.Duration(0)
	for _, c := range f.id {
		h = h*131 + time.Duration(c)*time.Millisecond*7
	}
	return max(0, f.pause-(now.Sub(f.rig.start)+h.Abs())%f.pauseEvery)
}

// recordsOf returns the records of a leaf's answer, by its signature.
func recordsOf(signature string, n int) [][]byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(signature))
	r := rand.New(rand.NewPCG(h.Sum64(), 3))
	out := make([][]byte, n)
	for i := range out {
		b := binary.BigEndian.AppendUint64(nil, r.Uint64())
		out[i] = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return out
}
