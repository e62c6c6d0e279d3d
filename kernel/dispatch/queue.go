package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// attempt is one offered attempt, queued or running.
type attempt struct {
	ticket   Ticket
	shard    *shard
	caller   string
	deadline time.Time
	offered  time.Time
	started  time.Time
	avoid    []*leaf
	leaf     *leaf // set while running
	hedge    bool
	solo     bool
	// saturated is plugin.Sample.Saturated, noted at dispatch.
	saturated bool
	queued    bool
	place     int // in the expiry heap
}

// avoids reports whether the attempt must not go to the leaf.
func (a *attempt) avoids(l *leaf) bool { return slices.Contains(a.avoid, l) }

// compare ranks attempts by their query's admission stamp, so that all parts
// of a query have the same rank in every queue.
func compare(a, b *attempt) int {
	if c := cmp.Compare(a.ticket.Query, b.ticket.Query); c != 0 {
		return c
	}
	return cmp.Compare(a.ticket.Attempt, b.ticket.Attempt)
}

// callerQueue is one caller's waiting attempts for a shard, oldest query first.
type callerQueue struct {
	name   string
	weight float64
	// turn is the virtual time of the caller's next service: each service
	// moves it by 1/weight, and the smallest turn goes next.
	turn  float64
	items []*attempt
}

func (q *callerQueue) insert(a *attempt) {
	i, _ := slices.BinarySearchFunc(q.items, a, compare)
	q.items = slices.Insert(q.items, i, a)
}

func (q *callerQueue) remove(a *attempt) {
	if i, ok := slices.BinarySearchFunc(q.items, a, compare); ok {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// at returns the i-th attempt in the order of service.
func (q *callerQueue) at(i int, newestFirst bool) *attempt {
	if newestFirst {
		return q.items[len(q.items)-1-i]
	}
	return q.items[i]
}

// fairQueue is a shard's waiting attempts, served fairly by caller weight
// (start-time fair queueing) and within a caller by the admission stamp.
type fairQueue struct {
	callers map[string]*callerQueue
	active  []*callerQueue // callers with waiting attempts
	turn    float64        // virtual time of the last service
	length  int
}

// push adds an attempt of a caller with the given weight.
func (f *fairQueue) push(a *attempt, weight float64) {
	q := f.callers[a.caller]
	if q == nil {
		q = &callerQueue{name: a.caller}
		f.callers[a.caller] = q
	}
	q.weight = weight
	if len(q.items) == 0 {
		// An idle caller earns no credit for its absence.
		q.turn = max(q.turn, f.turn)
		f.active = append(f.active, q)
	}
	q.insert(a)
	f.length++
	a.queued = true
}

// remove takes out an attempt without charging its caller.
func (f *fairQueue) remove(a *attempt) {
	q := f.callers[a.caller]
	q.remove(a)
	f.length--
	a.queued = false
	if len(q.items) == 0 {
		f.active = slices.DeleteFunc(f.active, func(o *callerQueue) bool { return o == q })
	}
}

// serve takes out an attempt and charges its caller one service.
func (f *fairQueue) serve(a *attempt) {
	q := f.callers[a.caller]
	f.turn = max(f.turn, q.turn)
	q.turn += 1 / q.weight
	f.remove(a)
}

// inTurn orders the active callers by their turn and returns them.
func (f *fairQueue) inTurn() []*callerQueue {
	if len(f.active) > 1 {
		slices.SortStableFunc(f.active, func(a, b *callerQueue) int { return cmp.Compare(a.turn, b.turn) })
	}
	return f.active
}

// oldest returns the largest share of its time that a caller's oldest query
// has waited, 0 for an empty queue.
func (f *fairQueue) oldest(now time.Time) float64 {
	share := 0.0
	for _, q := range f.active {
		a := q.items[0]
		if all := a.deadline.Sub(a.offered); all > 0 {
			share = max(share, float64(now.Sub(a.offered))/float64(all))
		}
	}
	return share
}
