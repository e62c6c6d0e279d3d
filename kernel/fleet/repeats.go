package fleet

import "time"

// allowanceShares holds this instance's share of the repeats (hedges and retries) that the
// fleet may send beyond those earned by requests, as computed from each recent list of
// instances. A decrease takes effect at once and an increase only after ShareHoldTime.
// Within any window up to ShareHoldTime, each instance therefore spends at most its share
// by the list that it had when the window began, and the shares that are computed from one
// list add up to at most 1.
type allowanceShares struct {
	history     []allowanceShare // in order of time, the latest last
	countedFrom time.Time        // from when the others count this instance; zero: not yet
	atBootstrap bool             // this instance joined as JoinAtBootstrap
	bootstrap   bootstrap
}

// allowanceShare is the share computed from one list: for upstreams whose queries are
// forwarded to a stronger instance, and for those whose queries run locally.
type allowanceShare struct {
	at               time.Time
	forwarded, local float64
}

// JoinMode is the way in which an instance joins the fleet. It decides when the instance
// may first spend its share of the repeats.
type JoinMode uint8

// The join modes.
const (
	// JoinAtBootstrap is the first start of the whole fleet: no instance has sent a repeat,
	// so a share is available at once, a provisional one until the list is complete.
	JoinAtBootstrap JoinMode = iota
	// JoinAfterRestart is a start under a name that was announced before, but perhaps too
	// recently for all others to count it. It waits as long as for JoinAsNew.
	JoinAfterRestart
	// JoinAsKnown is a restart of an instance that all others count already. It does not know
	// what it spent before it ended, so it waits for one RepeatWindow.
	JoinAsKnown
	// JoinAsNew is a start under a new name. The others divide the whole allowance among
	// themselves until each has read the list again, which takes up to ListPropagationBound,
	// and what they sent until then counts for one RepeatWindow.
	JoinAsNew
)

// RecordJoin notes that the store holds this instance's announcement. Only the first call
// counts; RecordJoin reports whether this was it.
func (f *Fleet) RecordJoin(mode JoinMode, now time.Time) bool {
	if !f.allowance.countedFrom.IsZero() {
		return false
	}
	switch mode {
	case JoinAtBootstrap:
		f.allowance.countedFrom, f.allowance.atBootstrap = now, true
		f.allowance.bootstrap.joinedAt = now
	case JoinAsKnown:
		f.allowance.countedFrom = now.Add(f.settings.RepeatWindow)
	case JoinAfterRestart, JoinAsNew:
		f.allowance.countedFrom = now.Add(f.settings.ListPropagationBound + f.settings.RepeatWindow)
	}
	return true
}

// EarnsRepeats reports whether the requests of this instance earn repeats. In its first
// RepeatWindow they do not, unless the whole fleet started with it: an instance that
// restarted does not know which repeats it sent before.
func (f *Fleet) EarnsRepeats(now time.Time) bool {
	return f.allowance.atBootstrap || now.Sub(f.settings.StartedAt) >= f.settings.RepeatWindow
}

// recordAllowanceShare adds the share computed from the list that was read at the given
// time, and drops the entries that ended before the hold time.
func (f *Fleet) recordAllowanceShare(at time.Time) {
	h := append(f.allowance.history, allowanceShare{at: at, forwarded: f.listedAllowanceShare(minForwardShards), local: f.listedAllowanceShare(1)})
	for len(h) > 1 && at.Sub(h[1].at) >= f.settings.ShareHoldTime {
		h = h[1:] // the next entry has been in force for the whole hold time
	}
	f.allowance.history = h
	f.allowance.bootstrap.observeList(f, at)
}

// RepeatAllowanceShare is this instance's share, in [0, 1], of the repeats that the fleet
// may send to an upstream of that many shards beyond those earned by requests. It is the
// smallest share within ShareHoldTime, and 0 before the others count this instance.
func (f *Fleet) RepeatAllowanceShare(shards int, now time.Time) float64 {
	if f.allowance.countedFrom.IsZero() || now.Before(f.allowance.countedFrom) {
		return 0
	}
	least := 1.0
	for i, p := range f.allowance.history {
		if i+1 < len(f.allowance.history) && now.Sub(f.allowance.history[i+1].at) >= f.settings.ShareHoldTime {
			continue // replaced before the hold time began
		}
		least = min(least, p.forUpstream(shards))
	}
	if len(f.allowance.history) == 0 {
		return 0
	}
	if f.allowance.atBootstrap {
		return f.allowance.bootstrap.share(least, shards, f.settings.RepeatWindow, now)
	}
	return least
}

// forUpstream is the share for an upstream of that many shards.
func (p allowanceShare) forUpstream(shards int) float64 {
	if ShouldForward(shards) {
		return p.forwarded
	}
	return p.local
}
