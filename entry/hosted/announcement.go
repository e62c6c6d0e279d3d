package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// keepAnnounced rewrites the announcement periodically until this instance leaves. An instance that
// restarts and is already listed with the same data writes nothing at first: an announcement
// only makes the others count it, and they already do.
func (m *membership) keepAnnounced(ctx context.Context) error {
	retryDelay := backoff.Backoff{Min: minAnnounceRetryDelay, Max: announceInterval}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	unconfirmed := false // an existing announcement may come from a call that seemed to fail
	isListed := m.awaitOwnAnnouncement(ctx)
	m.setKnownFrom(time.Now())
	if isListed {
		m.recordJoin(true)
		sleep(ctx, announceInterval/2+rand.N(announceInterval/2))
	}
	for ctx.Err() == nil && !m.node.lifecycle.Leaving() {
		m.self.AnnouncementID++
		callCtx, cancel := context.WithTimeout(ctx, instanceCallTimeout)
		existed, err := m.node.config.Source.Announce(callCtx, m.self, readFleet(m, (*fleet.Fleet).IsAnnounced))
		cancel()
		wait := announceInterval
		if err != nil {
			unconfirmed = true
			wait = retryDelay.Next(random)
			m.log.Warn("announcement was not written", "err", err, "again_in", wait)
		} else {
			m.recordJoin(existed && !unconfirmed)
			retryDelay.Reset()
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// awaitOwnAnnouncement waits for a list of instances and reports whether it has this instance
// with its present data. At a bootstrap it reports false at once.
func (m *membership) awaitOwnAnnouncement(ctx context.Context) bool {
	if m.node.config.Bootstrap {
		return false
	}
	await(ctx, m.listKnown, ownAnnouncementWait)
	return readFleet(m, (*fleet.Fleet).IsAnnounced)
}

// knownFromMargin is added to the time from which all others count an instance, as the clock
// by which it is kept may jump.
const knownFromMargin = 5 * time.Second

// setKnownFrom sets the time from which all others count this instance. One that restarts
// takes it from its listed announcement.
func (m *membership) setKnownFrom(now time.Time) {
	listed := readFleet(m, (*fleet.Fleet).SelfListed)
	bound := listPropagationBound
	if m.joinsAtBootstrap() {
		bound = fleet.BootstrapKnownAfter
	}
	m.self.KnownFrom = now.Add(bound + knownFromMargin).Round(0)
	if !listed.KnownFrom.IsZero() {
		m.self.KnownFrom, m.wasKnown = listed.KnownFrom, !now.Before(listed.KnownFrom)
	}
}

// joinsAtBootstrap reports whether an announcement of now counts as made at the bootstrap.
func (m *membership) joinsAtBootstrap() bool {
	return m.node.config.Bootstrap && time.Since(m.startedAt) < fleet.BootstrapJoinTime
}

// recordJoin records that other instances can know of this one.
func (m *membership) recordJoin(existed bool) {
	joinKind := fleet.JoinAsNew
	switch {
	case existed && m.wasKnown:
		joinKind = fleet.JoinAsKnown
	case existed:
		joinKind = fleet.JoinAfterRestart
	case m.joinsAtBootstrap():
		joinKind = fleet.JoinAtBootstrap
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fleet.RecordJoin(joinKind, time.Now()) {
		close(m.joined)
		m.log.Info("joined the fleet", "as", joinModeNames[joinKind], "instances", m.fleet.Size())
	}
}
