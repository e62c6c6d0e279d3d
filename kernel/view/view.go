// Package view is the immutable picture of configuration and membership that
// the control goroutine publishes and traffic goroutines read. Upstreams,
// shards and leaves are addressed by index within one view.
package view

import (
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/route"
)

// View is one immutable picture. Indexes are valid for this view only.
type View struct {
	// Sequence orders the views of one instance: each new one has a higher number.
	Sequence uint64
	// Generation is the store's version of the document; 0 means no document yet.
	Generation uint64
	Hash       string
	Document   *document.Document
	Upstreams  []Upstream
	Leaves     []Leaf
	// Services and Callers are looked up by name and by token hash.
	Services map[string]*Service
	Callers  map[string]*document.Caller
	// Routes finds the route of a passed-on request.
	Routes *route.Table

	upstreams map[string]int // name to index in Upstreams
}

// Upstream is an upstream with its shards resolved to leaf indexes.
type Upstream struct {
	Name     string
	KeySpace uint64
	Config   *document.Upstream
	Shards   []Shard
	leaves   map[string]int // leaf ID to index in View.Leaves
}

// LeafIndex returns the view's index of a leaf by its ID, or NoLeaf.
func (u *Upstream) LeafIndex(id string) int {
	if i, ok := u.leaves[id]; ok {
		return i
	}
	return NoLeaf
}

// NoLeaf is the index of a leaf that a view does not have.
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
	// Draining is the OR of the list, the leaf's own mark and peers' digests.
	Draining bool
	// Connections is this entry's share of the leaf's connection limit.
	Connections int
}

// Service is a query service with its upstreams resolved to indexes.
type Service struct {
	Config    *document.Service
	Upstreams []int
	// Shards is the number of shards over all its upstreams.
	Shards int
}

// Build resolves a validated document. The leaving function says which leaves
// get no new work; connections gives this entry's connection share of a leaf.
func Build(gen uint64, hash string, doc *document.Document, leaving func(leafID string) bool, connections func(u *document.Upstream, leafID string) int) *View {
	return BuildReusing(nil, gen, hash, doc, leaving, connections)
}

// BuildReusing is Build after another view, which may be nil. It shares the routes and services of
// that view where both documents have the same slices of them: a change of the leaves costs the
// same among many routes.
func BuildReusing(before *View, gen uint64, hash string, doc *document.Document, leaving func(leafID string) bool, connections func(u *document.Upstream, leafID string) int) *View {
	v := &View{
		Generation: gen,
		Hash:       hash,
		Document:   doc,
		Callers:    make(map[string]*document.Caller, len(doc.Callers)),
	}
	v.upstreams = make(map[string]int, len(doc.Upstreams))
	for i := range doc.Upstreams {
		v.upstreams[doc.Upstreams[i].Name] = i
		v.addUpstream(i, &doc.Upstreams[i], leaving, connections)
	}
	v.addRoutes(before)
	v.addServices(before)
	for i := range doc.Callers {
		v.Callers[doc.Callers[i].TokenSHA256] = &doc.Callers[i]
	}
	return v
}

// addUpstream appends one upstream and its leaves. A leaf that serves several
// shards is one entry of Leaves.
func (v *View) addUpstream(index int, u *document.Upstream, leaving func(string) bool, connections func(*document.Upstream, string) int) {
	seen := make(map[string]int)
	up := Upstream{Name: u.Name, KeySpace: u.KeySpace, Config: u, leaves: seen}
	for _, s := range u.Shards {
		shard := Shard{Name: s.Name, Range: s.Range}
		for _, l := range s.Leaves {
			i, ok := seen[l.ID]
			if !ok {
				i = len(v.Leaves)
				seen[l.ID] = i
				v.Leaves = append(v.Leaves, Leaf{
					ID: l.ID, Name: l.Name, Zone: l.Zone, Address: l.Address, Upstream: index,
					Draining: leaving(l.ID), Connections: connections(u, l.ID),
				})
			}
			shard.Leaves = append(shard.Leaves, i)
		}
		up.Shards = append(up.Shards, shard)
	}
	v.Upstreams = append(v.Upstreams, up)
}

// UpstreamIndex returns the index of an upstream, or NoUpstream.
func (v *View) UpstreamIndex(name string) int {
	if i, ok := v.upstreams[name]; ok {
		return i
	}
	return NoUpstream
}

// NoUpstream is the index of an upstream that a view does not have.
const NoUpstream = -1

// addRoutes fills in the table of routes.
func (v *View) addRoutes(before *View) {
	if before != nil && sameSlice(before.Document.Routes, v.Document.Routes) {
		v.Routes = before.Routes
		return
	}
	v.Routes = route.NewTable(v.Document.Routes)
}

// addServices resolves the services' upstreams.
func (v *View) addServices(before *View) {
	if before != nil && sameSlice(before.Document.Services, v.Document.Services) && slices.EqualFunc(before.Upstreams, v.Upstreams, sameShape) {
		v.Services = before.Services
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

// sameShape reports whether services that are resolved to one upstream hold for another.
func sameShape(a, b Upstream) bool { return a.Name == b.Name && len(a.Shards) == len(b.Shards) }

// sameSlice reports whether two slices are one.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
