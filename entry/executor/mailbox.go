package executor

import (
	"sync"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// mailbox is an unbounded queue of a query's events, so that no sender ever waits for the
// query's goroutine. The number of the query's attempts bounds its length in effect.
type mailbox struct {
	mu     sync.Mutex
	events []query.Event
	closed bool
	wake   chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{wake: make(chan struct{}, 1)}
}

// put adds an event, or drops it after close.
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

// take moves all events to buf, overwriting it, and returns them.
func (m *mailbox) take(buf []query.Event) []query.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	buf = append(buf[:0], m.events...)
	m.events = m.events[:0]
	return buf
}

// close drops all events; later events are dropped too.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.events = nil
}
