package leaf

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/control"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 1 << 20

// request is a parsed sub-request.
type request struct {
	id       string
	attempt  string
	version  uint64 // 0: any
	asked    keyrange.Range
	deadline time.Time // zero: none
	body     []byte
}

// work is what a request runs on once it has a slot.
type work struct {
	request
	version  uint64
	covered  []keyrange.Range
	settings Settings
}

// run handles one sub-request.
func (s *Server) run(c echo.Context) error {
	req, err := parseRequest(c.Request(), time.Now())
	if err != nil {
		return control.BadRequest(c, err)
	}
	life, ctx, cancel := s.contexts(c.Request().Context(), req)
	defer cancel()
	s.thaw(life)
	sleep(ctx, time.Duration(s.Settings().NetworkUS)*time.Microsecond)
	r, err := s.execute(life, ctx, req)
	if err != nil || life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.thaw(life)
	sleep(ctx, time.Duration(s.Settings().NetworkUS)*time.Microsecond)
	return s.send(life, c, r)
}

// errGone says that there is nobody to answer.
var errGone = errors.New("the client is gone or the leaf has crashed")

// contexts returns this life of the leaf, and when the work is to be given up:
// with the life, the client or the deadline, as far as the faults let it.
func (s *Server) contexts(client context.Context, req request) (life, ctx context.Context, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	life = s.life
	ctx = client
	if s.faults.IgnoreCancel {
		ctx = context.WithoutCancel(client)
	}
	cancelDeadline := func() {}
	if !req.deadline.IsZero() && !s.faults.IgnoreDeadline {
		ctx, cancelDeadline = context.WithDeadline(ctx, req.deadline)
	}
	ctx, cancelLife := context.WithCancel(ctx)
	stop := context.AfterFunc(life, cancelLife)
	return life, ctx, func() {
		stop()
		cancelLife()
		cancelDeadline()
	}
}

// execute queues a request and runs it. It returns the reply, or errGone.
func (s *Server) execute(life, ctx context.Context, req request) (reply, error) {
	w, reason := s.admit(req)
	if w == nil {
		return s.decline(req, reason), nil
	}
	if s.waitForSlot(ctx, w) {
		defer s.leaveSlot()
	}
	if ctx.Err() != nil { // given up before work began, with a slot or without
		return s.givenUp(ctx, req)
	}
	s.thaw(life)
	job, reason := s.begin(req)
	if reason != "" {
		return s.decline(req, reason), nil
	}
	return s.work(life, ctx, job)
}

// givenUp makes the reply to a request that was given up before it ran.
func (s *Server) givenUp(ctx context.Context, req request) (reply, error) {
	if expired(ctx) {
		return s.decline(req, leafapi.DeclineDeadline), nil
	}
	s.countLeft()
	return reply{}, errGone
}

// admit gives a request a slot or a place in the queue, or the reason why not.
func (s *Server) admit(req request) (*waiter, leafapi.Decline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.declining(time.Now()) {
		return nil, leafapi.DeclineDraining
	}
	if reason := s.unfit(req); reason != "" {
		return nil, reason
	}
	if s.faults.Shed > 0 && s.random.Float64() < s.faults.Shed {
		return nil, leafapi.DeclineOverloaded
	}
	w := s.slots.enter(s.settings.Slots, s.settings.Queue)
	if w == nil {
		return nil, leafapi.DeclineOverloaded
	}
	return w, ""
}

// declining reports whether the leaf drains and takes no new work any more.
// The lock is held.
func (s *Server) declining(now time.Time) bool {
	grace := time.Duration(s.faults.DeclineAfterMS) * time.Millisecond
	return s.faults.Draining && !now.Before(s.drainAt.Add(grace))
}

// unfit says why the leaf can't run a request: it has not the version or none
// of the range, or the deadline has passed. The lock is held.
func (s *Server) unfit(req request) leafapi.Decline {
	if req.version != 0 && !slices.Contains(s.settings.Versions, req.version) {
		return leafapi.DeclineWrongVersion
	}
	if len(intersect(s.settings.Ranges, req.asked)) == 0 {
		return leafapi.DeclineWrongRange
	}
	if !req.deadline.IsZero() && !time.Now().Before(req.deadline) && !s.faults.IgnoreDeadline {
		return leafapi.DeclineDeadline
	}
	return ""
}

// waitForSlot waits until the request has a slot or is given up, and reports
// whether it holds a slot.
func (s *Server) waitForSlot(ctx context.Context, w *waiter) bool {
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.slots.withdraw(w)
}

// begin looks at the request again, now that it has a slot: versions and
// ranges may have changed while it waited.
func (s *Server) begin(req request) (work, leafapi.Decline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.unfit(req); reason != "" {
		return work{}, reason
	}
	job := work{
		request:  req,
		version:  req.version,
		covered:  intersect(s.settings.Ranges, req.asked),
		settings: s.settings,
	}
	if job.version == 0 {
		job.version = slices.Max(s.settings.Versions)
	}
	return job, ""
}

// work holds the slot for the service time and makes the reply.
func (s *Server) work(life, ctx context.Context, job work) (reply, error) {
	began := time.Now()
	s.mu.Lock()
	records := s.ledger.start(job.id, Hash(job.body), job.version, began)
	ledger := s.ledger
	need := serviceTime(job.settings.Service, s.random, began.Sub(s.born))
	s.mu.Unlock()

	poisoned := job.settings.Poison != "" && strings.Contains(string(job.body), job.settings.Poison)
	if poisoned {
		s.countCrash()
		s.Crash()
	} else {
		sleep(ctx, need)
		s.thaw(life)
	}
	how := completed
	switch {
	case life.Err() != nil:
		how = crashed
	case ctx.Err() != nil:
		how = abandoned
	}
	held := time.Since(began)
	s.mu.Lock()
	ledger.end(records, how, held)
	s.mu.Unlock()
	if how == completed {
		return s.answer(job, held), nil
	}
	if how == abandoned && expired(ctx) {
		return reply{status: http.StatusGatewayTimeout, attempt: job.attempt}, nil
	}
	return reply{}, errGone
}

// leaveSlot frees the slot.
func (s *Server) leaveSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.leave(s.settings.Slots)
}

func (s *Server) countLeft() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.stats.Left++
}

func (s *Server) countCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.stats.Crashes++
}

// thaw waits while the leaf is frozen, at most for its life.
func (s *Server) thaw(life context.Context) {
	for {
		s.mu.Lock()
		frozen, changed := s.faults.Frozen, s.changed
		s.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-life.Done():
			return
		case <-changed:
		}
	}
}

// expired reports whether a context ended by its deadline.
func expired(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// intersect returns the parts of the held ranges that were asked for.
func intersect(held []keyrange.Range, asked keyrange.Range) []keyrange.Range {
	var out []keyrange.Range
	for _, h := range held {
		both := keyrange.Range{From: max(h.From, asked.From), To: min(h.To, asked.To)}
		if !both.Empty() {
			out = append(out, both)
		}
	}
	return out
}

// parseRequest reads the headers and the body of a sub-request.
func parseRequest(r *http.Request, now time.Time) (request, error) {
	req := request{
		id:      r.Header.Get(leafapi.HeaderRequest),
		attempt: r.Header.Get(leafapi.HeaderAttempt),
	}
	if req.attempt == "" {
		return req, &FieldError{Field: leafapi.HeaderAttempt, Reason: "is missing"}
	}
	var err error
	if req.version, err = headerUint(r, leafapi.HeaderVersion); err != nil {
		return req, err
	}
	if req.asked, err = keyrange.Parse(r.Header.Get(leafapi.HeaderRange)); err != nil {
		return req, &FieldError{Field: leafapi.HeaderRange, Reason: err.Error()}
	}
	if r.Header.Get(leafapi.HeaderDeadlineMS) != "" {
		ms, err := headerUint(r, leafapi.HeaderDeadlineMS)
		if err != nil {
			return req, err
		}
		req.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	req.body, err = io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
	if err != nil {
		return req, &FieldError{Field: "body", Reason: err.Error()}
	}
	return req, nil
}

// headerUint reads a number from a header; absent is 0.
func headerUint(r *http.Request, name string) (uint64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, &FieldError{Field: name, Reason: "is not a whole number"}
	}
	return v, nil
}
