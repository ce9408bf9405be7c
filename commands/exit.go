package commands

import (
	"errors"
	"fmt"

	"persimmonpick/fault"
)

// Exit codes. Scripts rely on them, so they must not change.
const (
	ExitOK       = 0
	ExitOther    = 1
	ExitUsage    = 2
	ExitConflict = 3 // another change took effect first
	ExitNotFound = 4
	ExitNotRun   = 5 // nothing was changed, and the command may be retried
	ExitUnknown  = 6 // the command may or may not have taken effect
	ExitInvalid  = 7
)

const exitHelp = "Exit codes: 0 done, 1 other error, 2 wrong usage, 3 conflict, 4 not found, " +
	"5 not run and may be retried, 6 outcome unknown, 7 invalid."

// usageError is an error in the use of the command line.
type usageError struct {
	message string
}

// Error implements error.
func (u usageError) Error() string {
	return u.message
}

func newUsageError(format string, args ...any) error {
	return usageError{fmt.Sprintf(format, args...)}
}

// ExitCode returns the exit code for the error that a command returned, or ExitOK for nil.
func ExitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return exitCodeForKind(fault.Of(err))
}

func exitCodeForKind(kind fault.Kind) int {
	switch kind {
	case fault.None:
		return ExitOK
	case fault.Internal, fault.Unauthorized, fault.Forbidden:
		return ExitOther
	case fault.Conflict, fault.Stale, fault.KeyReused:
		return ExitConflict
	case fault.NotFound:
		return ExitNotFound
	case fault.Invalid, fault.TooLarge, fault.NeverFits:
		return ExitInvalid
	}
	row := kind.Answer()
	if row.Ran == fault.RanNo && row.Retry {
		return ExitNotRun
	}
	return ExitUnknown
}
