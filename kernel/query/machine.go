package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/coverage"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Bounds of one query's work.
const (
	maxMoves = 3 // changes of the pinned version
	maxTries = 4 // attempts of one part at one version, hedges not counted
)

// Machine is the state machine of one query. It is used by one goroutine at a
// time, and is done when it has returned Finish.
type Machine struct {
	cfg    Config
	view   *view.View
	spaces []space

	version uint64 // pinned; 0 until it is known
	moves   int
	tallies map[uint64]*tally
	best    uint64 // the version with the most coverage
	grids   []*coverage.Grid

	parts    []part
	open     int     // parts that are asked or wait
	given    float64 // share given up at the pinned version
	attempts []attempt
	// liveCount is the number of attempts whose end is awaited.
	liveCount int
	// mayHaveRun is the number of attempts that are not proved not run.
	mayHaveRun int

	gate   gate
	hedges hedgeQueue
	settle time.Time // when the rest is not waited for any more
	// reported and reportedShare are of the last interim answer.
	reported      bool
	reportedShare float64
	wake          time.Time // the wish last returned
	slowest       time.Duration

	count      counts
	retryAfter time.Duration
	failure    any    // the last failure that a leaf stated
	reason     string // the first reason a part was given up for
	finished   bool
	out        []Action
}

// space is one upstream of the query.
type space struct {
	first      int // upstream index in the view of the start, given in the answer
	now        int // upstream index in the current view, or noUpstream
	hedgeAfter time.Duration
	cells      []int // by cell of the grid: its first part plus one, 0 for none
	order      []int // shards by start, built when first needed
	// only are the keys that the query is limited to; nil: it is not.
	only *keyrange.Set
}

// counts are given in the answer.
type counts struct{ sent, hedges, retries, ignored, groups int }

// New returns the machine of one query; Begin starts it.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, view: cfg.View, tallies: make(map[uint64]*tally, 1)}
	m.gate.open = !cfg.Canary && !cfg.Suspect
	return m
}

// Handle takes an event and returns the actions it causes. The slice is valid
// until the next call. After Finish it returns nothing.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.out = m.out[:0]
	if m.finished {
		return nil
	}
	m.apply(ev, now)
	m.fireHedges(now)
	m.conclude(now)
	m.tellInterim(now)
	m.nextProbe(now)
	m.wish(now)
	return m.out
}

// apply changes the state by one event.
func (m *Machine) apply(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case Begin:
		m.begin()
	case Sent:
		m.sent(ev, now)
	case Reply:
		m.reply(ev, now)
	case Declined:
		m.declined(ev, now)
	case NotSent:
		m.notSent(ev, now)
	case Broken:
		m.broken(ev, now)
	case Gathered:
		m.gathered(ev, now)
	case ViewChanged:
		m.viewChanged(ev.View, now)
	case Cleared:
		m.cleared()
	case Quarantined:
		m.retryAfter = max(m.retryAfter, ev.RetryAfter)
		m.finish(string(ReasonQuarantined))
	case Cancel:
		m.finish(MissingCancelled)
	case Tick:
		// Time is looked at after every event.
	}
}

// act appends an action.
func (m *Machine) act(a Action) { m.out = append(m.out, a) }

// begin pins the version and asks every part.
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
	m.spaces = make([]space, len(upstreams))
	for i, u := range upstreams {
		m.spaces[i] = space{first: u, now: u, only: m.only(u)}
		if m.cfg.HedgeAfter != nil {
			m.spaces[i].hedgeAfter = m.cfg.HedgeAfter(u)
		}
	}
	if m.cfg.OnlyShards != nil && m.cfg.Service.Config.Objective > 0 {
		m.settle = m.settleTime(m.cfg.Start)
	}
	m.plan()
}

// only is the keys of an upstream that the query is limited to; nil: it is not.
func (m *Machine) only(upstream int) *keyrange.Set {
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

// newGrids returns the universe of each space, cut into cells at the shards of
// the current view. The universe never changes within a query; that of a
// non-idempotent one is the one shard that it goes to.
func (m *Machine) newGrids() []*coverage.Grid {
	grids := make([]*coverage.Grid, len(m.spaces))
	for i := range m.spaces {
		up := &m.cfg.View.Upstreams[m.spaces[i].first]
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

// conclude finishes the query when there is nothing to wait for.
func (m *Machine) conclude(now time.Time) {
	switch {
	case m.finished || m.spaces == nil:
	case m.current().covered.Complete():
		m.finish("")
	case !now.Before(m.cfg.Deadline):
		m.finish(MissingDeadline)
	case m.cfg.OnlyShards == nil && !m.settle.IsZero() && !now.Before(m.settle):
		m.finish(MissingSettled)
	case m.tryMove(now):
		m.conclude(now)
	case m.open == 0, m.hopeless():
		m.finish(m.reason)
	}
}

// hopeless reports whether the least coverage is out of reach and nothing has
// run yet: then a refusal now is worth more than a useless answer later.
func (m *Machine) hopeless() bool {
	if m.cfg.OnlyShards != nil {
		return false // whoever asked for these shards knows what is enough
	}
	least := m.cfg.Service.Config.LeastCoverage
	return m.mayHaveRun == 0 && m.given > 0 && 1-m.given < least-shareTolerance
}

// wish asks for a wake-up when the next one is earlier than that last returned.
func (m *Machine) wish(now time.Time) {
	if m.finished || m.spaces == nil {
		return
	}
	at := m.cfg.Deadline
	if !m.settle.IsZero() && m.settle.Before(at) && !m.reported {
		at = m.settle
	}
	if due, ok := m.hedges.next(); ok && due.Before(at) {
		at = due
	}
	if m.gate.after.After(now) && m.gate.after.Before(at) {
		at = m.gate.after
	}
	stale := m.wake.IsZero() || !m.wake.After(now)
	if stale || at.Before(m.wake) {
		m.wake = at
		m.act(WakeAt{At: at})
	}
}
