// Package control is the one goroutine that owns an entry's configuration and
// membership. It runs the rollout and membership machines, does their I/O, and
// publishes an immutable view that traffic goroutines read.
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

// Store is the platform's service; *platform.Client is one.
type Store interface {
	Get(ctx context.Context, kind, name string) (platformapi.Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
	List(ctx context.Context, kind string) (platformapi.List, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error)
	Instances(ctx context.Context) ([]platformapi.Instance, error)
}

// Peers calls other entries; *peer.Client is one.
type Peers interface {
	Digest(ctx context.Context, t peer.Target, d *peerapi.Digest) (*peerapi.Digest, error)
	Document(ctx context.Context, t peer.Target, above uint64) (*peerapi.Document, error)
	Keep(targets []peer.Target)
}

// Quarantine is what digests carry of the quarantine; *executor.Executor is one.
type Quarantine interface {
	Quarantine() []peerapi.Quarantined
	MergeQuarantine(list []peerapi.Quarantined)
}

// Log takes lines for operators; *telemetry.ComponentLog is one.
type Log interface {
	Info(msg string, pairs ...any)
	Warn(msg string, pairs ...any)
	Error(msg string, pairs ...any)
}

// Config is what control needs.
type Config struct {
	Instance string
	Zone     string
	Store    Store
	Peers    Peers
	// Known are peer addresses to ask for the document when the platform gives
	// neither it nor the list.
	Known []string
	// Placement divides the leaves' connections among the entries.
	Placement plugin.Placement
	// Quarantine may be nil.
	Quarantine Quarantine
	// Publish is called with each new view, from the control goroutine.
	Publish func(v *view.View)
	Log     Log
	// Seed seeds the choice of peers and the spread of polls.
	Seed uint64
}
