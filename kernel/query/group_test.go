package query_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// drawGroups draws the shards that other instances are to gather.
func drawGroups(t *rapid.T, w *world) []query.Group {
	var out []query.Group
	for u := range w.view.Upstreams {
		g := query.Group{Upstream: u}
		for _, s := range w.view.Upstreams[u].Shards {
			if rapid.IntRange(0, 2).Draw(t, "grouped") == 0 {
				g.Ranges = append(g.Ranges, s.Range)
			}
		}
		if len(g.Ranges) > 0 {
			out = append(out, g)
		}
	}
	return out
}

// recordGroupOffer checks the offer of a group and records it as one attempt.
func (w *world) recordGroupOffer(o query.OfferGroup) {
	w.t.Helper()
	if !w.idempotent {
		w.t.Fatalf("a group of a non-idempotent request is offered")
	}
	if w.gated && !w.replied {
		w.t.Fatalf("a group is offered, and the request is not known to be safe")
	}
	g := &w.groups[o.Group]
	part := query.Part{Upstream: g.Upstream, Range: g.Ranges[0]}
	w.attempts = append(w.attempts, &attemptRecord{
		offer: query.Offer{Attempt: o.Attempt, Part: part, Version: o.Version}, view: w.view, provedNotRun: true, group: g, leaf: view.NoLeaf,
	})
	if int(o.Attempt) != len(w.attempts) {
		w.t.Fatalf("group offered as attempt %d after %d", o.Attempt, len(w.attempts)-1)
	}
}

// advanceGroup delivers the next event of a group: accepted, not accepted, a reply or
// the loss of the instance.
func (w *world) advanceGroup(t *rapid.T, id query.AttemptID) {
	a := w.attempts[id-1]
	if !a.sent {
		if rapid.IntRange(0, 2).Draw(t, "accepted") == 0 {
			a.ended = true
			w.handle(query.NotSent{Attempt: id, Reason: query.ReasonNotAccepted})
			return
		}
		a.sent, a.provedNotRun = true, false
		w.handle(query.Sent{Attempt: id, Leaf: view.NoLeaf})
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "group") {
	case 0:
		a.ended = true
		w.handle(query.Broken{Attempt: id, Leaf: view.NoLeaf, Cause: "lost"})
	case 1:
		w.deliverGathered(id, query.Gathered{Version: max(a.offer.Version, 1), Ranges: []keyrange.Range{{To: keySpace + 1}}}, false)
	default:
		var covered []keyrange.Range
		for _, r := range a.group.Ranges {
			if rapid.Bool().Draw(t, "covered") {
				covered = append(covered, r)
			}
		}
		version := rapid.SampledFrom([]uint64{max(a.offer.Version, 1), 9}).Draw(t, "version")
		going := rapid.IntRange(0, 3).Draw(t, "going") == 0
		w.deliverGathered(id, query.Gathered{Version: version, Ranges: covered, Sent: 3, Hedges: 1, HasMore: going}, version != 9 || a.offer.Version == 0)
	}
}

// deliverGathered delivers a reply to a group. valid says that the machine may accept it.
func (w *world) deliverGathered(id query.AttemptID, g query.Gathered, valid bool) {
	w.t.Helper()
	a := w.attempts[id-1]
	w.replyCount++
	key := fmt.Sprintf("group %d", w.replyCount)
	g.Attempt, g.Attachment = id, key
	if a.live() {
		a.reported.Sent += g.Sent
		a.reported.Hedges += g.Hedges
		a.reported.Retries += g.Retries
		if valid && len(g.Ranges) > 0 {
			w.acceptable[key] = query.Reply{Version: g.Version, Ranges: g.Ranges}
			w.replied = true
		}
	}
	a.ended = !g.HasMore
	if g.HasMore && valid && len(g.Ranges) == len(a.group.Ranges) {
		a.ended = true // all parts are covered
	}
	w.handle(g)
}

// newGroupWorld begins a query of eight shards, three of which are a group. attempts is
// the route's limit.
func newGroupWorld(t *testing.T, attempts int) *world {
	service := document.Service{Idempotent: true, Objective: 100 * time.Millisecond, LeastCoverage: 0.5, Attempts: attempts}
	w := newWorld(t, service, equalShards("a", 8, 3))
	cfg := w.config(&fixedBudget{retries: 100})
	shards := w.view.Upstreams[0].Shards
	cfg.Groups = []query.Group{{Ranges: []keyrange.Range{shards[1].Range, shards[2].Range, shards[6].Range}}}
	w.begin(cfg)
	if n := len(w.attempts); n != 6 || w.attempts[0].group == nil {
		t.Fatalf("%d attempts, want one for the group and five for the other shards", n)
	}
	return w
}

// answerOtherAttempts sends and truthfully answers all queued attempts but the group's.
func (w *world) answerOtherAttempts() {
	for i := 1; i < len(w.attempts); i++ {
		if a := w.attempts[i]; a.live() && !a.sent {
			w.send(a.offer.Attempt, w.allowedLeaves(a.offer)[0])
			w.answerTruthfully(a.offer.Attempt, w.sentTo[a.offer.Attempt], false)
		}
	}
}

// TestGroupReplyIsAcceptedOnce checks that a group's reply is accepted, also one that
// covers only some or none of its parts, and that a repeated reply is ignored.
func TestGroupReplyIsAcceptedOnce(t *testing.T) {
	for _, tc := range []struct {
		name    string
		covered int
		share   float64
		outcome query.Outcome
	}{{"whole", 3, 1, query.Complete}, {"in part", 2, 7.0 / 8, query.Partial}, {"nothing", 0, 5.0 / 8, query.Partial}} {
		w := newGroupWorld(t, 2)
		w.handle(query.Sent{Attempt: 1, Leaf: view.NoLeaf})
		w.attempts[0].sent, w.attempts[0].provedNotRun = true, false
		w.deliverGathered(1, query.Gathered{Version: 1, Ranges: w.groups[0].Ranges[:tc.covered], Sent: 4}, true)
		w.handle(query.Gathered{Attempt: 1, Version: 1, Ranges: w.groups[0].Ranges, Sent: 4, Attachment: "again"})
		w.answerOtherAttempts()
		if w.answer == nil || w.answer.Share != tc.share || w.answer.Outcome != tc.outcome {
			t.Fatalf("%s: answer %+v, want share %v", tc.name, w.answer, tc.share)
		}
		if w.answer.Sent != 9 || w.answer.Groups != 1 {
			t.Errorf("%s: %d sent by %d groups, want 9 by 1", tc.name, w.answer.Sent, w.answer.Groups)
		}
		for _, m := range w.answer.Missing {
			if m.Reason != query.MissingNotGathered {
				t.Errorf("%s: %v is missing as %s", tc.name, m.Part, m.Reason)
			}
		}
	}
}

// TestUnacceptedGroupIsAskedLocally checks that the query asks the leaves itself if no
// instance accepts the group.
func TestUnacceptedGroupIsAskedLocally(t *testing.T) {
	w := newGroupWorld(t, 2)
	w.attempts[0].ended = true
	w.handle(query.NotSent{Attempt: 1, Reason: query.ReasonNotAccepted})
	w.answerOtherAttempts()
	if w.answer == nil || w.answer.Outcome != query.Complete || w.answer.Retries != 0 {
		t.Fatalf("answer %+v, want a complete one without retries", w.answer)
	}
}

// TestLostGroupIsNotAskedAgain loses the instance that gathers a group. The instance may
// have made all the attempts that the route allows, so the parts are asked again only if
// the route sets no limit.
func TestLostGroupIsNotAskedAgain(t *testing.T) {
	for _, tc := range []struct {
		attempts, asked int
	}{{2, 0}, {0, 3}} {
		w := newGroupWorld(t, tc.attempts)
		before := len(w.attempts)
		w.handle(query.Sent{Attempt: 1, Leaf: view.NoLeaf})
		w.attempts[0].sent, w.attempts[0].provedNotRun, w.attempts[0].ended = true, false, true
		w.handle(query.Broken{Attempt: 1, Leaf: view.NoLeaf, Cause: "lost"})
		if got := len(w.attempts) - before; got != tc.asked {
			t.Errorf("%d attempts allowed: %d parts are asked again, want %d", tc.attempts, got, tc.asked)
		}
		w.answerOtherAttempts()
		if w.answer == nil || w.answer.Share < 5.0/8 {
			t.Errorf("%d attempts allowed: answer %+v", tc.attempts, w.answer)
		}
	}
}

// TestOnlyShardsGivesInterimAnswers runs a query with OnlyShards, as an instance does that
// gathers them for another: it must ask no other shards, give an interim answer when one
// is due, and go on until its shards are covered.
func TestOnlyShardsGivesInterimAnswers(t *testing.T) {
	service := document.Service{Idempotent: true, Objective: 100 * time.Millisecond, LeastCoverage: 0.9}
	w := newWorld(t, service, equalShards("a", 8, 2))
	cfg := w.config(&fixedBudget{})
	shards := w.view.Upstreams[0].Shards
	cfg.OnlyShards = []query.Group{{Ranges: []keyrange.Range{shards[1].Range, shards[2].Range, shards[6].Range}}}
	w.begin(cfg)
	if n := len(w.attempts); n != 3 {
		t.Fatalf("%d attempts, want 3", n)
	}
	for id := query.AttemptID(1); id <= 2; id++ {
		w.send(id, w.allowedLeaves(w.attempts[id-1].offer)[0])
		w.answerTruthfully(id, w.sentTo[id], false)
	}
	w.now = w.now.Add(80 * time.Millisecond)
	w.handle(query.Tick{})
	if w.answer != nil || len(w.interims) != 1 || len(w.interims[0].Results) != 2 {
		t.Fatalf("answer %+v after the interim answers %+v, want one interim answer with two parts", w.answer, w.interims)
	}
	w.send(3, w.allowedLeaves(w.attempts[2].offer)[0])
	w.answerTruthfully(3, w.sentTo[3], false)
	if w.answer == nil || len(w.answer.Results) != 3 {
		t.Fatalf("answer %+v, want all three parts", w.answer)
	}
}

// TestGroupRepliesMoreThanOnce checks that several replies of a group are accepted, and
// that the query settles before the last one if the coverage suffices.
func TestGroupRepliesMoreThanOnce(t *testing.T) {
	w := newGroupWorld(t, 2)
	w.handle(query.Sent{Attempt: 1, Leaf: view.NoLeaf})
	w.attempts[0].sent, w.attempts[0].provedNotRun = true, false
	w.deliverGathered(1, query.Gathered{Version: 1, Ranges: w.groups[0].Ranges[:1], HasMore: true, Sent: 3}, true)
	w.answerOtherAttempts()
	if w.answer != nil {
		t.Fatalf("answer %+v before the group's rest", w.answer)
	}
	w.deliverGathered(1, query.Gathered{Version: 1, Ranges: w.groups[0].Ranges[1:2], HasMore: true, Sent: 1}, true)
	w.now = w.now.Add(85 * time.Millisecond)
	w.handle(query.Tick{})
	if w.answer == nil || w.answer.Share != 7.0/8 || w.answer.Reason != query.MissingSettled || w.answer.Sent != 9 {
		t.Fatalf("answer %+v, want seven parts, settled", w.answer)
	}
}
