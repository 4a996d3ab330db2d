package usage

import (
	"bytes"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// decode decodes what encode encoded. Fields at the end of a struct that this build doesn't know are skipped, and those that
// are missing stay zero, so that builds with more and with fewer fields read each other's counts.
func decode(b []byte, value any) error {
	return decodeValue(msgpack.NewDecoder(bytes.NewReader(b)), reflect.ValueOf(value).Elem())
}

func decodeValue(d *msgpack.Decoder, v reflect.Value) error {
	_, custom := v.Addr().Interface().(msgpack.CustomDecoder)
	switch {
	case custom:
		return d.Decode(v.Addr().Interface())
	case v.Kind() == reflect.Struct:
		return decodeFields(d, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return decodeStructs(d, v)
	}
	return d.Decode(v.Addr().Interface())
}

func decodeFields(d *msgpack.Decoder, v reflect.Value) error {
	length, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range max(length, 0) {
		if i >= v.NumField() {
			err = d.Skip()
		} else {
			err = decodeValue(d, v.Field(i))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func decodeStructs(d *msgpack.Decoder, v reflect.Value) error {
	length, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range max(length, 0) {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := decodeFields(d, element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	return nil
}
