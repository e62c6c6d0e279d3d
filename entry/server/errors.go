package server

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
)

// problemType is the prefix of the URIs of problem types.
const problemType = "urn:fuchsiaroad:problem:"

// outcomeNotRun is the outcome of every refused query: no part of it ran.
const outcomeNotRun = "not_run"

// Error is a refusal by the server, before the query reaches the executor.
type Error struct {
	Status     int
	Code       string // the last part of the problem's type
	Title      string
	Detail     string
	Field      string // the invalid header, parameter or path
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// badRequest returns a refusal with status 400 that names the invalid field.
func badRequest(field, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: "bad-request", Title: "The request is malformed", Field: field, Detail: fmt.Sprintf(format, args...)}
}

// noMemoryRetry is the retry time of an instance without memory for a request.
const noMemoryRetry = time.Second

// BodyError converts an error of package ingress, nil if there is none.
func BodyError(err error) error {
	var tooLong *ingress.BodyTooLongError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLong):
		return &Error{Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Title: "The request is malformed", Field: "body", Detail: "want at most " + strconv.FormatInt(tooLong.Limit, 10) + " bytes"}
	case errors.Is(err, ingress.ErrNoMemory):
		return &Error{Status: http.StatusServiceUnavailable, Code: "no-memory", Title: "The request was not run", Detail: err.Error(), RetryAfter: noMemoryRetry}
	case errors.Is(err, ingress.ErrBodyTimeout):
		return &Error{Status: http.StatusRequestTimeout, Code: "body-timeout", Title: "The request was not run", Field: "body", Detail: err.Error()}
	default:
		return badRequest("body", "could not be read whole")
	}
}

// problem converts any error to a problem detail with its HTTP status.
func problem(err error) *callerapi.Problem {
	var refusal *Error
	if errors.As(err, &refusal) {
		return &callerapi.Problem{
			Type: problemType + refusal.Code, Title: refusal.Title, Status: refusal.Status, Detail: refusal.Detail,
			Field: refusal.Field, Outcome: outcomeNotRun, RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		}
	}
	var refused *executor.RefusedError
	if errors.As(err, &refused) {
		return refusedProblem(refused)
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		title := http.StatusText(httpErr.Code)
		return &callerapi.Problem{Type: problemType + "http", Title: title, Status: httpErr.Code, Detail: fmt.Sprint(httpErr.Message), Outcome: outcomeNotRun}
	}
	return &callerapi.Problem{Type: problemType + "internal", Title: "Internal error", Status: http.StatusInternalServerError}
}

// refusedProblem converts a refusal by the executor; its reason decides the status.
func refusedProblem(r *executor.RefusedError) *callerapi.Problem {
	p := &callerapi.Problem{
		Type: problemType + string(r.Reason), Title: "The request was not run", Detail: r.Detail,
		Status: http.StatusServiceUnavailable, Outcome: outcomeNotRun, RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	switch r.Reason {
	case executor.RefusedKeyRequired:
		p.Status, p.Field = http.StatusBadRequest, callerapi.HeaderIdempotencyKey
	case executor.RefusedBadClaim:
		p.Status = http.StatusBadRequest
	case executor.RefusedKeyMismatch:
		p.Status, p.Field = http.StatusUnprocessableEntity, callerapi.HeaderIdempotencyKey
	case executor.RefusedQuarantined:
		p.Status = http.StatusUnprocessableEntity
	case executor.RefusedOverloaded, executor.RefusedDeadline, executor.RefusedUnavailable, executor.RefusedDraining:
	}
	return p
}

// writeError responds with the error's problem detail and, if it has a retry time, with
// Retry-After.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problem(err)
	setRetryAfter(c, p.RetryAfterMS)
	c.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	_ = c.JSON(p.Status, p)
}

// setRetryAfter sets the Retry-After header to ms rounded up to whole seconds, if ms is
// above 0.
func setRetryAfter(c echo.Context, ms int64) {
	if ms <= 0 {
		return
	}
	seconds := math.Ceil(float64(ms) / 1000)
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
}
