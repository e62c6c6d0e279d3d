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

// fixedBudget is a Budget with a fixed number of hedges and retries.
type fixedBudget struct{ hedges, retries int }

func (b *fixedBudget) TakeHedge(time.Time) bool { b.hedges--; return b.hedges >= 0 }
func (b *fixedBudget) TakeRetry(time.Time) bool { b.retries--; return b.retries >= 0 }

// failer is the part of testing.T and rapid.T that world needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fakeLeaf holds the index versions and the key ranges that a fake leaf serves.
type fakeLeaf struct {
	versions   []uint64
	heldRanges []keyrange.Range
}

// attemptRecord is the reference model's record of one attempt.
type attemptRecord struct {
	offer        query.Offer
	view         *view.View     // the view at the offer
	leaf         int            // the leaf of Sent, as an index in view
	sent         bool           // Sent was delivered
	ended        bool           // its last event was delivered
	withdrawn    bool           // Withdraw was received
	provedNotRun bool           // it is certain that no leaf ran it
	group        *query.Group   // nil unless it is a group's attempt
	reported     query.Gathered // the sums of the counters in the replies to a group
}

func (a *attemptRecord) live() bool { return !a.ended && !a.withdrawn }

// world simulates the runtime, the leaves and the clock around one query machine, and
// checks the machine against a reference model.
type world struct {
	t          failer
	doc        *document.Document
	view       *view.View
	startView  *view.View
	tracker    *snapshot.Tracker
	machine    *query.Machine
	now        time.Time
	leaves     map[string]*fakeLeaf
	attempts   []*attemptRecord
	acceptable map[string]query.Reply // by body or attachment: valid replies that the machine may accept
	replies    []query.Reply          // all replies, for replayReply
	answer     *query.Answer
	replyCount int
	idempotent bool
	gated      bool // canary or suspect: one attempt at a time until the first reply
	replied    bool
	crashed    bool // a leaf crashed while it ran the query
	hedges     int
	maxHedges  int
	wakeAt     time.Time
	groups     []query.Group
	interims   []query.Answer
	sentTo     map[query.AttemptID]string // the ID of the leaf of each sent attempt
}

// shardSpec is one shard of a world: its range and the IDs of its leaves.
type shardSpec struct {
	r      keyrange.Range
	leaves []string
}

func buildView(gen uint64, doc *document.Document) *view.View {
	return view.Build(gen, "", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 4 })
}

// newWorld returns a world with one upstream per list of shards. All leaves hold their
// shards' ranges at version 1.
func newWorld(t failer, service document.Service, upstreams ...[]shardSpec) *world {
	doc := &document.Document{}
	service.Name = serviceName
	service.Deadline = deadline
	for u, shards := range upstreams {
		up := document.Upstream{Name: fmt.Sprintf("u%d", u), KeySpace: keySpace}
		for _, s := range shards {
			up.Shards = append(up.Shards, documentShard(s))
		}
		doc.Upstreams = append(doc.Upstreams, up)
		service.Upstreams = append(service.Upstreams, up.Name)
	}
	doc.Services = []document.Service{service}
	w := &world{t: t, doc: doc, now: epoch, leaves: make(map[string]*fakeLeaf), acceptable: make(map[string]query.Reply), sentTo: make(map[query.AttemptID]string), idempotent: service.Idempotent}
	w.view = buildView(1, doc)
	w.startView = w.view
	w.tracker = snapshot.New(w.view)
	for _, shards := range upstreams {
		for _, s := range shards {
			for _, id := range s.leaves {
				if w.leaves[id] == nil {
					w.leaves[id] = &fakeLeaf{versions: []uint64{1}}
				}
				w.leaves[id].heldRanges = append(w.leaves[id].heldRanges, s.r)
			}
		}
	}
	return w
}

func documentShard(s shardSpec) document.Shard {
	out := document.Shard{Range: s.r}
	for _, id := range s.leaves {
		out.Leaves = append(out.Leaves, document.Leaf{ID: id})
	}
	return out
}

// equalShards cuts the key space into n equal shards with the given number of leaves
// each.
func equalShards(prefix string, n, replicas int) []shardSpec {
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

// config returns the default configuration of the query.
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

// observe passes the versions that a leaf states to the tracker, as the runtime does.
func (w *world) observe(leaf int, versions []uint64) {
	if versions != nil {
		w.tracker.Observe(leaf, versions)
	}
}

// handle delivers an event to the machine and checks its actions against the model.
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
			w.recordOffer(act)
		case query.OfferGroup:
			w.recordGroupOffer(act)
		case query.Withdraw:
			a := w.attempts[act.Attempt-1]
			if !a.live() {
				w.t.Fatalf("withdrew attempt %d, which is not live", act.Attempt)
			}
			a.withdrawn = true
			a.provedNotRun = !a.sent
		case query.WakeAt:
			w.wakeAt = act.At
		case query.Interim:
			w.interims = append(w.interims, act.Answer)
		case query.Finish:
			if i != len(actions)-1 {
				w.t.Fatalf("Finish is not the last action")
			}
			w.answer = &act.Answer
		}
	}
	w.checkRunning()
}

// recordOffer checks an offer against the earlier attempts and records it.
func (w *world) recordOffer(o query.Offer) {
	w.t.Helper()
	if int(o.Attempt) != len(w.attempts)+1 {
		w.t.Fatalf("attempt %d offered after %d", o.Attempt, len(w.attempts))
	}
	if !w.idempotent {
		for i, a := range w.attempts {
			if !a.provedNotRun {
				w.t.Fatalf("attempt %d offered while attempt %d may have run", o.Attempt, i+1)
			}
		}
	}
	if w.gated && !w.replied {
		if !o.Solo {
			w.t.Fatalf("attempt %d is not solo, and the request is not known to be safe", o.Attempt)
		}
		for i, a := range w.attempts {
			if a.live() {
				w.t.Fatalf("attempt %d offered while attempt %d is live, which should run alone", o.Attempt, i+1)
			}
		}
	}
	if o.Hedge {
		w.hedges++
		if !w.idempotent || w.hedges > w.maxHedges {
			w.t.Fatalf("hedge %d of at most %d, idempotent %v", w.hedges, w.maxHedges, w.idempotent)
		}
	}
	shard := w.view.Upstreams[o.Part.Upstream].Shards[o.Shard]
	if !shard.Range.Overlaps(o.Part.Range) {
		w.t.Fatalf("offer of %v to the shard of %v", o.Part.Range, shard.Range)
	}
	w.attempts = append(w.attempts, &attemptRecord{offer: o, view: w.view, provedNotRun: true})
}

// checkRunning checks that an unfinished query has a live attempt or a pending wake-up,
// and that all live attempts ask for one version.
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
			w.t.Fatalf("attempt %d asks for version %d while another asks for version %d", i+1, a.offer.Version, version)
		}
		version = a.offer.Version
	}
	// After a crash the next probe may wait for its time slot, with a wake-up.
	waits := w.crashed && w.wakeAt.After(w.now) && w.wakeAt.Before(w.deadlineAt())
	if live == 0 && !waits {
		w.t.Fatalf("no attempt is live and the query is not answered")
	}
	if w.wakeAt.After(w.deadlineAt()) || w.wakeAt.IsZero() {
		w.t.Fatalf("the wake-up at %v is not by the deadline", w.wakeAt)
	}
}

// send delivers Sent for an attempt; leaf is an index in the current view.
func (w *world) send(id query.AttemptID, leaf int) {
	a := w.attempts[id-1]
	a.sent, a.provedNotRun, a.leaf = true, false, w.leafInOfferView(a, leaf)
	w.sentTo[id] = w.view.Leaves[leaf].ID
	w.handle(query.Sent{Attempt: id, Leaf: a.leaf})
}

// leafInOfferView translates a leaf index of the current view to the view of an
// attempt's offer.
func (w *world) leafInOfferView(a *attemptRecord, leaf int) int {
	return a.view.Upstreams[a.offer.Part.Upstream].LeafIndex(w.view.Leaves[leaf].ID)
}

// allowedLeaves lists the leaves that dispatch may choose for an offer. The offer's
// shard is an index in the current view, its Avoid are indexes in the view at the offer.
func (w *world) allowedLeaves(o query.Offer) []int {
	offerView := w.attempts[o.Attempt-1].view
	var out []int
	for _, l := range w.view.Upstreams[o.Part.Upstream].Shards[o.Shard].Leaves {
		id := w.view.Leaves[l].ID
		if !slices.ContainsFunc(o.Avoid, func(a int) bool { return offerView.Leaves[a].ID == id }) {
			out = append(out, l)
		}
	}
	return out
}

// answerTruthfully delivers the reply or the decline that fits the versions and ranges
// of the leaf. If wide is set the leaf replies with the whole ranges that overlap the
// part, otherwise with their overlap.
func (w *world) answerTruthfully(id query.AttemptID, leafID string, wide bool) {
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
	for _, h := range l.heldRanges {
		if !h.Overlaps(a.offer.Part.Range) {
			continue
		}
		if !wide {
			h = h.Intersect(a.offer.Part.Range)
		}
		ranges = append(ranges, h)
	}
	if len(ranges) == 0 {
		w.decline(id, query.Declined{Reason: query.ReasonWrongRange, Versions: versions, Ranges: l.heldRanges})
		return
	}
	version := a.offer.Version
	if version == 0 {
		version = slices.Max(versions)
	}
	w.reply(id, query.Reply{Version: version, Ranges: ranges, Versions: versions})
}

// observeID passes the versions of the leaf with the ID to the tracker, if the view has
// the leaf.
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
	a.ended, a.provedNotRun = true, true
	w.handle(d)
}

// reply delivers the first reply of a sent attempt.
func (w *world) reply(id query.AttemptID, r query.Reply) {
	w.t.Helper()
	a := w.attempts[id-1]
	w.replyCount++
	r.Attempt, r.Leaf, r.Body = id, a.leaf, fmt.Appendf(nil, "%d", w.replyCount)
	w.replies = append(w.replies, r)
	if a.live() && a.sent && isValidReply(a.offer, r) {
		w.acceptable[string(r.Body)] = r
	}
	w.replied = w.replied || (a.live() && a.sent)
	a.ended = true
	w.handle(r)
}

// isValidReply reports whether a reply states the version asked for, and disjoint
// ranges of the key space of which one overlaps the part.
func isValidReply(o query.Offer, r query.Reply) bool {
	var total uint64
	overlaps := false
	for _, x := range r.Ranges {
		if x.Empty() || x.To > keySpace {
			return false
		}
		total += x.Size()
		overlaps = overlaps || x.Overlaps(o.Part.Range)
	}
	set := keyrange.NewSet(r.Ranges...)
	return overlaps && set.Size() == total && (o.Version == 0 || o.Version == r.Version)
}
