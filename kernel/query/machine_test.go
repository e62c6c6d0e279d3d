package query_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// TestRandomInterleavings drives the machine through random orders of replies,
// declines, broken connections, version changes, shard splits and repeated replies, and
// checks each action and the answer against the reference model in world.
func TestRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for w.answer == nil {
			takeRandomStep(t, w)
		}
	})
}

// drawWorld draws a document, a service and a budget, and begins the query.
func drawWorld(t *rapid.T) *world {
	service := document.Service{
		Idempotent:    rapid.Float64Range(0, 1).Draw(t, "kind") < 0.8,
		LeastCoverage: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "least"),
		Settle:        rapid.SampledFrom([]time.Duration{0, settleWait}).Draw(t, "settle"),
	}
	var upstreams [][]shardSpec
	for u := range rapid.IntRange(1, 2).Draw(t, "upstreams") {
		upstreams = append(upstreams, equalShards(fmt.Sprintf("u%d-", u), rapid.IntRange(1, 4).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "replicas")))
	}
	w := newWorld(t, service, upstreams...)
	for _, id := range w.leafIDs() {
		w.leaves[id].versions = drawVersions(t)
		if rapid.Bool().Draw(t, "seen") {
			w.observeID(id, drawVersions(t))
		}
	}
	b := &fixedBudget{hedges: rapid.IntRange(0, 3).Draw(t, "hedges"), retries: rapid.IntRange(0, 5).Draw(t, "retries")}
	w.maxHedges = b.hedges
	cfg := w.config(b)
	cfg.Canary = rapid.Float64Range(0, 1).Draw(t, "canary") < 0.2
	cfg.Suspect = rapid.Float64Range(0, 1).Draw(t, "suspect") < 0.2
	cfg.Seed = rapid.Uint64().Draw(t, "seed")
	cfg.Groups = drawGroups(t, w)
	w.begin(cfg)
	return w
}

func drawVersions(t *rapid.T) []uint64 {
	first := rapid.Uint64Range(1, 3).Draw(t, "version")
	if rapid.Bool().Draw(t, "two") {
		return []uint64{first, first + 1}
	}
	return []uint64{first}
}

func (w *world) leafIDs() []string {
	var ids []string
	for i := range w.view.Leaves {
		ids = append(ids, w.view.Leaves[i].ID)
	}
	return ids
}

// takeRandomStep advances the clock, changes a leaf or a shard, or moves an attempt on.
func takeRandomStep(t *rapid.T, w *world) {
	switch rapid.IntRange(0, 19).Draw(t, "what") {
	case 0:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
		w.handle(query.Tick{})
	case 1:
		id := rapid.SampledFrom(w.leafIDs()).Draw(t, "leaf")
		w.leaves[id].versions = drawVersions(t)
	case 2:
		w.replayReply(t)
	case 3:
		w.splitShard(t)
	case 4, 5:
		w.holdNeighbourShard(t)
	case 6:
		w.now = w.now.Add(20 * time.Millisecond)
		w.handle(query.Tick{})
	case 7:
		if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
			w.handle(query.Cancel{})
		}
	default:
		w.advanceRandom(t)
	}
}

// advanceRandom delivers the next event of a random attempt, if it awaits one.
func (w *world) advanceRandom(t *rapid.T) {
	id := query.AttemptID(rapid.IntRange(1, len(w.attempts)).Draw(t, "attempt"))
	a := w.attempts[id-1]
	switch {
	case a.ended || (a.withdrawn && !a.sent):
	case a.group != nil:
		w.advanceGroup(t, id)
	case !a.sent:
		w.advanceQueued(t, id)
	default:
		w.advanceSent(t, id)
	}
}

// advanceQueued sends a queued attempt or refuses it.
func (w *world) advanceQueued(t *rapid.T, id query.AttemptID) {
	a := w.attempts[id-1]
	leaves := w.allowedLeaves(w.remapOffer(a.offer))
	what := rapid.IntRange(0, 9).Draw(t, "queued")
	switch {
	case what == 0 || len(leaves) == 0:
		a.ended = true
		w.handle(query.NotSent{Attempt: id, Reason: rapid.SampledFrom([]query.DeclineReason{query.ReasonOverloaded, query.ReasonNoLeaf, query.ReasonDeadline}).Draw(t, "refused")})
	case what == 1:
		a.ended = true
		w.handle(query.NotSent{Attempt: id, Reason: query.ReasonDialFailed, Leaf: w.leafInOfferView(a, leaves[0])})
	default:
		w.send(id, rapid.SampledFrom(leaves).Draw(t, "leaf"))
	}
}

// remapOffer sets the shard of an offer by the current view, as dispatch does.
func (w *world) remapOffer(o query.Offer) query.Offer {
	for s, shard := range w.view.Upstreams[o.Part.Upstream].Shards {
		if shard.Range.Overlaps(o.Part.Range) {
			o.Shard = s
			break
		}
	}
	return o
}

// advanceSent ends a sent attempt. A withdrawn one may still reply, late.
func (w *world) advanceSent(t *rapid.T, id query.AttemptID) {
	a := w.attempts[id-1]
	leafID := w.sentTo[id]
	bad := []keyrange.Range{
		{From: a.offer.Part.Range.From, To: a.offer.Part.Range.From + 1},
		{From: keySpace - 1, To: keySpace + 1},
		{From: 5, To: 5},
	}
	switch what := rapid.IntRange(0, 15).Draw(t, "sent"); what {
	case 0, 1:
		w.decline(id, query.Declined{Reason: rapid.SampledFrom([]query.DeclineReason{query.ReasonOverloaded, query.ReasonDraining}).Draw(t, "declined")})
	case 2, 3:
		a.ended = true
		w.handle(query.Broken{Attempt: id, Leaf: a.leaf, Crash: what == 3})
	case 4:
		w.reply(id, query.Reply{Version: 9, Ranges: []keyrange.Range{a.offer.Part.Range}})
	case 5:
		r := a.offer.Part.Range
		w.reply(id, query.Reply{Version: max(a.offer.Version, 1), Ranges: []keyrange.Range{r, rapid.SampledFrom(bad).Draw(t, "bad")}})
	default:
		w.answerTruthfully(id, leafID, what < 10)
	}
}

// replayReply delivers an old reply again, perhaps for another attempt or leaf.
func (w *world) replayReply(t *rapid.T) {
	if len(w.replies) == 0 {
		return
	}
	r := rapid.SampledFrom(w.replies).Draw(t, "reply")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		r.Attempt = query.AttemptID(rapid.IntRange(0, len(w.attempts)+2).Draw(t, "crossed"))
		if i := int(r.Attempt) - 1; i >= 0 && i < len(w.attempts) && w.attempts[i].sent && w.attempts[i].leaf == r.Leaf && w.attempts[i].live() {
			return // the runtime tells these apart by the attempt's token
		}
	case 1:
		r.Leaf++
		if i := int(r.Attempt) - 1; w.attempts[i].live() && w.attempts[i].leaf == r.Leaf {
			return
		}
	}
	w.handle(r)
}

// splitShard cuts a shard in two, divides its leaves between the halves, and perhaps
// delivers the new view to the query.
func (w *world) splitShard(t *rapid.T) {
	u := rapid.IntRange(0, len(w.doc.Upstreams)-1).Draw(t, "upstream")
	doc := *w.doc
	doc.Upstreams = slices.Clone(doc.Upstreams)
	up := &doc.Upstreams[u]
	i := rapid.IntRange(0, len(up.Shards)-1).Draw(t, "shard")
	old := up.Shards[i]
	if old.Range.Size() < 4 {
		return
	}
	at := old.Range.From + old.Range.Size()/2
	left, right := old, old
	left.Range.To, right.Range.From = at, at
	if n := len(old.Leaves); n > 1 {
		left.Leaves, right.Leaves = old.Leaves[:n/2], old.Leaves[n/2:]
	}
	up.Shards = slices.Concat(up.Shards[:i], []document.Shard{right, left}, up.Shards[i+1:])
	for _, l := range slices.Concat(old.Leaves) {
		w.leaves[l.ID].heldRanges = nil
	}
	for _, s := range up.Shards {
		for _, l := range s.Leaves {
			if h := w.leaves[l.ID]; !slices.Contains(h.heldRanges, s.Range) && slices.Contains(old.Leaves, l) {
				h.heldRanges = append(h.heldRanges, s.Range)
			}
		}
	}
	w.doc = &doc
	if !rapid.Bool().Draw(t, "told") {
		return
	}
	w.view = buildView(w.view.Generation+1, w.doc)
	w.tracker.SetView(w.view)
	w.handle(query.ViewChanged{View: w.view})
}

// holdNeighbourShard makes the leaves of a shard hold the range of the next shard too.
func (w *world) holdNeighbourShard(t *rapid.T) {
	u := rapid.IntRange(0, len(w.doc.Upstreams)-1).Draw(t, "upstream")
	shards := w.doc.Upstreams[u].Shards
	i := rapid.IntRange(0, len(shards)-1).Draw(t, "shard")
	next := shards[(i+1)%len(shards)].Range
	for _, l := range shards[i].Leaves {
		if h := w.leaves[l.ID]; !slices.Contains(h.heldRanges, next) {
			set := keyrange.NewSet(append(h.heldRanges, next)...)
			h.heldRanges = set.Ranges()
		}
	}
}
