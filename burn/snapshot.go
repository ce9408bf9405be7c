package burn

import (
	"time"

	"persimmonpick/table"
)

// Count is the number of good and bad requests of one kind, instance or worker.
type Count struct {
	Name string
	Good int64
	Bad  int64
}

// Bucket holds the counts of one period of time; buckets of all hosts are aligned to the wall clock.
type Bucket struct {
	Index     int64 // Unix time divided by the bucket width
	Kinds     []Count
	Instances []Count
	Workers   []Count
}

// Latencies holds the latency histogram of one kind over one slice of time.
type Latencies struct {
	Index int64 // Unix time divided by the slice width
	Kind  table.KindID
	Data  []byte // HdrHistogram in its compressed V2 encoding, in microseconds
}

// Snapshot is all that one process counted and that the long window still covers; gob can carry it.
type Snapshot struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Seq         uint64 // rises with every snapshot of the incarnation
	Taken       time.Time
	Buckets     []Bucket
	Latencies   []Latencies
}

// Windows gives the lengths over which burn rates are computed; all hosts must use the same.
type Windows struct {
	Short time.Duration
	Long  time.Duration
}

const (
	bucketsPerShort = 5 // the short window is exact to a fifth of its length
	histogramsPerLong   = 4 // latencies cover at most a quarter more than the long window
	minWidth        = time.Second
	maxBuckets      = 1000 // bounds memory when the windows are far apart
)

// bucketWidth returns the length of a bucket.
func (ws Windows) bucketWidth() time.Duration {
	return max(ws.Short/bucketsPerShort, ws.Long/maxBuckets, minWidth)
}

// histogramWidth returns the length of a slice of latencies.
func (ws Windows) histogramWidth() time.Duration {
	return max(ws.Long/histogramsPerLong, minWidth)
}

// oldestIndex returns the index of the oldest bucket that a window of length d ending at now covers.
func oldestIndex(now time.Time, d, width time.Duration) int64 {
	return index(now.Add(-d), width) + 1
}

func index(at time.Time, width time.Duration) int64 {
	return at.UnixNano() / int64(width)
}
