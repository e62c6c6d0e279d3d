// Package probe prepares an instance for peak traffic: it opens connections to leaves
// ahead of traffic, no faster than the leaves accept them, and asks leaves that have not
// replied lately for their health and index versions. The results are hints: no
// correctness guarantee depends on them.
package probe

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

const (
	roundInterval = 1 * time.Second // mean time between rounds; jitter makes it 0.5 to 1.5 times as long
	quietAfter    = 2 * time.Second // a leaf without a reply for so long is probed
	// drainingInterval is how often a draining leaf is probed for a restart: it gets no
	// queries whose replies could show one. Without probes a restarted leaf would get no
	// queries until its drain mark expires, after two minutes.
	drainingInterval    = 5 * time.Second
	probeTimeout        = 1 * time.Second // without the time to dial
	maxConcurrentProbes = 32
)

// LeafClient opens connections and asks leaves for their health; *leafclient.Client
// implements it.
type LeafClient interface {
	Warm(ctx context.Context, t leafclient.Target, n int) (*leafapi.Health, error)
	Health(ctx context.Context, t leafclient.Target) (*leafapi.Health, error)
}

// StatusRecorder records what leaves report about themselves; *executor.Executor
// implements it.
type StatusRecorder interface {
	// LastReply returns when the leaf last replied; the zero time if a connection to it has
	// broken since.
	LastReply(leafID string) time.Time
	RecordStatus(leafID string, status leafclient.LeafStatus)
}

// Config configures a prober.
type Config struct {
	LeafClient     LeafClient
	StatusRecorder StatusRecorder
	View           func() *view.View // returns nil until there is a configuration
	// OnWarmed is called once, after connections to the first view's leaves were opened.
	OnWarmed func()
}

// Prober opens connections to leaves and probes their health.
type Prober struct {
	config    Config
	requested map[string]int       // leaf ID to number of connections requested
	probed    map[string]time.Time // when a draining leaf was last probed, by leaf ID
	lastView  *view.View
}

// New returns a prober; Run starts it.
func New(c Config) *Prober {
	return &Prober{config: c, requested: make(map[string]int), probed: make(map[string]time.Time)}
}

// Run probes the leaves in rounds until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		if v := p.config.View(); v != nil {
			p.probeRound(ctx, v)
		}
		pause := roundInterval/2 + rand.N(roundInterval)
		if p.lastView == nil {
			pause = firstViewInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// firstViewInterval is how often Run checks for the first view.
const firstViewInterval = 20 * time.Millisecond

// probeRound opens connections to leaves that are new or whose share of connections grew,
// and probes the leaves that are draining or have not replied lately.
func (p *Prober) probeRound(ctx context.Context, v *view.View) {
	first := p.lastView == nil
	p.lastView = v
	var g errgroup.Group
	g.SetLimit(maxConcurrentProbes)
	now := time.Now()
	for i := range v.Leaves {
		leaf := &v.Leaves[i]
		if leaf.Connections == 0 {
			continue
		}
		target := TargetOf(v, leaf)
		if leaf.Draining {
			if now.Sub(p.probed[leaf.ID]) >= drainingInterval {
				p.probed[leaf.ID] = now
				g.Go(func() error { p.probe(ctx, target, p.health, 1); return nil })
			}
			continue
		}
		if p.requested[leaf.ID] < leaf.Connections {
			p.requested[leaf.ID] = leaf.Connections
			g.Go(func() error { p.probe(ctx, target, p.config.LeafClient.Warm, target.Connections); return nil })
			continue
		}
		if now.Sub(p.config.StatusRecorder.LastReply(leaf.ID)) > quietAfter {
			g.Go(func() error { p.probe(ctx, target, p.health, 1); return nil })
		}
	}
	_ = g.Wait() // no function returns an error: a leaf that doesn't answer is not an error here
	if first && p.config.OnWarmed != nil {
		p.config.OnWarmed()
	}
}

// health requests the leaf's health over one connection, with the signature of Warm.
func (p *Prober) health(ctx context.Context, t leafclient.Target, _ int) (*leafapi.Health, error) {
	return p.config.LeafClient.Health(ctx, t)
}

// probe sends one request for health and records the answer. n is the number of
// connections that it may open, for the timeout.
func (p *Prober) probe(ctx context.Context, t leafclient.Target, request func(context.Context, leafclient.Target, int) (*leafapi.Health, error), n int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+time.Duration(n)*t.DialCost)
	defer cancel()
	h, err := request(ctx, t, n)
	if err != nil || h.ID != t.ID {
		return // no answer, or that of another leaf at this address: nothing is recorded
	}
	p.config.StatusRecorder.RecordStatus(t.ID, leafclient.LeafStatus{Versions: h.Versions, Draining: h.Draining, StartMillis: h.StartMillis})
}

// TargetOf returns the address and connection settings of a leaf of the view.
func TargetOf(v *view.View, leaf *view.Leaf) leafclient.Target {
	return leafclient.Target{
		ID: leaf.ID, Address: leaf.Address, Connections: leaf.Connections,
		DialCost: v.Upstreams[leaf.Upstream].Config.DialCost,
	}
}

// Targets returns the targets of all leaves of the view.
func Targets(v *view.View) []leafclient.Target {
	out := make([]leafclient.Target, 0, len(v.Leaves))
	for i := range v.Leaves {
		out = append(out, TargetOf(v, &v.Leaves[i]))
	}
	return out
}
