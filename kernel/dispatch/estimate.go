package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
)

// latencyGain is the weight of one attempt in a shard's moving average of latency.
const latencyGain = 0.05

// observeLatency adds the latency of one attempt to the shard's moving average.
func (s *shard) observeLatency(d time.Duration) {
	seconds := d.Seconds()
	if s.meanLatency == 0 {
		s.meanLatency = seconds
		return
	}
	s.meanLatency += latencyGain * (seconds - s.meanLatency)
}

// serviceInterval returns the mean time between two services of the shard for this
// instance: latency divided by the number in flight (Little's law).
func (s *shard) serviceInterval() time.Duration {
	return time.Duration(s.meanLatency / float64(max(1, s.inFlight())) * float64(time.Second))
}

// latencyStats keeps quantiles of an upstream's latency, which are recomputed at
// intervals.
type latencyStats struct {
	// longTerm has a long memory, for extreme quantiles; recent serves the decisions on
	// load.
	longTerm, recent repetition.LatencySketch
	replies          int
	agedAt           time.Time     // when recent was aged last
	lastReply        time.Time     // when the last reply came
	low              time.Duration // lowQuantile of recent
	median           time.Duration
	high             time.Duration // highQuantile of recent
}

// Quantiles of latency that decisions use, and the numbers of replies after which they
// are recomputed.
const (
	lowQuantile         = 0.05
	highQuantile        = 0.9
	refreshReplies      = 64
	firstRefreshReplies = 20
)

// After staleAfter without a reply the recorded latencies are stale: they refuse nothing
// until a reply comes, and staleWeight new replies outweigh them.
const (
	staleAfter  = time.Second
	staleWeight = 40
	// agingInterval is the time after which recent is halved, so that the latencies of a
	// burst refuse nothing once it is over.
	agingInterval = 250 * time.Millisecond
)

// fresh reports whether the quantiles describe the present. If silence counted as
// slowness, refusals would keep the upstream silent for ever.
func (l *latencyStats) fresh(now time.Time) bool { return now.Sub(l.lastReply) <= staleAfter }

func (l *latencyStats) observe(d time.Duration, now time.Time) {
	if !l.fresh(now) {
		l.longTerm.CapWeight(staleWeight)
		l.recent.CapWeight(staleWeight)
		l.replies, l.low, l.median, l.high = 0, 0, 0, 0
	}
	l.lastReply = now
	aged := now.Sub(l.agedAt) >= agingInterval
	if aged {
		l.agedAt = now
		l.recent.HalveWeight(staleWeight)
	}
	l.longTerm.Observe(d)
	l.recent.Observe(d)
	l.replies++
	if l.refreshDue(aged) {
		l.refresh()
	}
}

// refreshDue reports whether the quantiles are to be recomputed.
func (l *latencyStats) refreshDue(aged bool) bool {
	if l.replies <= firstRefreshReplies {
		return l.replies == firstRefreshReplies
	}
	return aged || l.replies%refreshReplies == 0
}

func (l *latencyStats) refresh() {
	l.low = l.recent.Quantile(lowQuantile)
	l.median = l.recent.Quantile(0.5)
	l.high = l.recent.Quantile(highQuantile)
}

// Estimate describes how a new attempt would fare now.
type Estimate struct {
	// Wait is the expected queueing time at this instance, on the shard where it is
	// longest.
	Wait time.Duration
	// Median and High are quantiles of the latency after dispatch; High is the 0.9
	// quantile.
	Median, High time.Duration
	// Backlog is the number of attempts that are queued at this instance.
	Backlog int
}

// Estimate returns the present estimate over all shards.
func (m *Machine) Estimate(_ time.Time) Estimate {
	e := Estimate{Median: m.latency.median, High: m.latency.high, Backlog: len(m.waiting)}
	for _, s := range m.shards {
		e.Wait = max(e.Wait, m.drainTime(s))
	}
	return e
}

// CountServableShards counts the shards on which a new attempt of the caller and
// priority would start at once, or be queued for at most maxQueueTime and still end within the
// given time, and all shards. wait is the longest queueing time of a shard.
func (m *Machine) CountServableShards(caller string, priority int, within, maxQueueTime time.Duration) (servable, total int, wait time.Duration) {
	w := m.weight(caller)
	for _, s := range m.shards {
		if s.idle() {
			servable++ // the recorded latency may be stale; a new attempt updates it
			continue
		}
		d := m.callerWait(s, caller, priority, w)
		wait = max(wait, d)
		if m.startsAtOnce(s) || d <= maxQueueTime && d+m.latency.median <= within {
			servable++
		}
	}
	return servable, len(m.shards), wait
}

// startsAtOnce reports whether a new attempt would be dispatched without waiting. Refusing it
// would make no other attempt of this instance earlier; it may still end late if the leaves
// are slow.
func (m *Machine) startsAtOnce(s *shard) bool { return s.queue.length == 0 && m.anyLeafHasRoom(s) }

// startsInTime reports whether the attempt would be dispatched early enough to end by
// its deadline.
func (m *Machine) startsInTime(a *attempt, now time.Time) bool {
	if m.unbounded || a.shard.idle() || !m.latency.fresh(now) {
		return true
	}
	wait := m.callerWait(a.shard, a.caller, a.priority, m.weight(a.caller))
	return now.Add(wait + m.latency.median).Before(a.deadline)
}

// Quantile returns a quantile of the upstream's recent latency after dispatch, 0 before
// enough replies were observed.
func (m *Machine) Quantile(q float64) time.Duration { return m.latency.longTerm.Quantile(q) }

// drainTime returns the time in which the shard's queue empties at the present rate.
func (m *Machine) drainTime(s *shard) time.Duration {
	return time.Duration(s.queue.length) * s.serviceInterval()
}

// callerWait returns how long a new attempt of the caller would be queued: the time to
// serve the attempts ahead of it in the caller's own queue at the caller's share of the
// service, or to serve the whole queue where that is less. Late attempts are not
// counted, as they yield to the new one.
func (m *Machine) callerWait(s *shard, caller string, priority int, weight float64) time.Duration {
	if s.queue.onTimeCount() == 0 {
		return 0
	}
	own, total := 1.0, weight
	for _, q := range s.queue.active {
		switch {
		case q.name == caller:
			own = q.attemptsAhead(priority)
		case q.onTimeCount() > 0:
			total += q.weight
		}
	}
	turns := min(own*total/weight, float64(s.queue.onTimeCount()))
	return time.Duration(turns * float64(s.serviceInterval()))
}
