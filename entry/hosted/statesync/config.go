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
	// maxBaseConfigs limits the number of earlier versions from which changes are sent.
	maxBaseConfigs = 4
	// maxChangeShare is the size of a change, as a share of the number of routes, above which
	// the whole configuration is sent.
	maxChangeShare = 0.25
)

// configState is a configuration as this instance sends it to others. It is hashed and
// encoded on the first request that needs it, since no other instance syncs from most
// instances.
type configState struct {
	config *catalog.Config
	hash   func() uint64
	// whole returns the whole configuration, packed.
	whole func() ([]byte, error)
	// bases are earlier configurations, the latest last.
	bases []*catalog.Config
	// changes has a function by the version of each base. It returns the packed change from
	// the base to the configuration; nil if the whole configuration is to be sent.
	changes map[uint64]func() []byte
}

// newConfigState returns the state of a configuration. Its bases are the previous
// configuration and the bases of that; previous may be nil.
func newConfigState(config *catalog.Config, previous *configState) *configState {
	if config == nil {
		return nil
	}
	s := &configState{
		config: config, changes: make(map[uint64]func() []byte),
		hash:  sync.OnceValue(config.Hash),
		whole: sync.OnceValues(func() ([]byte, error) { return pack(config) }),
	}
	if previous == nil {
		return s
	}
	s.bases = append(slices.Clone(previous.bases), previous.config)
	s.bases = s.bases[max(0, len(s.bases)-maxBaseConfigs):]
	for _, base := range s.bases {
		s.changes[base.Version] = sync.OnceValue(func() []byte { return encodeChange(base, config) })
	}
	return s
}

// encodeChange returns the packed change from one configuration to another; nil if no change
// leads there, if it is too large (maxChangeShare) or if it can't be encoded.
func encodeChange(from, to *catalog.Config) []byte {
	change, ok := from.Diff(to)
	if !ok || float64(change.Size()) > maxChangeShare*float64(len(to.Routes)) {
		return nil
	}
	packed, err := pack(change)
	if err != nil {
		return nil
	}
	return packed
}

// fillReply fills in the configuration, or the change to it from the version in the request.
func (s *configState) fillReply(r *peerapi.SyncRequest, out *peerapi.SyncReply) {
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
		out.Version, out.ConfigAgeMS = 0, unknownAgeMS // the peer syncs from another instance
	}
}

// Errors of a received configuration or change of one.
var (
	errNoBaseConfig       = errors.New("received a configuration change, but this instance has no configuration")
	errNullRoute          = errors.New("a received configuration has a route that is null")
	errConfigHashMismatch = errors.New("the hash of the received configuration does not match")
)

// decodeConfig decodes a peer's configuration. It returns nil if the peer has sent none,
// because its configuration is base or because it has none.
func decodeConfig(reply *peerapi.SyncReply, base *catalog.Config) (*catalog.Config, error) {
	switch {
	case reply.ConfigChange != nil:
		return applyChange(reply, base)
	case reply.Config != nil:
		out, err := unpackConfig(reply.Config)
		if err != nil {
			return nil, fmt.Errorf("a peer sent an invalid configuration: %w", err)
		}
		return out, checkRoutes(out.Routes)
	default:
		return nil, nil
	}
}

// applyChange returns base with a received change applied.
func applyChange(reply *peerapi.SyncReply, base *catalog.Config) (*catalog.Config, error) {
	if base == nil {
		return nil, errNoBaseConfig
	}
	var change catalog.ConfigChange
	if err := unpack(reply.ConfigChange, &change); err != nil {
		return nil, fmt.Errorf("decode a change of a peer's configuration: %w", err)
	}
	if err := checkRoutes(change.Routes); err != nil {
		return nil, err
	}
	for _, added := range change.New {
		if added.Route == nil {
			return nil, errNullRoute
		}
	}
	out := base.Apply(&change)
	if out.Hash() != reply.ConfigHash {
		return nil, errConfigHashMismatch
	}
	return out, nil
}

// checkRoutes returns errNullRoute if a route was null in the message.
func checkRoutes(routes []*catalog.Route) error {
	if slices.Contains(routes, nil) {
		return errNullRoute
	}
	return nil
}
