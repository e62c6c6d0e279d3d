package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/control"
)

// maxBody bounds the body of a write: a value of platformapi.MaxValue bytes in
// base64, with room for the JSON around it.
const maxBody = platformapi.MaxValue*4/3 + 4096

// client is who calls.
type client struct {
	instance string
	token    string
}

// in reports whether a list of names and tokens has the client.
func (c client) in(list []string) bool {
	return c.instance != "" && slices.Contains(list, c.instance) ||
		c.token != "" && slices.Contains(list, c.token)
}

// clientOf reads the client from a request.
func clientOf(r *http.Request) client {
	token, _ := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer ")
	return client{instance: r.Header.Get(HeaderInstance), token: token}
}

// call wraps a handler with what all calls share: token, count, faults.
func (s *Server) call(kind Kind, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		who := clientOf(c.Request())
		ctx := c.Request().Context()
		if s.token != "" && who.token != s.token {
			return c.NoContent(http.StatusUnauthorized)
		}
		if !s.count(kind, who) {
			return s.turnAway(c, http.StatusTooManyRequests)
		}
		s.hang(ctx, who)
		s.mu.Lock()
		s.stampEra(c)
		s.mu.Unlock()
		if s.Faults().Outage {
			return s.turnAway(c, http.StatusServiceUnavailable)
		}
		if kind == KindPut || kind == KindDelete {
			// A write that is under way is stopped by the end of the
			// stand-in, and not by its client.
			ctx = s.life
		}
		pause(ctx, s.Faults().DelayMS)
		if s.life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// stampEra sets the header of the present era. The lock is held, so that an answer's era is that of
// what it shows.
func (s *Server) stampEra(c echo.Context) {
	c.Response().Header().Set(HeaderEra, strconv.FormatUint(s.era, 10))
}

// count records the call and reports whether its rate allows it.
func (s *Server) count(kind Kind, who client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := callKey{client: who.instance, kind: kind}
	if s.calls[key] == nil {
		s.calls[key] = &CallCount{Client: who.instance, Kind: kind}
	}
	s.calls[key].Calls++
	limiter := s.reads
	if kind == KindPut || kind == KindDelete {
		limiter = s.writes
	}
	if limiter.Allow() {
		return true
	}
	s.calls[key].Limited++
	return false
}

// turnAway answers with a status and the Retry-After of the faults.
func (s *Server) turnAway(c echo.Context, status int) error {
	if after := s.Faults().RetryAfterS; after > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(after))
	}
	return c.NoContent(status)
}

// hang holds a cut client, and breaks its connection when the client gives up
// or the fault is lifted.
func (s *Server) hang(ctx context.Context, who client) {
	held := false
	for {
		s.mu.Lock()
		cut := s.faults.Hang || who.in(s.faults.CutClients)
		changed := s.changed
		s.mu.Unlock()
		if !cut && !held {
			return
		}
		if !cut || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		held = true
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// pause waits for some milliseconds or until the context ends.
func pause(ctx context.Context, ms int64) {
	if ms <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reply sends a JSON answer after the reply delay.
func (s *Server) reply(c echo.Context, status int, body any) error {
	pause(c.Request().Context(), s.Faults().ReplyDelayMS)
	return c.JSON(status, body)
}

// seen returns the store as the client may see it. The lock is held.
func (s *Server) seen(who client) *store {
	if s.frozen == nil {
		return s.store
	}
	if len(s.faults.StaleClients) > 0 && !who.in(s.faults.StaleClients) {
		return s.store
	}
	return s.frozen
}

func (s *Server) get(c echo.Context) error {
	s.mu.Lock()
	object, found := s.seen(clientOf(c.Request())).get(c.Param("kind"), c.Param("name"))
	s.stampEra(c)
	s.mu.Unlock()
	if !found {
		return s.reply(c, http.StatusNotFound, platformapi.Conflict{})
	}
	return s.reply(c, http.StatusOK, object)
}

func (s *Server) list(c echo.Context) error {
	s.mu.Lock()
	list := s.seen(clientOf(c.Request())).list(c.Param("kind"))
	s.stampEra(c)
	s.mu.Unlock()
	return s.reply(c, http.StatusOK, list)
}

func (s *Server) put(c echo.Context) error {
	ifVersion, err := ifVersion(c)
	if err != nil {
		return control.BadRequest(c, err)
	}
	value, err := readValue(c)
	if err != nil {
		return control.BadRequest(c, err)
	}
	s.mu.Lock()
	object, written := s.store.put(c.Param("kind"), c.Param("name"), value, ifVersion)
	s.endWrite(written)
	s.stampEra(c)
	s.mu.Unlock()
	object.Value = nil
	if !written {
		return s.reply(c, http.StatusConflict, platformapi.Conflict{Version: object.Version})
	}
	s.maybeLose()
	return s.reply(c, http.StatusOK, object)
}

func (s *Server) remove(c echo.Context) error {
	ifVersion, err := ifVersion(c)
	if err != nil {
		return control.BadRequest(c, err)
	}
	s.mu.Lock()
	object, removed := s.store.remove(c.Param("kind"), c.Param("name"), ifVersion)
	s.endWrite(removed)
	s.stampEra(c)
	s.mu.Unlock()
	if !removed {
		return s.reply(c, http.StatusConflict, platformapi.Conflict{Version: object.Version})
	}
	s.maybeLose()
	pause(c.Request().Context(), s.Faults().ReplyDelayMS)
	return c.NoContent(http.StatusNoContent)
}

// endWrite wakes the watches after a write. The lock is held.
func (s *Server) endWrite(written bool) {
	if written {
		s.wake()
	}
}

// maybeLose breaks the connection of a write that took effect, if the faults say so.
func (s *Server) maybeLose() {
	s.mu.Lock()
	lose := s.faults.LoseWriteReplies > 0
	if lose {
		s.faults.LoseWriteReplies--
	}
	if !lose && s.faults.LoseWriteShare > 0 {
		lose = s.random.Float64() < s.faults.LoseWriteShare
	}
	if lose {
		s.lost++
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) listInstances(c echo.Context) error {
	return s.reply(c, http.StatusOK, platformapi.Instances{Instances: s.laggedInstances()})
}

// watch answers when there are events after the revision or the wait has passed.
func (s *Server) watch(c echo.Context) error {
	since, err := queryUint(c, "since")
	if err != nil {
		return control.BadRequest(c, err)
	}
	wait, err := queryUint(c, "wait_ms")
	if err != nil {
		return control.BadRequest(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	s.mu.Lock()
	cuts := s.cuts
	s.mu.Unlock()
	for {
		s.mu.Lock()
		store := s.seen(clientOf(c.Request()))
		events, ok := store.since(c.Param("kind"), since)
		revision, changed := store.revision, s.changed
		s.mu.Unlock()
		if !ok {
			return s.reply(c, http.StatusGone, platformapi.Events{Revision: revision})
		}
		if len(events) > 0 || ctx.Err() != nil {
			return s.reply(c, http.StatusOK, platformapi.Events{Revision: revision, Events: events})
		}
		select {
		case <-ctx.Done():
		case <-changed:
			s.hang(c.Request().Context(), clientOf(c.Request()))
			if s.Faults().Outage {
				return s.turnAway(c, http.StatusServiceUnavailable)
			}
		case <-cuts:
			panic(http.ErrAbortHandler)
		}
	}
}

// addWaiting counts waiting watches.
func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// ifVersion reads the version that a write is conditional on.
func ifVersion(c echo.Context) (uint64, error) {
	if c.QueryParam("if_version") == "" {
		return 0, &FieldError{Field: "if_version", Reason: "is missing"}
	}
	return queryUint(c, "if_version")
}

// queryUint reads a query parameter; absent is 0.
func queryUint(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &FieldError{Field: name, Reason: "is not a whole number"}
	}
	return v, nil
}

// readValue reads the value to write from a platformapi.Object.
func readValue(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	tooLarge := &FieldError{Field: "value", Reason: "is larger than " + strconv.Itoa(platformapi.MaxValue) + " bytes"}
	if len(body) > maxBody {
		return nil, tooLarge
	}
	var object platformapi.Object
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, &FieldError{Field: "body", Reason: "is not an object: " + err.Error()}
	}
	if len(object.Value) > platformapi.MaxValue {
		return nil, tooLarge
	}
	return object.Value, nil
}
