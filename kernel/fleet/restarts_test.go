package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
)

// restartingInstance is an instance of TestRestartsDoNotEarnRepeatsTwice.
type restartingInstance struct {
	fleet   *Fleet
	limiter *repetition.RepeatLimiter
	name    string
}

// TestRestartsDoNotEarnRepeatsTwice kills instances that have spent what their requests
// earned, and lets them spend as much as they may again.
func TestRestartsDoNotEarnRepeatsTwice(t *testing.T) {
	const (
		window   = 10 // seconds
		length   = 40 // seconds
		requests = 10 // of each instance, a second
		ratio    = 0.2
		slack    = 8
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		var list []Instance
		for i := range n {
			list = append(list, Instance{Name: fmt.Sprint(i), Zone: "a", AnnouncementID: 1})
		}
		begin := func(s *restartingInstance, mode JoinMode, now time.Time) {
			s.fleet = New(Instance{Name: s.name, Zone: "a"}, Settings{ForgetAfter: time.Hour, ListPropagationBound: 30 * time.Second, RepeatWindow: window * time.Second, ShareHoldTime: 30 * time.Second, StartedAt: now})
			s.fleet.ApplyStoreList(list, now)
			s.fleet.RecordJoin(mode, now)
			s.limiter = repetition.NewRepeatLimiter(repetition.RepeatLimit{Window: window * time.Second})
		}
		var all []*restartingInstance
		for i := range n {
			s := &restartingInstance{name: fmt.Sprint(i)}
			all = append(all, s)
			begin(s, JoinAtBootstrap, start)
		}
		var repeats [length]int
		for second := range length {
			now := start.Add(time.Duration(second) * time.Second)
			wanted := rapid.IntRange(0, 1).Draw(t, "repeats are wanted") == 1
			for _, s := range all {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					begin(s, JoinAfterRestart, now)
				}
				limit := repetition.RepeatLimit{Slack: slack * s.fleet.RepeatAllowanceShare(1, now), Window: window * time.Second}
				if s.fleet.EarnsRepeats(now) {
					limit.Ratio = ratio
				}
				s.limiter.SetLimit(limit)
				for range requests {
					s.limiter.CountRequest(now)
				}
				for wanted {
					r := s.limiter.TakeRepeat(now)
					if r == nil {
						break
					}
					s.limiter.Settle(r, now)
					repeats[second]++
				}
			}
			sum := 0
			for i := max(0, second-window+1); i <= second; i++ {
				sum += repeats[i]
			}
			if limit := ratio*float64(window*requests*n) + slack; float64(sum) > limit {
				t.Fatalf("%d repeats in the window that ends at second %d, limit %.1f", sum, second, limit)
			}
		}
	})
}
