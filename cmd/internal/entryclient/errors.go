package entryclient

import (
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
)

// DialError says that no connection was made: the request ran nowhere.
type DialError struct {
	Entry string
	Err   error
}

// Error returns the entry and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("entry %s: no connection: %v", e.Entry, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// BrokenError says that an exchange ended without a whole answer: the request
// may have run.
type BrokenError struct {
	Entry string
	Err   error
}

// Error returns the entry and the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("entry %s: no answer: %v", e.Entry, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// ProblemError is an entry's refusal.
type ProblemError struct {
	Entry   string
	Problem callerapi.Problem
}

// Error returns the entry, the title and the detail, with the field at fault
// and the time to come back, where the entry gave them.
func (e *ProblemError) Error() string {
	text := fmt.Sprintf("entry %s: %d %s", e.Entry, e.Problem.Status, e.Problem.Title)
	if e.Problem.Field != "" {
		text += ": " + e.Problem.Field
	}
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.RetryAfterMS > 0 {
		text += fmt.Sprintf("; come back in %v", time.Duration(e.Problem.RetryAfterMS)*time.Millisecond)
	}
	return text
}
