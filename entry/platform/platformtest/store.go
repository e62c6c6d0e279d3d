// Package platformtest is an in-memory object API with faults, for tests of
// what uses the platform. It waits with time.Sleep and timers only, so that it
// works in virtual time.
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

// ErrInjected is the cause of every failure that the store makes up.
var ErrInjected = errors.New("fault of the test store")

// Faults are what goes wrong. Shares are in [0, 1].
type Faults struct {
	// Down fails every call at once, without effect.
	Down bool
	// Hang keeps every call until its context ends; writes have no effect.
	Hang bool
	// Latency is how long a call takes; Jitter is the most added to it.
	Latency, Jitter time.Duration
	// FailReads is the share of reads that fail.
	FailReads float64
	// StaleReads is the share of reads that show an earlier state.
	StaleReads float64
	// LoseRequests, LoseReplies and DelayEffects are the shares of writes whose reply
	// is lost: before an effect, after it, and with an effect EffectDelay later.
	LoseRequests, LoseReplies, DelayEffects float64
	EffectDelay                             time.Duration
	// WriteRate is the most writes a second, more get RateLimitedError; 0 is
	// no limit. Up to a tenth of a second's writes may come at once.
	WriteRate float64
}

// Store is the in-memory object API.
type Store struct {
	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	revision uint64
	objects  map[id][]platformapi.Object // history, the last is the present
	calls    map[platform.Call]int
	changed  chan struct{}
	tokens   float64 // writes that may come at once now
	filledAt time.Time
}

// id names an object.
type id struct{ kind, name string }

// history bounds the states kept of an object for stale reads.
const history = 4

// New makes an empty store whose faults are drawn from the seed.
func New(seed uint64) *Store {
	return &Store{
		rng:     rand.New(rand.NewPCG(seed, 11)),
		objects: make(map[id][]platformapi.Object),
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

// Calls is how many calls of a kind were made.
func (s *Store) Calls(c platform.Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// draws are the random choices of one call.
type draws struct {
	faults Faults
	wait   time.Duration
	share  float64
	pick   int
}

// begin counts a call and draws what becomes of it.
func (s *Store) begin(c platform.Call) draws {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c]++
	d := draws{faults: s.faults, wait: s.faults.Latency, share: s.rng.Float64(), pick: s.rng.IntN(history)}
	if s.faults.Jitter > 0 {
		d.wait += time.Duration(s.rng.Int64N(int64(s.faults.Jitter)))
	}
	return d
}

// delay waits for the call's latency; false says that the context ended first.
func (d draws) delay(ctx context.Context) bool {
	if d.faults.Hang {
		<-ctx.Done()
		return false
	}
	if d.wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// read begins a reading call and fails it if the faults say so.
func (s *Store) read(ctx context.Context, c platform.Call) (draws, error) {
	d := s.begin(c)
	if d.faults.Down {
		return d, &platform.UnavailableError{Call: c, Err: ErrInjected}
	}
	if !d.delay(ctx) {
		return d, &platform.UnavailableError{Call: c, Err: ctx.Err()}
	}
	if d.share < d.faults.FailReads {
		return d, &platform.UnavailableError{Call: c, Err: ErrInjected}
	}
	return d, nil
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, kind, name string) (platformapi.Object, error) {
	d, err := s.read(ctx, platform.CallGet)
	if err != nil {
		return platformapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	states := s.objects[id{kind, name}]
	at := len(states) - 1
	if d.share > 1-d.faults.StaleReads {
		at = max(-1, at-d.pick)
	}
	if at < 0 || states[at].Version == 0 {
		return platformapi.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
	}
	return states[at], nil
}

// List reads all objects of a kind.
func (s *Store) List(ctx context.Context, kind string) (platformapi.List, error) {
	if _, err := s.read(ctx, platform.CallList); err != nil {
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

// Watch waits for a change of a kind after since.
func (s *Store) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error) {
	if _, err := s.read(ctx, platform.CallWatch); err != nil {
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

// eventsSince gives the changes after a revision, oldest first, and a channel
// that closes at the next one.
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

// Put writes an object if it stands at version ifVersion.
func (s *Store) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	d := s.begin(platform.CallPut)
	f := d.faults
	if f.Down {
		return 0, &platform.UnavailableError{Call: platform.CallPut, Err: ErrInjected}
	}
	if !s.allowWrite() {
		return 0, &platform.RateLimitedError{Call: platform.CallPut}
	}
	if !d.delay(ctx) {
		return 0, &platform.UnknownEffectError{Call: platform.CallPut, Err: ctx.Err()}
	}
	lost := &platform.UnknownEffectError{Call: platform.CallPut, Err: ErrInjected}
	switch {
	case d.share < f.LoseRequests:
		return 0, lost
	case d.share < f.LoseRequests+f.LoseReplies:
		_, _ = s.apply(kind, name, ifVersion, value)
		return 0, lost
	case d.share < f.LoseRequests+f.LoseReplies+f.DelayEffects:
		time.AfterFunc(f.EffectDelay, func() { _, _ = s.apply(kind, name, ifVersion, value) })
		return 0, lost
	}
	return s.apply(kind, name, ifVersion, value)
}

// burstTime is the time whose writes may come at once under a WriteRate.
const burstTime = 0.1

// allowWrite takes a token of the write rate, if there is one.
func (s *Store) allowWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.faults.WriteRate
	if rate <= 0 {
		return true
	}
	now := time.Now()
	s.tokens = min(rate*burstTime, s.tokens+rate*now.Sub(s.filledAt).Seconds())
	s.filledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// apply does a conditional write.
func (s *Store) apply(kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := id{kind, name}
	states := s.objects[key]
	var present uint64
	if len(states) > 0 {
		present = states[len(states)-1].Version
	}
	if present != ifVersion {
		return 0, &platform.ConflictError{Kind: kind, Name: name, Version: present}
	}
	s.revision++
	states = append(states, platformapi.Object{Kind: kind, Name: name, Version: s.revision, Value: slices.Clone(value)})
	if len(states) > history {
		states = slices.Clone(states[1:])
	}
	s.objects[key] = states
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}
