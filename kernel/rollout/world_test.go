package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// invalid is the text of documents that are not valid.
const invalid = "invalid"

// parse does the runtime's part: it reads a stored value.
func parse(generation uint64, value []byte) rollout.Version {
	v := rollout.Version{Generation: generation, Value: value, Hash: string(rollout.DocumentText(value))}
	if strings.HasPrefix(v.Hash, invalid) {
		v.InvalidReason = "not a document"
	}
	return v
}

// world holds a store and instances, whose messages are delivered in any order.
type world struct {
	t       *rapid.T
	now     time.Time
	store   []rollout.Version // every version ever, by generation - 1
	outage  bool
	calm    bool // no stale reads and no lost replies
	pending []delivery
	insts   []*instance
	saves   map[string]*submission // by nonce
	next    int
}

// delivery is a message under way to an instance's life, or to the store.
type delivery struct {
	to   *instance // nil for the store
	life int
	run  func()
}

type instance struct {
	id      string
	m       *rollout.Machine
	life    int
	highest uint64
	wakeAt  time.Time
	saves   map[rollout.SaveID]*submission
}

type submission struct {
	nonce  string
	base   uint64
	states []rollout.Outcome
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), saves: make(map[string]*submission)}
	for i := range n {
		in := &instance{id: fmt.Sprint(i)}
		w.insts = append(w.insts, in)
		w.start(in)
	}
	return w
}

// start begins a new life of an instance; it remembers nothing.
func (w *world) start(in *instance) {
	in.life++
	in.highest = 0
	in.wakeAt = time.Time{}
	in.saves = make(map[rollout.SaveID]*submission)
	in.m = rollout.New(rand.New(rand.NewPCG(uint64(in.life), 1)))
	w.handle(in, rollout.Start{})
}

func (w *world) latest() uint64 { return uint64(len(w.store)) }

// handle gives an event and carries out the actions.
func (w *world) handle(in *instance, e rollout.Event) {
	actions := append([]rollout.Action(nil), in.m.Handle(e, w.now)...)
	for _, a := range actions {
		w.act(in, a)
	}
}

// later queues a message to an instance.
func (w *world) later(in *instance, run func()) {
	w.pending = append(w.pending, delivery{in, in.life, run})
}

func (w *world) act(in *instance, a rollout.Action) {
	switch a := a.(type) {
	case rollout.ReadStore:
		w.later(in, func() { w.handle(in, w.read()) })
	case rollout.PutStore:
		w.put(in, a)
	case rollout.AskPeer:
		for _, peer := range w.insts {
			if peer.id == a.Peer {
				w.ask(in, peer)
			}
		}
	case rollout.AskAllPeers:
		for _, peer := range w.insts {
			if peer != in {
				w.ask(in, peer)
			}
		}
	case rollout.AnnounceGeneration:
		w.digest(in)
	case rollout.Activate:
		w.enforced(in, a)
	case rollout.ResolveSave:
		w.resolved(in, a)
	case rollout.WakeAt:
		in.wakeAt = a.At
	}
}

// digest tells every other instance of the generation in force.
func (w *world) digest(in *instance) {
	generation := in.m.Current().Generation
	for _, peer := range w.insts {
		if peer != in {
			w.later(peer, func() { w.handle(peer, rollout.PeerGeneration{Peer: in.id, Generation: generation}) })
		}
	}
}

// read is the store's answer, which may be as old as it likes.
func (w *world) read() rollout.Event {
	generation := w.latest()
	if !w.calm {
		generation = rapid.Uint64Range(0, w.latest()).Draw(w.t, "read")
	}
	switch {
	case w.outage:
		return rollout.StoreFailed{}
	case generation == 0:
		return rollout.StoreEmpty{}
	}
	return rollout.VersionSeen{Version: w.store[generation-1], Source: rollout.SourceStore}
}

// put queues a write and its reply; either may be lost or late.
func (w *world) put(in *instance, a rollout.PutStore) {
	reply := func(e rollout.Event) { w.later(in, func() { w.handle(in, e) }) }
	w.pending = append(w.pending, delivery{nil, 0, func() {
		fateOf := "reply"
		if !w.calm {
			fateOf = rapid.SampledFrom([]string{"reply", "lost", "late", "never", "refused"}).Draw(w.t, "put")
		}
		if w.outage && fateOf == "reply" {
			fateOf = "never"
		}
		switch fateOf {
		case "reply":
			reply(w.write(a))
		case "lost":
			w.write(a)
			reply(rollout.PutUnknown{ID: a.ID})
		case "late":
			w.pending = append(w.pending, delivery{nil, 0, func() { w.write(a) }})
			reply(rollout.PutUnknown{ID: a.ID})
		case "never":
			reply(rollout.PutUnknown{ID: a.ID})
		case "refused":
			reply(rollout.PutRefused{ID: a.ID})
		}
	}})
}

// write is the store's conditional update.
func (w *world) write(a rollout.PutStore) rollout.Event {
	if a.IfVersion != w.latest() {
		return rollout.PutConflict{ID: a.ID}
	}
	w.store = append(w.store, parse(w.latest()+1, a.Value))
	return rollout.PutDone{ID: a.ID, Generation: w.latest()}
}

// ask queues a request for a peer's document and its answer.
func (w *world) ask(in, peer *instance) {
	w.later(in, func() {
		v := peer.m.Current()
		if v.Generation == 0 {
			w.handle(in, rollout.PeerFailed{Peer: peer.id})
			return
		}
		w.handle(in, rollout.VersionSeen{Version: v, Source: rollout.SourcePeer, Peer: peer.id})
	})
}

// deliver runs a queued message, unless its receiver has been replaced.
func (w *world) deliver(i int) {
	d := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	if d.to == nil || d.to.life == d.life {
		d.run()
	}
}

// submit saves a document over what the instance would open a form with.
func (w *world) submit(in *instance, base uint64) {
	w.next++
	s := &submission{nonce: fmt.Sprintf("n%d", w.next), base: base}
	id := rollout.SaveID(w.next)
	text := fmt.Sprintf("doc%d", w.next)
	w.saves[s.nonce] = s
	in.saves[id] = s
	w.handle(in, rollout.Submit{ID: id, Nonce: s.nonce, TOML: []byte(text), Hash: text, IfVersion: base})
}

// advance moves time and gives the ticks that were asked for.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, in := range w.insts {
		if !in.wakeAt.IsZero() && !w.now.Before(in.wakeAt) {
			in.wakeAt = time.Time{}
			w.handle(in, rollout.Tick{})
		}
	}
}

// enforced checks that nothing is put in force but a version the store held,
// and never a lower one.
func (w *world) enforced(in *instance, a rollout.Activate) {
	g := a.Version.Generation
	if g <= in.highest {
		w.t.Fatalf("instance %s went from generation %d to %d", in.id, in.highest, g)
	}
	in.highest = g
	if g > w.latest() || w.store[g-1].Hash != a.Version.Hash {
		w.t.Fatalf("instance %s has %q in force at generation %d, which the store never held", in.id, a.Version.Hash, g)
	}
	if a.Version.InvalidReason != "" {
		w.t.Fatalf("instance %s has an invalid document in force", in.id)
	}
}

// resolved notes an outcome. Nothing may follow a final one.
func (w *world) resolved(in *instance, a rollout.ResolveSave) {
	s := in.saves[a.ID]
	if n := len(s.states); n > 0 && s.states[n-1].State != rollout.Unknown {
		w.t.Fatalf("save %s: %s after %s", s.nonce, a.Outcome.State, s.states[n-1].State)
	}
	s.states = append(s.states, a.Outcome)
}

// truthful checks every outcome against what the store took.
func (w *world) truthful() {
	took := make(map[string]uint64)
	winner := make(map[uint64]string)
	for _, v := range w.store {
		links := rollout.ParseHistory(v.Value)
		if len(links) == 0 {
			continue
		}
		if other, ok := winner[links[0].Base]; ok {
			w.t.Fatalf("saves %s and %s both replaced generation %d", other, links[0].Nonce, links[0].Base)
		}
		winner[links[0].Base] = links[0].Nonce
		took[links[0].Nonce] = v.Generation
	}
	for nonce, s := range w.saves {
		if len(s.states) == 0 {
			continue
		}
		last := s.states[len(s.states)-1]
		generation, effect := took[nonce]
		switch last.State {
		case rollout.Accepted:
			if !effect || generation != last.Generation {
				w.t.Fatalf("save %s was called accepted at %d; the store took it: %v at %d", nonce, last.Generation, effect, generation)
			}
		case rollout.Conflict, rollout.Refused:
			if effect {
				w.t.Fatalf("save %s was called %s, but the store took it at generation %d", nonce, last.State, generation)
			}
		}
	}
}
