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
)

// problemType is the base of the problem types' URIs.
const problemType = "urn:fuchsiaroad:problem:"

// outcomeNotRun is the outcome of every refusal: nothing ran.
const outcomeNotRun = "not_run"

// Error is a refusal by this layer, before anything was sent on.
type Error struct {
	Status     int
	Code       string // the last part of the problem's type
	Title      string
	Detail     string
	Field      string // the header, parameter or path at fault
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// badRequest names the field at fault.
func badRequest(field, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: "bad-request", Title: "The request is malformed", Field: field, Detail: fmt.Sprintf(format, args...)}
}

// problem converts any error to a problem detail and its status.
func problem(err error) *callerapi.Problem {
	var own *Error
	if errors.As(err, &own) {
		return &callerapi.Problem{
			Type: problemType + own.Code, Title: own.Title, Status: own.Status, Detail: own.Detail,
			Field: own.Field, Outcome: outcomeNotRun, RetryAfterMS: own.RetryAfter.Milliseconds(),
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

// refusedProblem maps the executor's reasons to statuses.
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

// writeError answers with the problem and, where there is one, the time to come back.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problem(err)
	setRetryAfter(c, p.RetryAfterMS)
	c.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	_ = c.JSON(p.Status, p)
}

// setRetryAfter sets the header in whole seconds, rounded up, when there is a time.
func setRetryAfter(c echo.Context, ms int64) {
	if ms <= 0 {
		return
	}
	seconds := math.Ceil(float64(ms) / 1000)
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
}
