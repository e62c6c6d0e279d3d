package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
)

// Defaults of FollowConfig.
const (
	DefaultWatchWait     = 30 * time.Second
	DefaultMinRetryDelay = 100 * time.Millisecond
	DefaultMaxRetryDelay = 5 * time.Second
)

// Source is the part of the object API that Follow needs.
type Source interface {
	List(ctx context.Context, kind string) (platformapi.List, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error)
}

// FollowConfig configures Follow. Only Kind is required.
type FollowConfig struct {
	Kind string
	// Wait is how long one watch waits; 0 means DefaultWatchWait.
	Wait time.Duration
	// RetryMin and RetryMax bound the delay after a failure; 0 means
	// DefaultMinRetryDelay and DefaultMaxRetryDelay.
	RetryMin, RetryMax time.Duration
	// Rand draws the jitter of retries; nil means a randomly seeded source.
	Rand *rand.Rand
	// OnError is called after each failed call with the delay before the next one.
	OnError func(err error, retryIn time.Duration)
}

// Update is a snapshot of a kind, or changes to it.
type Update struct {
	// Listed reports whether the update is a snapshot: Objects holds all objects
	// of the kind, and an object that is not in it no longer exists.
	Listed  bool
	Objects []platformapi.Object
	// Events are changes since the last update, oldest first.
	Events []platformapi.Event
	// Revision is the store's revision after the update.
	Revision uint64
}

// follower is the state of one call of Follow.
type follower struct {
	source  Source
	cfg     FollowConfig
	handle  func(Update)
	backoff backoff.Backoff
	listed  bool
	since   uint64
}

// Follow lists a kind and then watches it until ctx ends, and calls handle for each
// update from the goroutine that called Follow. It lists again when the store no
// longer has the revision. After other failures it resumes from the last revision,
// with exponential backoff and jitter, so that instances don't all reconnect at the
// same time after an outage. An update may repeat objects that were reported before;
// the caller compares versions.
func Follow(ctx context.Context, source Source, cfg FollowConfig, handle func(Update)) error {
	if cfg.Kind == "" {
		return &ConfigError{Field: "kind", Reason: "must not be empty"}
	}
	f := &follower{source: source, cfg: cfg.withDefaults(), handle: handle}
	f.backoff = backoff.Backoff{Min: f.cfg.RetryMin, Max: f.cfg.RetryMax}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.waitAfterError(ctx, err)
	}
	return nil
}

// withDefaults returns the configuration with defaults for unset fields.
func (c FollowConfig) withDefaults() FollowConfig {
	if c.Wait <= 0 {
		c.Wait = DefaultWatchWait
	}
	if c.RetryMin <= 0 {
		c.RetryMin = DefaultMinRetryDelay
	}
	if c.RetryMax < c.RetryMin {
		c.RetryMax = max(c.RetryMin, DefaultMaxRetryDelay)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.OnError == nil {
		c.OnError = func(error, time.Duration) {}
	}
	return c
}

// step makes one call: a list or a watch.
func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		list, err := f.source.List(ctx, f.cfg.Kind)
		if err != nil {
			return err
		}
		f.listed = true
		f.since = list.Revision
		f.handle(Update{Listed: true, Objects: list.Objects, Revision: list.Revision})
		return nil
	}
	start := time.Now()
	events, err := f.source.Watch(ctx, f.cfg.Kind, f.since, f.cfg.Wait)
	if err != nil {
		return err
	}
	f.since = max(f.since, events.Revision)
	if len(events.Events) > 0 {
		f.handle(Update{Events: events.Events, Revision: events.Revision})
	} else if time.Since(start) < f.cfg.Wait/2 {
		// The store answers without waiting: delay the next watch to avoid a busy loop.
		f.sleep(ctx, f.cfg.RetryMin)
	}
	return nil
}

// waitAfterError waits after a failed call. A GoneError makes the next call a list.
func (f *follower) waitAfterError(ctx context.Context, err error) {
	var gone *GoneError
	if errors.As(err, &gone) {
		f.listed = false
	}
	delay := max(f.backoff.Next(f.cfg.Rand), min(RetryAfter(err), f.cfg.RetryMax))
	f.cfg.OnError(err, delay)
	f.sleep(ctx, delay)
}

// sleep waits until d has passed or ctx ends.
func (f *follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
