package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

const (
	poison  = "poison"
	entries = 8
	runTime = 10 * time.Millisecond // of a sub-request
)

// noBudget refuses all repetition that costs.
type noBudget struct{}

func (noBudget) TakeHedge(time.Time) bool { return false }
func (noBudget) TakeRetry(time.Time) bool { return false }

// job is a sub-request in a leaf's slot.
type job struct {
	q       *running
	attempt query.AttemptID
	solo    bool
	done    time.Time
}

// running is a query at an entry.
type running struct {
	entry       int
	fingerprint string
	machine     *query.Machine
	answer      *query.Answer
}

// message is a record on its way to a peer.
type message struct {
	to     int
	at     time.Time
	record quarantine.Record
}

// fleet is 8 entries and the leaves they share, in virtual time. A leaf that
// breaks is back at once: the worst case for the number of breaks.
type fleet struct {
	t        *testing.T
	view     *view.View
	tracker  *snapshot.Tracker
	entries  []*quarantine.Machine
	slots    [][]job // by leaf
	queries  []*running
	messages []message
	push     bool
	now      time.Time
	breaks   []int // by leaf
}

func newFleet(t *testing.T, shardCount int, push bool) *fleet {
	up := document.Upstream{Name: "u", KeySpace: uint64(shardCount)}
	for s := range shardCount {
		up.Shards = append(up.Shards, document.Shard{
			Range:  keyrange.Range{From: uint64(s), To: uint64(s + 1)},
			Leaves: []document.Leaf{{ID: fmt.Sprintf("%d-a", s)}, {ID: fmt.Sprintf("%d-b", s)}},
		})
	}
	doc := &document.Document{
		Upstreams: []document.Upstream{up},
		Services:  []document.Service{{Name: "s", Upstreams: []string{"u"}, Idempotent: true, CanaryAbove: above}},
	}
	v := view.Build(1, "", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 4 })
	f := &fleet{t: t, view: v, tracker: snapshot.New(v), slots: make([][]job, len(v.Leaves)), breaks: make([]int, len(v.Leaves)), push: push, now: epoch}
	for i := range v.Leaves {
		f.tracker.Observe(i, []uint64{1})
	}
	for range entries {
		f.entries = append(f.entries, quarantine.New(cfg))
	}
	return f
}

// ask sends a request to an entry and returns its query, nil when refused.
func (f *fleet) ask(entry int, fingerprint string) *running {
	seed := xxhash.Sum64String(fingerprint)
	s := f.view.Services["s"]
	d := f.entries[entry].Admit(fingerprint, s.Shards, s.Config.CanaryAbove, f.now)
	if d.Mode == quarantine.ModeRefuse {
		return nil
	}
	q := &running{entry: entry, fingerprint: fingerprint, machine: query.New(query.Config{
		View: f.view, Service: s, Start: f.now, Deadline: f.now.Add(time.Second), Versions: f.tracker, Budget: noBudget{},
		Canary: d.Mode == quarantine.ModeCanary, Suspect: d.Mode == quarantine.ModeSuspect, Seed: seed,
	})}
	f.queries = append(f.queries, q)
	f.handle(q, query.Begin{})
	return q
}

// handle runs an event and puts what is offered into slots.
func (f *fleet) handle(q *running, ev query.Event) {
	for _, act := range append([]query.Action(nil), q.machine.Handle(ev, f.now)...) {
		switch act := act.(type) {
		case query.Offer:
			leaf := f.choose(act)
			f.slots[leaf] = append(f.slots[leaf], job{q, act.Attempt, act.Solo, f.now.Add(runTime)})
			f.handle(q, query.Sent{Attempt: act.Attempt, Leaf: leaf})
		case query.Withdraw:
			f.remove(q, act.Attempt)
		case query.Verdict:
			f.verdict(q, act)
		case query.Finish:
			q.answer = &act.Answer
		}
	}
}

// choose takes the first leaf that is not to be avoided.
func (f *fleet) choose(o query.Offer) int {
	for _, leaf := range f.view.Upstreams[0].Shards[o.Shard].Leaves {
		avoided := false
		for _, a := range o.Avoid {
			avoided = avoided || a == leaf
		}
		if !avoided {
			return leaf
		}
	}
	f.t.Fatalf("no leaf for %+v", o)
	return 0
}

func (f *fleet) remove(q *running, id query.AttemptID) {
	for l := range f.slots {
		kept := f.slots[l][:0]
		for _, j := range f.slots[l] {
			if j.q != q || j.attempt != id {
				kept = append(kept, j)
			}
		}
		f.slots[l] = kept
	}
}

// verdict tells the entry's quarantine, and by push its peers.
func (f *fleet) verdict(q *running, v query.Verdict) {
	ev := quarantine.AttemptEnded{Fingerprint: q.fingerprint, Leaf: f.view.Leaves[v.Leaf].ID, Crashed: v.Crashed, Solo: v.Solo}
	f.tell(q.entry, f.entries[q.entry].Handle(ev, f.now))
}

// tell does what a quarantine machine asks for.
func (f *fleet) tell(entry int, actions []quarantine.Action) {
	for _, act := range append([]quarantine.Action(nil), actions...) {
		switch act := act.(type) {
		case quarantine.Announce:
			for to := 0; f.push && to < entries; to++ {
				f.messages = append(f.messages, message{to, f.now.Add(2 * time.Millisecond), act.Record})
			}
		case quarantine.PhaseChanged:
			f.changed(entry, act)
		}
	}
}

// changed tells the entry's running queries of a fingerprint.
func (f *fleet) changed(entry int, c quarantine.PhaseChanged) {
	for _, q := range f.queries {
		if q.entry != entry || q.fingerprint != c.Fingerprint || q.answer != nil {
			continue
		}
		switch c.Phase {
		case quarantine.PhaseClear:
			f.handle(q, query.Cleared{})
		case quarantine.PhaseQuarantined:
			f.handle(q, query.Condemned{RetryAfter: c.Remaining})
		}
	}
}

// step lets a millisecond pass.
func (f *fleet) step() {
	f.now = f.now.Add(time.Millisecond)
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.messages = append(f.messages, m)
			continue
		}
		f.tell(m.to, f.entries[m.to].Handle(quarantine.RecordsReceived{Records: []quarantine.Record{m.record}}, f.now))
	}
	for _, q := range f.queries {
		if q.answer == nil {
			f.handle(q, query.Tick{})
		}
	}
	for l := range f.slots {
		f.runLeaf(l)
	}
}

// runLeaf ends what is done; a poison breaks the leaf and all its slots.
func (f *fleet) runLeaf(l int) {
	for _, j := range append([]job(nil), f.slots[l]...) {
		if j.done.After(f.now) {
			continue
		}
		if j.q.fingerprint == poison {
			lost := f.slots[l]
			f.slots[l] = nil
			f.breaks[l]++
			for _, x := range lost {
				f.handle(x.q, query.Broken{Attempt: x.attempt, Leaf: l, Crash: true})
			}
			return
		}
		f.remove(j.q, j.attempt)
		shard := uint64(l / 2)
		f.handle(j.q, query.Reply{Attempt: j.attempt, Leaf: l, Version: 1, Ranges: []keyrange.Range{{From: shard, To: shard + 1}}})
	}
}

// gossip exchanges all digests.
func (f *fleet) gossip() {
	for i := range f.entries {
		for j := range f.entries {
			f.entries[j].Handle(quarantine.RecordsReceived{Records: f.entries[i].Digest(f.now)}, f.now)
		}
	}
}

// total is the number of breaks, and of leaves that broke.
func (f *fleet) total() (breaks, leaves int) {
	for _, n := range f.breaks {
		breaks += n
		leaves += min(n, 1)
	}
	return breaks, leaves
}

// sendPoison sends the poison 100 times over the entries, 20 ms apart, with an
// innocent request beside each, and checks that the innocents are answered.
func (f *fleet) sendPoison(gossipEvery int) (refused int) {
	var innocents []*running
	for i := range 100 {
		if q := f.ask(i%entries, poison); q == nil {
			refused++
		}
		innocents = append(innocents, f.ask((i+3)%entries, fmt.Sprintf("innocent%d", i)))
		for range 20 {
			f.step()
		}
		if i%gossipEvery == gossipEvery-1 {
			f.gossip()
		}
	}
	for range 100 {
		f.step()
	}
	for i, q := range innocents {
		if q == nil || q.answer == nil || q.answer.Outcome != query.Complete {
			f.t.Errorf("innocent %d: %+v", i, q)
		}
	}
	return refused
}

// TestPoisonOverTheFleet counts what a request breaks that crashes each leaf.
func TestPoisonOverTheFleet(t *testing.T) {
	t.Run("told at once", func(t *testing.T) {
		f := newFleet(t, shards, true)
		refused := f.sendPoison(1000)
		if breaks, leaves := f.total(); breaks != 2 || leaves != 2 || refused != 98 {
			t.Fatalf("%d breaks of %d leaves, %d refused", breaks, leaves, refused)
		}
	})
	t.Run("told by digest", func(t *testing.T) {
		f := newFleet(t, shards, false)
		refused := f.sendPoison(5)
		if breaks, leaves := f.total(); breaks != 10 || leaves != 2 || refused != 95 {
			t.Fatalf("%d breaks of %d leaves, %d refused; before the first digest 5 entries may each break one by canary and one alone", breaks, leaves, refused)
		}
	})
}

// TestNeighboursInTheSlotsAreAnswered has innocents on the four leaves that a
// fan-out without canary breaks. All go on alone elsewhere; the few whose next
// leaf and time are those of the poison's are lost with it, which no entry can
// rule out alone.
func TestNeighboursInTheSlotsAreAnswered(t *testing.T) {
	const trials, perTrial = 40, 5
	answered, breaks := 0, 0
	for trial := range trials {
		f := newFleet(t, above, true)
		f.ask(0, poison)
		var innocents []*running
		for i := range perTrial {
			innocents = append(innocents, f.ask(i, fmt.Sprintf("innocent%d-%d", trial, i)))
		}
		for range 400 {
			f.step()
		}
		for _, q := range innocents {
			if q.answer != nil && q.answer.Outcome == query.Complete {
				answered++
			}
		}
		if d := f.entries[7].Admit(poison, shards, above, f.now); d.Mode != quarantine.ModeRefuse {
			t.Errorf("the poison may run in mode %d", d.Mode)
		}
		n, _ := f.total()
		breaks = max(breaks, n)
	}
	t.Logf("%d of %d innocents answered in full; at most %d breaks", answered, trials*perTrial, breaks)
	if answered < 190 || breaks != above+1 {
		t.Errorf("%d of %d innocents answered in full; at most %d breaks", answered, trials*perTrial, breaks)
	}
}
