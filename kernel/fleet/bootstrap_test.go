package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of the fleets that start for the first time in these tests.
const (
	testStep        = 100 * time.Millisecond
	testWindow      = 10 * time.Second
	testPropagation = 30 * time.Second
)

// startingInstance is an instance of a fleet that starts for the first time.
type startingInstance struct {
	fleet       *Fleet
	instance    Instance
	announcedAt time.Duration // since the first start
	mode        JoinMode
	listsAt     []time.Duration // when it reads the list, in order
	spent       []float64       // by step
}

// spend spends what is left of the share in the window that ends with the step.
func (s *startingInstance) spend(share float64) float64 {
	used := 0.0
	for _, n := range s.spent[max(0, len(s.spent)-int(testWindow/testStep)+1):] {
		used += n
	}
	amount := max(0, share-used)
	s.spent = append(s.spent, amount)
	return amount
}

// listAt returns the announcements that the store has at a time.
func listAt(all []*startingInstance, at time.Duration) (list []Instance) {
	for _, s := range all {
		if s.announcedAt <= at {
			list = append(list, s.instance)
		}
	}
	return list
}

// drawStartingInstance draws when an instance starts, is announced and reads lists.
func drawStartingInstance(t *rapid.T, number int) *startingInstance {
	drawTime := func(least, most time.Duration, label string) time.Duration {
		return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, label))
	}
	startedAt := drawTime(0, BootstrapStartSpread, "start")
	s := &startingInstance{
		instance:    Instance{Name: fmt.Sprint(number), Zone: "a", AnnouncementID: 1},
		announcedAt: startedAt + drawTime(0, 2*BootstrapJoinTime, "time until the announcement"),
	}
	if s.announcedAt-startedAt >= BootstrapJoinTime {
		s.mode = JoinAsNew
	}
	s.instance.Revision = uint64(s.announcedAt)
	for at := startedAt; at < time.Minute; {
		s.listsAt = append(s.listsAt, at)
		at += drawTime(testStep, testPropagation-2*time.Second, "time until the next list")
	}
	s.fleet = New(s.instance, Settings{
		ForgetAfter: time.Hour, ListPropagationBound: testPropagation, ShareHoldTime: testPropagation,
		RepeatWindow: testWindow, StartedAt: start.Add(startedAt),
	})
	return s
}

// TestRepeatsOfStartingFleetStayWithinLimit starts fleets for the first time. Instances are
// announced and read lists at random times, and spend their whole shares from the first moment.
func TestRepeatsOfStartingFleetStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*startingInstance
		for i := range rapid.IntRange(1, 9).Draw(t, "instances") {
			all = append(all, drawStartingInstance(t, i))
		}
		var spent []float64
		for step := range int(time.Minute / testStep) {
			elapsed := time.Duration(step) * testStep
			now := start.Add(elapsed)
			total := 0.0
			for _, s := range all {
				if elapsed >= s.announcedAt {
					s.fleet.RecordJoin(s.mode, start.Add(s.announcedAt))
				}
				for len(s.listsAt) > 0 && s.listsAt[0] <= elapsed {
					s.fleet.ApplyStoreList(listAt(all, s.listsAt[0]), start.Add(s.listsAt[0]))
					s.listsAt = s.listsAt[1:]
				}
				total += s.spend(s.fleet.RepeatAllowanceShare(1, now))
			}
			spent = append(spent, total)
			sum := 0.0
			for _, n := range spent[max(0, len(spent)-int(testWindow/testStep)+1):] {
				sum += n
			}
			if sum > 1+1e-9 {
				t.Fatalf("%.3f of the allowance is spent in the window that ends after %v", sum, elapsed)
			}
		}
	})
}

// TestStartingFleetUsesWholeAllowance starts eight instances that read complete lists in time:
// each has a provisional share at once and an equal one a window after the provisional ones end.
func TestStartingFleetUsesWholeAllowance(t *testing.T) {
	list := zoneOf("a", 8)
	testSettings := settings
	testSettings.RepeatWindow, testSettings.StartedAt = testWindow, start
	var fleets []*Fleet
	for i := range list {
		list[i].Revision = uint64(i + 1)
		fleets = append(fleets, New(list[i], testSettings))
	}
	shareSum := func(after time.Duration) (sum float64) {
		for _, f := range fleets {
			share := f.RepeatAllowanceShare(1, start.Add(after))
			if share <= 0 {
				t.Errorf("an instance has no share after %v", after)
			}
			sum += share
		}
		return sum
	}
	for i, f := range fleets {
		f.ApplyStoreList(list[:i+1], start)
		f.RecordJoin(JoinAtBootstrap, start)
	}
	if sum := shareSum(0); sum < 0.85 || sum > 1 {
		t.Errorf("the provisional shares add up to %.3f, want 0.85 to 1", sum)
	}
	for _, f := range fleets {
		f.ApplyStoreList(list, start.Add(bootstrapListDelay))
	}
	settled := BootstrapKnownAfter + testWindow
	if sum := shareSum(settled - time.Millisecond); sum > 0.5 {
		t.Errorf("the shares add up to %.3f while provisional ones may be in use", sum)
	}
	if sum := shareSum(settled); sum < 1-1e-9 || sum > 1+1e-9 {
		t.Errorf("the shares add up to %.3f at the end of the bootstrap, want 1", sum)
	}
}

// TestProvisionalShareEndsWithoutCompleteList leaves an instance with its first list only: its
// provisional share ends, as the others may have divided the allowance among all by then.
func TestProvisionalShareEndsWithoutCompleteList(t *testing.T) {
	list := zoneOf("a", 2)
	f := New(list[0], settings)
	f.ApplyStoreList(list[:1], start)
	f.RecordJoin(JoinAtBootstrap, start)
	for _, tc := range []struct {
		after time.Duration
		want  float64
	}{{0, leadingShares[0]}, {provisionalTime - 1, leadingShares[0]}, {provisionalTime, 0}, {time.Minute, 0}} {
		if got := f.RepeatAllowanceShare(1, start.Add(tc.after)); got != tc.want {
			t.Errorf("share %v after %v, want %v", got, tc.after, tc.want)
		}
	}
	f.ApplyStoreList(list, start.Add(time.Minute))
	if got := f.RepeatAllowanceShare(1, start.Add(time.Minute)); got != 0.5 {
		t.Errorf("share %v with the complete list, want 0.5", got)
	}
}
