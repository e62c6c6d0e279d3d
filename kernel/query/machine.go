package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Machine is the state machine of one query.
type Machine struct {
	cfg      Config
	version  uint64
	parts    []Part
	shards   []int
	covered  []keyrange.Set
	live     map[AttemptID]int
	sent     int
	results  []Result
	finished bool
	out      []Action
}

// New returns the machine of one query; Begin starts it.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, live: make(map[AttemptID]int), covered: make([]keyrange.Set, len(cfg.View.Upstreams))}
}

// Handle takes an event and returns the actions it causes. The slice is valid
// until the next call.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.out = m.out[:0]
	if m.finished {
		return m.out
	}
	switch ev := ev.(type) {
	case Begin:
		m.begin()
	case Sent:
		m.sent++
	case Reply:
		m.reply(ev)
	case Declined:
		delete(m.live, ev.Attempt)
	case NotSent:
		delete(m.live, ev.Attempt)
	case Broken:
		delete(m.live, ev.Attempt)
	case Cancel:
		m.finish()
	}
	if !m.finished && (len(m.live) == 0 || !now.Before(m.cfg.Deadline)) {
		m.finish()
	}
	return m.out
}

func (m *Machine) begin() {
	m.version = m.cfg.Versions.Pin(m.cfg.Service.Config.Name)
	for _, u := range m.cfg.Service.Upstreams {
		for s, shard := range m.cfg.View.Upstreams[u].Shards {
			m.offer(Part{Upstream: u, Range: shard.Range}, s)
		}
	}
	m.out = append(m.out, WakeAt{At: m.cfg.Deadline})
}

func (m *Machine) offer(p Part, shard int) {
	m.parts = append(m.parts, p)
	m.shards = append(m.shards, shard)
	id := AttemptID(len(m.parts))
	m.live[id] = len(m.parts) - 1
	m.out = append(m.out, Offer{Attempt: id, Part: p, Shard: shard, Version: m.version, Deadline: m.cfg.Deadline})
}

func (m *Machine) reply(ev Reply) {
	i, ok := m.live[ev.Attempt]
	if !ok {
		return
	}
	delete(m.live, ev.Attempt)
	if m.version == 0 {
		m.version = ev.Version
	}
	p := m.parts[i]
	set := &m.covered[p.Upstream]
	if ev.Version != m.version || len(ev.Ranges) != 1 || ev.Ranges[0] != p.Range || set.Overlaps(p.Range) {
		return
	}
	set.Add(p.Range)
	m.results = append(m.results, Result{Part: p, Leaf: ev.Leaf, Body: ev.Body})
}

func (m *Machine) finish() {
	m.finished = true
	a := Answer{Version: m.version, Results: m.results, Sent: m.sent, Outcome: Failed}
	for id := range m.live {
		m.out = append(m.out, Withdraw{Attempt: id})
	}
	for _, p := range m.parts {
		if m.covered[p.Upstream].Contains(p.Range) {
			a.Covered = append(a.Covered, p)
			a.Share += float64(p.Range.Size()) / float64(m.cfg.View.Upstreams[p.Upstream].KeySpace) / float64(len(m.cfg.Service.Upstreams))
		} else {
			a.Missing = append(a.Missing, Missing{Part: p, Reason: "no_reply"})
		}
	}
	switch {
	case len(a.Missing) == 0:
		a.Outcome = Complete
	case len(a.Covered) > 0:
		a.Outcome = Partial
	case m.sent == 0:
		a.Outcome = NotRun
	case !m.cfg.Service.Config.Idempotent:
		a.Outcome = Unknown
	}
	m.out = append(m.out, Finish{Answer: a})
}
