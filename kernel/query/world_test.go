package query_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const (
	serviceName = "svc"
	keySpace    = 64
	deadline    = 200 * time.Millisecond
	settleWait  = 30 * time.Millisecond
)

var epoch = time.Date(2030, 1, 1, 9, 0, 0, 0, time.UTC)

// tokens is a Budget with a fixed number of each.
type tokens struct{ hedges, retries int }

func (b *tokens) TakeHedge(time.Time) bool { b.hedges--; return b.hedges >= 0 }
func (b *tokens) TakeRetry(time.Time) bool { b.retries--; return b.retries >= 0 }

// fatalf is the part of testing.T and rapid.T that the world needs.
type fatalf interface {
	Helper()
	Fatalf(format string, args ...any)
}

// leafState is what a fake leaf serves.
type leafState struct {
	versions []uint64
	held     []keyrange.Range
}

// tried is the test's own record of one attempt.
type tried struct {
	offer query.Offer
	view  *view.View // of the offer
	leaf  int        // as sent
	sent  bool       // Sent was delivered
	ended bool       // an end was delivered
	taken bool       // withdrawn
	clean bool       // proved not run
	group *query.Group
	told  query.Gathered // of a group: its reply
}

func (a *tried) live() bool { return !a.ended && !a.taken }

// world drives one query machine and keeps a reference model beside it.
type world struct {
	t        fatalf
	doc      *document.Document
	view     *view.View
	start    *view.View
	tracker  *snapshot.Tracker
	machine  *query.Machine
	now      time.Time
	leaves   map[string]*leafState
	attempts []*tried
	honest   map[string]query.Reply // by body: replies that were due to be accepted
	replies  []query.Reply          // all replies, to repeat or cross
	answer   *query.Answer
	serial   int
	idem     bool
	gated    bool // canary or suspect: one at a time until the first reply
	replied  bool
	crashed  bool // a leaf broke under the query
	hedges   int
	hedgeCap int
	wake     time.Time
	groups   []query.Group
	interim  []query.Answer
	sentTo   map[query.AttemptID]string // leaf IDs
}

// shardSpec is one shard of a world: its range and the IDs of its leaves.
type shardSpec struct {
	r      keyrange.Range
	leaves []string
}

func buildView(gen uint64, doc *document.Document) *view.View {
	return view.Build(gen, "", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 4 })
}

// newWorld builds a document with one upstream per list of shards.
func newWorld(t fatalf, service document.Service, upstreams ...[]shardSpec) *world {
	doc := &document.Document{}
	service.Name = serviceName
	service.Deadline = deadline
	for u, shards := range upstreams {
		up := document.Upstream{Name: fmt.Sprintf("u%d", u), KeySpace: keySpace}
		for _, s := range shards {
			up.Shards = append(up.Shards, docShard(s))
		}
		doc.Upstreams = append(doc.Upstreams, up)
		service.Upstreams = append(service.Upstreams, up.Name)
	}
	doc.Services = []document.Service{service}
	w := &world{t: t, doc: doc, now: epoch, leaves: make(map[string]*leafState), honest: make(map[string]query.Reply), sentTo: make(map[query.AttemptID]string), idem: service.Idempotent}
	w.view = buildView(1, doc)
	w.start = w.view
	w.tracker = snapshot.New(w.view)
	for _, shards := range upstreams {
		for _, s := range shards {
			for _, id := range s.leaves {
				if w.leaves[id] == nil {
					w.leaves[id] = &leafState{versions: []uint64{1}}
				}
				w.leaves[id].held = append(w.leaves[id].held, s.r)
			}
		}
	}
	return w
}

func docShard(s shardSpec) document.Shard {
	out := document.Shard{Range: s.r}
	for _, id := range s.leaves {
		out.Leaves = append(out.Leaves, document.Leaf{ID: id})
	}
	return out
}

// grid cuts the key space into n equal shards of the given leaves each.
func grid(prefix string, n, replicas int) []shardSpec {
	var out []shardSpec
	for i := range n {
		s := shardSpec{r: keyrange.Range{From: uint64(i) * keySpace / uint64(n), To: uint64(i+1) * keySpace / uint64(n)}}
		for r := range replicas {
			s.leaves = append(s.leaves, fmt.Sprintf("%s%d-%d", prefix, i, r))
		}
		out = append(out, s)
	}
	return out
}

// config is the usual configuration of the world's query.
func (w *world) config(b query.Budget) query.Config {
	return query.Config{
		View: w.view, Service: w.view.Services[serviceName], Start: w.now, Deadline: w.now.Add(deadline),
		Versions: w.tracker, Budget: b, HedgeAfter: func(int) time.Duration { return 20 * time.Millisecond },
	}
}

func (w *world) begin(cfg query.Config) {
	w.gated = cfg.Canary || cfg.Suspect
	w.groups = cfg.Groups
	w.machine = query.New(cfg)
	w.handle(query.Begin{})
}

// observe tells the tracker what a leaf says, as the runtime does.
func (w *world) observe(leaf int, versions []uint64) {
	if versions != nil {
		w.tracker.Observe(leaf, versions)
	}
}

// handle gives an event to the machine and checks its actions by the model.
func (w *world) handle(ev query.Event) {
	w.t.Helper()
	if b, ok := ev.(query.Broken); ok && b.Crash {
		w.crashed = true
	}
	actions := w.machine.Handle(ev, w.now)
	if w.answer != nil && len(actions) > 0 {
		w.t.Fatalf("%d actions after the answer", len(actions))
	}
	for i, act := range actions {
		switch act := act.(type) {
		case query.Offer:
			w.offered(act)
		case query.OfferGroup:
			w.offeredGroup(act)
		case query.Withdraw:
			a := w.attempts[act.Attempt-1]
			if !a.live() {
				w.t.Fatalf("withdrew attempt %d, which is not live", act.Attempt)
			}
			a.taken = true
			a.clean = !a.sent
		case query.WakeAt:
			w.wake = act.At
		case query.Interim:
			w.interim = append(w.interim, act.Answer)
		case query.Finish:
			if i != len(actions)-1 {
				w.t.Fatalf("Finish is not the last action")
			}
			w.answer = &act.Answer
		}
	}
	w.checkRunning()
}

// offered checks an offer against what was offered before.
func (w *world) offered(o query.Offer) {
	w.t.Helper()
	if int(o.Attempt) != len(w.attempts)+1 {
		w.t.Fatalf("attempt %d offered after %d", o.Attempt, len(w.attempts))
	}
	if !w.idem {
		for i, a := range w.attempts {
			if !a.clean {
				w.t.Fatalf("attempt %d offered while attempt %d may have run", o.Attempt, i+1)
			}
		}
	}
	if w.gated && !w.replied {
		if !o.Solo {
			w.t.Fatalf("attempt %d is not alone, and nothing has shown that the request is safe", o.Attempt)
		}
		for i, a := range w.attempts {
			if a.live() {
				w.t.Fatalf("attempt %d offered beside attempt %d, which should run alone", o.Attempt, i+1)
			}
		}
	}
	if o.Hedge {
		w.hedges++
		if !w.idem || w.hedges > w.hedgeCap {
			w.t.Fatalf("hedge %d of at most %d, idempotent %v", w.hedges, w.hedgeCap, w.idem)
		}
	}
	shard := w.view.Upstreams[o.Part.Upstream].Shards[o.Shard]
	if !shard.Range.Overlaps(o.Part.Range) {
		w.t.Fatalf("offer of %v to the shard of %v", o.Part.Range, shard.Range)
	}
	w.attempts = append(w.attempts, &tried{offer: o, view: w.view, clean: true})
}

// checkRunning checks that a query which is not finished waits for something,
// and that what runs names one version.
func (w *world) checkRunning() {
	w.t.Helper()
	if w.answer != nil {
		w.checkAnswer()
		return
	}
	live := 0
	var version uint64
	for i, a := range w.attempts {
		if !a.live() {
			continue
		}
		live++
		if a.offer.Version == 0 {
			continue
		}
		if version != 0 && version != a.offer.Version {
			w.t.Fatalf("attempt %d asks for version %d beside version %d", i+1, a.offer.Version, version)
		}
		version = a.offer.Version
	}
	// After a break a probe may wait for its slot, and a wake-up is due then.
	waits := w.crashed && w.wake.After(w.now) && w.wake.Before(w.due())
	if live == 0 && !waits {
		w.t.Fatalf("nothing runs and the query is not answered")
	}
	if w.wake.After(w.due()) || w.wake.IsZero() {
		w.t.Fatalf("the wake-up at %v is not by the deadline", w.wake)
	}
}

// send delivers Sent.
func (w *world) send(id query.AttemptID, leaf int) {
	a := w.attempts[id-1]
	a.sent, a.clean, a.leaf = true, false, w.named(a, leaf)
	w.sentTo[id] = w.view.Leaves[leaf].ID
	w.handle(query.Sent{Attempt: id, Leaf: a.leaf})
}

// named is a leaf of the current view by the view of an attempt's offer.
func (w *world) named(a *tried, leaf int) int {
	return a.view.Upstreams[a.offer.Part.Upstream].LeafIndex(w.view.Leaves[leaf].ID)
}

// allowed lists the leaves that dispatch might choose for an offer, whose shard
// is of the current view while what it avoids is of its own.
func (w *world) allowed(o query.Offer) []int {
	named := w.attempts[o.Attempt-1].view
	var out []int
	for _, l := range w.view.Upstreams[o.Part.Upstream].Shards[o.Shard].Leaves {
		id := w.view.Leaves[l].ID
		if !slices.ContainsFunc(o.Avoid, func(a int) bool { return named.Leaves[a].ID == id }) {
			out = append(out, l)
		}
	}
	return out
}

// honestAnswer delivers what the leaf would truly say. A wide leaf replies with
// all that it holds around the range asked.
func (w *world) honestAnswer(id query.AttemptID, leafID string, wide bool) {
	w.t.Helper()
	a := w.attempts[id-1]
	l := w.leaves[leafID]
	versions := slices.Clone(l.versions)
	w.observeID(leafID, versions)
	if a.offer.Version != 0 && !slices.Contains(versions, a.offer.Version) || len(versions) == 0 {
		w.decline(id, query.Declined{Reason: query.ReasonWrongVersion, Versions: versions})
		return
	}
	var ranges []keyrange.Range
	for _, h := range l.held {
		if !h.Overlaps(a.offer.Part.Range) {
			continue
		}
		if !wide {
			h = h.Intersect(a.offer.Part.Range)
		}
		ranges = append(ranges, h)
	}
	if len(ranges) == 0 {
		w.decline(id, query.Declined{Reason: query.ReasonWrongRange, Versions: versions, Ranges: l.held})
		return
	}
	version := a.offer.Version
	if version == 0 {
		version = slices.Max(versions)
	}
	w.reply(id, query.Reply{Version: version, Ranges: ranges, Versions: versions})
}

// observeID tells the tracker about a leaf by its ID, if the view has it.
func (w *world) observeID(id string, versions []uint64) {
	for i := range w.view.Leaves {
		if w.view.Leaves[i].ID == id {
			w.observe(i, versions)
		}
	}
}

func (w *world) decline(id query.AttemptID, d query.Declined) {
	w.t.Helper()
	a := w.attempts[id-1]
	d.Attempt, d.Leaf = id, a.leaf
	a.ended, a.clean = true, true
	w.handle(d)
}

// reply delivers the first reply of a sent attempt.
func (w *world) reply(id query.AttemptID, r query.Reply) {
	w.t.Helper()
	a := w.attempts[id-1]
	w.serial++
	r.Attempt, r.Leaf, r.Body = id, a.leaf, fmt.Appendf(nil, "%d", w.serial)
	w.replies = append(w.replies, r)
	if a.live() && a.sent && truthful(a.offer, r) {
		w.honest[string(r.Body)] = r
	}
	w.replied = w.replied || (a.live() && a.sent)
	a.ended = true
	w.handle(r)
}

// truthful reports whether a reply states the version asked, and disjoint
// ranges of which one is of the part asked.
func truthful(o query.Offer, r query.Reply) bool {
	var total uint64
	near := false
	for _, x := range r.Ranges {
		if x.Empty() || x.To > keySpace {
			return false
		}
		total += x.Size()
		near = near || x.Overlaps(o.Part.Range)
	}
	set := keyrange.NewSet(r.Ranges...)
	return near && set.Size() == total && (o.Version == 0 || o.Version == r.Version)
}
