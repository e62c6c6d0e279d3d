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
	dead chan struct{} // closed when Run has ended
}

// startEntry runs a ledger against the store and waits until it takes claims.
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

// stop kills the entry and waits for its end.
func (e *entry) stop() {
	e.kill()
	<-e.dead
}

// request builds a request of a key that is due in d.
func request(key string, d time.Duration) Request {
	return Request{Caller: "c", Service: "s", Key: key, Body: []byte(key), Deadline: time.Now().Add(d)}
}

// mustClaim claims or fails the test.
func mustClaim(t *testing.T, e *entry, key string) *Grant {
	t.Helper()
	g, err := e.Claim(t.Context(), request(key, time.Second))
	if err != nil {
		t.Fatalf("claim of %s: %v", key, err)
	}
	return g
}

// mustBeHeld claims and expects the key to be held in the given state.
func mustBeHeld(t *testing.T, e *entry, key string, want State) ledger.Result {
	t.Helper()
	_, err := e.Claim(t.Context(), request(key, time.Second))
	var held *HeldError
	if !errors.As(err, &held) || held.State != want {
		t.Fatalf("claim of %s: got %v, want held as %s", key, err, want)
	}
	return held.Result
}

// leaf counts executions by key and by request.
type leaf struct {
	mu     sync.Mutex
	byKey  map[string]int
	byName map[string]int
}

// run executes a request.
func (l *leaf) run(key, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[key]++
	l.byName[name]++
}

// fleet is a set of entries that callers ask at random, while entries are
// killed and replaced and the store misbehaves.
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
	// variant breaks the callers' side on purpose.
	variant fleetVariant
}

// fleetVariant is a broken way to use the ledger.
type fleetVariant int

const (
	fleetSound fleetVariant = iota
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

// intn draws from [0, n).
func (f *fleet) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// any draws an entry.
func (f *fleet) any() *entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[f.rng.IntN(len(f.entries))]
}

// replace kills an entry, without a flush, and starts another.
func (f *fleet) replace() {
	f.mu.Lock()
	i := f.rng.IntN(len(f.entries))
	old := f.entries[i]
	f.seed++
	f.entries[i] = startEntry(f.t, f.store, f.seed, nil)
	f.mu.Unlock()
	old.stop()
}

// caller sends a request with a key and resends it a few times, at any entry.
func (f *fleet) caller(key string) {
	for try := range 6 {
		f.ask(key, fmt.Sprintf("%s/%d", key, try))
		time.Sleep(time.Duration(f.intn(200)) * time.Millisecond)
	}
}

// ask is one request: claim, dispatch, leaf, record. An entry that is killed
// in between leaves the rest undone.
func (f *fleet) ask(key, name string) {
	e := f.any()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+f.intn(500))*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := Request{Caller: "c", Service: "s", Key: key, Body: []byte(key), Deadline: deadline}
	grant, err := e.Claim(ctx, req)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		f.answer(name, "not_run")
		if f.variant != fleetDispatchUnclaimed {
			return
		}
		f.leaf.run(key, name)
		return
	}
	if err != nil {
		f.answer(name, "held")
		return
	}
	time.Sleep(time.Duration(f.intn(300)) * time.Millisecond) // queued here, or paused
	select {
	case <-e.dead:
		return // killed before the dispatch: no answer
	default:
	}
	if !grant.MayDispatch() || f.intn(4) == 0 {
		grant.Release() // the deadline has passed, or the leaf declined
		f.answer(name, "not_run")
		return
	}
	f.leaf.run(key, name)
	time.Sleep(time.Duration(f.intn(30)) * time.Millisecond)
	if f.variant == fleetReleaseUnknown {
		grant.Release()
		return
	}
	grant.Record(complete)
	f.answer(name, "complete")
}

// answer notes the answer to a request.
func (f *fleet) answer(name, word string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[word]++
	if word == "not_run" {
		f.refused[name] = true
	}
}

// faults lists the broken promises.
func (f *fleet) faults() []string {
	var faults []string
	for key, n := range f.leaf.byKey {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for name := range f.refused {
		if f.leaf.byName[name] > 0 {
			faults = append(faults, fmt.Sprintf("request %s was answered not_run and ran", name))
		}
	}
	return faults
}
