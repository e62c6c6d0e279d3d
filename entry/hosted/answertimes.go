package hosted

import (
	"sync"
	"time"
)

// answerTimes knows how long the store's answers have taken of late. It is safe for concurrent use.
type answerTimes struct {
	mu sync.Mutex
	// current is the longest time since currentSince, and previous that of the span before. A span
	// ends with the first call after slowAnswerMemory.
	current, previous time.Duration
	currentSince      time.Time
	// relayed is the longest time that the peer told which was synchronized from last.
	relayed   time.Duration
	relayedAt time.Time
}

// record records how long an answer took.
func (t *answerTimes) record(took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	t.current = max(t.current, took)
}

// relay records the longest time that a peer knows.
func (t *answerTimes) relay(longest time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relayed, t.relayedAt = longest, now
}

// longest returns the longest time that an answer took within slowAnswerMemory, or a little before.
func (t *answerTimes) longest(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if now.Sub(t.relayedAt) > slowAnswerMemory {
		t.relayed = 0
	}
	return max(t.current, t.previous, t.relayed)
}

// rotate ends the current span if it is over. The lock is held.
func (t *answerTimes) rotate(now time.Time) {
	switch age := now.Sub(t.currentSince); {
	case age < slowAnswerMemory:
	case age < 2*slowAnswerMemory:
		t.previous, t.current, t.currentSince = t.current, 0, now
	default:
		t.previous, t.current, t.currentSince = 0, 0, now
	}
}
