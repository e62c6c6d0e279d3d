package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// complete is the result of a request that ran.
var complete = ledger.Result{Outcome: ledger.OutcomeComplete, Version: 7, ShareBP: ledger.MaxShareBP}

// entry is one running ledger.
type entry struct {
	*Ledger
	kill func()
	dead chan struct{} // closed when Run has returned
}

// startEntry starts a ledger on the store. It does not wait until the ledger is
// ready.
func startEntry(t *testing.T, store Store, seed byte, change func(*Config)) *entry {
	t.Helper()
	cfg := Config{Store: store, Buckets: 2, Seed: [32]byte{seed, 1}}
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{Ledger: l, kill: cancel, dead: make(chan struct{})}
	go func() {
		defer close(e.dead)
		_ = l.Run(ctx)
	}()
	t.Cleanup(e.stop)
	return e
}

// stop kills the entry, without a flush, and waits until Run has returned.
func (e *entry) stop() {
	e.kill()
	<-e.dead
}

// request returns a request with the key and a deadline in d.
func request(key string, d time.Duration) Request {
	return Request{Caller: "c", Service: "s", Key: key, Body: []byte(key), Deadline: time.Now().Add(d)}
}

// mustClaim claims the key and fails the test if the claim is not granted.
func mustClaim(t *testing.T, e *entry, key string) *Grant {
	t.Helper()
	g, err := e.Claim(t.Context(), request(key, time.Second))
	if err != nil {
		t.Fatalf("claim of %s: %v", key, err)
	}
	return g
}

// mustBeHeld claims the key and fails the test unless an earlier request holds it
// in the given state. It returns the recorded result.
func mustBeHeld(t *testing.T, e *entry, key string, want State) ledger.Result {
	t.Helper()
	_, err := e.Claim(t.Context(), request(key, time.Second))
	var held *HeldError
	if !errors.As(err, &held) || held.State != want {
		t.Fatalf("claim of %s: got %v, want held as %s", key, err, want)
	}
	return held.Result
}

// leaf counts executions, by key and by name of the request.
type leaf struct {
	mu     sync.Mutex
	byKey  map[string]int
	byName map[string]int
}

// run counts one execution of a request.
func (l *leaf) run(key, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[key]++
	l.byName[name]++
}

// fleet is a set of entries to which callers send requests at random, while
// entries are killed and replaced and the store has faults.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	leaf    *leaf
	mu      sync.Mutex
	rng     *rand.Rand
	entries []*entry
	seed    byte
	answers map[string]int
	refused map[string]bool // requests that were answered not_run
	// variant is how the entries use the ledger: correctly, or with a known fault.
	variant fleetVariant
}

// fleetVariant is a correct or faulty way to use the ledger.
type fleetVariant int

const (
	fleetCorrect fleetVariant = iota
	fleetDispatchUnclaimed
	fleetReleaseUnknown
)

// newFleet starts n entries.
func newFleet(t *testing.T, seed uint64, n int) *fleet {
	f := &fleet{
		t:       t,
		store:   platformtest.New(seed),
		leaf:    &leaf{byKey: make(map[string]int), byName: make(map[string]int)},
		rng:     rand.New(rand.NewPCG(seed, 5)),
		answers: make(map[string]int),
		refused: make(map[string]bool),
	}
	for range n {
		f.seed++
		f.entries = append(f.entries, startEntry(t, f.store, f.seed, nil))
	}
	return f
}

// intn returns a random number in [0, n).
func (f *fleet) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// randomEntry returns an entry at random.
func (f *fleet) randomEntry() *entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[f.rng.IntN(len(f.entries))]
}

// replaceEntry kills an entry, without a flush, and starts another in its place.
func (f *fleet) replaceEntry() {
	f.mu.Lock()
	i := f.rng.IntN(len(f.entries))
	old := f.entries[i]
	f.seed++
	f.entries[i] = startEntry(f.t, f.store, f.seed, nil)
	f.mu.Unlock()
	old.stop()
}

// sendAndResend sends a request with the key and resends it five times, each time
// to an entry at random.
func (f *fleet) sendAndResend(key string) {
	for try := range 6 {
		f.sendRequest(key, fmt.Sprintf("%s/%d", key, try))
		time.Sleep(time.Duration(f.intn(200)) * time.Millisecond)
	}
}

// sendRequest sends one request, whose entry claims the key, dispatches to the
// leaf and records the result. If the entry was killed before the dispatch, the
// request has no answer.
func (f *fleet) sendRequest(key, name string) {
	e := f.randomEntry()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+f.intn(500))*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := Request{Caller: "c", Service: "s", Key: key, Body: []byte(key), Deadline: deadline}
	grant, err := e.Claim(ctx, req)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		f.recordAnswer(name, "not_run")
		if f.variant != fleetDispatchUnclaimed {
			return
		}
		f.leaf.run(key, name)
		return
	}
	if err != nil {
		f.recordAnswer(name, "held")
		return
	}
	time.Sleep(time.Duration(f.intn(300)) * time.Millisecond) // time in the queue, or a pause of the process
	select {
	case <-e.dead:
		return // killed before the dispatch: no answer
	default:
	}
	if !grant.MayDispatch() || f.intn(4) == 0 {
		grant.Release() // the deadline has passed, or the leaf declined
		f.recordAnswer(name, "not_run")
		return
	}
	f.leaf.run(key, name)
	time.Sleep(time.Duration(f.intn(30)) * time.Millisecond)
	if f.variant == fleetReleaseUnknown {
		grant.Release()
		return
	}
	grant.Record(complete)
	f.recordAnswer(name, "complete")
}

// recordAnswer records the answer to a request.
func (f *fleet) recordAnswer(name, word string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[word]++
	if word == "not_run" {
		f.refused[name] = true
	}
}

// violations lists the keys that ran more than once and the requests that ran
// though they were answered not_run.
func (f *fleet) violations() []string {
	var violations []string
	for key, n := range f.leaf.byKey {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for name := range f.refused {
		if f.leaf.byName[name] > 0 {
			violations = append(violations, fmt.Sprintf("request %s was answered not_run and ran", name))
		}
	}
	return violations
}
