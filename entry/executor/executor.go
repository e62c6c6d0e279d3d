// Package executor runs queries: one goroutine per query drives the query's
// state machine, one pool per upstream drives the dispatch machine, and one
// goroutine per running attempt talks to a leaf. All decisions are the
// kernel's; this package performs the I/O of its actions and reports the results as events.
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

// LeafClient sends one attempt to one leaf; *leafclient.Client implements it.
type LeafClient interface {
	Run(ctx context.Context, t leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error)
}

// LeafObserver is notified of what replies show about leaves: that a leaf drains, and a start
// time that was not known. startMS is the leaf's start in Unix milliseconds by its own clock;
// 0 is unknown. The methods must not block.
type LeafObserver interface {
	ObserveDraining(leafID string, startMS int64)
	ObserveStart(leafID string, startMS int64)
	// GossipNow asks for the quarantine's changes to be sent to the peers at once.
	GossipNow()
}

// Request is one caller's validated request.
type Request struct {
	View    *view.View
	Service *view.Service
	Caller  *document.Caller
	Body    []byte
	// Forwarded is the caller's HTTP request if it is sent to leaves unchanged, else nil;
	// see Forward.
	Forwarded *leafclient.ForwardedRequest
	Key       string // Idempotency-Key, "" if none was given
	Start     time.Time
	Deadline  time.Time
	// NetworkDelay is the time that the request and its answer together spend on the
	// network between caller and instance; 0 is unknown.
	NetworkDelay time.Duration
	// OnlyShards, if set, limits the request to the shards that this instance gathers
	// for another. OnInterim then receives the answer so far when the answer is due, and
	// again with each part that arrives later; it must not block.
	OnlyShards []query.Group
	OnInterim  func(*query.Answer)
}

// networkDelay returns NetworkDelay, or the default where it is unknown.
func (r *Request) networkDelay() time.Duration {
	if r.NetworkDelay <= 0 {
		return margin.DefaultNetworkDelay
	}
	return r.NetworkDelay
}

// Config configures an executor.
type Config struct {
	LeafClient   LeafClient
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
	// MaxQueries is the maximum of queries in progress at once; 0 is unlimited.
	MaxQueries int
	// MaxQueue is the maximum of attempts queued per shard; 0 leaves only their
	// deadlines as a bound.
	MaxQueue int
	// StateInfo describes the state in force for the log; nil if it is unknown.
	StateInfo func() StateInfo
	// State tells whether the list of leaves in force may be acted on; nil: it always may.
	State State
	// Gatherer delegates parts of queries to other instances; nil delegates none.
	Gatherer Gatherer
	// RepeatSlackShare returns this instance's share, in (0, 1], of an upstream's repeat
	// slack: the repeats that all instances together may make regardless of the number
	// of requests. It depends on the number of shards and may change; nil means 1.
	RepeatSlackShare func(shards int) float64
	// EarnsRepeats reports whether this instance's requests earn repeats now; nil means that
	// they always do.
	EarnsRepeats func() bool
	// Ledger claims the keys of non-idempotent requests.
	Ledger Ledger
	// SuspectAfterLosses is how many different leaves must be lost under a request that no
	// leaf ran to completion before the request is suspected of crashing them. It is for leaf
	// protocols whose connections end for many reasons; 0 means that a loss is never
	// counted as a crash.
	SuspectAfterLosses int
	// QuarantineDuration is how long a request that crashes leaves is refused for the first
	// time; 0 means ten minutes.
	QuarantineDuration time.Duration
	// ProbeStore decides which instance of the fleet runs a suspect alone; nil: each one decides
	// for itself.
	ProbeStore ProbeStore
}

// StateInfo describes the configuration and the list of leaves in force.
type StateInfo struct {
	// ConfigAge and LeavesAge are the times since the reads of them began.
	ConfigAge, LeavesAge time.Duration
	// LeavesRevision is the store's revision of the list of leaves.
	LeavesRevision uint64
}

// State is the state by which leaves are chosen.
type State interface {
	// IsCurrent reports whether requests may be sent by the state: it is fresh, or renewing it has
	// failed.
	IsCurrent() bool
	// Await waits until IsCurrent, and returns false if the context ends first.
	Await(ctx context.Context) bool
}

// Executor runs queries. It is safe for concurrent use.
type Executor struct {
	config     Config
	leafState  *leafState
	quarantine *quarantineState
	lastStamp  atomic.Uint64
	inFlight   inFlightQueries

	mu       sync.RWMutex
	pools    map[string]*pool         // by upstream name
	services map[string]*serviceState // by service name

	repeatLimiters *repeatLimiters
	ownDelay       ownDelay

	runsMu sync.Mutex
	runs   map[*run]struct{}
}

// New returns an executor. c.Policies must have passed Check.
func New(c Config) *Executor {
	return &Executor{
		config:         c,
		leafState:      newLeafState(),
		quarantine:     newQuarantineState(c.FleetKey, c.QuarantineDuration),
		pools:          make(map[string]*pool),
		services:       make(map[string]*serviceState),
		runs:           make(map[*run]struct{}),
		repeatLimiters: newRepeatLimiters(c.RepeatSlackShare, c.EarnsRepeats),
	}
}

// QueriesInFlight returns the number of queries in flight.
func (e *Executor) QueriesInFlight() int64 { return e.inFlight.count() }

// Wait returns when no query is in flight, or with the context's error.
func (e *Executor) Wait(ctx context.Context) error { return e.inFlight.wait(ctx) }

// nextStamp returns a query's position in the order of all work: its start in Unix
// nanoseconds, made unique within this instance. Stamps of different instances compare
// only as well as their clocks agree.
func (e *Executor) nextStamp(now time.Time) uint64 {
	at := uint64(now.UnixNano())
	for {
		last := e.lastStamp.Load()
		next := max(at, last+1)
		if e.lastStamp.CompareAndSwap(last, next) {
			return next
		}
	}
}

// pool returns the pool of an upstream, updated to the view if that is newer.
func (e *Executor) pool(v *view.View, upstream int) *pool {
	name := v.Upstreams[upstream].Name
	e.mu.RLock()
	p, ok := e.pools[name]
	e.mu.RUnlock()
	if !ok {
		p = e.addPool(name, v, upstream)
	}
	p.setView(v)
	return p
}

// addPool creates the pool of an upstream, unless another goroutine has just done so.
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

// SetView installs a new view. It is called for each view before queries use it,
// and notifies the queries in flight, which may have to query split shards again.
func (e *Executor) SetView(v *view.View) {
	e.leafState.setView(v)
	pools := e.allPools()
	e.runsMu.Lock()
	runs := slices.Collect(maps.Keys(e.runs))
	e.runsMu.Unlock()
	for _, p := range pools {
		p.setView(v)
	}
	for _, r := range runs {
		r.mail.put(query.ViewChanged{View: v})
	}
}

// register adds a query to those that are notified of new views and of the quarantine's
// changes.
func (e *Executor) register(r *run) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	e.runs[r] = struct{}{}
}

// unregister removes a query that register added.
func (e *Executor) unregister(r *run) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	delete(e.runs, r)
}

// missingReason returns the reason why a part is missing, in words for callers and
// operators.
func missingReason(m query.Missing) string {
	if m.Reason == "" {
		return "no reply in time"
	}
	return m.Reason
}
