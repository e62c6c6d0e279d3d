package fleet

import "time"

// slack is this instance's part of the fleet's repeats as its lists showed it. The part
// shrinks at once and grows late: in any span of time up to the one that parts are held
// for, no instance spends more than its part by the list that it had when the span
// began, and by lists of one moment the parts add up to 1 at most.
type slack struct {
	history []slackPart // the latest last
	from    time.Time   // when the others count this instance; zero: not yet
}

// slackPart is the part by one list, for upstreams whose queries are handed over and
// for the others.
type slackPart struct {
	at        time.Time
	many, few float64
}

// JoinMode is how an instance comes into the fleet.
type JoinMode uint8

// The ways to start.
const (
	// JoinAtBootstrap is with all others, for the first time: nobody has spent anything.
	JoinAtBootstrap JoinMode = iota
	// JoinAfterRestart is under a name that was announced before: the others count it, but
	// what it spent before it ended is forgotten, so it waits for a span of time.
	JoinAfterRestart
	// JoinAsNew is under a name that the others do not know before each of them has read
	// the list again: they divide the whole among themselves until then.
	JoinAsNew
)

// RecordJoin says that the store has this instance's announcement.
func (f *Fleet) RecordJoin(how JoinMode, now time.Time) {
	if !f.slack.from.IsZero() {
		return
	}
	switch how {
	case JoinAtBootstrap:
		f.slack.from = now
	case JoinAfterRestart:
		f.slack.from = now.Add(f.settings.RepeatWindow)
	case JoinAsNew:
		f.slack.from = now.Add(f.settings.ListPropagationBound)
	}
}

// noteSlack keeps the part by a list that was read at a time.
func (f *Fleet) noteSlack(at time.Time) {
	h := append(f.slack.history, slackPart{at: at, many: f.slackOf(strongShards), few: f.slackOf(1)})
	for len(h) > 1 && at.Sub(h[1].at) >= f.settings.ShareHoldTime {
		h = h[1:] // the next one has been in force all the while
	}
	f.slack.history = h
}

// RepeatAllowanceShare is this instance's part, in [0, 1], of the repeats of an upstream of so
// many shards that the fleet may make without any request.
func (f *Fleet) RepeatAllowanceShare(shards int, now time.Time) float64 {
	if f.slack.from.IsZero() || now.Before(f.slack.from) {
		return 0
	}
	least := 1.0
	for i, p := range f.slack.history {
		if i+1 < len(f.slack.history) && now.Sub(f.slack.history[i+1].at) >= f.settings.ShareHoldTime {
			continue // over before the time that counts
		}
		least = min(least, p.of(shards))
	}
	if len(f.slack.history) == 0 {
		return 0
	}
	return least
}

// of is the part for an upstream of so many shards.
func (p slackPart) of(shards int) float64 {
	if ShouldForward(shards) {
		return p.many
	}
	return p.few
}
