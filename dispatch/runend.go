package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// startEvidence tells how this leader knows that a run has taken effect.
type startEvidence uint8

const (
	startNotKnown startEvidence = iota
	startAnswered
	startListed   // its worker has listed the run
	startRecorded // an earlier leader has recorded either
)

var startEvidenceNames = [...]string{"start not answered", "start answered", "run listed", "start known to an earlier leader"}

// String returns the name of e.
func (e startEvidence) String() string { return startEvidenceNames[e] }

// maxRunEnds is the number of ends of runs that are kept of a task.
const maxRunEnds = 8

// endedFailed is the way in which a run ends that its worker lists as failed; other ways are those of a crash.
const endedFailed = "failed"

// runEnd is the end of a run that counts against its task.
type runEnd struct {
	run    workload.RunNumber
	worker table.WorkerID
	how    string
	start  startEvidence
}

// String returns e as a part of a log line.
func (e runEnd) String() string {
	return fmt.Sprintf("run %d on %s: %s, %s", e.run, e.worker, e.how, e.start)
}

// recordEnd keeps that the run of t, which its worker still holds, ended in the given way.
func (t *task) recordEnd(how string) {
	t.ends = append(t.ends, runEnd{run: t.run, worker: t.worker.info.ID, how: how, start: t.started})
	t.ends = t.ends[max(0, len(t.ends)-maxRunEnds):]
}

// dropEnds forgets the ends of t for which matches holds.
func (t *task) dropEnds(matches func(runEnd) bool) { t.ends = slices.DeleteFunc(t.ends, matches) }

// describeEnds returns the ends of runs that count against t, as far as this leader has seen them.
func (t *task) describeEnds() string {
	var ends []string
	if n := t.crashes + t.failures - len(t.ends); n > 0 {
		ends = append(ends, fmt.Sprintf("%d earlier", n))
	}
	for _, e := range t.ends {
		ends = append(ends, e.String())
	}
	return strings.Join(ends, "; ")
}
