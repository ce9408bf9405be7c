package fleet

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The bounds of the log of one process.
const (
	logQueueLines     = 2048                   // that wait for a slow reader
	logPerSecond      = rate.Limit(300)        // lines; beyond the busiest hour of a leader, and cheap to write
	logBurst          = 1500                   // lines after a quiet time
	logReportInterval = 5 * time.Second        // between reports of dropped lines
	logFlushTimeout   = 200 * time.Millisecond // for the last lines of a process
)

// LineWriter passes lines on to a writer without ever waiting for it; lines beyond its bounds are dropped and counted.
type LineWriter struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

// NewLineWriter returns a writer in front of w.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, logQueueLines), limit: rate.NewLimiter(logPerSecond, logBurst)}
	go func() {
		for line := range l.lines {
			// There is nowhere to report that the log itself cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write takes one line; it never fails, since a log must not stop a process.
func (l *LineWriter) Write(line []byte) (int, error) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Report logs now and then how many lines were dropped, until stop is closed.
func (l *LineWriter) Report(log *slog.Logger, stop <-chan struct{}) {
	t := time.NewTicker(logReportInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if n := l.dropped.Swap(0); n > 0 {
				log.Warn("log lines dropped", "Lines", n)
			}
		}
	}
}

// Flush waits a short while for the lines that are left.
func (l *LineWriter) Flush() {
	for end := time.Now().Add(logFlushTimeout); len(l.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
