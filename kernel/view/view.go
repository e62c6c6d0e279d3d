// Package view defines the immutable snapshot of configuration and membership that the
// control goroutine publishes and the goroutines that serve queries read. Upstreams, shards
// and leaves are addressed by their index within one view.
package view

import (
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/route"
)

// View is one immutable snapshot. Indexes are valid within this view only.
type View struct {
	// Sequence orders the views of one instance: each new view has a higher number.
	Sequence uint64
	// Generation is the store's version of the document; 0 if there is no document.
	Generation uint64
	Hash       string
	Document   *document.Document
	Upstreams  []Upstream
	Leaves     []Leaf
	// Services are indexed by name, Callers by token hash.
	Services map[string]*Service
	Callers  map[string]*document.Caller
	// Routes matches the requests that the gateway forwards to services.
	Routes *route.Table

	upstreams map[string]int // name to index in Upstreams
}

// Upstream is an upstream with the leaves of its shards resolved to indexes.
type Upstream struct {
	Name     string
	KeySpace uint64
	Config   *document.Upstream
	Shards   []Shard
	leaves   map[string]int // leaf ID to index in View.Leaves
}

// LeafIndex returns the index in View.Leaves of a leaf, given by its ID, or NoLeaf.
func (u *Upstream) LeafIndex(id string) int {
	if i, ok := u.leaves[id]; ok {
		return i
	}
	return NoLeaf
}

// NoLeaf is the index of a leaf that the view lacks.
const NoLeaf = -1

// Shard is a key range and the indexes of its leaves in View.Leaves.
type Shard struct {
	Name   string // document.Shard.Name
	Range  keyrange.Range
	Leaves []int
}

// Leaf is one leaf with its membership state.
type Leaf struct {
	ID       string
	Name     string // document.Leaf.Name
	Zone     string
	Address  string
	Upstream int
	// Draining is true if the list of leaves, the leaf itself or a peer's gossip digest says
	// that the leaf drains.
	Draining bool
	// Connections is this instance's share of the leaf's connection limit.
	Connections int
}

// Service is a query service with its upstreams resolved to indexes.
type Service struct {
	Config    *document.Service
	Upstreams []int
	// Shards is the number of shards of all its upstreams.
	Shards int
}

// Build resolves a validated document to a view. The draining function reports whether a
// leaf gets no new work, and connections returns this instance's share of the leaf's
// connection limit.
func Build(generation uint64, hash string, doc *document.Document, draining func(leafID string) bool, connections func(u *document.Upstream, leafID string) int) *View {
	return BuildReusing(nil, generation, hash, doc, draining, connections)
}

// BuildReusing is Build with reuse of a previous view, which may be nil. It takes the route
// table and the services from prev if both documents have the same slices of them, so that
// the cost of a change of the leaves does not grow with the number of routes.
func BuildReusing(prev *View, generation uint64, hash string, doc *document.Document, draining func(leafID string) bool, connections func(u *document.Upstream, leafID string) int) *View {
	v := &View{
		Generation: generation,
		Hash:       hash,
		Document:   doc,
		Callers:    make(map[string]*document.Caller, len(doc.Callers)),
	}
	v.upstreams = make(map[string]int, len(doc.Upstreams))
	for i := range doc.Upstreams {
		v.upstreams[doc.Upstreams[i].Name] = i
		v.addUpstream(i, &doc.Upstreams[i], draining, connections)
	}
	v.addRoutes(prev)
	v.addServices(prev)
	for i := range doc.Callers {
		v.Callers[doc.Callers[i].TokenSHA256] = &doc.Callers[i]
	}
	return v
}

// addUpstream appends an upstream and its leaves. A leaf that serves several shards has one
// entry in Leaves.
func (v *View) addUpstream(upstreamIndex int, u *document.Upstream, draining func(string) bool, connections func(*document.Upstream, string) int) {
	leafIndexes := make(map[string]int)
	up := Upstream{Name: u.Name, KeySpace: u.KeySpace, Config: u, leaves: leafIndexes}
	for _, s := range u.Shards {
		shard := Shard{Name: s.Name, Range: s.Range}
		for _, l := range s.Leaves {
			i, ok := leafIndexes[l.ID]
			if !ok {
				i = len(v.Leaves)
				leafIndexes[l.ID] = i
				v.Leaves = append(v.Leaves, Leaf{
					ID: l.ID, Name: l.Name, Zone: l.Zone, Address: l.Address, Upstream: upstreamIndex,
					Draining: draining(l.ID), Connections: connections(u, l.ID),
				})
			}
			shard.Leaves = append(shard.Leaves, i)
		}
		up.Shards = append(up.Shards, shard)
	}
	v.Upstreams = append(v.Upstreams, up)
}

// UpstreamIndex returns the index of an upstream, given by its name, or NoUpstream.
func (v *View) UpstreamIndex(name string) int {
	if i, ok := v.upstreams[name]; ok {
		return i
	}
	return NoUpstream
}

// NoUpstream is the index of an upstream that the view lacks.
const NoUpstream = -1

// addRoutes builds the route table or takes it from prev.
func (v *View) addRoutes(prev *View) {
	if prev != nil && sameSlice(prev.Document.Routes, v.Document.Routes) {
		v.Routes = prev.Routes
		return
	}
	v.Routes = route.NewTable(v.Document.Routes)
}

// addServices resolves the upstreams of the services, or takes the services from prev.
func (v *View) addServices(prev *View) {
	if prev != nil && sameSlice(prev.Document.Services, v.Document.Services) && slices.EqualFunc(prev.Upstreams, v.Upstreams, sameShape) {
		v.Services = prev.Services
		return
	}
	v.Services = make(map[string]*Service, len(v.Document.Services))
	resolved := make([]Service, len(v.Document.Services))
	indexes := make([]int, 0, len(v.Document.Services))
	for i := range v.Document.Services {
		s := &v.Document.Services[i]
		resolved[i].Config = s
		for _, name := range s.Upstreams {
			at := v.upstreams[name]
			indexes = append(indexes, at)
			resolved[i].Shards += len(v.Upstreams[at].Shards)
		}
		resolved[i].Upstreams = slices.Clip(indexes[len(indexes)-len(s.Upstreams):])
		v.Services[s.Name] = &resolved[i]
	}
}

// sameShape reports whether services resolved against upstream a are also correct for b.
func sameShape(a, b Upstream) bool { return a.Name == b.Name && len(a.Shards) == len(b.Shards) }

// sameSlice reports whether two slices are both empty or hold the same elements in memory.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
