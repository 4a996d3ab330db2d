package golden

import (
	"cmp"
	"hash/fnv"
	"reflect"
	"strconv"

	"github.com/pkg/errors"
)

// marker is the type of everything.
type marker struct{}

// everything stands for a sample that has all fields.
var everything = marker{}

const (
	listLength = 2
	maxNumber  = 100
	// unknownField is a field that no type has.
	unknownField = "FieldOfALaterBuild"
)

// fill sets the fields of v that a decoded sample has, to values that follow from their names alone, so that two builds
// give a field the same value. It returns an error for a field of the sample that v doesn't have.
func fill(v reflect.Value, name string, like any) error {
	if like == nil {
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		return fill(v.Elem(), name, like)
	case reflect.Struct:
		return fillStruct(v, name, like)
	case reflect.Slice:
		return fillSlice(v, name, like)
	case reflect.Array:
		for i := range v.Len() {
			if err := fill(v.Index(i), name+strconv.Itoa(i), everything); err != nil {
				return err
			}
		}
	case reflect.Map:
		return fillMap(v, name, like)
	case reflect.String:
		v.SetString(name)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(numberOf(name))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(numberOf(name)))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(numberOf(name)) + 0.5)
	}
	return nil
}

func numberOf(name string) int64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return 1 + int64(hash.Sum32()%maxNumber)
}

func fillStruct(v reflect.Value, name string, like any) error {
	fields := reflect.VisibleFields(v.Type())
	next, seen := 0, map[string]bool{}
	for _, field := range fields {
		if !field.IsExported() || field.Anonymous {
			continue
		}
		fieldLike := like
		switch l := like.(type) {
		case map[string]any:
			seen[field.Name] = true
			fieldLike = l[field.Name]
		case []any: // the fields in their order
			if next >= len(l) {
				return nil
			}
			fieldLike = l[next]
			next++
		case marker:
		default:
			return nil // a type with an encoding of its own
		}
		if err := fill(v.FieldByIndex(field.Index), field.Name, fieldLike); err != nil {
			return err
		}
	}
	switch l := like.(type) {
	case map[string]any:
		for key := range l {
			if !seen[key] {
				return errors.Errorf("%s of the release has field %s, which today's %s lacks", name, key, v.Type())
			}
		}
	case []any:
		if next < len(l) {
			return errors.Errorf("%s of the release has %d fields, today's %s has %d", name, len(l), v.Type(), next)
		}
	}
	return nil
}

func fillSlice(v reflect.Value, name string, like any) error {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes([]byte(name))
		return nil
	}
	v.Set(reflect.MakeSlice(v.Type(), listLength, listLength))
	list, _ := like.([]any)
	for i := range listLength {
		var elementLike any = everything
		if i < len(list) {
			elementLike = list[i]
		}
		if err := fill(v.Index(i), name+strconv.Itoa(i), elementLike); err != nil {
			return err
		}
	}
	return nil
}

func fillMap(v reflect.Value, name string, like any) error {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	if err := fill(key, name, everything); err != nil {
		return err
	}
	var valueLike any = everything
	if entries, ok := like.(map[string]any); ok && key.Kind() == reflect.String {
		valueLike = entries[key.String()]
	}
	if err := fill(value, name, valueLike); err != nil {
		return err
	}
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
	return nil
}

// extend adds one field to each struct of type t in a decoded sample.
func extend(t reflect.Type, like any) any {
	if like == nil {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return extend(t.Elem(), like)
	case reflect.Struct:
		return extendStruct(t, like)
	case reflect.Slice:
		list, ok := like.([]any)
		if !ok {
			return like
		}
		var extended []any
		for _, element := range list {
			extended = append(extended, extend(t.Elem(), element))
		}
		return extended
	case reflect.Map:
		entries, ok := like.(map[string]any)
		if !ok {
			return like
		}
		extended := map[string]any{}
		for key, value := range entries {
			extended[key] = extend(t.Elem(), value)
		}
		return extended
	}
	return like
}

func extendStruct(t reflect.Type, like any) any {
	switch l := like.(type) {
	case map[string]any:
		extended := map[string]any{unknownField: map[string]any{"A": []any{1, "a"}}}
		for _, field := range reflect.VisibleFields(t) {
			if value, ok := l[field.Name]; ok {
				extended[field.Name] = extend(field.Type, value)
			}
		}
		return extended
	case []any:
		var extended []any
		for i, value := range l {
			if i < t.NumField() {
				value = extend(t.Field(i).Type, value)
			}
			extended = append(extended, value)
		}
		return append(extended, unknownField)
	}
	return like
}

// contains returns an error unless written has every field of like, with its value.
func contains(written, like any, path string) error {
	switch l := like.(type) {
	case map[string]any:
		w, ok := written.(map[string]any)
		if !ok {
			return errors.Errorf("finds %T at %s, was %T", written, cmp.Or(path, "the top"), like)
		}
		for key, value := range l {
			if _, ok := w[key]; !ok {
				return errors.Errorf("misses the field %s.%s", path, key)
			}
			if err := contains(w[key], value, path+"."+key); err != nil {
				return err
			}
		}
		return nil
	case []any:
		w, ok := written.([]any)
		if !ok || len(w) < len(l) {
			return errors.Errorf("finds %v at %s, was %v", written, path, like)
		}
		for i := range l {
			if err := contains(w[i], l[i], path+"["+strconv.Itoa(i)+"]"); err != nil {
				return err
			}
		}
		return nil
	}
	if !reflect.DeepEqual(written, like) {
		return errors.Errorf("finds %v at %s, was %v", written, path, like)
	}
	return nil
}
