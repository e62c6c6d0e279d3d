package fleet

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSlackAddsUp adds up the parts of all instances, with and without the strong ones
// of a zone, and checks who has the most.
func TestSlackAddsUp(t *testing.T) {
	const many, few = 90, 20
	for _, tc := range []struct {
		name string
		list []Instance
	}{
		{"unequal", unequal(18)},
		{"equal", zone("a", 8)},
		{"no strong one in zone a", unequal(18)[2:]},
		{"two", unequal(0)[:2]},
	} {
		for _, shards := range []int{many, few} {
			sum := 0.0
			for _, f := range fleets(tc.list) {
				f.RecordJoin(JoinAtBootstrap, start)
				sum += f.RepeatAllowanceShare(shards, start)
			}
			if sum > 1+1e-9 || sum < 0.85 {
				t.Errorf("%s, %d shards: the parts add up to %.3f", tc.name, shards, sum)
			}
		}
	}
	f := fleets(unequal(18))
	f[0].RecordJoin(JoinAtBootstrap, start)
	f[2].RecordJoin(JoinAtBootstrap, start)
	if strong, weak := f[0].RepeatAllowanceShare(many, start), f[2].RepeatAllowanceShare(many, start); strong < 0.099 || weak > 0.01 {
		t.Errorf("a strong instance has %.3f and a weak one %.3f, want 0.1 and less than 0.01", strong, weak)
	}
}

// TestSlackGrowsLate loses one of four instances, and adds one.
func TestSlackGrowsLate(t *testing.T) {
	list := zone("a", 5)
	f := New(list[0], settings)
	if got := f.RepeatAllowanceShare(1, start); got != 0 {
		t.Errorf("%v before the first list, want none", got)
	}
	f.ApplyStoreList(list[:4], start)
	if got := f.RepeatAllowanceShare(1, start); got != 0 {
		t.Errorf("%v before it is announced, want none", got)
	}
	f.RecordJoin(JoinAsNew, start)
	at := func(after time.Duration, want float64) {
		t.Helper()
		if got := f.RepeatAllowanceShare(1, start.Add(after)); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v after %v, want %v", got, after, want)
		}
	}
	at(29*time.Second, 0)
	at(30*time.Second, 0.25)
	for i := range list {
		list[i].AnnouncementID++
	}
	f.ApplyStoreList(list[:3], start.Add(40*time.Second))
	at(69*time.Second, 0.25)
	at(70*time.Second, 1.0/3)
	f.ApplyStoreList(list, start.Add(80*time.Second))
	at(80*time.Second, 0.2)
}

// spender is an instance of the simulated fleet below.
type spender struct {
	fleet    *Fleet
	alive    bool
	listDue  int
	spent    map[int]float64 // by second, as it remembers
	instance Instance
}

// TestRepeatsOfTheFleetStayWithinTheLimit lets instances start, leave with and without
// a word, and start again, while each reads the list when it likes within the time that
// it has, and spends all that it may. In no span do they spend more than the limit.
func TestRepeatsOfTheFleetStayWithinTheLimit(t *testing.T) {
	const (
		span   = 10 // seconds
		within = 30
		length = 150
	)
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{ForgetAfter: 180 * time.Second, ListPropagationBound: within * time.Second, RepeatWindow: span * time.Second, ShareHoldTime: within * time.Second}
		var all []*spender
		store := map[string]Instance{} // announcements
		list := func() (out []Instance) {
			for _, i := range store {
				out = append(out, i)
			}
			return out
		}
		begin := func(s *spender, how JoinMode, now time.Time) {
			if _, known := store[s.instance.Name]; known {
				how = JoinAfterRestart
			}
			store[s.instance.Name] = s.instance
			s.fleet, s.alive = New(s.instance, set), true
			s.fleet.RecordJoin(how, now)
			s.listDue = 0
			s.spent = nil // it is forgotten
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "instances") {
			s := &spender{instance: Instance{Name: fmt.Sprint(i), Zone: "a", AnnouncementID: 1}}
			all = append(all, s)
			begin(s, JoinAtBootstrap, start)
		}
		var spent [length]float64
		for second := range length {
			now := start.Add(time.Duration(second) * time.Second)
			s := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case second == 0: // all have started and read the list before they get requests
			case what == 0 && s.alive: // stopped
				s.alive = false
				delete(store, s.instance.Name)
			case what == 1 && s.alive: // killed
				s.alive = false
			case what == 2 && !s.alive:
				begin(s, JoinAsNew, now)
			case what == 3 && len(all) < 8:
				s := &spender{instance: Instance{Name: fmt.Sprint(len(all)), Zone: "a", AnnouncementID: 1}}
				all = append(all, s)
				begin(s, JoinAsNew, now)
			}
			for _, s := range all {
				if !s.alive {
					continue
				}
				if second >= s.listDue {
					s.fleet.ApplyStoreList(list(), now)
					s.listDue = second + rapid.IntRange(1, within-1).Draw(t, "list")
				}
				spent[second] += s.spend(second, span, s.fleet.RepeatAllowanceShare(1, now))
			}
			total := 0.0
			for i := max(0, second-span+1); i <= second; i++ {
				total += spent[i]
			}
			if total > 1+1e-9 {
				t.Fatalf("%.3f of the limit is spent in the span that ends at second %d", total, second)
			}
		}
	})
}

// spend spends what the part leaves of the span that ends now.
func (s *spender) spend(second, span int, part float64) float64 {
	used := 0.0
	for at, n := range s.spent {
		if at > second-span {
			used += n
		}
	}
	if s.spent == nil {
		s.spent = make(map[int]float64)
	}
	now := max(0, part-used)
	s.spent[second] = now
	return now
}
