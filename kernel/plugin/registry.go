// Package plugin declares the policies that the kernel consults and the registries in which
// their implementations register themselves from init. Every kind of policy has a baseline
// implementation to compare others with. An entry, in the comments, is an instance that runs
// queries.
package plugin

import (
	"fmt"
	"slices"
	"strings"
)

// UnknownPluginError reports that no plug-in of the kind has the name.
type UnknownPluginError struct {
	Kind  string
	Name  string
	Known []string // the registered names, in order
}

// Error names the kind, the name and the registered names.
func (e *UnknownPluginError) Error() string {
	return fmt.Sprintf("%s plug-in %q is unknown, want one of: %s", e.Kind, e.Name, strings.Join(e.Known, ", "))
}

// Registry maps names to constructors of one kind of policy. It is filled from init functions
// and only read afterwards, so it needs no lock.
type Registry[F any] struct {
	kind    string
	entries map[string]F
}

// NewRegistry returns an empty registry; kind names it in errors.
func NewRegistry[F any](kind string) *Registry[F] {
	return &Registry[F]{kind: kind, entries: make(map[string]F)}
}

// Register adds a constructor. It panics if the name is registered already.
func (r *Registry[F]) Register(name string, construct F) {
	if _, dup := r.entries[name]; dup {
		panic(fmt.Sprintf("%s plug-in %q is registered twice", r.kind, name))
	}
	r.entries[name] = construct
}

// Get returns the constructor, or an UnknownPluginError.
func (r *Registry[F]) Get(name string) (F, error) {
	construct, ok := r.entries[name]
	if !ok {
		return construct, &UnknownPluginError{Kind: r.kind, Name: name, Known: r.Names()}
	}
	return construct, nil
}

// Names lists the registered names in order.
func (r *Registry[F]) Names() []string {
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
