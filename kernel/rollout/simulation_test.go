package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// invalidText starts the text of documents that are not valid.
const invalidText = "invalid"

// parse parses a stored value in place of the runtime.
func parse(generation uint64, value []byte) rollout.Version {
	v := rollout.Version{Generation: generation, Value: value, Hash: string(rollout.DocumentText(value))}
	if strings.HasPrefix(v.Hash, invalidText) {
		v.InvalidReason = "not a document"
	}
	return v
}

// simulation runs instances against a simulated store and delivers their messages in any
// order.
type simulation struct {
	t          *rapid.T
	now        time.Time
	store      []rollout.Version // every version ever, by generation - 1
	outage     bool
	faultless  bool // no stale reads and no lost replies
	queue      []message
	instances  []*instance
	saves      map[string]*submission // by nonce
	nextSaveID int
}

// message is in flight to an incarnation of an instance, or to the store.
type message struct {
	to          *instance // nil for the store
	incarnation int
	run         func()
}

type instance struct {
	id            string
	machine       *rollout.Machine
	incarnation   int
	highestActive uint64
	wakeAt        time.Time
	saves         map[rollout.SaveID]*submission
}

type submission struct {
	nonce    string
	base     uint64
	outcomes []rollout.Outcome
}

func newSimulation(t *rapid.T, n int) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0), saves: make(map[string]*submission)}
	for i := range n {
		in := &instance{id: fmt.Sprint(i)}
		sim.instances = append(sim.instances, in)
		sim.start(in)
	}
	return sim
}

// start restarts an instance without any state.
func (sim *simulation) start(in *instance) {
	in.incarnation++
	in.highestActive = 0
	in.wakeAt = time.Time{}
	in.saves = make(map[rollout.SaveID]*submission)
	in.machine = rollout.New(rand.New(rand.NewPCG(uint64(in.incarnation), 1)))
	sim.handle(in, rollout.Start{})
}

func (sim *simulation) latestGeneration() uint64 { return uint64(len(sim.store)) }

// handle delivers an event to an instance and applies the resulting actions.
func (sim *simulation) handle(in *instance, e rollout.Event) {
	actions := append([]rollout.Action(nil), in.machine.Handle(e, sim.now)...)
	for _, a := range actions {
		sim.apply(in, a)
	}
}

// enqueue queues a message to an instance.
func (sim *simulation) enqueue(in *instance, run func()) {
	sim.queue = append(sim.queue, message{in, in.incarnation, run})
}

func (sim *simulation) apply(in *instance, a rollout.Action) {
	switch a := a.(type) {
	case rollout.ReadStore:
		sim.enqueue(in, func() { sim.handle(in, sim.readStore()) })
	case rollout.PutStore:
		sim.putStore(in, a)
	case rollout.AskPeer:
		for _, peer := range sim.instances {
			if peer.id == a.Peer {
				sim.askPeer(in, peer)
			}
		}
	case rollout.AskAllPeers:
		for _, peer := range sim.instances {
			if peer != in {
				sim.askPeer(in, peer)
			}
		}
	case rollout.AnnounceGeneration:
		sim.announce(in)
	case rollout.Activate:
		sim.checkActivated(in, a)
	case rollout.ResolveSave:
		sim.recordOutcome(in, a)
	case rollout.WakeAt:
		in.wakeAt = a.At
	}
}

// announce sends the generation in force to every other instance.
func (sim *simulation) announce(in *instance) {
	generation := in.machine.Current().Generation
	for _, peer := range sim.instances {
		if peer != in {
			sim.enqueue(peer, func() { sim.handle(peer, rollout.PeerGeneration{Peer: in.id, Generation: generation}) })
		}
	}
}

// readStore returns the store's answer to a read, which may be arbitrarily stale.
func (sim *simulation) readStore() rollout.Event {
	generation := sim.latestGeneration()
	if !sim.faultless {
		generation = rapid.Uint64Range(0, sim.latestGeneration()).Draw(sim.t, "read")
	}
	switch {
	case sim.outage:
		return rollout.StoreFailed{}
	case generation == 0:
		return rollout.StoreEmpty{}
	}
	return rollout.VersionSeen{Version: sim.store[generation-1], Source: rollout.SourceStore}
}

// putStore queues a write and its reply; either may be lost or delayed.
func (sim *simulation) putStore(in *instance, a rollout.PutStore) {
	reply := func(e rollout.Event) { sim.enqueue(in, func() { sim.handle(in, e) }) }
	sim.queue = append(sim.queue, message{nil, 0, func() {
		fault := "reply"
		if !sim.faultless {
			fault = rapid.SampledFrom([]string{"reply", "lost", "late", "never", "refused"}).Draw(sim.t, "put")
		}
		if sim.outage && fault == "reply" {
			fault = "never"
		}
		switch fault {
		case "reply":
			reply(sim.conditionalWrite(a))
		case "lost":
			sim.conditionalWrite(a)
			reply(rollout.PutUnknown{ID: a.ID})
		case "late":
			sim.queue = append(sim.queue, message{nil, 0, func() { sim.conditionalWrite(a) }})
			reply(rollout.PutUnknown{ID: a.ID})
		case "never":
			reply(rollout.PutUnknown{ID: a.ID})
		case "refused":
			reply(rollout.PutRefused{ID: a.ID})
		}
	}})
}

// conditionalWrite is the store's conditional update.
func (sim *simulation) conditionalWrite(a rollout.PutStore) rollout.Event {
	if a.IfVersion != sim.latestGeneration() {
		return rollout.PutConflict{ID: a.ID}
	}
	sim.store = append(sim.store, parse(sim.latestGeneration()+1, a.Value))
	return rollout.PutDone{ID: a.ID, Generation: sim.latestGeneration()}
}

// askPeer queues a request for a peer's document and its answer.
func (sim *simulation) askPeer(in, peer *instance) {
	sim.enqueue(in, func() {
		v := peer.machine.Current()
		if v.Generation == 0 {
			sim.handle(in, rollout.PeerFailed{Peer: peer.id})
			return
		}
		sim.handle(in, rollout.VersionSeen{Version: v, Source: rollout.SourcePeer, Peer: peer.id})
	})
}

// deliver runs a queued message, unless its receiver has restarted since.
func (sim *simulation) deliver(i int) {
	d := sim.queue[i]
	sim.queue = append(sim.queue[:i], sim.queue[i+1:]...)
	if d.to == nil || d.to.incarnation == d.incarnation {
		d.run()
	}
}

// submit saves a document over the version base.
func (sim *simulation) submit(in *instance, base uint64) {
	sim.nextSaveID++
	s := &submission{nonce: fmt.Sprintf("n%d", sim.nextSaveID), base: base}
	id := rollout.SaveID(sim.nextSaveID)
	text := fmt.Sprintf("doc%d", sim.nextSaveID)
	sim.saves[s.nonce] = s
	in.saves[id] = s
	sim.handle(in, rollout.Submit{ID: id, Nonce: s.nonce, TOML: []byte(text), Hash: text, IfVersion: base})
}

// advance moves the clock and delivers the requested ticks.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, in := range sim.instances {
		if !in.wakeAt.IsZero() && !sim.now.Before(in.wakeAt) {
			in.wakeAt = time.Time{}
			sim.handle(in, rollout.Tick{})
		}
	}
}

// checkActivated checks that an instance activates only versions that the store held, and
// never a lower one than before.
func (sim *simulation) checkActivated(in *instance, a rollout.Activate) {
	g := a.Version.Generation
	if g <= in.highestActive {
		sim.t.Fatalf("instance %s went from generation %d to %d", in.id, in.highestActive, g)
	}
	in.highestActive = g
	if g > sim.latestGeneration() || sim.store[g-1].Hash != a.Version.Hash {
		sim.t.Fatalf("instance %s has %q in force at generation %d, which the store never held", in.id, a.Version.Hash, g)
	}
	if a.Version.InvalidReason != "" {
		sim.t.Fatalf("instance %s has an invalid document in force", in.id)
	}
}

// recordOutcome records an outcome and checks that none follows a final one.
func (sim *simulation) recordOutcome(in *instance, a rollout.ResolveSave) {
	s := in.saves[a.ID]
	if n := len(s.outcomes); n > 0 && s.outcomes[n-1].State != rollout.Unknown {
		sim.t.Fatalf("save %s: %s after %s", s.nonce, a.Outcome.State, s.outcomes[n-1].State)
	}
	s.outcomes = append(s.outcomes, a.Outcome)
}

// checkOutcomes checks every outcome against what the store applied.
func (sim *simulation) checkOutcomes() {
	applied := make(map[string]uint64)
	winner := make(map[uint64]string)
	for _, v := range sim.store {
		records := rollout.ParseHistory(v.Value)
		if len(records) == 0 {
			continue
		}
		if other, ok := winner[records[0].Base]; ok {
			sim.t.Fatalf("saves %s and %s both replaced generation %d", other, records[0].Nonce, records[0].Base)
		}
		winner[records[0].Base] = records[0].Nonce
		applied[records[0].Nonce] = v.Generation
	}
	for nonce, s := range sim.saves {
		if len(s.outcomes) == 0 {
			continue
		}
		last := s.outcomes[len(s.outcomes)-1]
		generation, effect := applied[nonce]
		switch last.State {
		case rollout.Accepted:
			if !effect || generation != last.Generation {
				sim.t.Fatalf("save %s was resolved as accepted at %d; the store applied it: %v at %d", nonce, last.Generation, effect, generation)
			}
		case rollout.Conflict, rollout.Refused:
			if effect {
				sim.t.Fatalf("save %s was resolved as %s, but the store applied it at generation %d", nonce, last.State, generation)
			}
		}
	}
}
