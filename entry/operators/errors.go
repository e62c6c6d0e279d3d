package operators

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
)

// problemType is the base of the problem types' URIs.
const problemType = "urn:fuchsiaroad:problem:"

// contentProblem is the content type of a refusal.
const contentProblem = "application/problem+json"

// Error is a refusal of an operator's request. Nothing was changed.
type Error struct {
	Status     int
	Code       string // the last part of the problem's type
	Title      string
	Detail     string
	Field      string // the header, parameter or document path at fault
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// badRequest names the field at fault.
func badRequest(field, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: "bad-request", Title: "The request is malformed", Field: field, Detail: fmt.Sprintf(format, args...)}
}

// asError turns any error into this layer's own.
func asError(err error) *Error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	var below *server.Error
	if errors.As(err, &below) {
		return &Error{Status: below.Status, Code: below.Code, Title: below.Title, Detail: below.Detail, Field: below.Field, RetryAfter: below.RetryAfter}
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		return &Error{Status: httpErr.Code, Code: "http", Title: http.StatusText(httpErr.Code), Detail: fmt.Sprint(httpErr.Message)}
	}
	return &Error{Status: http.StatusInternalServerError, Code: "internal", Title: "Internal error"}
}

// problem is the problem detail of a refusal.
func (e *Error) problem() callerapi.Problem {
	return callerapi.Problem{
		Type: problemType + e.Code, Title: e.Title, Status: e.Status, Detail: e.Detail,
		Field: e.Field, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

// answerProblems answers a handler's error with a problem detail, whatever the
// router's own error handler is.
func answerProblems(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err == nil || c.Response().Committed {
			return err
		}
		return writeProblem(c, asError(err).problem())
	}
}

// writeProblem answers with a problem detail, or with one that tells more.
func writeProblem(c echo.Context, p callerapi.Problem) error {
	return writeReply(c, p.Status, p.RetryAfterMS, p)
}

// writeReply answers with a body in the form of a problem detail.
func writeReply(c echo.Context, status int, retryAfterMS int64, body any) error {
	if retryAfterMS > 0 {
		seconds := math.Ceil(float64(retryAfterMS) / 1000)
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	c.Response().Header().Set(echo.HeaderContentType, contentProblem)
	return c.JSON(status, body)
}
