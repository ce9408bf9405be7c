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

// Bucket holds the counts of one period of time. Buckets are aligned to Unix time, so those of different hosts add up.
type Bucket struct {
	Index     int64 // Unix time divided by the bucket width
	Kinds     []Count
	Instances []Count
	Workers   []Count
}

// Latencies holds the latency histogram of one kind over one period of time.
type Latencies struct {
	Index int64 // Unix time divided by the histogram width
	Kind  table.KindID
	Data  []byte // HdrHistogram of microseconds in the compressed V2 encoding
}

// Snapshot holds the counts of one incarnation within the long window; it can be encoded with gob.
type Snapshot struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Seq         uint64 // increases with every snapshot of the incarnation
	Taken       time.Time
	Buckets     []Bucket
	Latencies   []Latencies
}

// Windows holds the two window lengths over which burn rates are computed; all hosts must use the same lengths.
type Windows struct {
	Short time.Duration
	Long  time.Duration
}

const (
	bucketsPerShort   = 5 // gives the short window a resolution of a fifth of its length
	histogramsPerLong = 4 // latencies cover at most a quarter more than the long window
	minWidth          = time.Second
	maxBuckets        = 1000 // bounds memory if the windows differ greatly in length
)

// bucketWidth returns the time that a bucket covers.
func (ws Windows) bucketWidth() time.Duration {
	return max(ws.Short/bucketsPerShort, ws.Long/maxBuckets, minWidth)
}

// histogramWidth returns the time that a latency histogram covers.
func (ws Windows) histogramWidth() time.Duration {
	return max(ws.Long/histogramsPerLong, minWidth)
}

// oldestIndex returns the index of the oldest bucket that starts within a window of length d ending at now.
func oldestIndex(now time.Time, d, width time.Duration) int64 {
	return index(now.Add(-d), width) + 1
}

func index(at time.Time, width time.Duration) int64 {
	return at.UnixNano() / int64(width)
}
