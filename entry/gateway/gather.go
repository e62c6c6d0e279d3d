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

// GatherRequest is a part of a request, some shards of an upstream, that another
// instance asks this one to gather.
type GatherRequest struct {
	RelayedRequest
	Service     *view.Service
	ShardGroups []query.Group
}

// GatherResult holds new results of a GatherRequest, merged into one. All are of one
// configuration and one index version.
type GatherResult struct {
	// HasMore says that further results may follow.
	HasMore bool
	// Version is the index version of the results.
	Version uint64
	Ranges  []keyrange.Range
	// Signatures are those of the leaves' responses, and Body their merged records.
	Signatures []string
	Body       []byte
	// Sent, Hedges and Retries count the attempts since the previous GatherResult.
	Sent, Hedges, Retries int
}

// GatherStream is a GatherRequest in progress.
type GatherStream struct {
	gateway *Gateway
	request GatherRequest
	wake    chan struct{} // holds one token while there may be new results

	mu       sync.Mutex
	answer   *query.Answer // the latest; nil before the first
	done     bool
	err      error
	returned map[keyrange.Range]bool // results that Next has returned, by their first range
	reported attempts                // attempts that Next has returned
}

// attempts holds counts of attempts.
type attempts struct{ sent, hedges, retries int }

// Gather starts to gather parts of a request for another instance, by the given view. It
// runs until the context ends or all results are there.
func (g *Gateway) Gather(ctx context.Context, v *view.View, request GatherRequest) *GatherStream {
	s := &GatherStream{gateway: g, request: request, wake: make(chan struct{}, 1), returned: make(map[keyrange.Range]bool)}
	go func() {
		answer, err := g.config.Executor.Forward(ctx, &executor.Request{
			View: v, Service: request.Service, Caller: forwardedCaller, Start: request.Start, Deadline: g.config.Lifecycle.BoundDeadline(request.Deadline),
			NetworkDelay: request.NetworkDelay, Forwarded: request.Forwarded, OnlyShards: request.ShardGroups, OnInterim: func(a *query.Answer) { s.setAnswer(a, nil, false) },
		})
		s.setAnswer(answer, err, true)
	}()
	return s
}

// setAnswer stores the latest answer and wakes Next.
func (s *GatherStream) setAnswer(answer *query.Answer, err error, done bool) {
	s.mu.Lock()
	s.answer, s.err, s.done = answer, err, done
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Next waits for results that it has not returned before. The error is an
// *executor.RefusedError if nothing has run, or the context's.
func (s *GatherStream) Next(ctx context.Context) (*GatherResult, error) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		got, err := s.takeNew()
		if got != nil || err != nil {
			return got, err
		}
	}
}

// takeNew returns the results that Next has not returned yet, and marks them as returned.
// If there are none, it returns an empty GatherResult before the first results and at
// the end of the stream, and nil otherwise.
func (s *GatherStream) takeNew() (*GatherResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, s.err
	}
	first := len(s.returned) == 0
	out := &GatherResult{HasMore: !s.done, Version: s.answer.Version}
	var parts resultParts
	for _, r := range s.answer.Results {
		if s.returned[r.Part.Range] || !parts.add(r) {
			continue
		}
		s.returned[r.Part.Range] = true
		out.Ranges = append(append(out.Ranges, r.Part.Range), r.MoreRanges...)
	}
	if len(out.Ranges) == 0 && !first && !s.done {
		return nil, nil
	}
	out.Signatures = parts.signatures
	out.Body = s.gateway.config.Combiner.Combine(parts.bodies, s.request.Service.Config.TopK)
	now := attempts{s.answer.Sent, s.answer.Hedges, s.answer.Retries}
	out.Sent, out.Hedges, out.Retries = now.sent-s.reported.sent, now.hedges-s.reported.hedges, now.retries-s.reported.retries
	s.reported = now
	return out, nil
}

// resultParts collects the bodies and signatures of an answer's results: those of leaves
// and those that other instances have merged.
type resultParts struct {
	bodies     [][]byte
	signatures []string
}

// add appends a result. If the result's attachment is of neither kind, add appends
// nothing and reports false.
func (p *resultParts) add(r query.Result) bool {
	switch c := r.Attachment.(type) {
	case *leafclient.ForwardedResponse:
		p.bodies = append(p.bodies, c.Body)
		p.signatures = append(p.signatures, c.Signature)
	case *GatherResult:
		p.bodies = append(p.bodies, c.Body)
		p.signatures = append(p.signatures, c.Signatures...)
	default:
		return false
	}
	return true
}
