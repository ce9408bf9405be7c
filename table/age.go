package table

import (
	"math"
	"time"
)

// UnknownAge is the age of what has no known time, such as the time since a zero time.Time.
const UnknownAge = time.Duration(math.MaxInt64)

// FormatAge returns an age for a log line or a message.
func FormatAge(age time.Duration) string {
	if age == UnknownAge {
		return "Unknown"
	}
	return age.Round(time.Millisecond).String()
}

// FormatAgeAt returns the age at now of what is from the given time, which may be zero.
func FormatAgeAt(now, at time.Time) string {
	if at.IsZero() {
		return FormatAge(UnknownAge)
	}
	return FormatAge(now.Sub(at))
}
