package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/coverage"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Limits of one query.
const (
	maxVersionMoves = 3 // changes of the pinned version
	maxPartTries    = 4 // attempts of one part at one version, hedges not counted
)

// Machine is the state machine of one query. It is not safe for concurrent use. It has
// ended when it has returned Finish.
type Machine struct {
	cfg    Config
	view   *view.View
	spaces []upstreamSpace

	version          uint64 // pinned; 0 until it is known
	versionMoves     int
	resultsByVersion map[uint64]*versionResults
	bestVersion      uint64           // the version with the most coverage; the newest of equals
	grids            []*coverage.Grid // by space

	parts        []part
	openParts    int     // parts that are open or waiting
	givenUpShare float64 // share given up at the pinned version
	attempts     []attempt
	// liveCount is the number of live attempts.
	liveCount int
	// mayHaveRun is the number of attempts that a leaf ran or may have run.
	mayHaveRun int

	gate     gate
	hedges   hedgeQueue
	settleAt time.Time // when to answer without the missing parts; zero until it is set
	// interimGiven is set once an interim answer was given; interimShare is the share of
	// the last one.
	interimGiven bool
	interimShare float64
	wakeAt       time.Time     // the time of the last WakeAt
	slowestReply time.Duration // longest time from Sent to Reply

	count       counts
	retryAfter  time.Duration // longest hint of the queue or the quarantine
	leafFailure any           // the last failure that a leaf stated
	firstReason string        // the reason of the first part that was given up
	finished    bool
	actions     []Action
}

// upstreamSpace is the key space of one upstream of the query.
type upstreamSpace struct {
	startUpstream   int // upstream index in the view at the start of the query, used in the answer
	currentUpstream int // upstream index in the current view, or noUpstream
	hedgeAfter      time.Duration
	cellHeads       []int // by cell of the grid: index of its first part plus one; 0 for none
	shardOrder      []int // shard indexes by first key; nil until shardsOverlapping needs it
	// limit holds the keys that the query is limited to; nil if it has no limit.
	limit *keyrange.Set
}

// counts are the counters of the answer.
type counts struct{ sent, hedges, retries, ignored, groups int }

// New returns the machine of one query. The event Begin starts it.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, view: cfg.View, resultsByVersion: make(map[uint64]*versionResults, 1)}
	m.gate.open = !cfg.Canary && !cfg.Suspect
	return m
}

// Handle processes an event and returns the actions to take, in order. The slice is
// valid until the next call. After Finish it returns nil.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.finished {
		return nil
	}
	m.applyEvent(ev, now)
	m.startDueHedges(now)
	m.finishIfDone(now)
	m.emitInterim(now)
	m.offerNextProbe(now)
	m.requestWake(now)
	return m.actions
}

// applyEvent changes the state by one event.
func (m *Machine) applyEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case Begin:
		m.begin()
	case Sent:
		m.handleSent(ev, now)
	case Reply:
		m.handleReply(ev, now)
	case Declined:
		m.handleDeclined(ev, now)
	case NotSent:
		m.handleNotSent(ev, now)
	case Broken:
		m.handleBroken(ev, now)
	case Gathered:
		m.handleGathered(ev, now)
	case ViewChanged:
		m.handleViewChanged(ev.View, now)
	case Cleared:
		m.handleCleared()
	case Quarantined:
		m.retryAfter = max(m.retryAfter, ev.RetryAfter)
		m.finish(string(ReasonQuarantined))
	case Cancel:
		m.finish(MissingCancelled)
	case Tick:
		// Handle checks all timers after each event.
	}
}

// emit appends an action.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// begin pins the version and asks all parts. A non-idempotent request pins none and
// goes to its first upstream only.
func (m *Machine) begin() {
	if m.spaces != nil {
		return
	}
	if m.idempotent() {
		m.version = m.cfg.Versions.Pin(m.cfg.Service.Config.Name)
	}
	upstreams := m.cfg.Service.Upstreams
	if !m.idempotent() && len(upstreams) > 1 {
		upstreams = upstreams[:1]
	}
	m.parts = make([]part, 0, m.cfg.Service.Shards)
	m.attempts = make([]attempt, 0, m.cfg.Service.Shards)
	m.spaces = make([]upstreamSpace, len(upstreams))
	for i, u := range upstreams {
		m.spaces[i] = upstreamSpace{startUpstream: u, currentUpstream: u, limit: m.limitOf(u)}
		if m.cfg.HedgeAfter != nil {
			m.spaces[i].hedgeAfter = m.cfg.HedgeAfter(u)
		}
	}
	if m.cfg.OnlyShards != nil && m.cfg.Service.Config.Objective > 0 {
		m.settleAt = m.settleTime(m.cfg.Start)
	}
	m.planParts()
}

// limitOf returns the keys of an upstream that the query is limited to, or nil if it
// has no limit.
func (m *Machine) limitOf(upstream int) *keyrange.Set {
	if m.cfg.OnlyShards == nil {
		return nil
	}
	var set keyrange.Set
	for _, g := range m.cfg.OnlyShards {
		if g.Upstream != upstream {
			continue
		}
		for _, r := range g.Ranges {
			set.Add(r)
		}
	}
	return &set
}

// idempotent reports whether an attempt may be repeated after it may have run.
func (m *Machine) idempotent() bool { return m.cfg.Service.Config.Idempotent }

// newGrids returns one grid for each space: the whole key range of the space (its
// universe), cut into cells at the shards of the current view. The universe stays the
// same during a query. For a non-idempotent request it is the range of the first
// shard, the only one that is asked.
func (m *Machine) newGrids() []*coverage.Grid {
	grids := make([]*coverage.Grid, len(m.spaces))
	for i := range m.spaces {
		up := &m.cfg.View.Upstreams[m.spaces[i].startUpstream]
		universe := keyrange.Range{To: up.KeySpace}
		if !m.idempotent() && len(up.Shards) > 0 {
			universe = up.Shards[0].Range
		}
		shards := m.shards(i)
		ranges := make([]keyrange.Range, len(shards))
		for s := range shards {
			ranges[s] = shards[s].Range
		}
		grids[i] = coverage.NewGrid(universe, ranges)
	}
	return grids
}

// finishIfDone finishes the query when it is complete, a timer has expired or nothing
// more can be covered, also after a move to another version.
func (m *Machine) finishIfDone(now time.Time) {
	switch {
	case m.finished || m.spaces == nil:
	case m.currentResults().covered.Complete():
		m.finish("")
	case !now.Before(m.cfg.Deadline):
		m.finish(MissingDeadline)
	case m.cfg.OnlyShards == nil && !m.settleAt.IsZero() && !now.Before(m.settleAt):
		m.finish(MissingSettled)
	case m.tryMoveVersion(now):
		m.finishIfDone(now)
	case m.openParts == 0, m.isCoverageUnreachable():
		m.finish(m.firstReason)
	}
}

// isCoverageUnreachable reports whether the least coverage is out of reach and
// nothing has run yet. The query is refused then at once, rather than answered
// later with too little coverage.
func (m *Machine) isCoverageUnreachable() bool {
	if m.cfg.OnlyShards != nil {
		return false // the instance that asked for these shards decides what is enough
	}
	return m.mayHaveRun == 0 && m.givenUpShare > 0 && !MeetsCoverage(1-m.givenUpShare, m.cfg.Service.Config.LeastCoverage)
}

// requestWake emits a WakeAt for the next timer, unless the last one is still ahead
// and not later.
func (m *Machine) requestWake(now time.Time) {
	if m.finished || m.spaces == nil {
		return
	}
	at := m.cfg.Deadline
	if !m.settleAt.IsZero() && m.settleAt.Before(at) && !m.interimGiven {
		at = m.settleAt
	}
	if due, ok := m.hedges.nextDue(); ok && due.Before(at) {
		at = due
	}
	if m.gate.notBefore.After(now) && m.gate.notBefore.Before(at) {
		at = m.gate.notBefore
	}
	stale := m.wakeAt.IsZero() || !m.wakeAt.After(now)
	if stale || at.Before(m.wakeAt) {
		m.wakeAt = at
		m.emit(WakeAt{At: at})
	}
}
