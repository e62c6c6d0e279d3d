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
	// takeWithin is how long an instance of another zone may take to accept a group:
	// opening a connection to it takes four round trips of up to 3 ms.
	takeWithin = 20 * time.Millisecond
	// gatherObjectives times the objective is when a group of which nothing has come is
	// taken for lost: its first reply is due before the objective, nothing else shows a
	// peer that lost its power, and what is left is the caller's for another try.
	gatherObjectives = 1.5
	// gatherPart is the prefix of lines about groups.
	gatherPart = "gather"
)

// Plan implements executor.Gatherer. Only parts that a combiner merges are gathered
// elsewhere.
func (f *Forwarder) Plan(r *executor.Request, upstream int, away []dispatch.CrossZoneShard) []executor.Group {
	if r.Service.Config.TopK <= 0 {
		return nil
	}
	now := time.Now()
	able := func(zone string) bool { return zone != f.config.Zone && len(f.config.Fleet.Gatherers(zone, now)) > 0 }
	var out []executor.Group
	for _, g := range gather.PlanGroups(zonesOf(r.View, away), able, rand.IntN) {
		out = append(out, executor.Group{Zone: g.Zone, Group: query.Group{Upstream: upstream, Ranges: rangesOf(&r.View.Upstreams[upstream], g.Shards)}})
	}
	return out
}

// zonesOf tells in which zones shards could be gathered.
func zonesOf(v *view.View, away []dispatch.CrossZoneShard) []gather.RemoteShard {
	out := make([]gather.RemoteShard, 0, len(away))
	for _, a := range away {
		s := gather.RemoteShard{Index: a.Shard}
		for _, leaf := range a.Leaves {
			s.Zones = append(s.Zones, v.Leaves[leaf].Zone)
		}
		out = append(out, s)
	}
	return out
}

// rangesOf are the keys of some shards, neighbours joined.
func rangesOf(up *view.Upstream, shards []int) []keyrange.Range {
	var set keyrange.Set
	for _, s := range shards {
		set.Add(up.Shards[s].Range)
	}
	return set.Ranges()
}

// errNobody says that a zone has no instance to ask any more.
var errNobody = errors.New("no instance of the zone is to be asked")

// Gather implements executor.Gatherer.
func (f *Forwarder) Gather(ctx context.Context, r *executor.Request, g executor.Group, sent func() bool, got func(*executor.GatherReply)) error {
	began := time.Now()
	err := errNobody
	for _, to := range candidates(f.config.Fleet.Gatherers(g.Zone, began)) {
		if err = f.gatherBy(ctx, r, g, to, sent, got); err == nil || took(err) {
			return err
		}
		if silent(err) {
			break // the time that hand-overs may cost is spent
		}
	}
	return &executor.NotGatheredError{Err: err}
}

// gatherBy has a group gathered by one instance.
func (f *Forwarder) gatherBy(ctx context.Context, r *executor.Request, g executor.Group, to fleet.Instance, sent func() bool, got func(*executor.GatherReply)) error {
	now := time.Now()
	request := f.forwardRequest(r, now, f.gatherDelays.high())
	request.Gather = gatherRequest(r, g)
	reply, err := f.firstReply(ctx, r, to, request, sent)
	f.logGather(ctx, r, g, to, reply, err, time.Since(now))
	if err != nil {
		if ctx.Err() == nil && blames(err) {
			f.config.Fleet.Failed(to, time.Now())
		}
		return err
	}
	f.config.Fleet.Answered(to)
	f.gatherDelays.observe(time.Since(now) - time.Duration(reply.RunUS)*time.Microsecond)
	for {
		got(gatherReply(reply))
		if reply.Gathered == nil || !reply.Gathered.MorePending {
			return nil
		}
		if reply, err = f.config.Peers.Rest(ctx, targetOf(to), request.ID); err != nil {
			return err
		}
	}
}

// targetOf is the address of an instance.
func targetOf(i fleet.Instance) peer.Target {
	return peer.Target{Instance: i.Name, Address: i.PeerAddress}
}

// firstReply hands a group over and waits for its first reply.
func (f *Forwarder) firstReply(ctx context.Context, r *executor.Request, to fleet.Instance, request *peerapi.ForwardRequest, sent func() bool) (*peerapi.ForwardReply, error) {
	ctx, cancel := context.WithDeadline(ctx, gatheredBy(r))
	defer cancel()
	return f.config.Peers.Forward(ctx, targetOf(to), request, peer.Acceptance{Within: takeWithin, Accepted: sent})
}

// gatheredBy is when a group of which nothing has come is taken for lost.
func gatheredBy(r *executor.Request) time.Time {
	objective := r.Service.Config.Objective
	by := r.Start.Add(time.Duration(gatherObjectives * float64(objective)))
	if objective > 0 && by.Before(r.Deadline) {
		return by
	}
	return r.Deadline
}

// gatherRequest names a group's shards on the wire.
func gatherRequest(r *executor.Request, g executor.Group) *peerapi.GatherRequest {
	up := &r.View.Upstreams[g.Upstream]
	out := &peerapi.GatherRequest{Service: r.Service.Config.Name, Upstream: up.Name, TopK: r.Service.Config.TopK}
	for _, k := range g.Ranges {
		out.Ranges = append(out.Ranges, peerapi.Range{k.From, k.To})
	}
	return out
}

// gatherReply takes a reply from the wire. One that tells nothing covers nothing.
func gatherReply(reply *peerapi.ForwardReply) *executor.GatherReply {
	g := reply.Gathered
	if g == nil {
		return &executor.GatherReply{}
	}
	return &executor.GatherReply{
		Version: g.Index, Ranges: keyRanges(g.Ranges), Going: g.MorePending, Sent: g.Sent, Hedges: g.Hedges, Retries: g.Retries,
		Carried: &gateway.Gathered{Signatures: g.Signatures, Body: reply.Body},
	}
}

// keyRanges takes ranges from the wire.
func keyRanges(list []peerapi.Range) []keyrange.Range {
	out := make([]keyrange.Range, 0, len(list))
	for _, r := range list {
		out = append(out, keyrange.Range{From: r[0], To: r[1]})
	}
	return out
}

// logGather tells what came of a group.
func (f *Forwarder) logGather(ctx context.Context, r *executor.Request, g executor.Group, to fleet.Instance, reply *peerapi.ForwardReply, err error, spent time.Duration) {
	d := telemetry.Decision{
		Part: gatherPart, What: "gathered", Request: r.Passed.ID, Took: spent, Class: telemetry.Routine,
		More: []any{"by", to.Name, "to_zone", g.Zone, "ranges", len(g.Ranges), "config", r.View.Generation, "forward_delay", f.gatherDelays.high()},
	}
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		d.What, d.Why = "group not needed any more", err.Error()
	case err != nil && took(err):
		d.What, d.Why, d.Class = "group lost", err.Error(), telemetry.Failure
	case err != nil:
		d.What, d.Why, d.Class = "group not taken", err.Error(), telemetry.Outcome
	case reply.Gathered != nil:
		d.Why = reply.Gathered.Refused
		d.More = append(d.More, "parts", len(reply.Gathered.Signatures), "ran", time.Duration(reply.RunUS)*time.Microsecond)
	}
	f.config.Log.Decide(d)
}

// offerGather says why this instance does not gather a group, or nothing. All parts
// of an answer are of one set of shards, by which the upstream is named: another version
// of the configuration that has the same set will do, as while a version spreads.
func (f *Forwarder) offerGather(v *view.View, r *peerapi.ForwardRequest) string {
	if v.Generation < r.Version {
		f.config.SyncNow()
	}
	if onlyOf(v, r.Gather) == nil {
		return "no such shards"
	}
	if v.Services[r.Gather.Service].Config.TopK != r.Gather.TopK {
		return "another number of records"
	}
	return ""
}

// onlyOf finds the shards that are asked for; nil: there are none such.
func onlyOf(v *view.View, g *peerapi.GatherRequest) []query.Group {
	service := v.Services[g.Service]
	if service == nil {
		return nil
	}
	for _, i := range service.Upstreams {
		if v.Upstreams[i].Name == g.Upstream {
			return []query.Group{{Upstream: i, Ranges: keyRanges(g.Ranges)}}
		}
	}
	return nil
}

// runGather gathers a group for another instance.
func (f *Forwarder) runGather(ctx context.Context, v *view.View, r *peerapi.ForwardRequest, handed gateway.Handed) (*peerapi.ForwardReply, peer.Rest) {
	if why := f.offerGather(v, r); why != "" { // it changed since the offer
		return &peerapi.ForwardReply{Version: v.Generation, Gathered: &peerapi.GatherResult{Refused: why}}, nil
	}
	began := time.Now()
	gathering := f.gateway.Gather(ctx, v, gateway.Group{
		Handed: handed, Service: v.Services[r.Gather.Service], Only: onlyOf(v, r.Gather),
	})
	next := func(ctx context.Context) (*peerapi.ForwardReply, bool) {
		reply := gatheredReply(gathering.Next(ctx))
		reply.Version = v.Generation
		reply.RunUS = time.Since(began).Microseconds()
		return reply, reply.Gathered.MorePending
	}
	reply, going := next(ctx)
	if !going {
		return reply, nil
	}
	return reply, next
}

// gatheredReply writes what was gathered for the wire.
func gatheredReply(got *gateway.Gathered, err error) *peerapi.ForwardReply {
	if err != nil {
		return &peerapi.ForwardReply{Gathered: &peerapi.GatherResult{Refused: err.Error()}}
	}
	out := &peerapi.GatherResult{
		Index: got.Version, Signatures: got.Signatures, MorePending: got.Going, Sent: got.Sent, Hedges: got.Hedges, Retries: got.Retries,
	}
	for _, k := range got.Ranges {
		out.Ranges = append(out.Ranges, peerapi.Range{k.From, k.To})
	}
	return &peerapi.ForwardReply{Body: got.Body, Gathered: out}
}
