package journal

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/fault"
)

// MaxEntry is the largest encoded batch in bytes; one answer of a backend server (4 MiB) must fit.
const MaxEntry = 8 << 20

// maxRecords bounds the records of one batch.
const maxRecords = 16384

// maxDepth bounds the nesting of an entry; the records use 6 levels.
const maxDepth = 16

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   maxDepth,
		MaxArrayElements:  maxRecords,
		MaxMapPairs:       64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the bytes of b; it fails with fault.Invalid for a batch that Decode would refuse.
func Encode(b *Batch) ([]byte, error) {
	data, err := encMode.Marshal(b)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode batch %d of %s: %v", b.Seq, b.Writer, err)
	}
	// The encoder accepts strings that are not UTF-8, which the decoder refuses.
	if _, err := Decode(data); err != nil {
		return nil, err
	}
	return data, nil
}

// Decode returns the batch in data; it fails with fault.Invalid for anything that is not a well-formed batch.
func Decode(data []byte) (*Batch, error) {
	if len(data) > MaxEntry {
		return nil, fault.New(fault.Invalid, "entry of %d bytes is above the limit of %d", len(data), MaxEntry)
	}
	b := &Batch{}
	if err := decMode.Unmarshal(data, b); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "decode batch: %v", err)
	}
	for i := range b.Records {
		if n := fieldsSet(&b.Records[i]); n != 1 {
			return nil, fault.New(fault.Invalid, "record %d has %d fields set instead of one", i, n)
		}
	}
	return b, nil
}

// fieldsSet counts the fields of r that are set.
func fieldsSet(r *Record) int {
	v := reflect.ValueOf(r).Elem()
	n := 0
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			n++
		}
	}
	return n
}
