package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// announce writes the announcement again and again, until this instance leaves. One that
// starts again and is on the list as it is writes nothing at first: that the others count
// it is all that an announcement does.
func (m *members) announce(ctx context.Context) error {
	pause := backoff.Backoff{Min: announceRetry, Max: announceInterval}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	doubt := false // an announcement that is there may be of a call that failed here
	if m.startedAgain(ctx) {
		m.joined(true)
		sleep(ctx, announceInterval/2+rand.N(announceInterval/2))
	}
	for ctx.Err() == nil && !m.node.lifecycle.Leaving() {
		m.self.AnnouncementID++
		call, cancel := context.WithTimeout(ctx, callTimeout)
		existed, err := m.node.config.Source.Announce(call, m.self, look(m, (*fleet.Fleet).IsAnnounced))
		cancel()
		wait := announceInterval
		if err != nil {
			doubt = true
			wait = pause.Next(random)
			m.log.Warn("announcement was not written", "err", err, "again_in", wait)
		} else {
			m.joined(existed && !doubt)
			pause.Reset()
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// startedAgain waits for a list and reports whether it has this instance as it is.
func (m *members) startedAgain(ctx context.Context) bool {
	if m.node.config.Bootstrap {
		return false
	}
	timer := time.NewTimer(listWait)
	defer timer.Stop()
	select {
	case <-m.known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return look(m, (*fleet.Fleet).IsAnnounced)
}

// joined says that the others can know of this instance from now on.
func (m *members) joined(existed bool) {
	how := fleet.JoinAsNew
	switch {
	case m.node.config.Bootstrap:
		how = fleet.JoinAtBootstrap
	case existed:
		how = fleet.JoinAfterRestart
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.RecordJoin(how, time.Now())
}
