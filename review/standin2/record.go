package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// add writes one line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// violation writes a line on a rule that was broken.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, r.line("BROKEN "+format, args...))
}

// line writes one line and returns it; r.mu must be held.
func (r *recorder) line(format string, args ...any) string {
	text := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.w, text)
	return text
}

func (r *recorder) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
