package settings

import (
	"encoding/json"
	"os"
	"reflect"

	"persimmonpick/fault"
)

// Load reads and validates the settings file at path; all its errors are of kind fault.Invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(err, fault.Invalid, "read settings")
	}
	return Parse(data)
}

// Parse decodes JSON on top of the defaults and validates the result; its error lists every fault with its path.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if !json.Valid(data) {
		return Settings{}, fault.Wrap(syntaxError(data), fault.Invalid, "settings: not valid JSON")
	}
	f := &faults{}
	decode(data, reflect.ValueOf(&s).Elem(), "", f)
	if len(f.list) == 0 {
		s.check(f)
	}
	if err := f.err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Check returns an error of kind fault.Invalid that lists every fault of s, or nil.
func (s *Settings) Check() error {
	f := &faults{}
	s.check(f)
	return f.err()
}

// syntaxError returns the error of encoding/json for data that is not valid JSON.
func syntaxError(data []byte) error {
	var discarded any
	return json.Unmarshal(data, &discarded)
}
