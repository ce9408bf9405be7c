package settings

import (
	"encoding/json"
	"os"
	"reflect"

	"persimmonpick/fault"
)

// Load reads and checks a settings file; a fault of its content has kind fault.Invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(err, fault.Invalid, "read settings")
	}
	return Parse(data)
}

// Parse reads JSON over the defaults, and its error names every fault with its path.
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

// Check returns an error of kind fault.Invalid that names every fault of s.
func (s *Settings) Check() error {
	f := &faults{}
	s.check(f)
	return f.err()
}

func syntaxError(data []byte) error {
	var discarded any
	return json.Unmarshal(data, &discarded)
}
