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

// TestAllowanceSharesAddUpToAtMostOne adds up the shares of all instances, with and without
// the strong ones of a zone, and checks that strong instances have the larger shares.
func TestAllowanceSharesAddUpToAtMostOne(t *testing.T) {
	const many, few = 90, 20
	for _, tc := range []struct {
		name string
		list []Instance
	}{
		{"strong and weak instances", strongAndWeak(18)},
		{"equal instances", zoneOf("a", 8)},
		{"no strong instance in zone a", strongAndWeak(18)[2:]},
		{"two instances", strongAndWeak(0)[:2]},
	} {
		for _, shards := range []int{many, few} {
			sum := 0.0
			for _, f := range fleetsWithList(tc.list) {
				f.RecordJoin(JoinAtBootstrap, start)
				sum += f.RepeatAllowanceShare(shards, start)
			}
			if sum > 1+1e-9 || sum < 0.85 {
				t.Errorf("%s, %d shards: the shares add up to %.3f, want 0.85 to 1", tc.name, shards, sum)
			}
		}
	}
	f := fleetsWithList(strongAndWeak(18))
	f[0].RecordJoin(JoinAtBootstrap, start)
	f[2].RecordJoin(JoinAtBootstrap, start)
	if strong, weak := f[0].RepeatAllowanceShare(many, start), f[2].RepeatAllowanceShare(many, start); strong < 0.099 || weak > 0.01 {
		t.Errorf("a strong instance has %.3f and a weak one %.3f, want 0.1 and less than 0.01", strong, weak)
	}
}

// TestSharesOfFirstListsAddUpToAtMostOne starts a whole fleet: the first lists have only the
// instances that have announced themselves by then.
func TestSharesOfFirstListsAddUpToAtMostOne(t *testing.T) {
	list := zoneOf("a", 8)
	fleets := make([]*Fleet, len(list))
	for i := range list {
		fleets[i] = New(list[i], settings)
		fleets[i].ApplyStoreList(list[:i+1], start)
		fleets[i].RecordJoin(JoinAtBootstrap, start)
	}
	for after := time.Duration(0); after < 10*time.Second; after += 100 * time.Millisecond {
		if after == time.Second {
			for _, f := range fleets {
				f.ApplyStoreList(list, start.Add(after))
			}
		}
		sum := 0.0
		for _, f := range fleets {
			sum += f.RepeatAllowanceShare(1, start.Add(after))
		}
		if sum > 1+1e-9 {
			t.Fatalf("after %v the shares add up to %.2f", after, sum)
		}
	}
}

// TestAllowanceShareGrowsAfterHoldTime removes one of four instances and then adds two: the
// share grows only after the hold time and shrinks at once.
func TestAllowanceShareGrowsAfterHoldTime(t *testing.T) {
	list := zoneOf("a", 5)
	f := New(list[0], settings)
	if got := f.RepeatAllowanceShare(1, start); got != 0 {
		t.Errorf("share %v before the first list, want 0", got)
	}
	f.ApplyStoreList(list[:4], start)
	if got := f.RepeatAllowanceShare(1, start); got != 0 {
		t.Errorf("share %v before it is announced, want 0", got)
	}
	f.RecordJoin(JoinAsNew, start)
	checkShareAt := func(after time.Duration, want float64) {
		t.Helper()
		if got := f.RepeatAllowanceShare(1, start.Add(after)); math.Abs(got-want) > 1e-9 {
			t.Errorf("share %v after %v, want %v", got, after, want)
		}
	}
	checkShareAt(29*time.Second, 0)
	checkShareAt(30*time.Second, 0.25)
	for i := range list {
		list[i].AnnouncementID++
	}
	f.ApplyStoreList(list[:3], start.Add(40*time.Second))
	checkShareAt(69*time.Second, 0.25)
	checkShareAt(70*time.Second, 1.0/3)
	f.ApplyStoreList(list, start.Add(80*time.Second))
	checkShareAt(80*time.Second, 0.2)
}

// TestNewInstanceWaitsForRepeatsOfOldShares has the only instance spend its whole share just
// before it learns of a new one: the new one waits until that is out of the window.
func TestNewInstanceWaitsForRepeatsOfOldShares(t *testing.T) {
	const window = 10 * time.Second
	list := zoneOf("a", 2)
	newSettings := settings
	newSettings.RepeatWindow = window
	f := New(list[1], newSettings)
	f.ApplyStoreList(list, start)
	f.RecordJoin(JoinAsNew, start)
	spentAt := start.Add(newSettings.ListPropagationBound) // by the share of a list without the new instance
	if got := f.RepeatAllowanceShare(1, spentAt.Add(window-1)); got != 0 {
		t.Errorf("share %v while the other's repeats are in the window, want 0", got)
	}
	if got := f.RepeatAllowanceShare(1, spentAt.Add(window)); got != 0.5 {
		t.Errorf("share %v after it, want 0.5", got)
	}
}

// simulatedInstance is an instance of TestRepeatsOfTheFleetStayWithinTheLimit.
type simulatedInstance struct {
	fleet    *Fleet
	alive    bool
	listDue  int             // second of its next read of the list
	spent    map[int]float64 // by second, since its last start
	instance Instance
}

// TestRepeatsOfTheFleetStayWithinTheLimit simulates instances that start, withdraw, are
// killed and start again. Each reads the list at random times within ListPropagationBound
// and spends its whole share. In no window may all of them spend more than the limit.
func TestRepeatsOfTheFleetStayWithinTheLimit(t *testing.T) {
	const (
		// All in seconds.
		window           = 10
		propagationBound = 30
		length           = 150
	)
	rapid.Check(t, func(t *rapid.T) {
		testSettings := Settings{ForgetAfter: 180 * time.Second, ListPropagationBound: propagationBound * time.Second, RepeatWindow: window * time.Second, ShareHoldTime: propagationBound * time.Second}
		var all []*simulatedInstance
		store := map[string]Instance{} // announcements
		list := func() (out []Instance) {
			for _, i := range store {
				out = append(out, i)
			}
			return out
		}
		begin := func(s *simulatedInstance, mode JoinMode, now time.Time) {
			if _, known := store[s.instance.Name]; known {
				mode = JoinAfterRestart
			}
			store[s.instance.Name] = s.instance
			s.fleet, s.alive = New(s.instance, testSettings), true
			s.fleet.RecordJoin(mode, now)
			s.listDue = 0
			s.spent = nil // a restart loses the record
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "instances") {
			s := &simulatedInstance{instance: Instance{Name: fmt.Sprint(i), Zone: "a", AnnouncementID: 1}}
			all = append(all, s)
			begin(s, JoinAtBootstrap, start)
		}
		var spent [length]float64
		for second := range length {
			now := start.Add(time.Duration(second) * time.Second)
			s := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case second == 0: // all have started and read the list before they get requests
			case what == 0 && s.alive: // withdraws its announcement and ends
				s.alive = false
				delete(store, s.instance.Name)
			case what == 1 && s.alive: // killed
				s.alive = false
			case what == 2 && !s.alive:
				begin(s, JoinAsNew, now)
			case what == 3 && len(all) < 8:
				s := &simulatedInstance{instance: Instance{Name: fmt.Sprint(len(all)), Zone: "a", AnnouncementID: 1}}
				all = append(all, s)
				begin(s, JoinAsNew, now)
			}
			for _, s := range all {
				if !s.alive {
					continue
				}
				if second >= s.listDue {
					s.fleet.ApplyStoreList(list(), now)
					s.listDue = second + rapid.IntRange(1, propagationBound-1).Draw(t, "list")
				}
				spent[second] += s.spend(second, window, s.fleet.RepeatAllowanceShare(1, now))
			}
			total := 0.0
			for i := max(0, second-window+1); i <= second; i++ {
				total += spent[i]
			}
			if total > 1+1e-9 {
				t.Fatalf("%.3f of the limit is spent in the window that ends at second %d", total, second)
			}
		}
	})
}

// spend spends what is left of the share in the window that ends at the given second, and
// returns the amount.
func (s *simulatedInstance) spend(second, window int, share float64) float64 {
	used := 0.0
	for at, n := range s.spent {
		if at > second-window {
			used += n
		}
	}
	if s.spent == nil {
		s.spent = make(map[int]float64)
	}
	amount := max(0, share-used)
	s.spent[second] = amount
	return amount
}
