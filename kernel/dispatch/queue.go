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
	priority int
	deadline time.Time
	due      time.Time // Offered.Due, or the deadline
	offered  time.Time
	started  time.Time
	avoid    []*leaf
	leaf     *leaf // set while running
	hedge    bool
	solo     bool
	// saturated is plugin.AttemptResult.Saturated, noted at dispatch.
	saturated bool
	queued    bool
	late      bool // in rankQueue.late
	place     int  // in the expiry heap
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

// rankQueue is one caller's waiting attempts of one priority, oldest query first.
type rankQueue struct {
	priority int
	// turn is the virtual time of the next service, as in callerQueue.
	turn  float64
	items []*attempt
	// late are those whose answer can't have its full value any more. They get the
	// slots that no other attempt of the shard waits for.
	late []*attempt
}

// list is the attempts that can be in time, or the others.
func (q *rankQueue) list(late bool) []*attempt {
	if late {
		return q.late
	}
	return q.items
}

// demote moves the oldest attempts that can't be in time any more, and returns how
// many. The attempts of a rank are due in the order of their queries, or nearly so.
func (q *rankQueue) demote(tooLate func(*attempt) bool) int {
	n := 0
	for n < len(q.items) && tooLate(q.items[n]) {
		a := q.items[n]
		a.late = true
		i, _ := slices.BinarySearchFunc(q.late, a, compare)
		q.late = slices.Insert(q.late, i, a)
		n++
	}
	q.items = slices.Delete(q.items, 0, n)
	return n
}

// remove takes out an attempt and reports whether it was there.
func (q *rankQueue) remove(a *attempt) bool {
	list := q.list(a.late)
	i, ok := slices.BinarySearchFunc(list, a, compare)
	if !ok {
		return false
	}
	list = slices.Delete(list, i, i+1)
	if a.late {
		q.late = list
	} else {
		q.items = list
	}
	return true
}

// mostHalvings bounds how far a priority lowers the share of its queue.
const mostHalvings = 10

// cost is what one service moves the turn by: each rank halves the share, so that
// what is less urgent waits longer under overload and is never left out.
func (q *rankQueue) cost() float64 { return rankCost(q.priority) }

// rankCost is the cost of one service of a priority.
func rankCost(priority int) float64 { return float64(int(1) << min(max(priority, 0), mostHalvings)) }

// at returns the i-th attempt of a list in the order of service.
func at(list []*attempt, i int, newestFirst bool) *attempt {
	if newestFirst {
		return list[len(list)-1-i]
	}
	return list[i]
}

// callerQueue is one caller's waiting attempts for a shard, by priority.
type callerQueue struct {
	name   string
	weight float64
	// turn is the virtual time of the caller's next service: each service
	// moves it by 1/weight, and the smallest turn goes next.
	turn   float64
	ranks  []*rankQueue // those with waiting attempts
	idle   []*rankQueue // the others, which keep their turn
	clock  float64      // virtual time of the last service among the ranks
	length int
	late   int // of them, how many are late
}

// inTime is the number of attempts that can be in time.
func (q *callerQueue) inTime() int { return q.length - q.late }

// ahead is how many of the caller's attempts that can be in time are served before a
// new one of a priority: its own rank's, and of each other rank as many as its share
// gets meanwhile.
func (q *callerQueue) ahead(priority int) float64 {
	own, shares := 1.0, 1/rankCost(priority)
	all := 1.0
	for _, r := range q.ranks {
		n := float64(len(r.items))
		all += n
		if r.priority == priority {
			own += n
		} else if n > 0 {
			shares += 1 / rankCost(r.priority)
		}
	}
	return min(own*shares*rankCost(priority), all)
}

// rank returns the queue of a priority and makes it one that waits.
func (q *callerQueue) rank(priority int) *rankQueue {
	is := func(r *rankQueue) bool { return r.priority == priority }
	if i := slices.IndexFunc(q.ranks, is); i >= 0 {
		return q.ranks[i]
	}
	r := &rankQueue{priority: priority}
	if i := slices.IndexFunc(q.idle, is); i >= 0 {
		r = q.idle[i]
		q.idle = slices.Delete(q.idle, i, i+1)
	}
	r.turn = max(r.turn, q.clock) // an idle rank earns no credit for its absence
	q.ranks = append(q.ranks, r)
	return r
}

func (q *callerQueue) insert(a *attempt) {
	r := q.rank(a.priority)
	i, _ := slices.BinarySearchFunc(r.items, a, compare)
	r.items = slices.Insert(r.items, i, a)
	a.late = false
	q.length++
}

func (q *callerQueue) remove(a *attempt) {
	at := slices.IndexFunc(q.ranks, func(r *rankQueue) bool { return r.priority == a.priority })
	if at < 0 {
		return
	}
	r := q.ranks[at]
	if !r.remove(a) {
		return
	}
	q.length--
	if a.late {
		q.late--
	}
	if len(r.items)+len(r.late) == 0 {
		q.ranks = slices.Delete(q.ranks, at, at+1)
		q.idle = append(q.idle, r)
	}
}

// charge counts one service of the attempt's priority.
func (q *callerQueue) charge(a *attempt) {
	r := q.rank(a.priority)
	q.clock = max(q.clock, r.turn)
	r.turn += r.cost()
}

// inTurn orders the priorities that wait by their turn, the more urgent of equals
// first, and returns them.
func (q *callerQueue) inTurn() []*rankQueue {
	if len(q.ranks) > 1 {
		slices.SortStableFunc(q.ranks, func(a, b *rankQueue) int {
			return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.priority, b.priority))
		})
	}
	return q.ranks
}

// all lists the waiting attempts.
func (q *callerQueue) all() []*attempt {
	var out []*attempt
	for _, r := range q.ranks {
		out = append(out, r.items...)
		out = append(out, r.late...)
	}
	return out
}

// fairQueue is a shard's waiting attempts, served fairly by caller weight
// (start-time fair queueing), within a caller by priority and within a priority by
// the admission stamp.
type fairQueue struct {
	callers map[string]*callerQueue
	active  []*callerQueue // callers with waiting attempts
	turn    float64        // virtual time of the last service
	length  int
	late    int // of them, how many are late
}

// inTime is the number of attempts that can be in time.
func (f *fairQueue) inTime() int { return f.length - f.late }

// demote sets the attempts apart that can't be in time any more.
func (f *fairQueue) demote(tooLate func(*attempt) bool) {
	for _, q := range f.active {
		for _, r := range q.ranks {
			n := r.demote(tooLate)
			q.late += n
			f.late += n
		}
	}
}

// push adds an attempt of a caller with the given weight.
func (f *fairQueue) push(a *attempt, weight float64) {
	q := f.callers[a.caller]
	if q == nil {
		q = &callerQueue{name: a.caller}
		f.callers[a.caller] = q
	}
	q.weight = weight
	if q.length == 0 {
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
	if a.late {
		f.late--
	}
	a.queued = false
	if q.length == 0 {
		f.active = slices.DeleteFunc(f.active, func(o *callerQueue) bool { return o == q })
	}
}

// serve takes out an attempt and charges its caller one service.
func (f *fairQueue) serve(a *attempt) {
	q := f.callers[a.caller]
	f.turn = max(f.turn, q.turn)
	q.turn += 1 / q.weight
	q.charge(a)
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
// has waited which can be in time, 0 for an empty queue.
func (f *fairQueue) oldest(now time.Time) float64 {
	share := 0.0
	for _, q := range f.active {
		for _, r := range q.ranks {
			if len(r.items) == 0 {
				continue
			}
			a := r.items[0]
			if all := a.due.Sub(a.offered); all > 0 {
				share = max(share, float64(now.Sub(a.offered))/float64(all))
			}
		}
	}
	return share
}
