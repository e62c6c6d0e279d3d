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

// newCrossZoneFixture returns an instance of zone z that knows another one, of zone y.
func newCrossZoneFixture(t *testing.T, other fakePeer) *fixture {
	t.Helper()
	n := newFixture(t, other)
	list := n.fleet.Stronger(time.Now())
	list[0].Zone = "y"
	n.fleet.ApplyStoreList(list, time.Now())
	return n
}

// crossZoneGroup returns the first four shards of a large request as a group of zone y.
func crossZoneGroup(r *executor.Request) executor.Group {
	return executor.Group{Zone: "y", Group: query.Group{Upstream: r.Service.Upstreams[0], Ranges: []keyrange.Range{{To: 4}}}}
}

// TestGather checks the outcome of a group for each behavior of the other instance.
func TestGather(t *testing.T) { synctest.Test(t, testGather) }

func testGather(t *testing.T) {
	reply := func(going bool, ranges ...peerapi.Range) *peerapi.ForwardReply {
		return &peerapi.ForwardReply{Version: 5, Gathered: &peerapi.GatherResult{Index: 1, Ranges: ranges, Signatures: []string{"s"}, MorePending: going}}
	}
	whole := func(context.Context) *peerapi.ForwardReply { return reply(false, peerapi.Range{0, 4}) }
	first := func(context.Context) *peerapi.ForwardReply { return reply(true, peerapi.Range{0, 3}) }
	for _, tc := range []struct {
		name    string
		other   fakePeer
		replies int
		err     bool
		notRun  bool // the error says that nothing ran
		healthy bool // the other instance still counts as healthy afterwards
	}{
		{name: "whole", other: fakePeer{run: whole}, replies: 1, healthy: true},
		{name: "in two replies", replies: 2, healthy: true, other: fakePeer{run: first, rest: func(context.Context) (*peerapi.ForwardReply, bool) {
			return reply(false, peerapi.Range{3, 4}), false
		}}},
		{name: "declined", other: fakePeer{declined: "another configuration", run: whole}, err: true, notRun: true, healthy: true},
		{name: "lost after the first reply", replies: 1, err: true, healthy: true, other: fakePeer{run: first, rest: func(ctx context.Context) (*peerapi.ForwardReply, bool) {
			return reply(false), false
		}, lost: true}},
	} {
		n := newCrossZoneFixture(t, tc.other)
		r := newLargeRequest(t)
		var got []*executor.GatherReply
		err := n.Gather(t.Context(), r, crossZoneGroup(r), func() bool { return true }, func(reply *executor.GatherReply) {
			got = append(got, reply)
			if tc.other.lost {
				n.peers.Close() // the other instance ends the runs of a lost connection
			}
		})
		if len(got) != tc.replies || (err != nil) != tc.err {
			t.Errorf("%s: %d replies and error %v, want %d replies", tc.name, len(got), err, tc.replies)
		}
		var notGathered *executor.NotGatheredError
		if errors.As(err, &notGathered) != tc.notRun {
			t.Errorf("%s: error %v, says that nothing ran: %v", tc.name, err, !tc.notRun)
		}
		if healthy := len(n.fleet.Gatherers("y", time.Now())) == 1; healthy != tc.healthy {
			t.Errorf("%s: the other instance counts as healthy: %v, want %v", tc.name, healthy, tc.healthy)
		}
	}
}

// TestGatherWithoutInstances checks that a group of a zone without instances is not sent and
// fails with a NotGatheredError.
func TestGatherWithoutInstances(t *testing.T) { synctest.Test(t, testGatherWithoutInstances) }

func testGatherWithoutInstances(t *testing.T) {
	n := newFixture(t, fakePeer{})
	r := newLargeRequest(t)
	err := n.Gather(t.Context(), r, crossZoneGroup(r), func() bool { t.Error("the group was accepted in a zone without instances"); return false }, nil)
	var notGathered *executor.NotGatheredError
	if !errors.As(err, &notGathered) {
		t.Errorf("error %v, want a NotGatheredError", err)
	}
}

// newTwoZoneRequest returns a request for all eight shards of a view. The even shards have
// leaves in zone z and the odd ones in zone y.
func newTwoZoneRequest(t *testing.T, version uint64) *executor.Request {
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
	r := newLargeRequest(t)
	r.View, r.Service = v, v.Services["r"]
	return r
}

// TestPlanGroupsCrossZoneShards checks that the cross-zone shards of a request form a group
// of their zone, unless they are too few or no combiner merges their parts.
func TestPlanGroupsCrossZoneShards(t *testing.T) { synctest.Test(t, testPlanGroupsCrossZoneShards) }

func testPlanGroupsCrossZoneShards(t *testing.T) {
	n := newCrossZoneFixture(t, fakePeer{})
	r := newTwoZoneRequest(t, 5)
	var crossZone []dispatch.CrossZoneShard
	for _, shard := range []int{1, 3, 5, 7} {
		crossZone = append(crossZone, dispatch.CrossZoneShard{Shard: shard, Leaves: r.View.Upstreams[0].Shards[shard].Leaves})
	}
	got := n.Plan(r, 0, crossZone)
	want := []keyrange.Range{{From: 1, To: 2}, {From: 3, To: 4}, {From: 5, To: 6}, {From: 7, To: 8}}
	if len(got) != 1 || got[0].Zone != "y" || !slices.Equal(got[0].Ranges, want) {
		t.Errorf("planned %v, want one group of zone y with %v", got, want)
	}
	if got := n.Plan(r, 0, crossZone[:3]); got != nil {
		t.Errorf("planned %v for three shards, want none", got)
	}
	r.Service.Config.TopK = 0
	if got := n.Plan(r, 0, crossZone); got != nil {
		t.Errorf("planned %v for parts that no combiner merges, want none", got)
	}
}

// TestGatherDeclinesOtherShardSet offers groups of other configurations and shards. A group
// of another version with the same set of shards is accepted; one of another set or number
// of records is declined.
func TestGatherDeclinesOtherShardSet(t *testing.T) { synctest.Test(t, testGatherDeclinesOtherShardSet) }

func testGatherDeclinesOtherShardSet(t *testing.T) {
	n := newCrossZoneFixture(t, fakePeer{})
	r := newTwoZoneRequest(t, 5)
	n.view = r.View
	n.lifecycle.MarkServing()
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
	received := gateway.RelayedRequest{Start: time.Now(), Deadline: time.Now().Add(time.Minute), Forwarded: r.Forwarded}
	removed := &peerapi.ForwardRequest{Version: 5, Gather: &peerapi.GatherRequest{Service: "r", Upstream: "set-that-was", TopK: 1}}
	if reply, rest := n.runGather(t.Context(), r.View, removed, received); rest != nil || reply.Gathered.Refused == "" || len(reply.Gathered.Ranges) != 0 {
		t.Errorf("a set of shards that was removed after the offer is not refused: %+v", reply.Gathered)
	}
}

var _ peer.ForwardHandler = (*Forwarder)(nil)
