package forwarding

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/gather"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

const (
	// gatherAcceptTimeout is how long an instance of another zone may take to accept a group.
	// Opening a connection to it takes four round trips of up to 3 ms.
	gatherAcceptTimeout = 20 * time.Millisecond
	// firstReplyObjectives times the objective is the time from the start of a request after
	// which a group without a reply counts as lost. The first reply is due before the
	// objective. Nothing else shows that the machine of a peer has lost its power, and the
	// time that is left allows the caller another attempt.
	firstReplyObjectives = 1.5
	// gatherLogPrefix is the prefix of log lines about groups.
	gatherLogPrefix = "gather"
)

// Plan implements executor.Gatherer. It plans groups only for requests whose parts a
// combiner merges.
func (f *Forwarder) Plan(r *executor.Request, upstream int, crossZone []dispatch.CrossZoneShard) []executor.Group {
	if r.Service.Config.TopK <= 0 || !canForward(r) {
		return nil
	}
	now := time.Now()
	hasGatherer := func(zone string) bool { return zone != f.config.Zone && len(f.config.Fleet.Gatherers(zone, now)) > 0 }
	var groups []executor.Group
	for _, g := range gather.PlanGroups(remoteShards(r.View, crossZone), hasGatherer, rand.IntN) {
		groups = append(groups, executor.Group{Zone: g.Zone, Group: query.Group{Upstream: upstream, Ranges: shardRanges(&r.View.Upstreams[upstream], g.Shards)}})
	}
	return groups
}

// remoteShards returns cross-zone shards with the zones of their leaves, in which they could
// be gathered.
func remoteShards(v *view.View, crossZone []dispatch.CrossZoneShard) []gather.RemoteShard {
	shards := make([]gather.RemoteShard, 0, len(crossZone))
	for _, c := range crossZone {
		s := gather.RemoteShard{Index: c.Shard}
		for _, leaf := range c.Leaves {
			s.Zones = append(s.Zones, v.Leaves[leaf].Zone)
		}
		shards = append(shards, s)
	}
	return shards
}

// shardRanges returns the key ranges of some shards, adjacent ranges joined.
func shardRanges(up *view.Upstream, shards []int) []keyrange.Range {
	var set keyrange.Set
	for _, s := range shards {
		set.Add(up.Shards[s].Range)
	}
	return set.Ranges()
}

// errNoGatherer is returned if a zone has no available instance by the time its group is sent.
var errNoGatherer = errors.New("no instance of the zone is available to gather the group")

// Gather implements executor.Gatherer. It offers the group to up to maxOffers instances of its
// zone in turn, until one accepts it or does not answer in time.
func (f *Forwarder) Gather(ctx context.Context, r *executor.Request, g executor.Group, accepted func() bool, onReply func(*executor.GatherReply)) error {
	start := time.Now()
	err := errNoGatherer
	for _, to := range pickCandidates(f.config.Fleet.Gatherers(g.Zone, start)) {
		if err = f.gatherVia(ctx, r, g, to, accepted, onReply); err == nil || mayHaveRun(err) {
			return err
		}
		if timedOut(err) {
			break // the delay allowed for forwarding is used up
		}
	}
	return &executor.NotGatheredError{Err: err}
}

// gatherVia has a group gathered by one instance and passes each of its replies to onReply.
func (f *Forwarder) gatherVia(ctx context.Context, r *executor.Request, g executor.Group, to fleet.Instance, accepted func() bool, onReply func(*executor.GatherReply)) error {
	now := time.Now()
	request := f.forwardRequest(r, now, f.gatherDelays.upperBound())
	request.Gather = encodeGather(r, g)
	reply, err := f.firstReply(ctx, r, to, request, accepted)
	f.logGather(ctx, r, g, to, reply, err, time.Since(now))
	if err != nil {
		if ctx.Err() == nil && showsUnhealthy(err) {
			f.config.Fleet.Failed(to, time.Now())
		}
		return err
	}
	f.config.Fleet.Answered(to)
	f.gatherDelays.observe(time.Since(now) - time.Duration(reply.RunUS)*time.Microsecond)
	for {
		onReply(decodeGatherReply(reply))
		if reply.Gathered == nil || !reply.Gathered.MorePending {
			return nil
		}
		if reply, err = f.config.Peers.NextReply(ctx, peerTarget(to), request.ID); err != nil {
			return err
		}
	}
}

// peerTarget returns the name and address by which the peer client calls an instance.
func peerTarget(i fleet.Instance) peer.Target {
	return peer.Target{Instance: i.Name, Address: i.PeerAddress}
}

// firstReply forwards a group and waits for its first reply.
func (f *Forwarder) firstReply(ctx context.Context, r *executor.Request, to fleet.Instance, request *peerapi.ForwardRequest, accepted func() bool) (*peerapi.ForwardReply, error) {
	ctx, cancel := context.WithDeadline(ctx, firstReplyDeadline(r))
	defer cancel()
	return f.config.Peers.Forward(ctx, peerTarget(to), request, peer.OfferOptions{Timeout: gatherAcceptTimeout, Confirm: accepted})
}

// firstReplyDeadline returns when a group without a reply counts as lost.
func firstReplyDeadline(r *executor.Request) time.Time {
	objective := r.Service.Config.Objective
	due := r.Start.Add(time.Duration(firstReplyObjectives * float64(objective)))
	if objective > 0 && due.Before(r.Deadline) {
		return due
	}
	return r.Deadline
}

// encodeGather returns the message that names a group's shards.
func encodeGather(r *executor.Request, g executor.Group) *peerapi.GatherRequest {
	up := &r.View.Upstreams[g.Upstream]
	out := &peerapi.GatherRequest{Service: r.Service.Config.Name, Upstream: up.Name, TopK: r.Service.Config.TopK}
	for _, k := range g.Ranges {
		out.Ranges = append(out.Ranges, peerapi.Range{k.From, k.To})
	}
	return out
}

// decodeGatherReply decodes a peer's reply. A reply without gathered parts covers no keys.
func decodeGatherReply(reply *peerapi.ForwardReply) *executor.GatherReply {
	g := reply.Gathered
	if g == nil {
		return &executor.GatherReply{}
	}
	return &executor.GatherReply{
		Version: g.Index, Ranges: decodeRanges(g.Ranges), HasMore: g.MorePending, Sent: g.Sent, Hedges: g.Hedges, Retries: g.Retries,
		Attachment: &gateway.GatherResult{Signatures: g.Signatures, Body: reply.Body},
	}
}

// decodeRanges decodes the key ranges of a peer's message.
func decodeRanges(ranges []peerapi.Range) []keyrange.Range {
	out := make([]keyrange.Range, 0, len(ranges))
	for _, r := range ranges {
		out = append(out, keyrange.Range{From: r[0], To: r[1]})
	}
	return out
}

// logGather logs the first reply to a group, or the error for which there is none.
func (f *Forwarder) logGather(ctx context.Context, r *executor.Request, g executor.Group, to fleet.Instance, reply *peerapi.ForwardReply, err error, elapsed time.Duration) {
	d := telemetry.Decision{
		Component: gatherLogPrefix, Event: "gathered", Request: r.Forwarded.ID, Duration: elapsed, Class: telemetry.Routine,
		Extra: []any{"by", to.Name, "to_zone", g.Zone, "ranges", len(g.Ranges), "config", r.View.Generation, "forward_delay", f.gatherDelays.upperBound()},
	}
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		d.Event, d.Reason = "group not needed any more", err.Error()
	case err != nil && mayHaveRun(err):
		d.Event, d.Reason, d.Class = "group lost", err.Error(), telemetry.Failure
	case err != nil:
		d.Event, d.Reason, d.Class = "group not taken", err.Error(), telemetry.Outcome
	case reply.Gathered != nil:
		d.Reason = reply.Gathered.Refused
		d.Extra = append(d.Extra, "parts", len(reply.Gathered.Signatures), "ran", time.Duration(reply.RunUS)*time.Microsecond)
	}
	f.config.Log.LogDecision(d)
}

// gatherDeclineReason returns why this instance declines to gather a group, or "" if it
// accepts it. All parts of an answer must be of one set of shards, and the name of the
// upstream identifies that set. Another version of the configuration is accepted if it has
// the same set, because instances have different versions while a new one spreads.
func (f *Forwarder) gatherDeclineReason(v *view.View, r *peerapi.ForwardRequest) string {
	if v.Generation < r.Version {
		f.config.SyncNow()
	}
	if findGroup(v, r.Gather) == nil {
		return "no such shards"
	}
	if v.Services[r.Gather.Service].Config.TopK != r.Gather.TopK {
		return "another number of records"
	}
	return ""
}

// findGroup returns the shards that a message names, as a list of one group; nil if the view
// does not have them.
func findGroup(v *view.View, g *peerapi.GatherRequest) []query.Group {
	service := v.Services[g.Service]
	if service == nil {
		return nil
	}
	for _, i := range service.Upstreams {
		if v.Upstreams[i].Name == g.Upstream {
			return []query.Group{{Upstream: i, Ranges: decodeRanges(g.Ranges)}}
		}
	}
	return nil
}

// runGather gathers a group for another instance. It returns the first reply, and a function
// that waits for each further one; nil if there are none.
func (f *Forwarder) runGather(ctx context.Context, v *view.View, r *peerapi.ForwardRequest, received gateway.RelayedRequest) (*peerapi.ForwardReply, peer.NextReplyFunc) {
	if reason := f.gatherDeclineReason(v, r); reason != "" { // the view has changed since the offer
		return &peerapi.ForwardReply{Version: v.Generation, Gathered: &peerapi.GatherResult{Refused: reason}}, nil
	}
	start := time.Now()
	gathering := f.gateway.Gather(ctx, v, gateway.GatherRequest{
		RelayedRequest: received, Service: v.Services[r.Gather.Service], ShardGroups: findGroup(v, r.Gather),
	})
	next := func(ctx context.Context) (*peerapi.ForwardReply, bool) {
		reply := encodeGathered(gathering.Next(ctx))
		reply.Version = v.Generation
		reply.RunUS = time.Since(start).Microseconds()
		return reply, reply.Gathered.MorePending
	}
	reply, more := next(ctx)
	if !more {
		return reply, nil
	}
	return reply, next
}

// encodeGathered returns the message with what was gathered, or with the error.
func encodeGathered(gathered *gateway.GatherResult, err error) *peerapi.ForwardReply {
	if err != nil {
		return &peerapi.ForwardReply{Gathered: &peerapi.GatherResult{Refused: err.Error()}}
	}
	out := &peerapi.GatherResult{
		Index: gathered.Version, Signatures: gathered.Signatures, MorePending: gathered.HasMore, Sent: gathered.Sent, Hedges: gathered.Hedges, Retries: gathered.Retries,
	}
	for _, k := range gathered.Ranges {
		out.Ranges = append(out.Ranges, peerapi.Range{k.From, k.To})
	}
	return &peerapi.ForwardReply{Body: gathered.Body, Gathered: out}
}
