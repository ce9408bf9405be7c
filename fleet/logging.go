package fleet

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits on the log output of one process.
const (
	logQueueLines     = 2048                   // lines buffered for a slow reader
	logPerSecond      = rate.Limit(300)        // lines; above the peak rate of a leader, and cheap to write
	logBurst          = 1500                   // lines after a quiet period
	logReportInterval = 5 * time.Second        // between reports of dropped lines
	logFlushTimeout   = 200 * time.Millisecond // to write the buffered lines at exit
)

// LineWriter writes log lines without blocking; lines beyond its buffer or rate limit are dropped and counted.
type LineWriter struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

// NewLineWriter returns a LineWriter that writes to w.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, logQueueLines), limit: rate.NewLimiter(logPerSecond, logBurst)}
	go func() {
		for line := range l.lines {
			// An error here cannot be logged, since the log itself failed.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write queues one line; it never fails, so that logging cannot stop the process.
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

// Report periodically logs the number of dropped lines until stop is closed.
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

// Flush waits up to logFlushTimeout for the buffered lines to be written.
func (l *LineWriter) Flush() {
	for end := time.Now().Add(logFlushTimeout); len(l.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
