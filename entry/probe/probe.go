// Package probe keeps an entry ready for the hour that everyone calls: it opens
// connections ahead of traffic, at the leaves' pace, and asks leaves that have
// not answered lately which index versions they serve. What it learns is a
// hint: no promise rests on it.
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

// Times and bounds of probing.
const (
	interval   = 1 * time.Second
	quietAfter = 2 * time.Second // a leaf silent for so long is asked
	// leavingEvery is how often a leaf that leaves is asked whether it has started again:
	// it gets no work that could show it. Unasked, it would get none for the two minutes
	// that a mark lives.
	leavingEvery = 5 * time.Second
	timeout      = 1 * time.Second
	concurrency  = 32
)

// Leaves opens connections and asks for health; *leafclient.Client does it.
type Leaves interface {
	Warm(ctx context.Context, t leafclient.Target, n int) (*leafapi.Health, error)
	Health(ctx context.Context, t leafclient.Target) (*leafapi.Health, error)
}

// Learner keeps what leaves say; *executor.Executor does it.
type Learner interface {
	// LastReply is when the leaf last said something, or the zero time.
	LastReply(leafID string) time.Time
	Learn(leafID string, said leafclient.Said)
}

// Config is what a prober needs.
type Config struct {
	Leaves  Leaves
	Learner Learner
	View    func() *view.View // nil before there is a document
	// Warmed is called once after the first view's leaves were warmed.
	Warmed func()
}

// Prober warms and asks leaves.
type Prober struct {
	config Config
	warm   map[string]int       // leaf ID to connections asked for
	asked  map[string]time.Time // when a leaf that leaves was last asked, by its ID
	last   *view.View
}

// New makes a prober; Run makes it work.
func New(c Config) *Prober {
	return &Prober{config: c, warm: make(map[string]int), asked: make(map[string]time.Time)}
}

// Run works until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		if v := p.config.View(); v != nil {
			p.round(ctx, v)
		}
		pause := interval/2 + rand.N(interval)
		if p.last == nil {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// firstPause is how often the first view is looked for.
const firstPause = 20 * time.Millisecond

// round warms leaves that are new or whose share grew, and asks quiet ones.
func (p *Prober) round(ctx context.Context, v *view.View) {
	first := p.last == nil
	p.last = v
	var g errgroup.Group
	g.SetLimit(concurrency)
	now := time.Now()
	for i := range v.Leaves {
		leaf := &v.Leaves[i]
		if leaf.Connections == 0 {
			continue
		}
		target := TargetOf(v, leaf)
		if leaf.Draining {
			if now.Sub(p.asked[leaf.ID]) >= leavingEvery {
				p.asked[leaf.ID] = now
				g.Go(func() error { p.ask(ctx, target, p.health, 1); return nil })
			}
			continue
		}
		if p.warm[leaf.ID] < leaf.Connections {
			p.warm[leaf.ID] = leaf.Connections
			g.Go(func() error { p.ask(ctx, target, p.config.Leaves.Warm, target.Connections); return nil })
			continue
		}
		if now.Sub(p.config.Learner.LastReply(leaf.ID)) > quietAfter {
			g.Go(func() error { p.ask(ctx, target, p.health, 1); return nil })
		}
	}
	_ = g.Wait() // no function returns an error: an unheard leaf is no fault here
	if first && p.config.Warmed != nil {
		p.config.Warmed()
	}
}

// health asks one question over one connection.
func (p *Prober) health(ctx context.Context, t leafclient.Target, _ int) (*leafapi.Health, error) {
	return p.config.Leaves.Health(ctx, t)
}

// ask puts one question and keeps the answer.
func (p *Prober) ask(ctx context.Context, t leafclient.Target, how func(context.Context, leafclient.Target, int) (*leafapi.Health, error), n int) {
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Duration(n)*t.DialCost)
	defer cancel()
	h, err := how(ctx, t, n)
	if err != nil || h.ID != t.ID {
		return // nothing is learnt of a leaf that doesn't answer as itself
	}
	p.config.Learner.Learn(t.ID, leafclient.Said{Versions: h.Versions, Draining: h.Draining, Born: h.StartMillis})
}

// TargetOf says how a leaf of the view is reached.
func TargetOf(v *view.View, leaf *view.Leaf) leafclient.Target {
	return leafclient.Target{
		ID: leaf.ID, Address: leaf.Address, Connections: leaf.Connections,
		DialCost: v.Upstreams[leaf.Upstream].Config.DialCost,
	}
}

// Targets lists all leaves of the view.
func Targets(v *view.View) []leafclient.Target {
	out := make([]leafclient.Target, 0, len(v.Leaves))
	for i := range v.Leaves {
		out = append(out, TargetOf(v, &v.Leaves[i]))
	}
	return out
}
