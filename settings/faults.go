package settings

import (
	"fmt"
	"strings"

	"persimmonpick/fault"
)

// faults collects the faults of a settings file, so that one run reports them all.
type faults struct {
	list []string
}

func (f *faults) add(path, format string, args ...any) {
	f.list = append(f.list, path+": "+fmt.Sprintf(format, args...))
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "settings: %s", strings.Join(f.list, "; "))
}

// joinPath appends a field name to path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
