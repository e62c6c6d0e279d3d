package leaf

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// reply is what goes back to an entry.
type reply struct {
	status   int
	attempt  string
	notRun   leafapi.Decline // empty: it ran
	version  uint64
	ranges   []keyrange.Range
	body     []byte
	checksum string
	service  time.Duration
	// truncated breaks the connection after half of the body.
	truncated bool
	// late holds the reply back.
	late time.Duration
}

// crossing is a reply that waits for another to be swapped with.
type crossing struct {
	mine  reply
	other chan reply // capacity 1
}

// crossingWait is how long a reply waits to be swapped, at most.
const crossingWait = time.Second

// decline counts and makes the reply to a request that did not run.
func (s *Server) decline(req request, reason leafapi.Decline) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.declined[reason]++
	return reply{
		status:  http.StatusServiceUnavailable,
		attempt: req.attempt,
		notRun:  reason,
		ranges:  s.settings.Ranges,
	}
}

// answer makes the reply to a request that ran, with the faults of replies.
func (s *Server) answer(job work, held time.Duration) reply {
	body := Body(job.settings.Upstream, job.version, job.covered, Hash(job.body), job.settings.BodyBytes)
	r := reply{
		status:   http.StatusOK,
		attempt:  job.attempt,
		version:  job.version,
		ranges:   job.covered,
		body:     body,
		checksum: Hash(body),
		service:  held,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoil(r)
}

// spoil applies the faults of replies but for crossing. The lock is held.
func (s *Server) spoil(r reply) reply {
	f := &s.faults.Replies
	if s.previous != nil && s.hit(&f.Repeated) {
		r = *s.previous
	}
	own := r
	s.previous = &own
	if s.hit(&f.Late) {
		r.late = time.Duration(f.LateMS) * time.Millisecond
	}
	if s.hit(&f.Truncated) {
		r.truncated = true
	}
	if s.hit(&f.WrongChecksum) {
		r.checksum = Hash(append([]byte("not "), r.body...))
	}
	if s.hit(&f.Overlapping) {
		first := r.ranges[0]
		middle := first.From + first.Size()/2
		r.ranges = append([]keyrange.Range{{From: middle, To: first.To}}, r.ranges...)
	}
	return r
}

// hit reports whether a fault strikes now, and counts its trigger down. The
// lock is held.
func (s *Server) hit(t *Trigger) bool {
	if t.Next > 0 {
		t.Next--
		return true
	}
	return t.Share > 0 && s.random.Float64() < t.Share
}

// cross swaps a reply with another one, if the faults say so.
func (s *Server) cross(life, client context.Context, r reply) reply {
	s.mu.Lock()
	if waiting := s.crossing; waiting != nil {
		s.crossing = nil
		s.mu.Unlock()
		waiting.other <- r
		return waiting.mine
	}
	if !s.hit(&s.faults.Replies.Crossed) {
		s.mu.Unlock()
		return r
	}
	mine := &crossing{mine: r, other: make(chan reply, 1)}
	s.crossing = mine
	s.mu.Unlock()
	return s.awaitCrossing(life, client, mine)
}

// awaitCrossing waits for the other reply; none in time means no swap.
func (s *Server) awaitCrossing(life, client context.Context, mine *crossing) reply {
	timer := time.NewTimer(crossingWait)
	defer timer.Stop()
	select {
	case other := <-mine.other:
		return other
	case <-timer.C:
	case <-client.Done():
	case <-life.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crossing == mine {
		s.crossing = nil
		return mine.mine
	}
	return <-mine.other
}

// send writes a reply.
func (s *Server) send(life context.Context, c echo.Context, r reply) error {
	client := c.Request().Context()
	if r.status == http.StatusOK {
		r = s.cross(life, client, r)
	}
	sleep(client, r.late)
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.writeHeader(c.Response().Header(), r)
	c.Response().WriteHeader(r.status)
	if !r.truncated {
		_, err := c.Response().Write(r.body)
		return err
	}
	_, _ = c.Response().Write(r.body[:len(r.body)/2])
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// writeHeader sets the headers of a reply.
func (s *Server) writeHeader(h http.Header, r reply) {
	s.mu.Lock()
	versions, draining, born := s.settings.Versions, s.faults.Draining, s.born.UnixMilli()
	s.mu.Unlock()
	h.Set(leafapi.HeaderAttempt, r.attempt)
	h.Set(leafapi.HeaderStartMillis, strconv.FormatInt(born, 10))
	h.Set(leafapi.HeaderVersions, leafapi.FormatVersions(versions))
	h.Set(leafapi.HeaderRanges, keyrange.FormatList(r.ranges))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(r.body)))
	if draining {
		h.Set(leafapi.HeaderDraining, "1")
	}
	if r.notRun != "" {
		h.Set(leafapi.HeaderNotRun, string(r.notRun))
		return
	}
	if r.status == http.StatusOK {
		h.Set(leafapi.HeaderVersion, strconv.FormatUint(r.version, 10))
		h.Set(leafapi.HeaderChecksum, r.checksum)
		h.Set(leafapi.HeaderServiceUS, strconv.FormatInt(r.service.Microseconds(), 10))
	}
}
