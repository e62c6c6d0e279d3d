// Package control owns the configuration and the membership of an entry
// instance. One goroutine runs the state machines of kernel/rollout and
// kernel/membership, starts the I/O that they ask for, and publishes an immutable
// view, which the goroutines that serve queries read.
package control

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Store is the platform's object store and list of instances. *platform.Client
// implements it.
type Store interface {
	Get(ctx context.Context, kind, name string) (platformapi.Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
	List(ctx context.Context, kind string) (platformapi.List, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error)
	Instances(ctx context.Context) ([]platformapi.Instance, error)
}

// Peers sends calls to other entry instances. *peer.Client implements it.
type Peers interface {
	Digest(ctx context.Context, t peer.Target, d *peerapi.Digest) (*peerapi.Digest, error)
	Document(ctx context.Context, t peer.Target, above uint64) (*peerapi.Document, error)
	CloseExcept(targets []peer.Target)
}

// Quarantine gives and takes the quarantined leaves that digests carry.
// *executor.Executor implements it.
type Quarantine interface {
	Quarantine() []peerapi.QuarantineRecord
	MergeQuarantine(list []peerapi.QuarantineRecord)
}

// Logger writes log lines for operators. *telemetry.ComponentLog implements it.
type Logger interface {
	Info(msg string, pairs ...any)
	Warn(msg string, pairs ...any)
	Error(msg string, pairs ...any)
}

// Config is the configuration of a Control.
type Config struct {
	Instance string
	Zone     string
	Store    Store
	Peers    Peers
	// KnownPeers are addresses of peers to ask for the configuration document if
	// the platform provides neither it nor the list of instances.
	KnownPeers []string
	// Placement divides each leaf's connection limit among the entries.
	Placement plugin.Placement
	// Quarantine may be nil.
	Quarantine Quarantine
	// Publish is called with each new view, from the control goroutine; it may be
	// nil.
	Publish func(v *view.View)
	Log     Logger
	// Seed seeds the random choice of peers and the jitter of polls.
	Seed uint64
}
