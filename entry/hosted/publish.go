package hosted

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// View implements gateway.Views.
func (n *Node) View() *view.View { return n.view.Load() }

// Current implements gateway.Views.
func (n *Node) Current() bool {
	until := n.configFreshUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// Await implements gateway.Views.
func (n *Node) Await(ctx context.Context) bool { return n.control.Await(ctx) }

// IsCurrent implements forwarding.Views.
func (n *Node) IsCurrent() bool { return n.control.IsCurrent() }

// BodyLimit implements gateway.Views.
func (n *Node) BodyLimit() int64 {
	if l := n.limits.Load(); l != nil {
		return l.BodyBytes
	}
	return 0
}

// publish puts a new view in force. The leaf connections and the executor follow
// the new view before any query uses it.
func (n *Node) publish(v *view.View, l catalog.Limits) {
	n.leaves.Apply(leafTargets(v, n.membership.usesTransientConnections))
	n.executor.SetView(v)
	n.limits.Store(&l)
	n.view.Store(v)
	n.lifecycle.MarkServing()
}

// leafTargets lists the leaves of a view, each once. A leaf of several upstreams gets the largest
// of its connection shares, and is transient only if it is so for all of them.
func leafTargets(v *view.View, transient func(*document.Upstream) bool) []leafclient.Target {
	out := make([]leafclient.Target, 0, len(v.Leaves))
	index := make(map[string]int, len(v.Leaves))
	for i := range v.Leaves {
		l := &v.Leaves[i]
		u := v.Upstreams[l.Upstream].Config
		t := leafclient.Target{ID: l.ID, Name: l.Name, Address: l.Address, Connections: l.Connections, Transient: transient(u), DialCost: u.DialCost}
		at, listed := index[l.ID]
		if !listed {
			index[l.ID] = len(out)
			out = append(out, t)
			continue
		}
		out[at].Connections = max(out[at].Connections, t.Connections)
		out[at].Transient = out[at].Transient && t.Transient
	}
	return out
}
