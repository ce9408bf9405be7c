package oncall

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"persimmonpick/fault"
)

// maxLine bounds the length of a log line, in bytes.
const maxLine = 1 << 20

// line is a log line: its time, its message and its fields.
type line struct {
	at     time.Time
	msg    string
	fields map[string]string
}

// timeKey starts a log line; what stands before it on a line was added by whoever collected the logs.
const timeKey = "time="

// readLines reads the log lines of r; other lines are left out.
func readLines(r io.Reader) ([]line, error) {
	var ls []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		start := strings.Index(s.Text(), timeKey)
		if start < 0 {
			continue
		}
		if l, ok := parseLine(s.Text()[start:]); ok {
			ls = append(ls, l)
		}
	}
	return ls, s.Err()
}

func parseLine(text string) (line, bool) {
	l := line{fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at, l.msg = at, l.fields["msg"]
	return l, err == nil && d.Err() == nil && l.msg != ""
}

// duration returns a field that holds a duration, or 0 if there is none.
func (l line) duration(field string) time.Duration {
	d, err := time.ParseDuration(l.fields[field])
	if err != nil {
		return 0
	}
	return d
}

// number returns a field that holds a number, or 0 if there is none.
func (l line) number(field string) float64 {
	n, err := strconv.ParseFloat(l.fields[field], 64)
	if err != nil {
		return 0
	}
	return n
}

// Read summarizes the log lines of all entry hosts, which may come in any order.
func Read(sources ...io.Reader) (Review, error) {
	var all []line
	for _, r := range sources {
		ls, err := readLines(r)
		if err != nil {
			return Review{}, fault.Wrap(err, fault.Invalid, "cannot read the logs")
		}
		all = append(all, ls...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	rev := Review{Queues: map[string]*Queue{}, Stops: map[string]int{}, Messages: map[string]int{}}
	final := map[string]bool{}
	for _, l := range all {
		rev.add(l, final)
	}
	return rev, nil
}
