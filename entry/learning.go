package entry

import (
	"log/slog"
	"time"

	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/platform"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// learning holds what the policy learns from reports; the control goroutine owns it.
type learning struct{}

func newLearning(settings.Settings, *slog.Logger) *learning {
	return &learning{}
}

func (l *learning) reload(*table.Tables, time.Time) {}

func (l *learning) folded(*table.Tables, journal.Record, time.Time) {}

func (l *learning) run(*table.Tables, time.Time) {}

func (l *learning) reported(table.WorkerID, platform.Report) {}

func (l *learning) inform(*placement.Input) {}

func (l *learning) queueConfig() queue.Config {
	return queue.Config{}
}
