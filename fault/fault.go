package fault

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Kind is an error kind. It implements error, so that kinds can be used with errors.Is and errors.As.
type Kind int

// The error kinds. Each has a row in the table answers.
const (
	None Kind = iota
	Invalid
	TooLarge
	Unauthorized
	Forbidden
	NotFound
	Conflict
	Stale
	KeyReused
	StillRunning
	OutcomeUnknown
	Overloaded
	NoInstance
	QuotaExceeded
	NeverFits
	DeadlineExceeded
	BackendFailed
	BadAnswer
	LogUnavailable
	NotReady
	Stopping
	NotCurrent
	Capacity
	PlatformFailed
	Internal
	numKinds
)

// Ran tells whether a request reached a backend server or worker.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "No"
	RanYes     Ran = "Yes"
	RanUnknown Ran = "Unknown"
)

// Answer is the part of an error response that depends on the error kind only.
type Answer struct {
	Code   string
	Status int
	Ran    Ran
	Retry  bool
}

var answers = [numKinds]Answer{
	None:             {"None", http.StatusOK, RanYes, false},
	Invalid:          {"Invalid", http.StatusBadRequest, RanNo, false},
	TooLarge:         {"TooLarge", http.StatusRequestEntityTooLarge, RanNo, false},
	Unauthorized:     {"Unauthorized", http.StatusUnauthorized, RanNo, false},
	Forbidden:        {"Forbidden", http.StatusForbidden, RanNo, false},
	NotFound:         {"NotFound", http.StatusNotFound, RanNo, false},
	Conflict:         {"Conflict", http.StatusConflict, RanNo, false},
	Stale:            {"Stale", http.StatusConflict, RanNo, false},
	KeyReused:        {"KeyReused", http.StatusUnprocessableEntity, RanNo, false},
	StillRunning:     {"StillRunning", http.StatusConflict, RanUnknown, true},
	OutcomeUnknown:   {"OutcomeUnknown", http.StatusBadGateway, RanUnknown, false},
	Overloaded:       {"Overloaded", http.StatusServiceUnavailable, RanNo, true},
	NoInstance:       {"NoInstance", http.StatusServiceUnavailable, RanNo, true},
	QuotaExceeded:    {"QuotaExceeded", http.StatusTooManyRequests, RanNo, true},
	NeverFits:        {"NeverFits", http.StatusUnprocessableEntity, RanNo, false},
	DeadlineExceeded: {"DeadlineExceeded", http.StatusGatewayTimeout, RanUnknown, false},
	BackendFailed:    {"BackendFailed", http.StatusBadGateway, RanUnknown, false},
	BadAnswer:        {"BadAnswer", http.StatusBadGateway, RanUnknown, false},
	LogUnavailable:   {"LogUnavailable", http.StatusServiceUnavailable, RanNo, true},
	NotReady:         {"NotReady", http.StatusServiceUnavailable, RanNo, true},
	Stopping:         {"Stopping", http.StatusServiceUnavailable, RanNo, true},
	NotCurrent:       {"NotCurrent", http.StatusServiceUnavailable, RanNo, true},
	Capacity:         {"Capacity", http.StatusConflict, RanNo, true},
	PlatformFailed:   {"PlatformFailed", http.StatusBadGateway, RanUnknown, true},
	Internal:         {"Internal", http.StatusInternalServerError, RanUnknown, false},
}

// Answer returns the row of k in the table of error responses, and that of Internal if k is not a valid kind.
func (k Kind) Answer() Answer {
	if k < 0 || k >= numKinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the error code of k. Codes are part of the interface and do not change.
func (k Kind) String() string {
	return k.Answer().Code
}

// Error implements error, so that a Kind can be used as a merry sentinel error.
func (k Kind) Error() string {
	return k.String()
}

// Kinds returns all error kinds except None.
func Kinds() []Kind {
	ks := make([]Kind, 0, numKinds-1)
	for k := None + 1; k < numKinds; k++ {
		ks = append(ks, k)
	}
	return ks
}

// ParseKind returns the kind with the given error code, or Internal if there is none.
func ParseKind(code string) Kind {
	for k := None; k < numKinds; k++ {
		if answers[k].Code == code {
			return k
		}
	}
	return Internal
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return merry.WrapSkipping(k, 1, merry.WithMessagef(format, args...))
}

// Wrap returns an error of kind k with a formatted message and the given cause.
func Wrap(cause error, k Kind, format string, args ...any) error {
	return merry.WrapSkipping(k, 1, merry.WithCause(cause), merry.WithMessagef(format, args...))
}

// Of returns the kind of err: None if err is nil, Internal if it has no kind.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var k Kind
	if errors.As(err, &k) {
		return k
	}
	return Internal
}
