package node

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Control owns configuration and membership.
type Control interface {
	Run(ctx context.Context) error
	SawLeaving(leafID string)
	SpreadNow()
	SetDraining()
}

// poller reads the document from the store now and then. It is the first, thin
// form of control.
type poller struct {
	node *Node
}

func newControl(n *Node) Control { return &poller{n} }

// pollInterval is how often the store is asked.
const pollInterval = 500 * time.Millisecond

// Run implements Control.
func (p *poller) Run(ctx context.Context) error {
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

// poll takes a newer document.
func (p *poller) poll(ctx context.Context) {
	log := p.node.log.Part("control")
	obj, err := p.node.store.Get(ctx, platformapi.KindConfig, platformapi.NameConfig)
	var none *platform.NotFoundError
	if errors.As(err, &none) {
		return
	}
	if err != nil {
		log.Warn("document was not read", "err", err)
		return
	}
	old := p.node.View()
	if old != nil && obj.Version <= old.Generation {
		return
	}
	doc, err := codec.Parse(obj.Value)
	if err != nil {
		log.Error("document in the store is not valid", "generation", obj.Version, "err", err)
		return
	}
	v := view.Build(obj.Version, codec.Hash(doc), doc, func(string) bool { return false }, func(u *document.Upstream, _ string) int { return max(u.ConnectionLimit/8, 1) })
	v.Sequence = obj.Version
	p.node.publish(v)
	log.Info("document in force", "generation", v.Generation)
}

// SawLeaving implements Control.
func (*poller) SawLeaving(string) {}

// SpreadNow implements Control.
func (*poller) SpreadNow() {}

// SetDraining implements Control.
func (*poller) SetDraining() {}
