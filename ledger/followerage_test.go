package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
)

// Guards against a view that counts as confirmed though the records that it lacks are gone and no snapshot was read.
func TestFollowerIsNotConfirmedByRecordsThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		read, newest := 0, 0
		log := Log{
			Read: func(context.Context, Topic, Position, time.Duration) (Page, error) {
				read++
				switch read {
				case 1:
					return Page{Next: 1, End: 1}, nil
				case 2:
					time.Sleep(3 * time.Second)
					return Page{}, fault.New(fault.LogUnavailable, "silent")
				}
				return Page{}, fault.New(fault.NotFound, "gone")
			},
			Newest: func(context.Context, Topic, string) (Snapshot, error) {
				newest++
				if newest > 1 {
					return Snapshot{}, fault.New(fault.LogUnavailable, "down")
				}
				return Snapshot{End: 1}, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		f := NewFollower(FollowerConfig{Log: log, Topic: JobTopic, Logger: discardLogger, Apply: func([]Record, bool) {}})
		go f.Run(ctx)
		time.Sleep(4 * time.Second)
		is.True(f.Age() >= 4*time.Second) // the last read that reached the end began at 0 s
		cancel()
		synctest.Wait()
	})
}
