package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// recordSize is the length of a record.
const recordSize = 16

// runEntry is one run of a request on a leaf.
type runEntry struct {
	request, service, leaf, stamp string
	status                        int
	body                          []byte
	at                            time.Time
	garbled                       bool // the leaf handed out wrong bytes instead of the answer
}

// ledger holds what the leaves ran. It is safe for concurrent use.
type ledger struct {
	record  *record
	mu      sync.Mutex
	byStamp map[string]runEntry
	runs    map[string][]runEntry // by request
}

func newLedger(r *record) *ledger {
	return &ledger{record: r, byStamp: make(map[string]runEntry), runs: make(map[string][]runEntry)}
}

// add notes that a leaf begins to run a request.
func (l *ledger) add(e runEntry) {
	l.mu.Lock()
	l.byStamp[e.stamp] = e
	l.runs[e.request] = append(l.runs[e.request], e)
	l.mu.Unlock()
	if e.status != http.StatusOK {
		l.record.add("leaf %s of %s runs %s and fails it with status %d, stamp %s", e.leaf, e.service, e.request, e.status, e.stamp)
	}
}

// stamped returns the run with a stamp.
func (l *ledger) stamped(stamp string) (runEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byStamp[stamp]
	return e, ok
}

// markGarbled notes that the leaf hands out wrong bytes instead of the answer to a request.
func (l *ledger) markGarbled(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.runs[request] {
		l.runs[request][i].garbled = true
	}
}

// describe returns, for the record, how many leaves began to run a request, and when the first did.
func (l *ledger) describe(request string) string {
	runs := l.runsOf(request)
	if len(runs) == 0 {
		return "run by no leaf"
	}
	return fmt.Sprintf("run by %d leaves, the first at %.3f", len(runs), runs[0].at.Sub(l.record.start).Seconds())
}

// runsOf returns the runs of a request.
func (l *ledger) runsOf(request string) []runEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[request])
}

// workTimes describes how long a leaf works.
type workTimes struct {
	mean, spread, tailShare, tailFactor, maxMS float64
	// pause is how long it stands still, about each pauseEvery; 0: never.
	pause, pauseEvery time.Duration
}

// draw returns the time of one run.
func (w workTimes) draw() time.Duration {
	ms := w.mean * math.Exp(w.spread*rand.NormFloat64()-w.spread*w.spread/2)
	if rand.Float64() < w.tailShare {
		ms *= w.tailFactor
	}
	return time.Duration(min(ms, w.maxMS) * float64(time.Millisecond))
}

// leaf is a stand-in of a leaf that follows the pages.
type leaf struct {
	site              *site
	id, service, zone string
	raw               *rawleaf.Leaf
	slots             chan struct{}
	queued            chan struct{} // places in the queue
	times             workTimes
	speed             float64
	bodyBytes         int
	address           string // where it is registered

	mu sync.Mutex
	// fail is the share of the requests that it runs and fails, with failStatus.
	fail       float64
	failStatus []int
	pausedTill time.Time
	stop       chan struct{}
	stopOnce   sync.Once
}

// queueLength is the number of requests that wait at a leaf.
const queueLength = 12

// addLeaf starts a leaf and registers it.
func (s *site) addLeaf(id, service, zone string, slots, bodyBytes int, speed float64, times workTimes) (*leaf, error) {
	l := &leaf{
		site: s, id: id, service: service, zone: zone, slots: make(chan struct{}, slots), queued: make(chan struct{}, queueLength),
		times: times, speed: speed, bodyBytes: bodyBytes, stop: make(chan struct{}),
	}
	var err error
	if l.raw, err = rawleaf.New(l.answer); err != nil {
		return nil, err
	}
	l.address = l.raw.Address()
	s.leaves = append(s.leaves, l)
	hosted.Register(s.store, l.entry(0))
	if times.pause > 0 {
		go l.pauses()
	}
	return l, nil
}

func (l *leaf) entry(sequence int64) hosted.Leaf {
	return hosted.Leaf{ID: l.id, Service: l.service, Zone: l.zone, Address: l.address, Sequence: sequence}
}

func (l *leaf) close() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.raw.Close()
}

// pauses lets the leaf stand still for a moment now and then.
func (l *leaf) pauses() {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(l.times.pauseEvery))):
		}
		l.mu.Lock()
		l.pausedTill = time.Now().Add(l.times.pause)
		l.mu.Unlock()
	}
}

func (l *leaf) awaitPause() {
	l.mu.Lock()
	till := l.pausedTill
	l.mu.Unlock()
	time.Sleep(time.Until(till))
}

// setFailing sets the share of the requests that fail, and the statuses of these failures.
func (l *leaf) setFailing(share float64, status ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail, l.failStatus = share, status
}

// drawStatus returns the status of the next run.
func (l *leaf) drawStatus() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rand.Float64() < l.fail {
		return l.failStatus[rand.IntN(len(l.failStatus))]
	}
	return http.StatusOK
}

// answer answers one request.
func (l *leaf) answer(r rawleaf.Seen) rawleaf.Reply {
	id := r.Header.Get(hosted.HeaderRequest)
	echo := hosted.HeaderRequest + ": " + id
	if r.Target == "/health" {
		return rawleaf.Reply{Bytes: rawleaf.Response(http.StatusOK, "", hosted.HeaderInstance+": "+l.id)}
	}
	if r.Header.Get(hosted.HeaderExpect) != l.id {
		return rawleaf.Reply{Bytes: rawleaf.Response(http.StatusMisdirectedRequest, "", echo, hosted.HeaderInstance+": "+l.id)}
	}
	ms, err := strconv.Atoi(r.Header.Get(hosted.HeaderDeadlineMS))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if err != nil || !l.takeSlot(deadline) {
		l.site.record.add("leaf %s of %s rejects %s, not executed", l.id, l.service, id)
		return rawleaf.Reply{Bytes: rawleaf.Response(http.StatusServiceUnavailable, "", echo, hosted.HeaderNotRun+": 1")}
	}
	defer func() { <-l.slots }()
	l.awaitPause()
	e := runEntry{request: id, service: l.service, leaf: l.id, status: l.drawStatus(), at: time.Now()}
	e.stamp = fmt.Sprintf("%08x.%08x", rand.Uint32(), sum(id+l.id))
	e.body = l.records(id)
	if e.status != http.StatusOK {
		e.body = fmt.Appendf(nil, "{\"error\":%q,\"leaf\":%q}", http.StatusText(e.status), l.id)
	}
	l.site.seen.add(e)
	time.Sleep(time.Duration(l.speed * float64(l.times.draw())))
	l.awaitPause()
	if time.Now().After(deadline) {
		return rawleaf.Reply{Bytes: rawleaf.Response(http.StatusGatewayTimeout, "", echo, hosted.HeaderSignature+": "+e.stamp)}
	}
	return rawleaf.Reply{Bytes: rawleaf.Response(e.status, string(e.body), echo, hosted.HeaderSignature+": "+e.stamp)}
}

// takeSlot waits for a slot until the deadline; false: the queue is full or the deadline has passed.
func (l *leaf) takeSlot(deadline time.Time) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case l.queued <- struct{}{}:
	default:
		return false
	}
	defer func() { <-l.queued }()
	select {
	case l.slots <- struct{}{}:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}

func sum(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

// records returns the body of an answer: records in no order.
func (l *leaf) records(request string) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < l.bodyBytes; i++ {
		fmt.Fprintf(&b, "%08x%08x", sum(fmt.Sprint(request, l.service, i)), sum(fmt.Sprint(i, l.service, request)))
	}
	return b.Bytes()
}

// greatest returns the greatest records of some bodies, falling.
func greatest(bodies [][]byte, most int) []byte {
	var all [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			all = append(all, b[:recordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(most, len(all))], nil)
}
