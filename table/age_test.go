package table

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the age of what was never known that is shown as three centuries.
func TestUnknownAgeIsNotANumber(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(FormatAgeAt(now, time.Time{}), "Unknown")
	is.Equal(FormatAge(now.Sub(time.Time{})), "Unknown")
	is.Equal(FormatAgeAt(now, now.Add(-1500*time.Millisecond)), "1.5s")
	is.Equal(FormatAge(0), "0s")
}
