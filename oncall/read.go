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

// line is a log line: its time, its message, its fields, and the epoch under which its host led last, or 0.
type line struct {
	at     time.Time
	msg    string
	fields map[string]string
	epoch  float64
}

// timeKey starts a log line; what stands before it on a line was added by whoever collected the logs.
const timeKey = "time="

// readLines reads the log lines of r; other lines are left out.
func readLines(r io.Reader) ([]line, error) {
	var ls []line
	epoch := 0.0
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		start := strings.Index(s.Text(), timeKey)
		if start < 0 {
			continue
		}
		if l, ok := parseLine(s.Text()[start:]); ok {
			if l.msg == "leading" {
				epoch = l.number("Epoch")
			}
			l.epoch = epoch
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
	states, final := finalStates(all), map[string]bool{}
	for _, l := range all {
		if l.msg != "job final" || l.fields["State"] == states[l.fields["Job"]] {
			rev.add(l, final)
		}
	}
	return rev, nil
}

// finalStates returns the state of each job that became final, by the newest leader that told one: what a leader
// before it told otherwise was not in the log.
func finalStates(ls []line) map[string]string {
	states, epochs := map[string]string{}, map[string]float64{}
	for _, l := range ls {
		if job := l.fields["Job"]; l.msg == "job final" && l.epoch >= epochs[job] {
			states[job], epochs[job] = l.fields["State"], l.epoch
		}
	}
	return states
}
