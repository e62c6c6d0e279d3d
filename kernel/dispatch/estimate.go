package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
)

// latencyGain weighs one reply in a shard's moving average of latency.
const latencyGain = 0.05

// observe adds one reply's latency to the shard's average.
func (s *shard) observe(d time.Duration) {
	x := d.Seconds()
	if s.meanLatency == 0 {
		s.meanLatency = x
		return
	}
	s.meanLatency += latencyGain * (x - s.meanLatency)
}

// interval is the mean time between services of the shard at this entry:
// latency over the number in flight (Little's law).
func (s *shard) interval() time.Duration {
	return time.Duration(s.meanLatency / float64(max(1, s.inFlight())) * float64(time.Second))
}

// times holds quantiles of an upstream's latency, refreshed now and then.
type times struct {
	// sketch remembers long, for quantiles far out, and recent what decisions on load
	// need.
	sketch, recent repetition.LatencySketch
	seen           int
	agedAt         time.Time     // of recent
	last           time.Time     // of the last reply
	least          time.Duration // low quantile
	median         time.Duration
	most           time.Duration // high quantile
}

// Quantiles of latency that decisions use, and how often they are refreshed.
const (
	leastQuantile   = 0.05
	mostQuantile    = 0.9
	refreshInterval = 64
	firstRefresh    = 20
)

// What was seen before a silence of staleAfter says little of now: it refuses
// nothing until a reply comes, and staleWeight new replies outweigh it.
const (
	staleAfter  = time.Second
	staleWeight = 40
	// agingInterval halves what recent remembers, so that latencies of a burst refuse
	// nothing once it is over.
	agingInterval = 250 * time.Millisecond
)

// known reports whether the quantiles describe the present. If silence were
// taken for slowness, refusals would keep it silent for ever.
func (t *times) known(now time.Time) bool { return now.Sub(t.last) <= staleAfter }

func (t *times) observe(d time.Duration, now time.Time) {
	if !t.known(now) {
		t.sketch.CapWeight(staleWeight)
		t.recent.CapWeight(staleWeight)
		t.seen, t.least, t.median, t.most = 0, 0, 0, 0
	}
	t.last = now
	aged := now.Sub(t.agedAt) >= agingInterval
	if aged {
		t.agedAt = now
		t.recent.HalveWeight(staleWeight)
	}
	t.sketch.Observe(d)
	t.recent.Observe(d)
	t.seen++
	if t.due(aged) {
		t.refresh()
	}
}

// due reports whether the quantiles are to be taken again.
func (t *times) due(aged bool) bool {
	if t.seen <= firstRefresh {
		return t.seen == firstRefresh
	}
	return aged || t.seen%refreshInterval == 0
}

// refresh takes the quantiles again.
func (t *times) refresh() {
	t.least = t.recent.Quantile(leastQuantile)
	t.median = t.recent.Quantile(0.5)
	t.most = t.recent.Quantile(mostQuantile)
}

// Estimate is how a new attempt would fare now.
type Estimate struct {
	// Wait is the expected queueing time at this entry of the worst shard.
	Wait time.Duration
	// Median and Most are quantiles of the latency after dispatch.
	Median, Most time.Duration
	// Backlog is the number of attempts that wait at this entry.
	Backlog int
}

// Estimate returns the present estimate over all shards.
func (m *Machine) Estimate(_ time.Time) Estimate {
	e := Estimate{Median: m.times.median, Most: m.times.most, Backlog: len(m.waiting)}
	for _, s := range m.shards {
		e.Wait = max(e.Wait, m.drainTime(s))
	}
	return e
}

// Fit counts the shards on which a new attempt of the caller and priority would wait no
// longer than patience and still finish within the given time, and all shards.
// wait is the longest queueing time among the shards.
func (m *Machine) Fit(caller string, priority int, within, patience time.Duration) (fit, total int, wait time.Duration) {
	w := m.weight(caller)
	for _, s := range m.shards {
		if s.idle() {
			fit++ // whatever is known of it may be old: let it show
			continue
		}
		d := m.callerWait(s, caller, priority, w)
		wait = max(wait, d)
		if d <= patience && d+m.times.median <= within {
			fit++
		}
	}
	return fit, len(m.shards), wait
}

// fits reports whether the attempt would be dispatched early enough.
func (m *Machine) fits(a *attempt, now time.Time) bool {
	if m.unbounded || a.shard.idle() || !m.times.known(now) {
		return true
	}
	wait := m.callerWait(a.shard, a.caller, a.priority, m.weight(a.caller))
	return now.Add(wait + m.times.median).Before(a.deadline)
}

// Quantile is a quantile of the upstream's recent latency after dispatch, 0
// while too little has been seen.
func (m *Machine) Quantile(q float64) time.Duration { return m.times.sketch.Quantile(q) }

// drainTime is how long the shard's queue takes to empty.
func (m *Machine) drainTime(s *shard) time.Duration {
	return time.Duration(s.queue.length) * s.interval()
}

// callerWait is how long a new attempt of the caller would wait: its own
// queue at its share of the service, and no longer than the whole queue. What is late
// already yields to it.
func (m *Machine) callerWait(s *shard, caller string, priority int, weight float64) time.Duration {
	if s.queue.inTime() == 0 {
		return 0
	}
	own, total := 1.0, weight
	for _, q := range s.queue.active {
		switch {
		case q.name == caller:
			own = q.ahead(priority)
		case q.inTime() > 0:
			total += q.weight
		}
	}
	turns := min(own*total/weight, float64(s.queue.inTime()))
	return time.Duration(turns * float64(s.interval()))
}
