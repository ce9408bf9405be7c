package operator

import (
	"net/http"
	"slices"
	"strconv"

	"persimmonpick/fault"
)

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// query holds the filters and the page of a list request.
type query struct {
	filter map[string]string
	after  string
	limit  int
}

// readQuery parses the query of r. It rejects unknown parameters, so that a misspelt filter does not list everything.
func readQuery(r *http.Request, filters ...string) (query, error) {
	q := query{filter: map[string]string{}, limit: defaultPageSize}
	for name, values := range r.URL.Query() {
		value := values[len(values)-1]
		switch {
		case name == "After":
			q.after = value
		case name == "Limit":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 || n > maxPageSize {
				return q, fault.New(fault.Invalid, "Limit: must be a number from 1 to %d", maxPageSize)
			}
			q.limit = n
		case slices.Contains(filters, name):
			q.filter[name] = value
		default:
			return q, fault.New(fault.Invalid, "%s: unknown parameter", name)
		}
	}
	return q, nil
}

func (q query) matches(name, value string) bool {
	wanted := q.filter[name]
	return wanted == "" || wanted == value
}

// paginate returns the first page of sorted ids and, if more follow, the last id on it as the cursor of the next page.
func (q query) paginate(ids []string) (page []string, next string) {
	if len(ids) <= q.limit {
		return ids, ""
	}
	return ids[:q.limit], ids[q.limit-1]
}
