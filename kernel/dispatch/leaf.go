package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// leaf is the state that the machine keeps of one leaf. It outlives changes of the view.
type leaf struct {
	id          string
	key         int // plugin.Candidate.Key
	index       int // in the present view, -1 when absent
	local       bool
	leaving     bool
	connections int // this instance's share of the leaf's connections
	limit       plugin.Limit
	inFlight    int
	startTimes  []time.Time // dispatch times of the attempts in flight, oldest first
	// solo says that the attempt in flight must run alone.
	solo bool
	// reserved is a solo attempt that waits until the leaf is idle; no other attempt is
	// dispatched meanwhile.
	reserved   *attempt
	shards     []*shard
	firstShard int // index in shards at which serveLeaf last began
}

// oldestAge returns the time since the dispatch of the oldest attempt in flight, 0
// without any.
func (l *leaf) oldestAge(now time.Time) time.Duration {
	if len(l.startTimes) == 0 {
		return 0
	}
	return now.Sub(l.startTimes[0])
}

// removeStartTime removes the entry of an attempt that was dispatched at the given time.
func (l *leaf) removeStartTime(started time.Time) {
	if i := slices.Index(l.startTimes, started); i >= 0 {
		l.startTimes = slices.Delete(l.startTimes, i, i+1)
	}
}

// hasRoom reports whether one more attempt that is not solo may be dispatched to the
// leaf.
func (l *leaf) hasRoom() bool {
	return !l.leaving && !l.solo && l.reserved == nil && l.connections > 0 &&
		l.inFlight < min(l.limit.Limit(), l.connections)
}

// shard is a key range with its leaves and its queue.
type shard struct {
	index  int
	keys   keyrange.Range
	leaves []*leaf
	queue  fairQueue
	order  plugin.Order
	// stalled says that the shard is in Machine.stalled.
	stalled bool
	// meanLatency is a moving average of the latency of replies and timeouts, in
	// seconds.
	meanLatency float64
}

// acceptsWork reports whether the shard has a leaf that is not leaving and to which this
// instance may connect.
func (s *shard) acceptsWork() bool {
	for _, l := range s.leaves {
		if !l.leaving && l.connections > 0 {
			return true
		}
	}
	return false
}

// inFlight returns the number of this instance's attempts on the shard's leaves.
func (s *shard) inFlight() int {
	n := 0
	for _, l := range s.leaves {
		n += l.inFlight
	}
	return n
}

// idle reports whether no attempt of this instance is queued or runs on the shard.
func (s *shard) idle() bool { return s.queue.length == 0 && s.inFlight() == 0 }
