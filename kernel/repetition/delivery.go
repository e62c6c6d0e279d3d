package repetition

import (
	"slices"
	"time"
)

// Delivery tracks the attempts of one request at one shard. Its repeats are settled once
// none of the attempts can arrive at a leaf any more: the first attempt counts as a repeat
// too if it arrives after another one.
type Delivery struct {
	limiter *RepeatLimiter
	// pending is the number of attempts that may still arrive.
	pending int
	repeats []*Repeat // taken and not settled
}

// NewDelivery returns a Delivery that has no attempts.
func NewDelivery(limiter *RepeatLimiter) *Delivery { return &Delivery{limiter: limiter} }

// TakeRepeat takes a repeat for a retry and reports whether the limit allows it.
func (d *Delivery) TakeRepeat(now time.Time) bool { return d.keep(d.limiter.TakeRepeat(now)) }

// TakeHedge takes a repeat for a hedge and reports whether the limit allows it.
func (d *Delivery) TakeHedge(now time.Time) bool { return d.keep(d.limiter.TakeHedge(now)) }

// keep keeps a repeat until it is settled and reports whether there is one.
func (d *Delivery) keep(r *Repeat) bool {
	if r == nil {
		return false
	}
	d.repeats = append(d.repeats, r)
	return true
}

// BeginAttempt notes an attempt that will be sent to a leaf.
func (d *Delivery) BeginAttempt() { d.pending++ }

// EndAttempt notes that an attempt has arrived by now or never will.
func (d *Delivery) EndAttempt(now time.Time) {
	d.pending--
	if d.pending > 0 {
		return
	}
	for _, r := range d.repeats {
		d.limiter.Settle(r, now)
	}
	d.repeats = nil
}

// UnansweredAttempts holds the attempts that ended without a response of their leaves.
// What was sent may still wait in a buffer, and arrives when the leaf reads it. That has
// happened once the leaf has responded to a request that was sent later.
//
// It is not safe for concurrent use.
type UnansweredAttempts struct {
	keepFor  time.Duration
	byLeaf   map[string][]unansweredAttempt
	prunedAt time.Time
}

// unansweredAttempt is an attempt without a response.
type unansweredAttempt struct {
	delivery *Delivery
	endedAt  time.Time
}

// NewUnansweredAttempts returns an empty UnansweredAttempts. An attempt that is older than
// keepFor is taken for one that never arrives.
func NewUnansweredAttempts(keepFor time.Duration) *UnansweredAttempts {
	return &UnansweredAttempts{keepFor: keepFor, byLeaf: make(map[string][]unansweredAttempt)}
}

// Add adds an attempt that ended now.
func (u *UnansweredAttempts) Add(leaf string, d *Delivery, now time.Time) {
	u.prune(now)
	u.byLeaf[leaf] = append(u.byLeaf[leaf], unansweredAttempt{delivery: d, endedAt: now})
}

// Responded notes a leaf's response to a request that was sent at a time. It ends the
// attempts that had ended before.
func (u *UnansweredAttempts) Responded(leaf string, sentAt, now time.Time) {
	waiting, ok := u.byLeaf[leaf]
	if !ok {
		return
	}
	u.endBefore(leaf, waiting, sentAt, now)
}

// prune ends the attempts that are older than keepFor, at most once per keepFor.
func (u *UnansweredAttempts) prune(now time.Time) {
	if now.Sub(u.prunedAt) < u.keepFor {
		return
	}
	u.prunedAt = now
	for leaf, waiting := range u.byLeaf {
		u.endBefore(leaf, waiting, now.Add(-u.keepFor), now)
	}
}

// endBefore ends those of a leaf's attempts that ended at or before a time.
func (u *UnansweredAttempts) endBefore(leaf string, waiting []unansweredAttempt, before, now time.Time) {
	waiting = slices.DeleteFunc(waiting, func(a unansweredAttempt) bool {
		if a.endedAt.After(before) {
			return false
		}
		a.delivery.EndAttempt(now)
		return true
	})
	if len(waiting) == 0 {
		delete(u.byLeaf, leaf)
		return
	}
	u.byLeaf[leaf] = waiting
}
