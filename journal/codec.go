package journal

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/fault"
)

// MaxEntry is the largest encoded batch in bytes; one response of a backend server (4 MiB) must fit.
const MaxEntry = 8 << 20

// maxRecords is the largest number of records in one batch.
const maxRecords = 16384

// maxDepth is the deepest nesting that the decoder accepts; records use 6 levels.
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

// Encode returns the encoding of b; it fails with fault.Invalid for a batch that Decode would reject.
func Encode(b *Batch) ([]byte, error) {
	data, err := encMode.Marshal(b)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode batch %d of %s: %v", b.Seq, b.Writer, err)
	}
	// The encoder accepts strings that are not valid UTF-8; the decoder rejects them.
	if _, err := Decode(data); err != nil {
		return nil, err
	}
	return data, nil
}

// Decode returns the batch encoded in data; it fails with fault.Invalid if data is not a well-formed batch.
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

// fieldsSet returns the number of fields of r that are set.
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
