package journal

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// sampleBatch returns a batch with records of several types, some with nested fields.
func sampleBatch() *Batch {
	return &Batch{Writer: "inc-1", Seq: 7, Time: 1700000000000, Records: []Record{
		{HostJoined: &HostJoined{Seat: "s1", Incarnation: "inc-1", Address: "127.0.0.1:1", Zone: "z1"}},
		{JobSubmitted: &JobSubmitted{Job: table.Job{ID: "j1", Team: "t1", Kind: "k1", Payload: []byte("x")}, TaskCount: 2}},
		{LeaseGranted: &LeaseGranted{Task: "j1/0", Worker: "w1", Need: table.Resources{CPU: 1000}}},
		{PlanConfirmed: &PlanConfirmed{ID: "p1", Intent: Intent{Type: SetTeam, Team: &table.Team{ID: "t1", Weight: 0.5}}}},
	}}
}

// Guards against a batch that changes in a round trip, or whose encoding differs between hosts.
func TestCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := Encode(sampleBatch())
	is.NoErr(err)
	again, err := Encode(sampleBatch())
	is.NoErr(err)
	is.Equal(data, again)
	b, err := Decode(data)
	is.NoErr(err)
	is.Equal(b, sampleBatch())
}

// Guards against hostile or damaged entries that Decode accepts, and against batches that Encode accepts but no reader
// would.
func TestCodecRefusesBadBatches(t *testing.T) {
	bad := map[string]*Batch{
		"NoField":   {Writer: "w", Seq: 1, Records: []Record{{}}},
		"TwoFields": {Writer: "w", Seq: 1, Records: []Record{{WorkerGone: &WorkerGone{}, Expired: &Expired{}}}},
		"NotUTF8":   {Writer: "w", Seq: 1, Records: []Record{{WorkerGone: &WorkerGone{ID: "\xff"}}}},
	}
	for name, b := range bad {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Encode(b)
			is.Equal(fault.Of(err), fault.Invalid)
			data, err := encMode.Marshal(b)
			is.NoErr(err)
			_, err = Decode(data)
			is.Equal(fault.Of(err), fault.Invalid)
		})
	}
	is := is.New(t)
	for _, data := range [][]byte{nil, {0xff}, make([]byte, MaxEntry+1), []byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff")} {
		_, err := Decode(data)
		is.Equal(fault.Of(err), fault.Invalid)
	}
	unknown, err := encMode.Marshal(map[string]any{"Writer": "w", "Seq": 1, "Extra": 1})
	is.NoErr(err)
	_, err = Decode(unknown)
	is.Equal(fault.Of(err), fault.Invalid)
}
