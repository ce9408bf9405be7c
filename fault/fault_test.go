package fault

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against an error kind without a row in the table of error responses.
func TestEveryKindHasAnAnswer(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, k := range Kinds() {
		a := k.Answer()
		is.True(a.Code != "")
		is.True(a.Status >= 400)
		is.True(a.Ran == RanNo || a.Ran == RanUnknown)
		is.True(!seen[a.Code]) // codes are unique
		seen[a.Code] = true
		is.Equal(ParseKind(a.Code), k)
	}
}

// Guards against errors that lose their kind or cause when they are wrapped.
func TestWrapKeepsKindAndCause(t *testing.T) {
	is := is.New(t)
	cause := errors.New("connection refused")
	err := Wrap(cause, Overloaded, "instance %s", "i1")
	is.Equal(Of(err), Overloaded)
	is.True(errors.Is(err, cause))
	is.Equal(Of(New(Conflict, "stale")), Conflict)
	is.Equal(Of(nil), None)
	is.Equal(Of(cause), Internal)
}
