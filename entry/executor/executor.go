// Package executor runs queries: one goroutine per query drives the query's
// state machine, one pool per upstream drives the dispatch machine, and one
// goroutine per running attempt talks to a leaf. All decisions are the
// kernel's; this package turns its actions into I/O and I/O into its events.
package executor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Leaves carries one attempt to one leaf; *leafclient.Client does it.
type Leaves interface {
	Run(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error)
}

// LeafObserver takes what replies show of leaves: a drain mark, and a start that was not
// known. A birth of 0 is not known. It must not block.
type LeafObserver interface {
	ObserveDraining(leafID string, born int64)
	ObserveStart(leafID string, born int64)
	// GossipNow asks to tell the peers at once what the quarantine learnt.
	GossipNow()
}

// Request is one caller's checked request.
type Request struct {
	View    *view.View
	Service *view.Service
	Caller  *document.Caller
	Body    []byte
	// Passed is the request where it is handed on to leaves as it came; see Forward.
	Passed   *leafclient.Passed
	Key      string // Idempotency-Key, "" if none was given
	Start    time.Time
	Deadline time.Time
	// Way is the time that the request and its answer spend between caller and
	// instance; 0 where that is not known.
	Way time.Duration
	// Only, if it is set, limits the request to the shards that this instance gathers
	// for another. Interim receives what there is when an answer is due, and again with
	// each part that comes later; it must not block.
	Only    []query.Group
	Interim func(*query.Answer)
}

// way is Way, or what is assumed of it.
func (r *Request) way() time.Duration {
	if r.Way <= 0 {
		return margin.DefaultNetworkDelay
	}
	return r.Way
}

// Config is what an executor needs.
type Config struct {
	Leaves       Leaves
	LeafObserver LeafObserver
	Log          *telemetry.Log
	Metrics      *telemetry.Metrics
	Policies     Policies
	// Zone is this instance's availability zone.
	Zone string
	// Seed seeds the kernel's random choices.
	Seed uint64
	// FleetKey is the entries' shared secret; fingerprints are keyed by it.
	FleetKey []byte
	// MaxQueries is the most queries in progress at once; 0 sets no bound.
	MaxQueries int
	// MaxQueue is the most attempts that wait per shard; 0 sets no bound but time.
	MaxQueue int
	// Ages says how old the configuration and the list of leaves in force are,
	// for the log; nil where that is not known.
	Ages func() (config, leaves time.Duration)
	// Gatherer has parts of queries gathered by other instances; nil: none are.
	Gatherer Gatherer
	// RepeatSlack is this instance's part, in (0, 1], of the repeats of an upstream of
	// so many shards that all instances may make without any request; it may change.
	// Nil means all of them.
	RepeatSlack func(shards int) float64
	// Ledger claims the keys of non-idempotent requests.
	Ledger Ledger
	// LostToSuspect is how many different leaves must be lost under a request that none
	// ran to its end before it is suspected of breaking them, for leaf protocols whose
	// connections end for many reasons; 0: losses prove nothing.
	LostToSuspect int
	// QuarantineFor is how long a request that breaks leaves is refused; 0 means ten
	// minutes.
	QuarantineFor time.Duration
}

// Executor runs queries. It is safe for concurrent use.
type Executor struct {
	config     Config
	leafState  *leafState
	quarantine *quarantineState
	stamp      atomic.Uint64
	inFlight   sync.WaitGroup
	running    atomic.Int64

	mu       sync.RWMutex
	pools    map[string]*pool         // by upstream name
	services map[string]*serviceState // by service name

	arrivals *arrivals
	margins  margins

	runsMu sync.Mutex
	runs   map[*run]struct{}
}

// New makes an executor. The policies must have passed their Check.
func New(c Config) *Executor {
	return &Executor{
		config:     c,
		leafState:  newLeafState(),
		quarantine: newQuarantineState(c.FleetKey, c.QuarantineFor),
		pools:      make(map[string]*pool),
		services:   make(map[string]*serviceState),
		runs:       make(map[*run]struct{}),
		arrivals:   newArrivals(c.RepeatSlack),
	}
}

// Running is the number of queries in flight.
func (e *Executor) Running() int64 { return e.running.Load() }

// Wait returns when no query is in flight, or with the context's error.
func (e *Executor) Wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextStamp gives a query its place in the one order of all work: the time of
// its admission, made unique within this entry. Stamps of different entries
// compare as well as their clocks agree.
func (e *Executor) nextStamp(now time.Time) uint64 {
	at := uint64(now.UnixNano())
	for {
		last := e.stamp.Load()
		next := max(at, last+1)
		if e.stamp.CompareAndSwap(last, next) {
			return next
		}
	}
}

// pool returns the pool of an upstream, brought up to the view.
func (e *Executor) pool(v *view.View, upstream int) *pool {
	name := v.Upstreams[upstream].Name
	e.mu.RLock()
	p, ok := e.pools[name]
	e.mu.RUnlock()
	if !ok {
		p = e.addPool(name, v, upstream)
	}
	p.follow(v)
	return p
}

// addPool makes the pool of an upstream, unless another goroutine has just done so.
func (e *Executor) addPool(name string, v *view.View, upstream int) *pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pools[name]
	if !ok {
		p = newPool(e, name, v, upstream)
		e.pools[name] = p
	}
	return p
}

// Follow takes a new view. It is called for each view before queries use it,
// and tells the queries in flight, which may have to ask split shards again.
func (e *Executor) Follow(v *view.View) {
	e.leafState.follow(v)
	pools := e.allPools()
	e.runsMu.Lock()
	runs := slices.Collect(maps.Keys(e.runs))
	e.runsMu.Unlock()
	for _, p := range pools {
		p.follow(v)
	}
	for _, r := range runs {
		r.mail.put(query.ViewChanged{View: v})
	}
}

// register makes a query hear of new views.
func (e *Executor) register(r *run) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	e.runs[r] = struct{}{}
}

// unregister ends that.
func (e *Executor) unregister(r *run) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	delete(e.runs, r)
}

// missing is the kernel's reason of a part, for people.
func missing(m query.Missing) string {
	if m.Reason == "" {
		return "no reply in time"
	}
	return m.Reason
}
