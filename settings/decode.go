package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// decode sets v from raw. Unlike encoding/json, it continues after a fault in order to report them all, and compares
// names case-sensitively.
func decode(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		// encoding/json encodes nil slices and maps as null.
		if v.Kind() != reflect.Slice && v.Kind() != reflect.Map {
			f.add(path, "must not be null")
		}
		return
	}
	if v.Addr().Type().Implements(unmarshalerType) {
		decodeLeaf(raw, v, path, f)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(raw, v, path, f)
	case reflect.Slice:
		decodeSlice(raw, v, path, f)
	case reflect.Map:
		decodeMap(raw, v, path, f)
	default:
		decodeLeaf(raw, v, path, f)
	}
}

func decodeLeaf(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	err := json.Unmarshal(raw, v.Addr().Interface())
	if err == nil {
		return
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		f.add(path, "must be a %s, not a %s", wrong.Type, wrong.Value)
		return
	}
	f.add(path, "%v", err)
}

func decodeStruct(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	members, err := readObject(raw)
	if err != nil {
		f.add(path, "%v", err)
		return
	}
	seen := map[string]bool{}
	for _, m := range members {
		at := joinPath(path, m.name)
		field := v.FieldByName(m.name)
		switch {
		case !field.IsValid():
			f.add(at, "unknown name")
		case seen[m.name]:
			f.add(at, "given twice")
		default:
			decode(m.value, field, at, f)
		}
		seen[m.name] = true
	}
}

func decodeSlice(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		f.add(path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		decode(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i), f)
	}
}

// decodeMap reports faults by the position of a member, since the names in TeamTokens are secrets.
func decodeMap(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	members, err := readObject(raw)
	if err != nil {
		f.add(path, "%v", err)
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(members)))
	for i, m := range members {
		at := fmt.Sprintf("%s[%d]", path, i)
		key := reflect.ValueOf(m.name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			f.add(at, "given twice")
			continue
		}
		value := reflect.New(v.Type().Elem()).Elem()
		decode(m.value, value, at, f)
		v.SetMapIndex(key, value)
	}
}

type member struct {
	name  string
	value json.RawMessage
}

// readObject returns the members of a JSON object in file order, including repeated names.
func readObject(raw json.RawMessage) ([]member, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	open, err := d.Token()
	if err != nil {
		return nil, err
	}
	if open != json.Delim('{') {
		return nil, errors.New("must be an object")
	}
	var members []member
	for d.More() {
		m, err := readMember(d)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the object")
	}
	return members, nil
}

func readMember(d *json.Decoder) (member, error) {
	token, err := d.Token()
	if err != nil {
		return member{}, err
	}
	name, ok := token.(string)
	if !ok {
		return member{}, errors.New("a member must have a name")
	}
	m := member{name: name}
	return m, d.Decode(&m.value)
}
