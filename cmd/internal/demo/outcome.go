package demo

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// Phase is what happened in one part.
type Phase struct {
	Name    string           `json:"name"`
	Reports []loadgen.Report `json:"reports"`
	// Refused counts connections that leaves closed as over their limit, from
	// the end of the phase before to the end of this one; the first phase has
	// those of the start too.
	Refused uint64 `json:"refused_connections"`
}

// Outcome is what the whole demonstration showed.
type Outcome struct {
	Site       string             `json:"site"`
	Entries    int                `json:"entries"`
	Leaves     int                `json:"leaves"`
	Phases     []Phase            `json:"phases"`
	Executions loadgen.Executions `json:"executions"`
	Platform   PlatformCalls      `json:"platform"`
	// OverLimit names leaves that had more connections than their limit, or
	// refused one.
	OverLimit []string `json:"over_limit"`
}

// PlatformCalls are the calls of all entries to the platform while load ran. A
// waiting watch counts as one read.
type PlatformCalls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Limited uint64 `json:"limited"` // over the rate: 429
	Seconds int    `json:"seconds"`
}

// Broken lists the promises that the outcome breaks.
func (o *Outcome) Broken() []string {
	var broken []string
	for _, p := range o.Phases {
		for _, f := range loadgen.Faults(p.Reports) {
			broken = append(broken, fmt.Sprintf("%s: %s in %d answers", p.Name, f.Fault, f.Count))
		}
	}
	if o.Executions.MaxPerKey > 1 {
		broken = append(broken, fmt.Sprintf("an idempotency key was executed %d times", o.Executions.MaxPerKey))
	}
	if n := o.Executions.RefusedButRan; n > 0 {
		broken = append(broken, fmt.Sprintf("%d queries were refused as not run and ran", n))
	}
	if n := o.Executions.AnsweredNotRan; n > 0 {
		broken = append(broken, fmt.Sprintf("%d keys were answered and never ran", n))
	}
	if n := len(o.OverLimit); n > 0 {
		broken = append(broken, fmt.Sprintf("%d leaves refused a connection over their limit: %s", n, firstOf(o.OverLimit)))
	}
	return broken
}

// namesShown is how many names a list shows.
const namesShown = 3

// firstOf names the first of a list and says that there are more.
func firstOf(names []string) string {
	if len(names) <= namesShown {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:namesShown], ", ") + " and others"
}

// platformCalls are the calls between two counts.
func platformCalls(before, after platform.Counts) PlatformCalls {
	a, b := sumCalls(after), sumCalls(before)
	return PlatformCalls{Reads: a.Reads - b.Reads, Writes: a.Writes - b.Writes, Limited: a.Limited - b.Limited}
}

// sumCalls adds up the calls of all clients.
func sumCalls(c platform.Counts) PlatformCalls {
	var p PlatformCalls
	for _, call := range c.Calls {
		p.Limited += call.Limited
		if call.Kind == platform.KindPut || call.Kind == platform.KindDelete {
			p.Writes += call.Calls
		} else {
			p.Reads += call.Calls
		}
	}
	return p
}

// countRefused adds up the connections that leaves have closed as over their
// limit since the last call, and notes which leaves did.
func (d *demo) countRefused(o *Outcome) (uint64, error) {
	var added uint64
	for _, id := range d.site.LeafIDs() {
		stats, err := d.site.LeafStats(id)
		if err != nil {
			return 0, fmt.Errorf("demo: counts of %s: %w", id, err)
		}
		now := stats.Connections.Refused
		if now > 0 && !slices.Contains(o.OverLimit, id) {
			o.OverLimit = append(o.OverLimit, id)
		}
		added += now - d.refused[id]
		d.refused[id] = now
	}
	return added, nil
}

// check compares what callers were answered with what the leaves recorded.
func (d *demo) check(o *Outcome) error {
	started := map[string]int{}
	for _, id := range d.site.LeafIDs() {
		record, err := d.site.LeafRecord(id)
		if err != nil {
			return fmt.Errorf("demo: record of %s: %w", id, err)
		}
		for _, e := range record.Bodies {
			started[e.Key] += e.Started
		}
	}
	for _, r := range d.runs {
		ran := func(a loadgen.Arrival) int { return started[leaf.Hash(r.sender.Body(a))] }
		o.Executions.Merge(loadgen.CheckExecutions(r.samples, d.spec.services, ran))
	}
	return nil
}
