package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// attempt is an offered attempt, queued or running.
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
	// saturated is plugin.AttemptResult.Saturated, determined at dispatch.
	saturated bool
	queued    bool
	late      bool // in classQueue.late
	heapIndex int  // in the expiry heap, or notInHeap
}

// avoids reports whether the attempt must not go to the leaf.
func (a *attempt) avoids(l *leaf) bool { return slices.Contains(a.avoid, l) }

// compareStamps orders attempts by the admission stamp of their query, so that all parts
// of a query have the same rank in every queue.
func compareStamps(a, b *attempt) int {
	if c := cmp.Compare(a.ticket.Query, b.ticket.Query); c != 0 {
		return c
	}
	return cmp.Compare(a.ticket.Attempt, b.ticket.Attempt)
}

// classQueue holds one caller's queued attempts of one priority class, ordered by query,
// oldest first.
type classQueue struct {
	priority int
	// startTag is the virtual time of the next service, as in callerQueue.
	startTag float64
	onTime   []*attempt
	// late are the attempts that can't end by the objective. They get the slots that no
	// other attempt of the shard waits for.
	late []*attempt
}

// attempts returns the late attempts or the others.
func (q *classQueue) attempts(late bool) []*attempt {
	if late {
		return q.late
	}
	return q.onTime
}

// demote moves the oldest attempts that are too late to the late ones, and returns how
// many. It stops at the first that is not, as the attempts of a class are due in the
// order of their queries, or nearly so.
func (q *classQueue) demote(tooLate func(*attempt) bool) int {
	n := 0
	for n < len(q.onTime) && tooLate(q.onTime[n]) {
		a := q.onTime[n]
		a.late = true
		i, _ := slices.BinarySearchFunc(q.late, a, compareStamps)
		q.late = slices.Insert(q.late, i, a)
		n++
	}
	q.onTime = slices.Delete(q.onTime, 0, n)
	return n
}

// remove removes an attempt and reports whether it was queued.
func (q *classQueue) remove(a *attempt) bool {
	list := q.attempts(a.late)
	i, ok := slices.BinarySearchFunc(list, a, compareStamps)
	if !ok {
		return false
	}
	list = slices.Delete(list, i, i+1)
	if a.late {
		q.late = list
	} else {
		q.onTime = list
	}
	return true
}

// maxHalvings bounds how often the share of a priority is halved.
const maxHalvings = 10

// tagStep returns by how much one service advances the start tag. Each priority gets
// half the share of the next more urgent one, so that less urgent work waits longer
// under overload but is not starved.
func (q *classQueue) tagStep() float64 { return classCost(q.priority) }

// classCost returns the virtual time that one service of a priority costs.
func classCost(priority int) float64 { return float64(int(1) << min(max(priority, 0), maxHalvings)) }

// attemptAt returns the i-th attempt of a list in the order of service.
func attemptAt(list []*attempt, i int, newestFirst bool) *attempt {
	if newestFirst {
		return list[len(list)-1-i]
	}
	return list[i]
}

// callerQueue holds one caller's queued attempts for a shard, by priority.
type callerQueue struct {
	name   string
	weight float64
	// startTag is the virtual time of the caller's next service, as in start-time fair
	// queueing: each service advances it by 1/weight, and the caller with the smallest
	// start tag is served next.
	startTag    float64
	classes     []*classQueue // with queued attempts
	idleClasses []*classQueue // without; they keep their start tags
	virtualTime float64       // of the last service among the classes
	length      int
	late        int // number of late attempts
}

// onTimeCount returns the number of attempts that are not late.
func (q *callerQueue) onTimeCount() int { return q.length - q.late }

// attemptsAhead returns how many of the caller's attempts are served up to and including
// a new one of a priority: those of its own class, and of each other class as many as
// that class's share gets meanwhile. Late attempts are not counted.
func (q *callerQueue) attemptsAhead(priority int) float64 {
	own, shares := 1.0, 1/classCost(priority)
	all := 1.0
	for _, c := range q.classes {
		n := float64(len(c.onTime))
		all += n
		if c.priority == priority {
			own += n
		} else if n > 0 {
			shares += 1 / classCost(c.priority)
		}
	}
	return min(own*shares*classCost(priority), all)
}

// class returns the queue of a priority and makes it an active one.
func (q *callerQueue) class(priority int) *classQueue {
	matches := func(c *classQueue) bool { return c.priority == priority }
	if i := slices.IndexFunc(q.classes, matches); i >= 0 {
		return q.classes[i]
	}
	c := &classQueue{priority: priority}
	if i := slices.IndexFunc(q.idleClasses, matches); i >= 0 {
		c = q.idleClasses[i]
		q.idleClasses = slices.Delete(q.idleClasses, i, i+1)
	}
	c.startTag = max(c.startTag, q.virtualTime) // an idle class earns no credit for its idle time
	q.classes = append(q.classes, c)
	return c
}

func (q *callerQueue) insert(a *attempt) {
	c := q.class(a.priority)
	i, _ := slices.BinarySearchFunc(c.onTime, a, compareStamps)
	c.onTime = slices.Insert(c.onTime, i, a)
	a.late = false
	q.length++
}

func (q *callerQueue) remove(a *attempt) {
	at := slices.IndexFunc(q.classes, func(c *classQueue) bool { return c.priority == a.priority })
	if at < 0 {
		return
	}
	c := q.classes[at]
	if !c.remove(a) {
		return
	}
	q.length--
	if a.late {
		q.late--
	}
	if len(c.onTime)+len(c.late) == 0 {
		q.classes = slices.Delete(q.classes, at, at+1)
		q.idleClasses = append(q.idleClasses, c)
	}
}

// charge advances the start tag of the attempt's class by one service.
func (q *callerQueue) charge(a *attempt) {
	c := q.class(a.priority)
	q.virtualTime = max(q.virtualTime, c.startTag)
	c.startTag += c.tagStep()
}

// byStartTag sorts the classes with queued attempts by their start tags, the more urgent
// of equals first, and returns them.
func (q *callerQueue) byStartTag() []*classQueue {
	if len(q.classes) > 1 {
		slices.SortStableFunc(q.classes, func(a, b *classQueue) int {
			return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.priority, b.priority))
		})
	}
	return q.classes
}

// all returns the queued attempts.
func (q *callerQueue) all() []*attempt {
	var out []*attempt
	for _, c := range q.classes {
		out = append(out, c.onTime...)
		out = append(out, c.late...)
	}
	return out
}

// fairQueue holds a shard's queued attempts. Callers are served by start-time fair
// queueing with their weights, the priorities of a caller likewise with the weights of
// classCost, and the attempts of a priority by the admission stamp of their query.
type fairQueue struct {
	callers     map[string]*callerQueue
	active      []*callerQueue // callers with queued attempts
	virtualTime float64        // of the last service
	length      int
	late        int // number of late attempts
}

// onTimeCount returns the number of attempts that are not late.
func (f *fairQueue) onTimeCount() int { return f.length - f.late }

// demote marks the attempts that are too late as late.
func (f *fairQueue) demote(tooLate func(*attempt) bool) {
	for _, q := range f.active {
		for _, c := range q.classes {
			n := c.demote(tooLate)
			q.late += n
			f.late += n
		}
	}
}

// push queues an attempt of a caller with the given weight.
func (f *fairQueue) push(a *attempt, weight float64) {
	q := f.callers[a.caller]
	if q == nil {
		q = &callerQueue{name: a.caller}
		f.callers[a.caller] = q
	}
	q.weight = weight
	if q.length == 0 {
		// An idle caller earns no credit for its idle time.
		q.startTag = max(q.startTag, f.virtualTime)
		f.active = append(f.active, q)
	}
	q.insert(a)
	f.length++
	a.queued = true
}

// remove removes an attempt without charging its caller.
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

// serve removes an attempt and charges its caller one service.
func (f *fairQueue) serve(a *attempt) {
	q := f.callers[a.caller]
	f.virtualTime = max(f.virtualTime, q.startTag)
	q.startTag += 1 / q.weight
	q.charge(a)
	f.remove(a)
}

// byStartTag sorts the callers with queued attempts by their start tags and returns
// them.
func (f *fairQueue) byStartTag() []*callerQueue {
	if len(f.active) > 1 {
		slices.SortStableFunc(f.active, func(a, b *callerQueue) int { return cmp.Compare(a.startTag, b.startTag) })
	}
	return f.active
}

// maxWaitedShare returns the greatest share of its time until the objective that an
// attempt has waited, over the oldest attempts of all classes that are not late; 0 for
// an empty queue.
func (f *fairQueue) maxWaitedShare(now time.Time) float64 {
	share := 0.0
	for _, q := range f.active {
		for _, c := range q.classes {
			if len(c.onTime) == 0 {
				continue
			}
			a := c.onTime[0]
			if total := a.due.Sub(a.offered); total > 0 {
				share = max(share, float64(now.Sub(a.offered))/float64(total))
			}
		}
	}
	return share
}
