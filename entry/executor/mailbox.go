package executor

import (
	"sync"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// mailbox holds a query's events without bound, so that no sender ever waits
// on the query's goroutine. It is bounded in effect by the query's attempts.
type mailbox struct {
	mu     sync.Mutex
	events []query.Event
	closed bool
	wake   chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{wake: make(chan struct{}, 1)}
}

// put adds an event; after close it drops it.
func (m *mailbox) put(ev query.Event) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.events = append(m.events, ev)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take empties the mailbox into buf.
func (m *mailbox) take(buf []query.Event) []query.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	buf = append(buf[:0], m.events...)
	m.events = m.events[:0]
	return buf
}

// close makes later puts fail.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.events = nil
}
