package gateway

import (
	"context"
	"sync"

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
}

// Gathered is what came of it: parts of one configuration, merged into one.
type Gathered struct {
	// Going says that more may come.
	Going bool
	// Version is the index version of the parts.
	Version uint64
	Ranges  []keyrange.Range
	// Signatures are those of the parts, and Body their merged records.
	Signatures []string
	Body       []byte
	// Sent, Hedges and Retries count attempts.
	Sent, Hedges, Retries int
}

// Gathering is a group in progress.
type Gathering struct {
	gateway *Gateway
	group   Group
	wake    chan struct{}

	mu     sync.Mutex
	answer *query.Answer // the newest; nil before the first is due
	done   bool
	err    error
	sentOn map[keyrange.Range]bool // by the first range of a result
	sent   attempts                // reported so far
}

// attempts counts them.
type attempts struct{ sent, hedges, retries int }

// Gather begins to gather parts of a request for another instance, by the given
// view. It goes on until the context ends or all is there.
func (g *Gateway) Gather(ctx context.Context, v *view.View, group Group) *Gathering {
	x := &Gathering{gateway: g, group: group, wake: make(chan struct{}, 1), sentOn: make(map[keyrange.Range]bool)}
	go func() {
		answer, err := g.config.Executor.Forward(ctx, &executor.Request{
			View: v, Service: group.Service, Caller: passedCaller, Start: group.Start, Deadline: group.Deadline,
			NetworkDelay: group.Way, Forwarded: group.Passed, OnlyShards: group.Only, OnInterim: func(a *query.Answer) { x.set(a, nil, false) },
		})
		x.set(answer, err, true)
	}()
	return x
}

// set takes the newest answer.
func (x *Gathering) set(answer *query.Answer, err error, done bool) {
	x.mu.Lock()
	x.answer, x.err, x.done = answer, err, done
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Next waits until there is a result that was not returned before. The error is
// an *executor.RefusedError, where nothing has run, or the context's.
func (x *Gathering) Next(ctx context.Context) (*Gathered, error) {
	for {
		select {
		case <-x.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		got, err := x.fresh()
		if got != nil || err != nil {
			return got, err
		}
	}
}

// fresh is what was not returned yet; nil: nothing.
func (x *Gathering) fresh() (*Gathered, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err != nil {
		return nil, x.err
	}
	first := len(x.sentOn) == 0
	out := &Gathered{Going: !x.done, Version: x.answer.Version}
	var parts merging
	for _, r := range x.answer.Results {
		if x.sentOn[r.Part.Range] || !parts.add(r) {
			continue
		}
		x.sentOn[r.Part.Range] = true
		out.Ranges = append(append(out.Ranges, r.Part.Range), r.MoreRanges...)
	}
	if len(out.Ranges) == 0 && !first && !x.done {
		return nil, nil
	}
	out.Signatures = parts.signatures
	out.Body = x.gateway.config.Combiner.Combine(parts.bodies, x.group.Service.Config.TopK)
	now := attempts{x.answer.Sent, x.answer.Hedges, x.answer.Retries}
	out.Sent, out.Hedges, out.Retries = now.sent-x.sent.sent, now.hedges-x.sent.hedges, now.retries-x.sent.retries
	x.sent = now
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
	switch c := r.Attachment.(type) {
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
