package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// variant breaks the holder's side on purpose, to show that the checks bite.
type variant int

const (
	variantNone                variant = iota
	dispatchBeforeClaim                // starts the request before the claim is confirmed
	retryAfterUnknown                  // releases a claim whose request may have run
	lostReplyIsFailure                 // takes a lost write reply for a write without effect
	lostReplyIsSuccess                 // takes a lost write reply for a write that took effect
	takeoverOnExpiry                   // takes a claim over when its deadline has passed
	abandonForgets                     // forgets a timed-out claim whose write is in doubt
	dispatchPastDeadline               // skips the check of the deadline
	releaseIsDoneWhenUnwritten         // lets a released holder run after all
)

// The model's size: worldKeys keys, of which keysAtOnce are asked for at a time.
const (
	worldKeys    = 30
	keysAtOnce   = 3
	worldEntries = 3
)

// worldStart is the model's first moment.
var worldStart = time.UnixMilli(1_800_000_000_000)

// request is one request of a caller at one entry.
type request struct {
	id       ClaimID
	key      int
	entry    int
	deadline time.Time
	answer   Action // first and only answer of the machine
	running  bool   // dispatched, not yet settled
	executed bool
	dead     bool // its entry was killed
	released bool
}

// node is one entry with its machine and the operation that it waits for.
type node struct {
	machine *Machine
	pending Action // Read or Write
	wakeAt  time.Time
}

// snapshot is a state of the bucket.
type snapshot struct {
	version uint64
	records Records
}

// world is a store, entries and a leaf that counts executions.
type world struct {
	pick     func(n int) int // draws from [0, n)
	broken   variant
	now      time.Time
	nodes    []*node
	history  []snapshot // of the store; the last is the present
	late     []Write    // writes whose reply was lost and that may still land
	requests []*request
	runs     [worldKeys]int    // executions per key
	results  [worldKeys]Result // of the execution
	seed     uint64
	firstKey int            // of those asked for now
	seen     map[string]int // how often something happened
	nonce    Nonce
	faults   []string
}

// newWorld makes the world; it has no records yet.
func newWorld(pick func(n int) int, broken variant) *world {
	w := &world{pick: pick, broken: broken, now: worldStart, history: []snapshot{{}}, seen: make(map[string]int)}
	for range worldEntries {
		w.nodes = append(w.nodes, w.newNode())
	}
	return w
}

// newNode makes an entry with nothing in memory.
func (w *world) newNode() *node {
	cfg := DefaultConfig()
	cfg.MaxRecords = 100
	cfg.RetryMin = 5 * time.Millisecond
	w.seed++
	return &node{machine: New(cfg, rand.New(rand.NewPCG(1, w.seed)))}
}

// fault notes a broken promise.
func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// steps are all that can happen, by name.
func (w *world) steps() map[string]func() {
	return map[string]func(){
		"claim":   w.stepClaim,
		"reply":   w.stepReply,
		"reply2":  w.stepReply, // twice as likely
		"late":    w.stepLate,
		"holder":  w.stepHolder,
		"finish":  w.stepFinish,
		"crash":   w.stepCrash,
		"time":    w.stepTime,
		"abandon": w.stepAbandon,
		"outage":  w.stepOutage,
		"next":    w.stepNextKeys,
	}
}

// handle gives an event to an entry and takes its actions.
func (w *world) handle(entry int, event Event) {
	n := w.nodes[entry]
	for _, a := range slices.Clone(n.machine.Handle(event, w.now)) {
		switch a := a.(type) {
		case Read, Write:
			if n.pending != nil {
				w.fault("entry %d has two operations in flight", entry)
			}
			n.pending = a
		case WakeAt:
			n.wakeAt = a.At
		case Granted:
			w.answered(a.ID, a)
		case Held:
			w.answered(a.ID, a)
		case Mismatch:
			w.answered(a.ID, a)
		case Unavailable:
			w.answered(a.ID, a)
		}
	}
}

// answered checks one answer of a machine.
func (w *world) answered(id ClaimID, a Action) {
	r := w.requests[id]
	if r.answer != nil {
		w.fault("request %d answered twice: %T then %T", id, r.answer, a)
		return
	}
	r.answer = a
	w.seen[fmt.Sprintf("%T", a)]++
	switch a := a.(type) {
	case Held:
		if a.State == StateRecorded && a.Result != w.results[r.key] {
			w.fault("request %d was told %v, the key's result is %v", id, a.Result, w.results[r.key])
		}
		if w.broken == takeoverOnExpiry && a.State == StateUnknown {
			w.execute(r)
		}
	case Unavailable:
		if r.executed {
			w.fault("request %d ran and was answered not_run", id)
		}
	}
}

// execute runs a request on the leaf.
func (w *world) execute(r *request) {
	r.running = true
	r.executed = true
	w.runs[r.key]++
	w.seen["run"]++
	w.results[r.key] = Result{Outcome: OutcomeComplete, Version: uint64(r.id) + 1, ShareBP: MaxShareBP}
	if w.runs[r.key] > 1 {
		w.fault("key %d ran %d times", r.key, w.runs[r.key])
	}
	if _, refused := r.answer.(Unavailable); refused {
		w.fault("request %d was answered not_run and ran", r.id)
	}
	if w.now.After(r.deadline) {
		w.fault("request %d started past its deadline", r.id)
	}
}

// stepClaim brings a request, often a resend, to some entry.
func (w *world) stepClaim() {
	r := &request{id: ClaimID(len(w.requests)), key: w.firstKey + w.pick(keysAtOnce), entry: w.pick(worldEntries)}
	r.deadline = w.now.Add(time.Duration(1+w.pick(300)) * time.Millisecond)
	w.requests = append(w.requests, r)
	w.nonce++
	fp := Fingerprint(r.key)
	w.handle(r.entry, Claim{ID: r.id, Key: Key{byte(r.key)}, Fingerprint: fp, Nonce: w.nonce, Deadline: r.deadline})
	if w.broken == dispatchBeforeClaim && r.answer == nil {
		w.execute(r)
	}
}

// stepReply ends the operation of some entry, with or without a fault.
func (w *world) stepReply() {
	entry := w.pick(worldEntries)
	n := w.nodes[entry]
	op := n.pending
	n.pending = nil
	switch op := op.(type) {
	case Read:
		w.replyRead(entry)
	case Write:
		w.replyWrite(entry, op)
	}
}

// replyRead answers a read: failed, stale or true.
func (w *world) replyRead(entry int) {
	at := len(w.history) - 1
	switch w.pick(6) {
	case 0:
		w.handle(entry, ReadFailed{})
		return
	case 1:
		at = w.pick(len(w.history))
	}
	s := w.history[at]
	w.handle(entry, ReadDone{Version: s.version, Records: s.records})
}

// replyWrite answers a write: done, refused, or lost before, after or long
// before its effect.
func (w *world) replyWrite(entry int, op Write) {
	switch w.pick(8) {
	case 0:
		w.handle(entry, WriteRefused{})
	case 1:
		w.lostReply(entry)
	case 2:
		w.apply(op)
		w.lostReply(entry)
	case 3:
		w.late = append(w.late, op)
		w.lostReply(entry)
	default:
		if w.apply(op) {
			w.handle(entry, WriteDone{Version: w.history[len(w.history)-1].version})
			return
		}
		w.handle(entry, WriteConflict{})
	}
}

// lostReply tells the machine that a write's effect is unknown.
func (w *world) lostReply(entry int) {
	n := w.nodes[entry]
	if w.broken == lostReplyIsFailure {
		w.handle(entry, WriteRefused{})
		return
	}
	if w.broken == lostReplyIsSuccess {
		w.handle(entry, WriteDone{Version: n.machine.version + 1})
		return
	}
	w.handle(entry, WriteUnknown{})
	if w.broken == abandonForgets {
		for _, c := range n.machine.waiting {
			c.maybeStored = false
		}
		n.machine.doubt = false
	}
}

// apply does a conditional write.
func (w *world) apply(op Write) bool {
	present := w.history[len(w.history)-1]
	if present.version != op.IfVersion {
		return false
	}
	w.history = append(w.history, snapshot{version: present.version + 1, records: op.Records})
	return true
}

// stepLate lands a write whose reply was lost.
func (w *world) stepLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.pick(len(w.late))
	w.apply(w.late[i])
	w.late = slices.Delete(w.late, i, i+1)
}

// choose draws one of the requests that match.
func (w *world) choose(match func(*request) bool) *request {
	var found []*request
	for _, r := range w.requests {
		if !r.dead && match(r) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[w.pick(len(found))]
}

// stepHolder lets a holder dispatch, be declined by the leaf, or give up.
func (w *world) stepHolder() {
	r := w.choose(func(r *request) bool {
		_, granted := r.answer.(Granted)
		return granted && !r.executed && !r.released
	})
	if r == nil {
		return
	}
	declined := w.pick(4) == 0
	if (!declined && MayDispatch(r.deadline, w.now)) || (w.broken == dispatchPastDeadline && !declined) {
		w.execute(r)
		return
	}
	r.released = w.broken != releaseIsDoneWhenUnwritten
	w.handle(r.entry, Release{ID: r.id})
}

// stepFinish ends an execution: its result, or a connection that broke.
func (w *world) stepFinish() {
	r := w.choose(func(r *request) bool { return r.running })
	if r == nil {
		return
	}
	r.running = false
	if w.pick(3) == 0 {
		w.results[r.key].Outcome = OutcomeUnknown
	}
	if w.broken == retryAfterUnknown && w.results[r.key].Outcome == OutcomeUnknown {
		w.handle(r.entry, Release{ID: r.id})
		return
	}
	w.handle(r.entry, Settle{ID: r.id, Result: w.results[r.key]})
}

// stepCrash kills an entry; a new one takes its place. A write that it had
// sent may land later.
func (w *world) stepCrash() {
	if w.pick(4) != 0 {
		return
	}
	entry := w.pick(worldEntries)
	if op, ok := w.nodes[entry].pending.(Write); ok && w.pick(2) == 0 {
		w.late = append(w.late, op)
	}
	for _, r := range w.requests {
		r.dead = r.dead || r.entry == entry
	}
	w.nodes[entry] = w.newNode()
}

// stepTime lets time pass and delivers due ticks.
func (w *world) stepTime() {
	w.advance(time.Duration(1+w.pick(100)) * time.Millisecond)
}

// advance moves the clock; entries that are due get a tick.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i, n := range w.nodes {
		if !n.wakeAt.IsZero() && !w.now.Before(n.wakeAt) {
			n.wakeAt = time.Time{}
			w.handle(i, Tick{})
		}
	}
}

// stepAbandon lets a caller go while its claim waits.
func (w *world) stepAbandon() {
	r := w.choose(func(r *request) bool { return r.answer == nil })
	if r == nil || r.executed {
		return
	}
	r.answer = Unavailable{ID: r.id, Reason: ReasonAbandoned}
	w.handle(r.entry, Abandon{ID: r.id})
}

// stepNextKeys lets callers go on to new keys.
func (w *world) stepNextKeys() {
	if w.pick(4) == 0 && w.firstKey+keysAtOnce < worldKeys {
		w.firstKey++
	}
}

// stepOutage tells an entry that the store is down, or up, or that it stops.
func (w *world) stepOutage() {
	event := []Event{StoreDown{}, StoreUp{}, StoreUp{}, StoreUp{}, StoreUp{}, Flush{}}[w.pick(6)]
	w.handle(w.pick(worldEntries), event)
}

// heal ends all faults and lets every live entry finish.
func (w *world) heal() {
	w.late = nil
	for i := range w.nodes {
		w.handle(i, StoreUp{})
	}
	for range 2000 {
		for i, n := range w.nodes {
			op := n.pending
			n.pending = nil
			switch op := op.(type) {
			case Read:
				s := w.history[len(w.history)-1]
				w.handle(i, ReadDone{Version: s.version, Records: s.records})
			case Write:
				if w.apply(op) {
					w.handle(i, WriteDone{Version: w.history[len(w.history)-1].version})
				} else {
					w.handle(i, WriteConflict{})
				}
			}
		}
		w.advance(5 * time.Millisecond)
	}
}
