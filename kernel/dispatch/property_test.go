package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
	"pgregory.net/rapid"
)

// model tracks the offered attempts and checks every action of a machine against the
// invariants.
type model struct {
	t        *rapid.T
	v        *view.View
	now      time.Time
	offers   map[Ticket]Offered
	ended    map[Ticket]bool // refused, finished, or withdrawn while queued
	running  map[Ticket]Dispatch
	inFlight map[int]int
}

// check checks the actions of one event.
func (c *model) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Dispatch:
			c.checkDispatch(a)
		case Refuse:
			c.mustBePending(a.Ticket)
			c.ended[a.Ticket] = true
		}
	}
}

// mustBePending fails unless the ticket was offered and neither runs nor has ended.
func (c *model) mustBePending(t Ticket) {
	if _, ok := c.offers[t]; !ok {
		c.t.Fatalf("action for %v, which was not offered", t)
	}
	if _, running := c.running[t]; running || c.ended[t] {
		c.t.Fatalf("second action for %v", t)
	}
}

func (c *model) checkDispatch(a Dispatch) {
	c.mustBePending(a.Ticket)
	o := c.offers[a.Ticket]
	leaf := c.v.Leaves[a.Leaf]
	c.inFlight[a.Leaf]++
	if c.inFlight[a.Leaf] > leaf.Connections {
		c.t.Fatalf("%d in flight on leaf %d, share %d", c.inFlight[a.Leaf], a.Leaf, leaf.Connections)
	}
	if leaf.Draining {
		c.t.Fatalf("dispatch to the leaving leaf %d", a.Leaf)
	}
	if !o.Deadline.After(c.now) {
		c.t.Fatalf("dispatch of %v after its deadline", a.Ticket)
	}
	for t, r := range c.running {
		if r.Leaf == a.Leaf && (o.Solo || c.offers[t].Solo) {
			c.t.Fatalf("a solo attempt runs beside another on leaf %d", a.Leaf)
		}
	}
	if o.Hedge {
		for _, avoid := range o.Avoid {
			if avoid == a.Leaf {
				c.t.Fatalf("hedge on the avoided leaf %d", a.Leaf)
			}
		}
	}
	c.running[a.Ticket] = a
}

// TestEveryAttemptEndsOnceWithinLimits drives random events. No attempt ends twice or is
// lost, and connection limits, leaving leaves, solo attempts and avoided leaves are
// respected.
func TestEveryAttemptEndsOnceWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 3).Draw(t, "shards")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		v := testView(shards, replicas, rapid.IntRange(1, 3).Draw(t, "connections"), 1, 2)
		m := newTestMachine(t, v)
		c := &model{
			t: t, v: v, now: start, offers: map[Ticket]Offered{}, ended: map[Ticket]bool{},
			running: map[Ticket]Dispatch{}, inFlight: map[int]int{},
		}
		next := 0
		finish := func(ticket Ticket) {
			d := c.running[ticket]
			delete(c.running, ticket)
			c.ended[ticket] = true
			c.inFlight[d.Leaf]--
			outcome := Outcome(rapid.IntRange(0, int(OutcomeCancelled)).Draw(t, "outcome"))
			c.check(m.Handle(Finished{
				Ticket: ticket, Leaf: d.Leaf, Outcome: outcome,
				Latency: time.Duration(rapid.IntRange(1, 30).Draw(t, "latency")) * time.Millisecond,
			}, c.now))
		}
		offer := func(t *rapid.T) {
			next++
			o := Offered{
				Ticket:   Ticket{Query: uint64(rapid.IntRange(1, 20).Draw(t, "query"))<<8 | uint64(next&0xff), Attempt: 1},
				Shard:    rapid.IntRange(0, shards-1).Draw(t, "shard"),
				Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
				Deadline: c.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Millisecond),
				Solo:     rapid.IntRange(0, 5).Draw(t, "solo") == 0,
				Hedge:    rapid.IntRange(0, 5).Draw(t, "hedge") == 0,
				Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
			}
			if _, used := c.offers[o.Ticket]; used {
				return
			}
			for _, i := range v.Upstreams[0].Shards[o.Shard].Leaves {
				if rapid.Bool().Draw(t, "avoid") {
					o.Avoid = append(o.Avoid, i)
				}
			}
			c.offers[o.Ticket] = o
			c.check(m.Handle(o, c.now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  offer,
			"offer2": offer,
			"finish": func(t *rapid.T) {
				for _, ticket := range sorted(c.running) {
					finish(ticket)
					return
				}
			},
			"withdraw": func(t *rapid.T) {
				for _, ticket := range sorted(m.waiting) {
					c.ended[ticket] = true
					c.check(m.Handle(Withdrawn{Ticket: ticket}, c.now))
					return
				}
			},
			"pass": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "time")) * time.Millisecond)
				c.check(m.Handle(Tick{}, c.now))
			},
			"leave": func(t *rapid.T) {
				next := *v
				next.Leaves = append([]view.Leaf(nil), v.Leaves...)
				i := rapid.IntRange(0, len(next.Leaves)-1).Draw(t, "leaf")
				next.Leaves[i].Draining = !next.Leaves[i].Draining
				next.Leaves[i].Connections = rapid.IntRange(0, 3).Draw(t, "share")
				v, c.v = &next, &next
				c.check(m.Handle(ViewChanged{View: v}, c.now))
			},
			"repartition": func(t *rapid.T) {
				next := *v
				up := v.Upstreams[0]
				up.Shards = append([]view.Shard(nil), up.Shards...)
				i, j := rapid.IntRange(0, shards-1).Draw(t, "one"), rapid.IntRange(0, shards-1).Draw(t, "other")
				if i == j {
					up.Shards[i].Range.To++
				} else { // two shards swap places, with their leaves
					up.Shards[i], up.Shards[j] = up.Shards[j], up.Shards[i]
				}
				next.Upstreams = []view.Upstream{up}
				v, c.v = &next, &next
				c.check(m.Handle(ViewChanged{View: v}, c.now))
			},
			"": func(t *rapid.T) {
				for ticket := range c.offers {
					_, running := c.running[ticket]
					if !running && !c.ended[ticket] && m.waiting[ticket] == nil {
						t.Fatalf("%v is lost", ticket)
					}
				}
				c.checkState(m)
			},
		})
		for len(c.running) > 0 {
			finish(sorted(c.running)[0])
		}
		c.now = c.now.Add(second)
		c.check(m.Handle(Tick{}, c.now))
		for ticket := range c.offers {
			if !c.ended[ticket] {
				if _, running := c.running[ticket]; !running {
					t.Fatalf("%v has no end after its deadline", ticket)
				}
			}
		}
	})
}

// checkState checks that the state of the machine agrees with the model, and that no
// attempt is queued for a leaf that could take it.
func (c *model) checkState(m *Machine) {
	for ticket, r := range c.running {
		if m.running[ticket] == nil {
			c.t.Fatalf("%v runs on leaf %d but is unknown to the machine", ticket, r.Leaf)
		}
	}
	if len(m.expiry) != len(m.waiting) {
		c.t.Fatalf("%d attempts in the expiry heap, %d queued", len(m.expiry), len(m.waiting))
	}
	for _, l := range m.leaves {
		if l.reserved != nil && !l.reserved.queued {
			c.t.Fatalf("leaf %s is reserved for %v, which is not queued", l.id, l.reserved.ticket)
		}
	}
	for _, s := range m.shards {
		if s.queue.length == 0 {
			continue
		}
		for _, q := range s.queue.active {
			for _, class := range q.classes {
				c.checkNoLeafFor(m, s, class.onTime[:min(len(class.onTime), scanDepth)])
			}
		}
	}
}

// checkNoLeafFor fails if a leaf of the shard could take a queued attempt.
func (c *model) checkNoLeafFor(m *Machine, s *shard, waiting []*attempt) {
	for _, a := range waiting {
		for _, l := range s.leaves {
			if m.canTake(l, a) {
				c.t.Fatalf("%v is queued although leaf %s could take it", a.ticket, l.id)
			}
		}
	}
}

// sorted returns the tickets sorted by query.
func sorted[V any](tickets map[Ticket]V) []Ticket {
	return slices.SortedFunc(maps.Keys(tickets), func(a, b Ticket) int { return cmp.Compare(a.Query, b.Query) })
}
