package main

import (
	"flag"

	"github.com/pkg/errors"
)

// Exit codes. exitUnknown means that it is not known whether a change took effect.
const (
	exitOther    = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	error
}

func usageError(format string, args ...any) error {
	return exitError{exitUsage, errors.Errorf(format, args...)}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var coded exitError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		return exitOther
	}
}
