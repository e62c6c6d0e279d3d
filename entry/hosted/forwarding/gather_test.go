package forwarding

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// elsewhere makes an instance of zone z that knows another one, of zone y.
func elsewhere(t *testing.T, other strong) *fixture {
	t.Helper()
	n := weak(t, other)
	list := n.fleet.Stronger(time.Now())
	list[0].Zone = "y"
	n.fleet.ApplyStoreList(list, time.Now())
	return n
}

// group is the first four shards of a large request, whose leaves are in zone y.
func group(r *executor.Request) executor.Group {
	return executor.Group{Zone: "y", Group: query.Group{Upstream: r.Service.Upstreams[0], Ranges: []keyrange.Range{{To: 4}}}}
}

// TestGather checks what becomes of a group, by what the other instance does.
func TestGather(t *testing.T) { synctest.Test(t, gathers) }

func gathers(t *testing.T) {
	reply := func(going bool, ranges ...peerapi.Range) *peerapi.ForwardReply {
		return &peerapi.ForwardReply{Version: 5, Gathered: &peerapi.GatherResult{Index: 1, Ranges: ranges, Signatures: []string{"s"}, MorePending: going}}
	}
	whole := func(context.Context) *peerapi.ForwardReply { return reply(false, peerapi.Range{0, 4}) }
	first := func(context.Context) *peerapi.ForwardReply { return reply(true, peerapi.Range{0, 3}) }
	for _, tc := range []struct {
		name    string
		other   strong
		replies int
		err     bool
		notRun  bool // the error says that nothing ran
		asked   bool // the other instance is still asked afterwards
	}{
		{name: "whole", other: strong{run: whole}, replies: 1, asked: true},
		{name: "in two replies", replies: 2, asked: true, other: strong{run: first, rest: func(context.Context) (*peerapi.ForwardReply, bool) {
			return reply(false, peerapi.Range{3, 4}), false
		}}},
		{name: "declined", other: strong{declined: "another configuration", run: whole}, err: true, notRun: true, asked: true},
		{name: "lost after the first reply", replies: 1, err: true, asked: true, other: strong{run: first, rest: func(ctx context.Context) (*peerapi.ForwardReply, bool) {
			return reply(false), false
		}, lost: true}},
	} {
		n := elsewhere(t, tc.other)
		r := large(t)
		var got []*executor.GatherReply
		err := n.Gather(t.Context(), r, group(r), func() bool { return true }, func(reply *executor.GatherReply) {
			got = append(got, reply)
			if tc.other.lost {
				n.peers.Close() // the other instance ends what it ran on a connection that is lost
			}
		})
		if len(got) != tc.replies || (err != nil) != tc.err {
			t.Errorf("%s: %d replies and %v, want %d", tc.name, len(got), err, tc.replies)
		}
		var not *executor.NotGatheredError
		if errors.As(err, &not) != tc.notRun {
			t.Errorf("%s: %v, says that nothing ran: %v", tc.name, err, !tc.notRun)
		}
		if still := len(n.fleet.Gatherers("y", time.Now())) == 1; still != tc.asked {
			t.Errorf("%s: the other instance is asked again: %v, want %v", tc.name, still, tc.asked)
		}
	}
}

// TestGatherByNobody has a group gathered in a zone without instances.
func TestGatherByNobody(t *testing.T) { synctest.Test(t, gathersByNobody) }

func gathersByNobody(t *testing.T) {
	n := weak(t, strong{})
	r := large(t)
	err := n.Gather(t.Context(), r, group(r), func() bool { t.Error("sent to nobody"); return false }, nil)
	var not *executor.NotGatheredError
	if !errors.As(err, &not) {
		t.Errorf("%v, want a NotGatheredError", err)
	}
}

// twoZones is a view of eight shards, of which the even ones have leaves in zone z and
// the odd ones in zone y, and a request for all of them.
func twoZones(t *testing.T, version uint64) *executor.Request {
	t.Helper()
	c := catalog.New(catalog.Settings{})
	now := time.Now()
	var shards []string
	var leaves []catalog.Leaf
	for i := range 8 {
		name := string(rune('A' + i))
		shards = append(shards, name)
		leaves = append(leaves, catalog.Leaf{ID: "leaf-" + name, Service: name, Address: "127.0.0.1:1", Zone: []string{"z", "y"}[i%2], Slots: 2})
	}
	c.ApplyConfig(&catalog.Config{Version: version, Routes: []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Minute, Shards: shards, TopK: 1}}}, now, now)
	c.ApplyLeaves(catalog.Listing{Leaves: leaves, Revision: 1}, now, now)
	v := view.Build(version, "", c.Document(), c.Draining, func(*document.Upstream, string) int { return 1 })
	r := large(t)
	r.View, r.Service = v, v.Services["r"]
	return r
}

// TestPlanNamesWhatIsAway plans a request by the zones of the leaves that it would ask.
func TestPlanNamesWhatIsAway(t *testing.T) { synctest.Test(t, plansWhatIsAway) }

func plansWhatIsAway(t *testing.T) {
	n := elsewhere(t, strong{})
	r := twoZones(t, 5)
	var away []dispatch.CrossZoneShard
	for _, shard := range []int{1, 3, 5, 7} {
		away = append(away, dispatch.CrossZoneShard{Shard: shard, Leaves: r.View.Upstreams[0].Shards[shard].Leaves})
	}
	got := n.Plan(r, 0, away)
	want := []keyrange.Range{{From: 1, To: 2}, {From: 3, To: 4}, {From: 5, To: 6}, {From: 7, To: 8}}
	if len(got) != 1 || got[0].Zone != "y" || !slices.Equal(got[0].Ranges, want) {
		t.Errorf("planned %v, want one group of zone y with %v", got, want)
	}
	if got := n.Plan(r, 0, away[:3]); got != nil {
		t.Errorf("%v is planned of three shards", got)
	}
	r.Service.Config.TopK = 0
	if got := n.Plan(r, 0, away); got != nil {
		t.Errorf("%v is planned of parts that nothing merges", got)
	}
}

// TestGatherIsOfOneSetOfShards offers groups of other configurations and shards: another
// version with the same set of shards will do, another set or number of records won't.
func TestGatherIsOfOneSetOfShards(t *testing.T) { synctest.Test(t, offersSetsOfShards) }

func offersSetsOfShards(t *testing.T) {
	n := elsewhere(t, strong{})
	r := twoZones(t, 5)
	n.view = r.View
	n.lifecycle.Serve()
	name := r.View.Upstreams[0].Name
	for _, tc := range []struct {
		name     string
		version  uint64
		gather   peerapi.GatherRequest
		declined string
	}{
		{"the same", 5, peerapi.GatherRequest{Service: "r", Upstream: name, TopK: 1}, ""},
		{"older", 4, peerapi.GatherRequest{Service: "r", Upstream: name, TopK: 1}, ""},
		{"newer", 6, peerapi.GatherRequest{Service: "r", Upstream: name, TopK: 1}, ""},
		{"other shards", 5, peerapi.GatherRequest{Service: "r", Upstream: "set-of-others", TopK: 1}, "no such shards"},
		{"other service", 5, peerapi.GatherRequest{Service: "q", Upstream: name, TopK: 1}, "no such shards"},
		{"other number of records", 6, peerapi.GatherRequest{Service: "r", Upstream: name, TopK: 2}, "another number of records"},
	} {
		offer := &peerapi.ForwardRequest{Version: tc.version, Gather: &tc.gather}
		if got := n.Offer("other", offer); got != tc.declined {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.declined)
		}
	}
	handed := gateway.Handed{Start: time.Now(), Deadline: time.Now().Add(time.Minute), Passed: r.Passed}
	gone := &peerapi.ForwardRequest{Version: 5, Gather: &peerapi.GatherRequest{Service: "r", Upstream: "set-that-was", TopK: 1}}
	if reply, rest := n.runGather(t.Context(), r.View, gone, handed); rest != nil || reply.Gathered.Refused == "" || len(reply.Gathered.Ranges) != 0 {
		t.Errorf("a set of shards that is gone since the offer: %+v", reply.Gathered)
	}
}

var _ peer.ForwardHandler = (*Forwarder)(nil)
