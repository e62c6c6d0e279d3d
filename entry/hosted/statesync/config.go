package statesync

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

const (
	// maxPastConfigs bounds the earlier versions from which changes are sent.
	maxPastConfigs = 4
	// maxChangedShare is the share of the routes above which a version is sent whole.
	maxChangedShare = 0.25
)

// configState is a configuration as this instance sends it to others. What a peer needs of it
// is encoded when one first asks: most instances are asked by nobody.
type configState struct {
	config *catalog.Config
	hash   func() uint64
	// whole is all of the configuration, packed.
	whole func() ([]byte, error)
	past  []*catalog.Config // the latest last
	// changes leads to the configuration, packed, by the version that each changes; nil where
	// it is sent whole.
	changes map[uint64]func() []byte
}

// newConfigState makes the state of a configuration after those sent before.
func newConfigState(config *catalog.Config, before *configState) *configState {
	if config == nil {
		return nil
	}
	s := &configState{
		config: config, changes: make(map[uint64]func() []byte),
		hash:  sync.OnceValue(config.Hash),
		whole: sync.OnceValues(func() ([]byte, error) { return pack(config) }),
	}
	if before == nil {
		return s
	}
	s.past = append(slices.Clone(before.past), before.config)
	s.past = s.past[max(0, len(s.past)-maxPastConfigs):]
	for _, p := range s.past {
		s.changes[p.Version] = sync.OnceValue(func() []byte { return packChange(p, config) })
	}
	return s
}

// packChange encodes what leads from one version to another; nil where that is no shorter than
// all of it, or does not lead there.
func packChange(from, to *catalog.Config) []byte {
	change, ok := from.Diff(to)
	if !ok || float64(change.Size()) > maxChangedShare*float64(len(to.Routes)) {
		return nil
	}
	packed, err := pack(change)
	if err != nil {
		return nil
	}
	return packed
}

// write fills in the configuration, or what leads to it from the version that was asked with.
func (s *configState) write(r *peerapi.SyncRequest, out *peerapi.SyncReply) {
	if s == nil {
		return
	}
	out.Version = s.config.Version
	if r.Version == s.config.Version {
		return
	}
	if change, ok := s.changes[r.Version]; ok && r.AcceptsChange {
		if out.ConfigChange = change(); out.ConfigChange != nil {
			out.ConfigHash = s.hash()
			return
		}
	}
	var err error
	if out.Config, err = s.whole(); err != nil {
		out.Version, out.ConfigAgeMS = 0, unknownMS // the peer asks elsewhere
	}
}

// Errors of a received change of the configuration.
var (
	errNoBase      = errors.New("a change of a configuration that is not known")
	errNoRoute     = errors.New("a received configuration has a route that says nothing")
	errOtherConfig = errors.New("the received configuration is not the one with its hash")
)

// decodeConfig reads a peer's configuration, where it differs from the one asked with; nil: it
// does not.
func decodeConfig(n *peerapi.SyncReply, base *catalog.Config) (*catalog.Config, error) {
	switch {
	case n.ConfigChange != nil:
		return applyChange(n, base)
	case n.Config != nil:
		out, err := unpackConfig(n.Config)
		if err != nil {
			return nil, fmt.Errorf("a peer's configuration: %w", err)
		}
		return out, checkRoutes(out.Routes)
	default:
		return nil, nil
	}
}

// applyChange changes the configuration that was asked with.
func applyChange(n *peerapi.SyncReply, base *catalog.Config) (*catalog.Config, error) {
	if base == nil {
		return nil, errNoBase
	}
	var change catalog.ConfigChange
	if err := unpack(n.ConfigChange, &change); err != nil {
		return nil, fmt.Errorf("decode a change of a peer's configuration: %w", err)
	}
	if err := checkRoutes(change.Routes); err != nil {
		return nil, err
	}
	for _, n := range change.New {
		if n.Route == nil {
			return nil, errNoRoute
		}
	}
	out := base.Apply(&change)
	if out.Hash() != n.ConfigHash {
		return nil, errOtherConfig
	}
	return out, nil
}

// checkRoutes refuses routes that are null on the wire.
func checkRoutes(routes []*catalog.Route) error {
	if slices.Contains(routes, nil) {
		return errNoRoute
	}
	return nil
}
