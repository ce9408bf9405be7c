package operator

import (
	"fmt"
	"reflect"
)

// Change is the value of one field of an entity before and after a plan.
type Change struct {
	Field  string
	Before string
	After  string
}

// versionField holds the log offset of the last change. It is set when a record is applied, so it is not compared.
const versionField = "Changed"

// diffEntities returns the fields that differ between two entities of one type, given as pointers; nil means that the
// entity does not exist.
func diffEntities(before, after any) []Change {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	var list []Change
	if b.IsNil() != a.IsNil() {
		list = append(list, Change{"Exists", fmt.Sprint(!b.IsNil()), fmt.Sprint(!a.IsNil())})
	}
	return diffFields(list, "", b.Type().Elem(), deref(b), deref(a))
}

func deref(v reflect.Value) reflect.Value {
	if v.IsNil() {
		return reflect.Value{}
	}
	return v.Elem()
}

func diffFields(list []Change, path string, typ reflect.Type, before, after reflect.Value) []Change {
	for i := range typ.NumField() {
		field := typ.Field(i)
		if field.Name == versionField {
			continue
		}
		b, a := fieldAt(before, i), fieldAt(after, i)
		if field.Type.Kind() == reflect.Struct {
			list = diffFields(list, path+field.Name+".", field.Type, b, a)
			continue
		}
		change := Change{path + field.Name, formatValue(b), formatValue(a)}
		if change.Before != change.After {
			list = append(list, change)
		}
	}
	return list
}

func fieldAt(v reflect.Value, i int) reflect.Value {
	if !v.IsValid() {
		return v
	}
	return v.Field(i)
}

func formatValue(v reflect.Value) string {
	if !v.IsValid() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}
