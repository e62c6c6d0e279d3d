package loss

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/story"
)

// total is the time that a request took for its client: in the instance that answered, on its
// way, and back through the instance that had handed it over.
func total(end *story.Line, lines []story.Line) time.Duration {
	return end.Duration("took") + end.Duration("way") + handedBack(end, lines)
}

// lineDelay is how much later than the answer itself the line of the instance that had handed a
// request over may be. Answers are often settled a millisecond before their objective.
const lineDelay = 1500 * time.Microsecond

// handedBack is the time from an answer to the line of the instance that had handed the request
// over, less what that line may be late; 0 where none had.
func handedBack(end *story.Line, lines []story.Line) time.Duration {
	if l := handOver(lines); l != nil {
		return max(l.At.Sub(end.At)-lineDelay, 0)
	}
	return 0
}

// handOver is the line of a hand-over that succeeded, or nil.
func handOver(lines []story.Line) *story.Line {
	for i := range lines {
		if lines[i].Prefix == "relay" && lines[i].Message == "handed over" {
			return &lines[i]
		}
	}
	return nil
}

// span is a part of a request's time.
type span struct {
	cause Cause
	took  time.Duration
}

// lateBy is a request that took longer than its objective. Its causes are the spans that are
// longer than the delay, so that the answer would have been in time without one of them; else
// the longest.
func lateBy(delay time.Duration, end *story.Line, lines []story.Line) Loss {
	out := Loss{Service: end.Text("service"), Kind: Late}
	all := spans(end, lines)
	slices.SortStableFunc(all, func(a, b span) int { return int(b.took - a.took) })
	for i, s := range all {
		if s.took < delay && i > 0 {
			break
		}
		out.Causes = append(out.Causes, s.cause)
		if s.took >= delay {
			out.Without = append(out.Without, s.cause.Reason)
		}
	}
	return out
}

// spans parts a request's time. What neither a queue, a leaf nor a hand-over took is the
// instance's own: one that has a processor to itself takes little.
func spans(end *story.Line, lines []story.Line) []span {
	leaf := span{Cause{ReasonSlowLeaf, end.Text("slowest_shard")}, end.Duration("slowest")}
	for i := range lines {
		l := &lines[i]
		if l.FailedAttempt() && l.Duration("took") > leaf.took {
			leaf = span{Cause{l.Text("why"), l.Text("shard")}, l.Duration("took")}
		}
	}
	queued := span{Cause{Reason: ReasonQueued}, end.Duration("queued")}
	over := span{Cause{Reason: ReasonHandOver}, handedBack(end, lines) + waitedForOthers(end, lines)}
	own := span{Cause{Reason: ReasonInstance}, max(end.Duration("took")-leaf.took-queued.took-waitedForOthers(end, lines), 0)}
	return []span{leaf, queued, over, own}
}

// waitedForOthers is the time before the run that went into instances that did not take the
// request, or into the hand-over to the one that did.
func waitedForOthers(end *story.Line, lines []story.Line) time.Duration {
	var out time.Duration
	begun := end.At.Add(-end.Duration("took"))
	for i := range lines {
		if lines[i].Prefix == "relay" && lines[i].Message == "not handed over" {
			out += lines[i].Duration("took")
		}
	}
	if l := handOver(lines); l != nil {
		out += max(l.At.Add(-l.Duration("took")).Sub(begun)-out, 0)
	}
	return min(out, end.Duration("took"))
}
