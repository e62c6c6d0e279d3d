package main

import (
	"errors"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/entryclient"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
)

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailed  = 1 // it ran and failed
	exitUsage   = 2 // wrong usage, settings or document
	exitNotRun  = 3 // refused: it ran nowhere
	exitUnknown = 4 // it may have run
)

// usageError marks a fault of the command line.
type usageError struct{ err error }

// Error returns the fault.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// exitError asks for an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error returns the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exitCode maps an error to the exit code.
func exitCode(err error) int {
	var (
		own     *exitError
		usage   *usageError
		faults  *fault.List
		dial    *entryclient.DialError
		problem *entryclient.ProblemError
		broken  *entryclient.BrokenError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &usage), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &dial), errors.As(err, &problem):
		return exitNotRun
	case errors.As(err, &broken):
		return exitUnknown
	}
	return exitFailed
}
