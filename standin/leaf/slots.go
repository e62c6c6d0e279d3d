package leaf

import "slices"

// slots admits requests: some run, some wait in arrival order. It has no lock
// and does no I/O.
type slots struct {
	running int
	waiting []*waiter
}

// waiter is a request in the queue. Its channel is closed when it has a slot.
type waiter struct{ ready chan struct{} }

// enter takes a slot or a place in the queue; nil means that there is neither.
func (s *slots) enter(limit, queue int) *waiter {
	w := &waiter{ready: make(chan struct{})}
	if s.running < limit && len(s.waiting) == 0 {
		s.running++
		close(w.ready)
		return w
	}
	if len(s.waiting) >= queue {
		return nil
	}
	s.waiting = append(s.waiting, w)
	return w
}

// withdraw takes a request out of the queue; false means it has a slot already.
func (s *slots) withdraw(w *waiter) bool {
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// leave frees a slot.
func (s *slots) leave(limit int) {
	s.running--
	s.fill(limit)
}

// fill gives free slots to the queue, oldest first.
func (s *slots) fill(limit int) {
	for s.running < limit && len(s.waiting) > 0 {
		s.running++
		close(s.waiting[0].ready)
		s.waiting = s.waiting[1:]
	}
}
