package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// leaf is what the machine knows of one leaf; it outlives views.
type leaf struct {
	id       string
	key      int // plugin.Candidate.Key
	index    int // in the present view, -1 when it is not in it
	local    bool
	leaving  bool
	share    int // connections
	limit    plugin.Limit
	inFlight int
	out      []time.Time // when each attempt in flight was dispatched, oldest first
	// solo says that the leaf runs one attempt alone.
	solo bool
	// reserved is the attempt that waits for the leaf to be idle.
	reserved *attempt
	shards   []*shard
	next     int // shard to serve first on the next release
}

// oldest is for how long the oldest attempt in flight has been out.
func (l *leaf) oldest(now time.Time) time.Duration {
	if len(l.out) == 0 {
		return 0
	}
	return now.Sub(l.out[0])
}

// back forgets an attempt that was dispatched at the given time.
func (l *leaf) back(started time.Time) {
	if i := slices.Index(l.out, started); i >= 0 {
		l.out = slices.Delete(l.out, i, i+1)
	}
}

// room reports whether the leaf may take one more ordinary attempt.
func (l *leaf) room() bool {
	return !l.leaving && !l.solo && l.reserved == nil && l.share > 0 &&
		l.inFlight < min(l.limit.Limit(), l.share)
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
	// meanLatency is a moving average of replies' latency, in seconds.
	meanLatency float64
}

// present reports whether any leaf may get new work at all.
func (s *shard) present() bool {
	for _, l := range s.leaves {
		if !l.leaving && l.share > 0 {
			return true
		}
	}
	return false
}

// inFlight is the number of this entry's attempts on the shard's leaves.
func (s *shard) inFlight() int {
	n := 0
	for _, l := range s.leaves {
		n += l.inFlight
	}
	return n
}

// idle reports whether nothing of this entry waits or runs on the shard.
func (s *shard) idle() bool { return s.queue.length == 0 && s.inFlight() == 0 }
