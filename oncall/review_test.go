package oncall

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const firstHost = `time=2026-12-04T10:00:00.000Z level=INFO msg=leading Epoch=1
  12.0 host-a time=2026-12-04T10:00:01.000Z level=INFO msg="job final" Job=a Queue=q State=Completed After=1.5s Objective=2s Waited=100ms Failures=1 Moves=0 Reruns=0
time=2026-12-04T10:00:02.000Z level=INFO msg="job final" Job=b Queue=q State=Completed After=5s Objective=2s Waited=3s Failures=0 Moves=1 Reruns=2
time=2026-12-04T10:00:02.500Z level=INFO msg="moving run" Task=c.0.0.1 Why="slower than its peers"
time=2026-12-04T10:00:03.000Z level=INFO msg="leadership ended" Epoch=1 Displaced=false
not a log line
`

const secondHost = `time=2026-12-04T10:00:03.300Z level=INFO msg=leading Epoch=2
time=2026-12-04T10:00:03.400Z level=INFO msg="job final" Job=b Queue=q State=Completed After=5s Objective=2s
time=2026-12-04T10:00:04.000Z level=INFO msg=board Capacity=64000 Counted=32000 Fills=16000 WaitingFills=8000 WaitingOthers=0
time=2026-12-04T10:00:04.100Z level=INFO msg="leadership ended" Epoch=1 Displaced=true
time=2026-12-04T10:00:04.200Z level=INFO msg=rounds Rounds=1
time=2026-12-04T10:00:07.000Z level=INFO msg=leading Epoch=3
time=2026-12-04T10:00:08.000Z level=INFO msg="job final" Job=d Queue=q State=Failed After=1m2s Objective=2s
`

func TestReviewOfTwoHosts(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(secondHost), strings.NewReader(firstHost))
	is.NoErr(err)
	q := r.Queues["q"]
	is.Equal(q.OnTime.Jobs, 1)
	is.Equal(q.Late, Outcome{Jobs: 1, After: 5 * time.Second, Objective: 2 * time.Second, Waited: 3 * time.Second, Moves: 1, Reruns: 2}) // b counts once
	is.Equal(q.Failed, 1)
	is.Equal(r.Stops["slower than its peers"], 1)
	is.Equal(len(r.Changes), 3)
	is.Equal(r.Changes[1].Vacant, 300*time.Millisecond)
	is.True(r.Changes[1].Planned)
	is.Equal(r.Changes[2].Vacant, 2800*time.Millisecond) // since the last line of a leader that was lost
	is.True(!r.Changes[2].Planned)
	is.Equal(r.Uses[0].Capacity, 64.0)
	var out strings.Builder
	is.NoErr(r.WriteText(&out))
	is.True(strings.Contains(out.String(), "too late"))
}

func TestEndsOfJobsAreCountedByInterval(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(secondHost), strings.NewReader(firstHost))
	is.NoErr(err)
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	is.Equal(r.Ends, []Ends{{At: start, OnTime: 1}, {At: start.Add(2 * time.Second), Late: 1}, {At: start.Add(8 * time.Second), Failed: 1}})
}

// Names in logs come from callers, so the page must escape them.
func TestPageShowsPlotsAndEscapesNames(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(secondHost), strings.NewReader(firstHost),
		strings.NewReader(`time=2026-12-04T10:00:09.000Z level=INFO msg="job final" Job=e Queue="<script>" State=Completed After=1s Objective=2s`))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(r.WriteHTML(&out))
	is.Equal(strings.Count(out.String(), "<svg"), 3)
	is.True(!strings.Contains(out.String(), "<script>"))
	is.True(strings.Contains(out.String(), "&lt;script&gt;"))
}

func TestPageOfEmptyLogsHasNoPlots(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(""))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(r.WriteHTML(&out))
	is.Equal(strings.Count(out.String(), "<svg"), 0)
}

// Guards against a failed job in the review that callers were shown as completed, as its leader was superseded.
func TestEndThatIsNotInTheLogIsNotCounted(t *testing.T) {
	is := is.New(t)
	before := `time=2026-12-04T10:00:00.000Z level=INFO msg=leading Epoch=1
time=2026-12-04T10:00:02.000Z level=INFO msg="job final" Job=a Queue=q State=Failed After=5s Objective=2s
`
	after := `time=2026-12-04T10:00:02.100Z level=WARN msg="leadership lost" Epoch=1 Kind=Stale
time=2026-12-04T10:00:02.200Z level=INFO msg="leadership ended" Epoch=1 Displaced=true
`
	newest := `time=2026-12-04T10:00:01.500Z level=INFO msg=leading Epoch=2
time=2026-12-04T10:00:06.000Z level=INFO msg="job final" Job=a Queue=q State=Completed After=9s Objective=20s
`
	late := `time=2026-12-04T10:00:07.000Z level=INFO msg="job final" Job=a Queue=q State=Failed After=10s Objective=2s
`
	for _, first := range []string{before + after, before + late + after} {
		r, err := Read(strings.NewReader(first), strings.NewReader(newest))
		is.NoErr(err)
		is.Equal(r.Queues["q"].Failed, 0)
		is.Equal(r.Queues["q"].OnTime.Jobs, 1)
	}
}
