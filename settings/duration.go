package settings

import (
	"encoding/json"
	"time"
)

// D returns d as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// String returns d in the format of time.Duration, such as "250ms".
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON encodes d as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
