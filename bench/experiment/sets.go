package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/bench/burst"
)

// job is one run or one oracle.
type job struct {
	params    burst.Params
	oracle    bool
	knowledge burst.Knowledge
}

func (j job) run() (burst.Result, error) {
	if j.oracle {
		return burst.Oracle(j.params, j.knowledge), nil
	}
	return burst.Run(j.params)
}

// experiment is a set of runs side by side.
type experiment struct {
	about string
	runs  func() []job
}

// sets are the experiments by name.
var sets = map[string]experiment{
	"overload":   {"An opening burst on queries over 1 to 1,000 shards of 2 leaves with 2 slots.", overload},
	"sizes":      {"An opening burst at the users' other sizes.", sizes},
	"tail":       {"The tail beside two oracles. The p99 goal is 1.3 times an oracle's at 0.8.", tail},
	"stragglers": {"A fixed work of 10 ms, a twentieth of the executions ten times as long.", stragglers},
	"shedding":   {"One of the two leaves of each shard declines everything.", shedding},
	"fairness":   {"A quiet caller beside a loud one at three times the capacity, equal shares.", fairness},
	"hints":      {"Load endpoints that are 200 ms late, and one of two that lies, over five seeds.", hints},
	"home":       {"One home entry per shard, 1.25 ms further each way, beside eight entries.", home},
	"opening":    {"The first moments of a burst, with nothing known yet; useful work of all that arrived then.", opening},
	"return":     {"A burst of two seconds whose refused callers come back when asked.", returning},
}

func names() []string { return slices.Sorted(maps.Keys(sets)) }

var loads = []float64{0.5, 0.8, 1, 1.5, 3}

// named copies the parameters with a name.
func named(p burst.Params, name string) job {
	p.Name = name
	return job{params: p}
}

// baseline copies the parameters with the baseline policies.
func baseline(p burst.Params) job { return named(p.Baseline(), "baseline") }

// oracles are both oracles on the parameters.
func oracles(p burst.Params) []job {
	a, b := named(p, "oracle, knows queues and requests"), named(p, "oracle, knows stragglers too")
	a.oracle, b.oracle = true, true
	b.knowledge = burst.KnowsAll
	return []job{a, b}
}

// duration is a run long enough for the fan-out.
func duration(shards int) time.Duration {
	switch {
	case shards == 1:
		return 60 * time.Second
	case shards <= 10:
		return 30 * time.Second
	case shards <= 100:
		return 10 * time.Second
	default:
		return 4 * time.Second
	}
}

func overload() []job {
	var out []job
	for _, shards := range []int{1, 10, 20, 100, 1000} {
		for _, load := range loads {
			p := burst.Default(shards, load)
			p.Duration = duration(shards)
			out = append(out, named(p, "fuchsiaroad"), baseline(p))
			if shards == 1000 {
				continue
			}
			alone := p
			alone.Admission = false
			out = append(out, named(alone, "no admission per query"))
			oldest := p
			oldest.Policies.Order = "fifo"
			out = append(out, named(oldest, "oldest first"))
			fixed := p
			fixed.Policies.Limit = "fixed"
			out = append(out, named(fixed, "fixed limit"))
			cancels := p.Baseline()
			cancels.NoCancel = false
			out = append(out, named(cancels, "baseline that cancels"))
		}
	}
	return out
}

func sizes() []job {
	var out []job
	for _, size := range []struct {
		name                                 string
		shards, replicas, slots, connections int
	}{
		{"valuation, press scheduling", 30, 2, 2, 25},
		{"client registry", 1, 4, 4, 110},
		{"family notices", 1, 3, 4, 110},
		{"grower portal", 1, 5, 3, 40},
		{"label printing", 1, 3, 3, 40},
	} {
		for _, load := range loads {
			p := burst.Default(size.shards, load)
			p.Replicas, p.Slots, p.Connections = size.replicas, size.slots, size.connections
			p.Duration = 20 * time.Second
			out = append(out, named(p, size.name), named(p.Baseline(), size.name+", baseline"))
		}
	}
	return out
}

func tail() []job {
	var out []job
	for _, dist := range []burst.Work{burst.Exponential, burst.Fixed} {
		for _, shards := range []int{1, 20, 100} {
			for _, load := range []float64{0.5, 0.8} {
				p := burst.Default(shards, load)
				p.Dist, p.Duration = dist, 2*duration(shards)
				out = append(out, named(p, distName(dist)), named(p.Baseline(), distName(dist)+", baseline"))
				for _, o := range oracles(p) {
					o.params.Name = distName(dist) + ", " + o.params.Name
					out = append(out, o)
				}
			}
		}
	}
	return out
}

func distName(d burst.Work) string {
	if d == burst.Fixed {
		return "fixed work"
	}
	return "exponential work"
}

func stragglers() []job {
	var out []job
	for _, shards := range []int{1, 20} {
		for _, load := range []float64{0.1, 0.2, 0.3, 0.5, 0.8} {
			p := burst.Default(shards, load)
			p.Dist, p.Duration = burst.Fixed, 400*time.Second
			if shards > 1 {
				p.Duration = 40 * time.Second
			}
			out = append(out, named(p, "fuchsiaroad"))
			quiet := p
			quiet.Repetition = "none"
			out = append(out, named(quiet, "no hedge"), baseline(p))
		}
	}
	return out
}

func shedding() []job {
	var out []job
	for _, shards := range []int{1, 20} {
		for _, load := range []float64{0.2, 0.4, 0.8, 1.5} {
			p := burst.Default(shards, load)
			p.Shedding, p.Warm = 1, 0
			p.Duration = 20 * time.Second
			out = append(out, named(p, "fuchsiaroad"), baseline(p))
		}
	}
	return out
}

func fairness() []job {
	var out []job
	for _, shards := range []int{1, 20} {
		for _, part := range []float64{0.1, 0.25, 0.4} {
			p := burst.Default(shards, 3)
			p.Duration = 20 * time.Second
			p.Callers = []burst.Caller{{Name: "quiet", Share: 1, Part: part / 3}, {Name: "loud", Share: 1, Part: 1 - part/3}}
			out = append(out, named(p, "fuchsiaroad"), baseline(p))
			alone := p
			alone.Load = part
			alone.Callers = []burst.Caller{{Name: "quiet", Share: 1, Part: 1}}
			out = append(out, named(alone, "the quiet caller alone"))
		}
	}
	return out
}

func hints() []job {
	var out []job
	for _, shards := range []int{1, 20} {
		for _, load := range []float64{0.8, 1.5} {
			for seed := range uint64(5) {
				p := burst.Default(shards, load)
				p.Seed, p.Duration = seed, duration(shards)
				out = append(out, named(p, "no hints"))
				p.Hints = true
				out = append(out, named(p, "late hints"))
				p.LyingLeaves = 1
				out = append(out, named(p, "lying hints"))
			}
		}
	}
	return out
}

func home() []job {
	var out []job
	for _, shards := range []int{1, 20} {
		for _, load := range loads {
			p := burst.Default(shards, load)
			p.Duration = duration(shards)
			out = append(out, named(p, "eight entries"))
			// All of a shard's work meets at one entry, which knows both leaves'
			// true queues. The round trip is made part of the way to the leaf.
			p.Entries = 1
			p.Delay += 1250 * time.Microsecond
			out = append(out, named(p, "one home"))
			for _, limit := range []int{2, 3} {
				q := p
				q.Policies.Limit = "fixed"
				q.Connections = limit * 3 // one entry and a headroom of two
				out = append(out, named(q, fmt.Sprintf("one home, limit %d", limit)))
			}
		}
	}
	return out
}

func returning() []job {
	var out []job
	for _, shards := range []int{1, 20} {
		for _, load := range []float64{1.5, 3} {
			p := burst.Default(shards, load)
			p.Return, p.Burst, p.Duration, p.Warm = true, 2*time.Second, 30*time.Second, 0
			out = append(out, named(p, "fuchsiaroad"))
		}
	}
	return out
}

func opening() []job {
	var out []job
	for _, shards := range []int{1, 20, 100} {
		for _, first := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			for _, load := range []float64{1.5, 3} {
				p := burst.Default(shards, load)
				p.Duration, p.Warm = first, 0
				out = append(out, named(p, "first "+first.String()), named(p.Baseline(), "first "+first.String()+", baseline"))
			}
		}
	}
	return out
}
