// Package platformtest is an in-memory object API with fault injection, for tests
// of code that uses package platform. It waits on timers and contexts only, so that
// it works in the virtual time of testing/synctest.
package platformtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
)

// ErrInjected is the cause of every injected failure.
var ErrInjected = errors.New("injected fault")

// Faults are the faults to inject. Shares are in [0, 1].
type Faults struct {
	// Down fails every call at once, without effect.
	Down bool
	// Hang blocks every call until its context ends; writes have no effect.
	Hang bool
	// Latency is how long a call takes; Jitter bounds the random addition to it.
	Latency, Jitter time.Duration
	// FailReads is the share of reads that fail.
	FailReads float64
	// StaleReads is the share of Get calls that may return an earlier state.
	StaleReads float64
	// LoseRequests, LoseReplies and DelayEffects are the shares of writes that end
	// in UnknownEffectError: without effect, after the effect, and with an effect
	// that comes EffectDelay later.
	LoseRequests, LoseReplies, DelayEffects float64
	EffectDelay                             time.Duration
	// WriteRate is the limit of writes per second, above which a write gets a
	// RateLimitedError; 0 means no limit. Bursts of up to a tenth of a second's
	// writes are allowed.
	WriteRate float64
}

// Store is the in-memory object API.
type Store struct {
	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	revision   uint64
	objects    map[objectKey][]platformapi.Object // the latest states, oldest first
	calls      map[platform.Call]int
	changed    chan struct{}
	tokens     float64 // of the token bucket of writes
	refilledAt time.Time
}

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// maxHistory bounds the states of an object that are kept for stale reads.
const maxHistory = 4

// New returns an empty store that draws its random faults from the seed.
func New(seed uint64) *Store {
	return &Store{
		rng:     rand.New(rand.NewPCG(seed, 11)),
		objects: make(map[objectKey][]platformapi.Object),
		calls:   make(map[platform.Call]int),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls of a type.
func (s *Store) Calls(c platform.Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// callPlan holds the faults of one call and its random choices.
type callPlan struct {
	faults  Faults
	latency time.Duration
	roll    float64
	staleBy int
}

// startCall counts a call and draws its random choices.
func (s *Store) startCall(c platform.Call) callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c]++
	p := callPlan{faults: s.faults, latency: s.faults.Latency, roll: s.rng.Float64(), staleBy: s.rng.IntN(maxHistory)}
	if s.faults.Jitter > 0 {
		p.latency += time.Duration(s.rng.Int64N(int64(s.faults.Jitter)))
	}
	return p
}

// waitLatency waits for the call's latency. It returns false if the context ends first.
func (p callPlan) waitLatency(ctx context.Context) bool {
	if p.faults.Hang {
		<-ctx.Done()
		return false
	}
	if p.latency <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(p.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startRead starts a read, waits for its latency and returns the injected error, if
// any.
func (s *Store) startRead(ctx context.Context, c platform.Call) (callPlan, error) {
	p := s.startCall(c)
	if p.faults.Down {
		return p, &platform.UnavailableError{Call: c, Err: ErrInjected}
	}
	if !p.waitLatency(ctx) {
		return p, &platform.UnavailableError{Call: c, Err: ctx.Err()}
	}
	if p.roll < p.faults.FailReads {
		return p, &platform.UnavailableError{Call: c, Err: ErrInjected}
	}
	return p, nil
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, kind, name string) (platformapi.Object, error) {
	p, err := s.startRead(ctx, platform.CallGet)
	if err != nil {
		return platformapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	states := s.objects[objectKey{kind, name}]
	index := len(states) - 1
	if p.roll > 1-p.faults.StaleReads {
		index = max(-1, index-p.staleBy)
	}
	if index < 0 || states[index].Version == 0 {
		return platformapi.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
	}
	return states[index], nil
}

// List reads all objects of a kind.
func (s *Store) List(ctx context.Context, kind string) (platformapi.List, error) {
	if _, err := s.startRead(ctx, platform.CallList); err != nil {
		return platformapi.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platformapi.List{Revision: s.revision}
	for key, states := range s.objects {
		if obj := states[len(states)-1]; key.kind == kind && obj.Version > 0 {
			list.Objects = append(list.Objects, obj)
		}
	}
	slices.SortFunc(list.Objects, func(a, b platformapi.Object) int { return int(a.Version) - int(b.Version) })
	return list, nil
}

// Watch waits at most wait for a change of a kind after revision since.
func (s *Store) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error) {
	if _, err := s.startRead(ctx, platform.CallWatch); err != nil {
		return platformapi.Events{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, changed := s.eventsSince(kind, since)
		if len(events.Events) > 0 {
			return events, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, nil
		case <-ctx.Done():
			return platformapi.Events{}, &platform.UnavailableError{Call: platform.CallWatch, Err: ctx.Err()}
		}
	}
}

// eventsSince returns the changes after a revision, oldest first, and a channel
// that is closed at the next change.
func (s *Store) eventsSince(kind string, since uint64) (platformapi.Events, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := platformapi.Events{Revision: max(since, s.revision)}
	for key, states := range s.objects {
		obj := states[len(states)-1]
		if key.kind == kind && obj.Version > since {
			events.Events = append(events.Events, platformapi.Event{Object: obj})
		}
	}
	slices.SortFunc(events.Events, func(a, b platformapi.Event) int { return int(a.Object.Version) - int(b.Object.Version) })
	return events, s.changed
}

// Put writes an object if its version is ifVersion, where 0 means absent.
func (s *Store) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	p := s.startCall(platform.CallPut)
	f := p.faults
	if f.Down {
		return 0, &platform.UnavailableError{Call: platform.CallPut, Err: ErrInjected}
	}
	if !s.allowWrite() {
		return 0, &platform.RateLimitedError{Call: platform.CallPut}
	}
	if !p.waitLatency(ctx) {
		return 0, &platform.UnknownEffectError{Call: platform.CallPut, Err: ctx.Err()}
	}
	lost := &platform.UnknownEffectError{Call: platform.CallPut, Err: ErrInjected}
	switch {
	case p.roll < f.LoseRequests:
		return 0, lost
	case p.roll < f.LoseRequests+f.LoseReplies:
		_, _ = s.apply(kind, name, ifVersion, value)
		return 0, lost
	case p.roll < f.LoseRequests+f.LoseReplies+f.DelayEffects:
		time.AfterFunc(f.EffectDelay, func() { _, _ = s.apply(kind, name, ifVersion, value) })
		return 0, lost
	}
	return s.apply(kind, name, ifVersion, value)
}

// burstSeconds is the size of the token bucket of writes, in seconds of WriteRate.
const burstSeconds = 0.1

// allowWrite takes a token from the bucket of writes. It returns false if the bucket is
// empty, and true without a token if there is no write rate.
func (s *Store) allowWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.faults.WriteRate
	if rate <= 0 {
		return true
	}
	now := time.Now()
	s.tokens = min(rate*burstSeconds, s.tokens+rate*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// apply writes an object if its version is ifVersion.
func (s *Store) apply(kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	states := s.objects[key]
	var current uint64
	if len(states) > 0 {
		current = states[len(states)-1].Version
	}
	if current != ifVersion {
		return 0, &platform.ConflictError{Kind: kind, Name: name, Version: current}
	}
	s.revision++
	states = append(states, platformapi.Object{Kind: kind, Name: name, Version: s.revision, Value: slices.Clone(value)})
	if len(states) > maxHistory {
		states = slices.Clone(states[1:])
	}
	s.objects[key] = states
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}
