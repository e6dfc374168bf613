package main

import (
	"flag"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOther    = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// codeError is an error that sets the exit code.
type codeError struct {
	code int
	error
}

func usageError(format string, args ...any) error {
	return codeError{exitUsage, errors.Errorf(format, args...)}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var coded codeError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		return exitOther
	}
}
