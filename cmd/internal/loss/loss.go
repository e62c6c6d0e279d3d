// Package loss finds in the logs of all instances of a run where requests were lost: which were
// late, partial, failed or refused, for which reasons, and what would come back without each.
package loss

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/story"
)

// Kind says how a request was lost.
type Kind string

// The kinds, of which a request has one: the first that fits.
const (
	Refused Kind = "refused" // it was not run
	Failed  Kind = "failed"  // no answer of use
	Late    Kind = "late"    // complete or partial, after its objective
	Partial Kind = "partial" // in time, parts are missing
	Unended Kind = "unended" // no line ends it
)

// Kinds lists all in the order of reports.
var Kinds = []Kind{Refused, Failed, Late, Partial, Unended}

// Reasons of this package's own. Others are those of the log lines.
const (
	ReasonQueued    = "queued in the instance"
	ReasonSlowLeaf  = "slow leaf"
	ReasonHandOver  = "hand-over"
	ReasonInstance  = "instance short of processor time"
	ReasonNotLogged = "no reason logged"
	ReasonEnded     = "instance ended"
)

// Cause is a reason with the shard at which it was met, "" for none.
type Cause struct{ Reason, Shard string }

// Loss is a request that was lost.
type Loss struct {
	Request, Service string
	// Instance wrote the last line.
	Instance string
	// Second is the whole second of its last line, counted from the first line of the logs.
	Second int
	Kind   Kind
	Causes []Cause
	// Without lists the reasons each of which, gone alone, would bring the request back.
	Without []string
}

// Losses is what the logs of a run say.
type Losses struct {
	// Requests is the number that have a line.
	Requests int
	Lost     []Loss
	// LeftOut is the number of lines that instances did not write for their budgets.
	LeftOut int
}

// Find finds all losses.
func Find(lines []story.Line) *Losses {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b story.Line) int { return a.At.Compare(b.At) })
	out := &Losses{}
	byRequest := make(map[string][]story.Line)
	var order []string
	starts := make(map[string][]time.Time) // of processes, by instance
	for _, l := range lines {
		switch {
		case l.Request != "":
			if byRequest[l.Request] == nil {
				order = append(order, l.Request)
			}
			byRequest[l.Request] = append(byRequest[l.Request], l)
		case l.IsStart():
			starts[l.Instance] = append(starts[l.Instance], l.At)
		case l.Prefix == "log":
			out.LeftOut += l.Int("failures") + l.Int("outcomes") + l.Int("routine") + l.Int("dropped")
		}
	}
	out.Requests = len(order)
	for _, request := range order {
		own := byRequest[request]
		if loss, ok := find(own, starts); ok {
			last := own[len(own)-1]
			loss.Request, loss.Instance = request, last.Instance
			loss.Second = int(last.At.Sub(lines[0].At) / time.Second)
			out.Lost = append(out.Lost, loss)
		}
	}
	return out
}

// find classes one request by its lines, in their order.
func find(lines []story.Line, starts map[string][]time.Time) (Loss, bool) {
	end := story.Ending(lines)
	switch {
	case end == nil:
		return unended(lines, starts)
	case end.Message == "refuse":
		if status := end.Int("status"); status > 0 && status < minServerError {
			return Loss{}, false // it is the client's own mistake
		}
		return single(Refused, "", Cause{Reason: end.Text("why")}), true
	}
	service := end.Text("service")
	switch end.Text("why") {
	case "not_run":
		return single(Refused, service, Cause{Reason: reasonOf(end)}), true
	case "complete", "partial":
	default:
		return failed(end, lines), true
	}
	if late := total(end, lines) - end.Duration("objective"); end.Duration("objective") > 0 && late > 0 {
		return lateBy(late, end, lines), true
	}
	if end.Text("why") == "partial" {
		return partial(end, lines), true
	}
	return Loss{}, false
}

// minServerError is the lowest status that says that the server is at fault.
const minServerError = 500

// single is a loss with one cause.
func single(k Kind, service string, c Cause) Loss {
	return Loss{Service: service, Kind: k, Causes: []Cause{c}, Without: []string{c.Reason}}
}

// reasonOf is the reason that an answer names.
func reasonOf(end *story.Line) string {
	if reason := end.Text("reason"); reason != "" {
		return reason
	}
	return ReasonNotLogged
}

// unended is a request without a line that ends it. One of which only a routine line was
// written may have ended well: it counts where its instance started again.
func unended(lines []story.Line, starts map[string][]time.Time) (Loss, bool) {
	last := lines[len(lines)-1]
	for _, at := range starts[last.Instance] {
		if at.After(last.At) {
			return single(Unended, "", Cause{Reason: ReasonEnded}), true
		}
	}
	return Loss{}, false
}

// failed is a request that got nothing.
func failed(end *story.Line, lines []story.Line) Loss {
	causes := attempts(lines)
	if len(causes) == 0 {
		causes = []Cause{{Reason: reasonOf(end)}}
	}
	return Loss{Service: end.Text("service"), Kind: Failed, Causes: causes, Without: sole(causes)}
}

// attempts lists the failures of attempts, each once.
func attempts(lines []story.Line) []Cause {
	var out []Cause
	for i := range lines {
		if lines[i].FailedAttempt() {
			c := Cause{Reason: lines[i].Text("why"), Shard: lines[i].Text("shard")}
			if !slices.Contains(out, c) {
				out = append(out, c)
			}
		}
	}
	return out
}

// sole lists the reason of causes that all have the same.
func sole(causes []Cause) []string {
	for _, c := range causes {
		if c.Reason != causes[0].Reason {
			return nil
		}
	}
	return []string{causes[0].Reason}
}

// partial is a request of which parts are missing. What an attempt at a part met says more than
// that the answer was settled without it.
func partial(end *story.Line, lines []story.Line) Loss {
	met := make(map[string]string)
	for _, c := range attempts(lines) {
		met[c.Shard] = c.Reason
	}
	var causes []Cause
	for part := range strings.SplitSeq(end.Text("missing"), "; ") {
		shard, reason, ok := strings.Cut(part, ":")
		if !ok {
			continue
		}
		if m := met[shard]; m != "" {
			reason = m
		}
		causes = append(causes, Cause{Reason: reason, Shard: shard})
	}
	if len(causes) == 0 {
		causes = []Cause{{Reason: reasonOf(end)}}
	}
	return Loss{Service: end.Text("service"), Kind: Partial, Causes: causes, Without: sole(causes)}
}
