package burst

// event is one future happening; do runs it.
type event struct {
	at  int64 // nanoseconds of virtual time
	seq uint64
	do  func()
}

// events is a binary heap ordered by time and then by insertion.
type events struct {
	heap []event
	seq  uint64
	now  int64
}

func (e *events) less(i, j int) bool {
	a, b := &e.heap[i], &e.heap[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}

// add schedules do at the given time.
func (e *events) add(at int64, do func()) {
	e.seq++
	e.heap = append(e.heap, event{at, e.seq, do})
	i := len(e.heap) - 1
	for i > 0 && e.less(i, (i-1)/2) {
		e.heap[i], e.heap[(i-1)/2] = e.heap[(i-1)/2], e.heap[i]
		i = (i - 1) / 2
	}
}

// step runs the earliest event, and reports whether there was one.
func (e *events) step() bool {
	if len(e.heap) == 0 {
		return false
	}
	first := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	e.down()
	e.now = max(e.now, first.at)
	first.do()
	return true
}

func (e *events) down() {
	i := 0
	for {
		c := 2*i + 1
		if c >= len(e.heap) {
			return
		}
		if c+1 < len(e.heap) && e.less(c+1, c) {
			c++
		}
		if !e.less(c, i) {
			return
		}
		e.heap[i], e.heap[c] = e.heap[c], e.heap[i]
		i = c
	}
}
