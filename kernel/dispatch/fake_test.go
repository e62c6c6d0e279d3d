package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// fakePolicy is the name under which these tests register their fake policies.
const fakePolicy = "fake"

// fakeNewest makes the fake order policy serve the newest query first.
var fakeNewest bool

// fakeEjected are the keys of leaves that the fake routing policy has ejected.
var fakeEjected = map[int]bool{}

type fakeRouting struct{}

func (fakeRouting) Usable(key int, _ time.Time) bool                  { return !fakeEjected[key] }
func (fakeRouting) Pick([]plugin.Candidate, time.Time) (int, string)  { return 0, "first" }
func (fakeRouting) RecordResult(int, plugin.AttemptResult, time.Time) {}
func (fakeRouting) RecordLoadHint(int, int, int, time.Time)           {}

type fakeOrder struct{}

func (fakeOrder) ObserveOldestWait(float64, time.Time) {}
func (fakeOrder) NewestFirst() bool                    { return fakeNewest }

type fakeLimit struct{ share int }

func (l *fakeLimit) Limit() int                                   { return l.share }
func (l *fakeLimit) SetShare(share int)                           { l.share = share }
func (l *fakeLimit) RecordResult(plugin.AttemptResult, time.Time) {}

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	plugin.Routings.Register(fakePolicy, func(plugin.RoutingConfig) plugin.Routing { return fakeRouting{} })
	plugin.Orders.Register(fakePolicy, func() plugin.Order { return fakeOrder{} })
	plugin.Limits.Register(fakePolicy, func() plugin.Limit { return &fakeLimit{} })
	os.Exit(m.Run())
}

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// second is the usual deadline, which tests reach only on purpose.
const second = time.Second

// testView returns a view with one upstream, in which each shard has its own leaves, and
// callers "a" and "b" with the given shares.
func testView(shards, replicas, connections int, shareA, shareB int) *view.View {
	u := document.Upstream{Name: "u", KeySpace: uint64(shards)}
	for s := range shards {
		shard := document.Shard{Range: keyrange.Range{From: uint64(s), To: uint64(s + 1)}}
		for i := range replicas {
			shard.Leaves = append(shard.Leaves, document.Leaf{ID: fmt.Sprintf("leaf-%d-%d", s, i)})
		}
		u.Shards = append(u.Shards, shard)
	}
	doc := &document.Document{Upstreams: []document.Upstream{u}, Callers: []document.Caller{
		{Name: "a", TokenSHA256: "a", Share: shareA}, {Name: "b", TokenSHA256: "b", Share: shareB},
	}}
	never := func(string) bool { return false }
	return view.Build(1, "", doc, never, func(*document.Upstream, string) int { return connections })
}

// newTestMachine returns a machine with the fake policies.
func newTestMachine(t interface{ Fatal(...any) }, v *view.View) *Machine {
	m, err := New(Config{View: v, Policies: Policies{Routing: fakePolicy, Order: fakePolicy, Limit: fakePolicy}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// ticket returns the ticket of the first attempt of a query.
func ticket(q int) Ticket { return Ticket{Query: uint64(q), Attempt: 1} }

// offered returns an offer of caller a on shard 0 with a deadline in a second.
func offered(q int) Offered {
	return Offered{Ticket: ticket(q), Caller: "a", Deadline: start.Add(second)}
}

// dispatched returns the queries that the actions dispatch.
func dispatched(actions []Action) []uint64 {
	var out []uint64
	for _, a := range actions {
		if d, ok := a.(Dispatch); ok {
			out = append(out, d.Ticket.Query)
		}
	}
	return out
}

// refusal returns the first refusal of the actions, or nil.
func refusal(actions []Action) *Refuse {
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			return &r
		}
	}
	return nil
}

// reply returns the end of the first attempt of a query with a reply.
func reply(q int, latency time.Duration) Finished {
	return Finished{Ticket: ticket(q), Outcome: OutcomeReply, Latency: latency}
}

// wantRefused fails the test unless the first refusal of the actions has the reason.
func wantRefused(t *testing.T, actions []Action, reason query.DeclineReason) {
	t.Helper()
	r := refusal(actions)
	if r == nil || r.Reason != reason {
		t.Fatalf("actions %v, want a refusal for %s", actions, reason)
	}
}
