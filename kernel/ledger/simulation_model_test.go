package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// defect is a fault injected on the holder's side, to show that the simulation's
// checks find it.
type defect int

const (
	noDefect             defect = iota
	dispatchBeforeClaim         // starts the request before the claim is confirmed
	retryAfterUnknown           // releases a claim whose request may have run
	lostReplyIsFailure          // treats a lost write reply as a write without effect
	lostReplyIsSuccess          // treats a lost write reply as a write that took effect
	takeoverOnExpiry            // takes over a claim whose deadline has passed
	abandonForgets              // forgets a timed-out claim whose write is in doubt
	dispatchPastDeadline        // skips the check of MayDispatch
	runAfterRelease             // runs a request whose claim was released
)

// The size of the simulation: totalKeys keys, of which activeKeys are requested at
// a time.
const (
	totalKeys     = 30
	activeKeys    = 3
	instanceCount = 3
)

// simulationStart is the initial time of the clocks in tests.
var simulationStart = time.UnixMilli(1_800_000_000_000)

// request is a caller's request at one instance.
type request struct {
	id              ClaimID
	key             int
	instance        int
	deadline        time.Time
	answer          Action // the only answer of the machine, nil until then
	running         bool   // dispatched, not yet settled
	executed        bool
	instanceCrashed bool // the request is lost
	released        bool
}

// simInstance is an instance with its machine and the store operation in flight.
type simInstance struct {
	machine   *Machine
	pendingOp Action // Read or Write
	wakeAt    time.Time
}

// snapshot is the state of the bucket at one version.
type snapshot struct {
	version uint64
	records Records
}

// simulation models a store, instances and a leaf that counts executions.
type simulation struct {
	pick           func(n int) int // returns a number in [0, n)
	defect         defect
	now            time.Time
	instances      []*simInstance
	history        []snapshot // of the stored bucket; the last is the current one
	lateWrites     []Write    // writes whose reply was lost and that may still land
	requests       []*request
	executions     [totalKeys]int    // executions per key
	results        [totalKeys]Result // of each key's last execution
	lastSeed       uint64
	firstActiveKey int            // the lowest of the active keys
	eventCounts    map[string]int // by type of answer, and "run"
	lastNonce      Nonce
	violations     []string
}

// newSimulation returns a simulation with an absent bucket.
func newSimulation(pick func(n int) int, injected defect) *simulation {
	s := &simulation{pick: pick, defect: injected, now: simulationStart, history: []snapshot{{}}, eventCounts: make(map[string]int)}
	for range instanceCount {
		s.instances = append(s.instances, s.newInstance())
	}
	return s
}

// newInstance returns an instance without state.
func (s *simulation) newInstance() *simInstance {
	cfg := DefaultConfig()
	cfg.MaxRecords = 100
	cfg.RetryMin = 5 * time.Millisecond
	s.lastSeed++
	return &simInstance{machine: New(cfg, rand.New(rand.NewPCG(1, s.lastSeed)))}
}

// reportViolation records a broken guarantee.
func (s *simulation) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// steps returns the possible steps by name.
func (s *simulation) steps() map[string]func() {
	return map[string]func(){
		"claim":   s.stepClaim,
		"reply":   s.stepReply,
		"reply2":  s.stepReply, // twice as likely
		"late":    s.stepLate,
		"holder":  s.stepHolder,
		"finish":  s.stepFinish,
		"crash":   s.stepCrash,
		"time":    s.stepTime,
		"abandon": s.stepAbandon,
		"outage":  s.stepOutage,
		"next":    s.stepNextKeys,
	}
}

// handle passes an event to an instance and processes its actions.
func (s *simulation) handle(instance int, event Event) {
	n := s.instances[instance]
	for _, a := range slices.Clone(n.machine.Handle(event, s.now)) {
		switch a := a.(type) {
		case Read, Write:
			if n.pendingOp != nil {
				s.reportViolation("instance %d has two operations in flight", instance)
			}
			n.pendingOp = a
		case WakeAt:
			n.wakeAt = a.At
		case Granted:
			s.checkAnswer(a.ID, a)
		case Held:
			s.checkAnswer(a.ID, a)
		case Mismatch:
			s.checkAnswer(a.ID, a)
		case Unavailable:
			s.checkAnswer(a.ID, a)
		}
	}
}

// checkAnswer records and checks a machine's answer to a request.
func (s *simulation) checkAnswer(id ClaimID, a Action) {
	r := s.requests[id]
	if r.answer != nil {
		s.reportViolation("request %d answered twice: %T then %T", id, r.answer, a)
		return
	}
	r.answer = a
	s.eventCounts[fmt.Sprintf("%T", a)]++
	switch a := a.(type) {
	case Held:
		if a.State == StateRecorded && a.Result != s.results[r.key] {
			s.reportViolation("request %d was told %v, the key's result is %v", id, a.Result, s.results[r.key])
		}
		if s.defect == takeoverOnExpiry && a.State == StateUnknown {
			s.execute(r)
		}
	case Unavailable:
		if r.executed {
			s.reportViolation("request %d ran and was answered not_run", id)
		}
	}
}

// execute runs a request on the leaf and checks that it may run.
func (s *simulation) execute(r *request) {
	r.running = true
	r.executed = true
	s.executions[r.key]++
	s.eventCounts["run"]++
	s.results[r.key] = Result{Outcome: OutcomeComplete, Version: uint64(r.id) + 1, ShareBP: MaxShareBP}
	if s.executions[r.key] > 1 {
		s.reportViolation("key %d ran %d times", r.key, s.executions[r.key])
	}
	if _, refused := r.answer.(Unavailable); refused {
		s.reportViolation("request %d was answered not_run and ran", r.id)
	}
	if s.now.After(r.deadline) {
		s.reportViolation("request %d started past its deadline", r.id)
	}
}

// stepClaim sends a request, often one with a key that was used, to some instance.
func (s *simulation) stepClaim() {
	r := &request{id: ClaimID(len(s.requests)), key: s.firstActiveKey + s.pick(activeKeys), instance: s.pick(instanceCount)}
	r.deadline = s.now.Add(time.Duration(1+s.pick(300)) * time.Millisecond)
	s.requests = append(s.requests, r)
	s.lastNonce++
	fp := Fingerprint(r.key)
	s.handle(r.instance, Claim{ID: r.id, Key: Key{byte(r.key)}, Fingerprint: fp, Nonce: s.lastNonce, Deadline: r.deadline})
	if s.defect == dispatchBeforeClaim && r.answer == nil {
		s.execute(r)
	}
}

// stepReply completes the store operation of some instance, with or without a
// fault.
func (s *simulation) stepReply() {
	instance := s.pick(instanceCount)
	n := s.instances[instance]
	op := n.pendingOp
	n.pendingOp = nil
	switch op := op.(type) {
	case Read:
		s.replyRead(instance)
	case Write:
		s.replyWrite(instance, op)
	}
}

// replyRead answers a read with a failure, a stale or the current bucket.
func (s *simulation) replyRead(instance int) {
	at := len(s.history) - 1
	switch s.pick(6) {
	case 0:
		s.handle(instance, ReadFailed{})
		return
	case 1:
		at = s.pick(len(s.history))
	}
	state := s.history[at]
	s.handle(instance, ReadDone{Version: state.version, Records: state.records})
}

// replyWrite answers a write with its result or a refusal, or loses the reply: the
// write has no effect, has taken effect, or may take effect later.
func (s *simulation) replyWrite(instance int, op Write) {
	switch s.pick(8) {
	case 0:
		s.handle(instance, WriteRefused{})
	case 1:
		s.handleLostReply(instance)
	case 2:
		s.applyWrite(op)
		s.handleLostReply(instance)
	case 3:
		s.lateWrites = append(s.lateWrites, op)
		s.handleLostReply(instance)
	default:
		if s.applyWrite(op) {
			s.handle(instance, WriteDone{Version: s.history[len(s.history)-1].version})
			return
		}
		s.handle(instance, WriteConflict{})
	}
}

// handleLostReply reports to the machine that a write's effect is unknown.
func (s *simulation) handleLostReply(instance int) {
	n := s.instances[instance]
	if s.defect == lostReplyIsFailure {
		s.handle(instance, WriteRefused{})
		return
	}
	if s.defect == lostReplyIsSuccess {
		s.handle(instance, WriteDone{Version: n.machine.version + 1})
		return
	}
	s.handle(instance, WriteUnknown{})
	if s.defect == abandonForgets {
		for _, c := range n.machine.waiting {
			c.maybeStored = false
		}
		n.machine.inDoubt = false
	}
}

// applyWrite executes a conditional write and reports whether it took effect.
func (s *simulation) applyWrite(op Write) bool {
	current := s.history[len(s.history)-1]
	if current.version != op.IfVersion {
		return false
	}
	s.history = append(s.history, snapshot{version: current.version + 1, records: op.Records})
	return true
}

// stepLate applies a write whose reply was lost.
func (s *simulation) stepLate() {
	if len(s.lateWrites) == 0 {
		return
	}
	i := s.pick(len(s.lateWrites))
	s.applyWrite(s.lateWrites[i])
	s.lateWrites = slices.Delete(s.lateWrites, i, i+1)
}

// chooseRequest picks one of the matching requests, or nil if there is none.
func (s *simulation) chooseRequest(match func(*request) bool) *request {
	var matching []*request
	for _, r := range s.requests {
		if !r.instanceCrashed && match(r) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[s.pick(len(matching))]
}

// stepHolder makes the holder of a claim dispatch its request, or release it
// because the leaf declined or the deadline has passed.
func (s *simulation) stepHolder() {
	r := s.chooseRequest(func(r *request) bool {
		_, granted := r.answer.(Granted)
		return granted && !r.executed && !r.released
	})
	if r == nil {
		return
	}
	declined := s.pick(4) == 0
	if (!declined && MayDispatch(r.deadline, s.now)) || (s.defect == dispatchPastDeadline && !declined) {
		s.execute(r)
		return
	}
	r.released = s.defect != runAfterRelease
	s.handle(r.instance, Release{ID: r.id})
}

// stepFinish ends an execution, with a result or a broken connection.
func (s *simulation) stepFinish() {
	r := s.chooseRequest(func(r *request) bool { return r.running })
	if r == nil {
		return
	}
	r.running = false
	if s.pick(3) == 0 {
		s.results[r.key].Outcome = OutcomeUnknown
	}
	if s.defect == retryAfterUnknown && s.results[r.key].Outcome == OutcomeUnknown {
		s.handle(r.instance, Release{ID: r.id})
		return
	}
	s.handle(r.instance, Settle{ID: r.id, Result: s.results[r.key]})
}

// stepCrash replaces an instance by one without state. A write that the old one
// had sent may take effect later.
func (s *simulation) stepCrash() {
	if s.pick(4) != 0 {
		return
	}
	instance := s.pick(instanceCount)
	if op, ok := s.instances[instance].pendingOp.(Write); ok && s.pick(2) == 0 {
		s.lateWrites = append(s.lateWrites, op)
	}
	for _, r := range s.requests {
		r.instanceCrashed = r.instanceCrashed || r.instance == instance
	}
	s.instances[instance] = s.newInstance()
}

// stepTime advances the clock by a random time.
func (s *simulation) stepTime() {
	s.advance(time.Duration(1+s.pick(100)) * time.Millisecond)
}

// advance advances the clock and delivers the ticks that are due.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for i, n := range s.instances {
		if !n.wakeAt.IsZero() && !s.now.Before(n.wakeAt) {
			n.wakeAt = time.Time{}
			s.handle(i, Tick{})
		}
	}
}

// stepAbandon disconnects a caller whose claim is waiting.
func (s *simulation) stepAbandon() {
	r := s.chooseRequest(func(r *request) bool { return r.answer == nil })
	if r == nil || r.executed {
		return
	}
	r.answer = Unavailable{ID: r.id, Reason: ReasonAbandoned}
	s.handle(r.instance, Abandon{ID: r.id})
}

// stepNextKeys moves the active keys up by one.
func (s *simulation) stepNextKeys() {
	if s.pick(4) == 0 && s.firstActiveKey+activeKeys < totalKeys {
		s.firstActiveKey++
	}
}

// stepOutage tells an instance that the store is down or up, or to flush.
func (s *simulation) stepOutage() {
	event := []Event{StoreDown{}, StoreUp{}, StoreUp{}, StoreUp{}, StoreUp{}, Flush{}}[s.pick(6)]
	s.handle(s.pick(instanceCount), event)
}

// endFaults ends all faults and lets every instance finish.
func (s *simulation) endFaults() {
	s.lateWrites = nil
	for i := range s.instances {
		s.handle(i, StoreUp{})
	}
	for range 2000 {
		for i, n := range s.instances {
			op := n.pendingOp
			n.pendingOp = nil
			switch op := op.(type) {
			case Read:
				state := s.history[len(s.history)-1]
				s.handle(i, ReadDone{Version: state.version, Records: state.records})
			case Write:
				if s.applyWrite(op) {
					s.handle(i, WriteDone{Version: s.history[len(s.history)-1].version})
				} else {
					s.handle(i, WriteConflict{})
				}
			}
		}
		s.advance(5 * time.Millisecond)
	}
}
