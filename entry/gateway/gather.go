package gateway

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Group is what another instance asks this one to gather.
type Group struct {
	Handed
	Service *view.Service
	Only    []query.Group
	// Least is the share of all keys from which the parts are enough.
	Least float64
}

// Gathered is what came of it: parts of one configuration, merged into one.
type Gathered struct {
	// Version is the index version of the parts.
	Version uint64
	Ranges  []keyrange.Range
	// Signatures are those of the parts, and Body their merged records.
	Signatures []string
	Body       []byte
	// Sent, Hedges and Retries count attempts.
	Sent, Hedges, Retries int
}

// Gather gathers parts of a request for another instance, by the given view. The
// error, if any, is an *executor.RefusedError: nothing has run.
func (g *Gateway) Gather(ctx context.Context, v *view.View, group Group) (*Gathered, error) {
	answer, err := g.config.Executor.Forward(ctx, &executor.Request{
		View: v, Service: group.Service, Caller: passedCaller, Start: group.Start, Deadline: group.Deadline,
		Way: group.Way, Passed: group.Passed, Only: group.Only, Least: group.Least,
	})
	if err != nil {
		return nil, err
	}
	out := &Gathered{Version: answer.Version, Sent: answer.Sent, Hedges: answer.Hedges, Retries: answer.Retries}
	var parts merging
	for _, r := range answer.Results {
		if parts.add(r) {
			out.Ranges = append(append(out.Ranges, r.Part.Range), r.More...)
		}
	}
	out.Signatures = parts.signatures
	out.Body = g.config.Combiner.Combine(parts.bodies, group.Service.Config.TopK)
	g.config.Executor.Written(answer, time.Now())
	return out, nil
}

// merging collects the parts of an answer, those from leaves and those that other
// instances have merged.
type merging struct {
	bodies     [][]byte
	signatures []string
}

// add takes a result in and reports whether it is a part.
func (m *merging) add(r query.Result) bool {
	switch c := r.Carried.(type) {
	case *leafclient.Handed:
		m.bodies = append(m.bodies, c.Body)
		m.signatures = append(m.signatures, c.Signature)
	case *Gathered:
		m.bodies = append(m.bodies, c.Body)
		m.signatures = append(m.signatures, c.Signatures...)
	default:
		return false
	}
	return true
}
