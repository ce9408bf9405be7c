package journal

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against an entry that crashes Decode or Apply, or that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(sampleBatch())
	is.New(f).NoErr(err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(b)
		is.New(t).NoErr(err)
		same, err := Decode(again)
		is.New(t).NoErr(err)
		third, err := Encode(same)
		is.New(t).NoErr(err)
		is.New(t).True(bytes.Equal(again, third))
		tables := newTestTables().t
		Apply(tables, tables.Applied+1, b)
		snapshotOf(t, tables)
	})
}

// Guards against a chunk that crashes the Assembler, and against a snapshot made of chunks that were never written.
func FuzzAssembler(f *testing.F) {
	tables := newTestTables().t
	chunks, err := EncodeSnapshot(tables)
	is.New(f).NoErr(err)
	f.Add(chunks[0], uint64(1), false)
	f.Add([]byte("\xa0"), uint64(1), true)
	f.Add(snapshotOf(f, tables), uint64(tables.Applied), true)
	f.Fuzz(func(t *testing.T, data []byte, off uint64, sealed bool) {
		a := NewAssembler()
		if sealed { // hostile tables with correct checksums
			body, err := deflate(data)
			is.New(t).NoErr(err)
			sealedChunks, err := splitChunks(table.Offset(off), body)
			is.New(t).NoErr(err)
			for _, c := range sealedChunks {
				_ = a.Add(c)
			}
		} else if a.Add(data) == nil && a.Newest() != nil {
			is.New(t).Equal(snapshotOf(t, a.Newest()), snapshotOf(t, tables))
		}
		if a.Newest() != nil {
			Apply(a.Newest(), a.Newest().Applied+1, sampleBatch())
		}
	})
}
