// Package golden compares the forms that outlive a process or cross to another one with samples that released builds wrote.
// It is used by tests only.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// OutVariable names the environment variable with the folder into which Check writes the samples of this build instead of
// comparing them.
const OutVariable = "FIGSHIFT_SAMPLES"

// Form is one encoded form of a type.
type Form struct {
	Name   string
	New    func() any // returns a pointer to a zero value
	Encode func(value any) ([]byte, error)
	Decode func(sample []byte, value any) error
	// Fields are the fields that one sample has, "" for all.
	Fields string
	// Split returns the part of a sample that holds the value, and the function that puts another one in its place; nil for
	// samples that are the value.
	Split func(sample []byte) (part []byte, join func(part []byte) []byte)

	packed bool // the value is msgpack, not JSON
}

// JSON returns the form of T as JSON.
func JSON[T any](name string) Form {
	return Form{Name: name, New: func() any { return new(T) }, Encode: json.Marshal, Decode: json.Unmarshal}
}

// Msgpack returns the form of T as msgpack.
func Msgpack[T any](name string) Form {
	return Form{Name: name, New: func() any { return new(T) }, Encode: msgpack.Marshal, Decode: func(b []byte, v any) error { return msgpack.Unmarshal(b, v) }, packed: true}
}

// Check compares the forms of a package, whose samples are in FILE.json below each release in dir, and fails t for every
// sample that today's code reads or writes otherwise: each field that the sample has must be read, written, and of the same
// value; unknown and missing fields must be taken. Names are constants that other builds know.
func Check(t *testing.T, dir, file string, names map[string]string, forms ...Form) {
	t.Helper()
	if out := os.Getenv(OutVariable); out != "" {
		write(t, filepath.Join(out, file+".json"), names, forms)
		return
	}
	releases, err := filepath.Glob(filepath.Join(dir, "*", file+".json"))
	if err != nil || len(releases) == 0 {
		t.Fatalf("no samples of %s in %s: %v", file, dir, err)
	}
	byName := map[string]Form{}
	for _, f := range forms {
		byName[f.Name] = f
	}
	for _, path := range releases {
		stored := read(t, path)
		for name, value := range stored.Names {
			if names[name] != value {
				t.Errorf("%s: %s is %q today, %q in the release", path, name, names[name], value)
			}
		}
		for name, sample := range stored.Samples {
			t.Run(filepath.Base(filepath.Dir(path))+" "+name, func(t *testing.T) {
				f, ok := byName[name]
				if !ok {
					t.Fatal("the release has a form that is gone today")
				}
				if err := f.check(sample); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// samples are the contents of one file.
type samples struct {
	Names   map[string]string
	Samples map[string][]byte
}

func read(t testing.TB, path string) samples {
	t.Helper()
	var stored samples
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

func write(t *testing.T, path string, names map[string]string, forms []Form) {
	t.Helper()
	written := samples{Names: names, Samples: map[string][]byte{}}
	for _, f := range forms {
		sample, err := f.Encode(f.filled())
		if err != nil {
			t.Fatalf("%s: %v", f.Name, err)
		}
		written.Samples[f.Name] = sample
	}
	data, err := json.MarshalIndent(written, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// filled returns a value with all fields of the form set.
func (f Form) filled() any {
	var like any = everything
	if f.Fields != "" {
		like = map[string]any{f.Fields: everything}
	}
	value := f.New()
	_ = fill(reflect.ValueOf(value), f.Name, like) // names of the type itself are known to it
	return value
}

func (f Form) check(sample []byte) error {
	part, _ := f.split(sample)
	like, err := f.generic(part)
	if err != nil {
		return errors.Wrap(err, "the sample")
	}
	if err := f.checkReading(sample, like); err != nil {
		return err
	}
	extended, err := f.extended(sample)
	if err != nil {
		return err
	}
	if err := f.checkReading(extended, like); err != nil {
		return errors.Wrap(err, "with unknown fields")
	}
	if err := f.Decode(f.emptied(sample), f.New()); err != nil {
		return errors.Wrap(err, "without fields")
	}
	today, err := f.Encode(f.filled())
	if err != nil {
		return errors.Wrap(err, "encoding")
	}
	todayPart, _ := f.split(today)
	written, err := f.generic(todayPart)
	if err != nil {
		return errors.Wrap(err, "today's encoding")
	}
	return errors.Wrap(contains(written, like, ""), "a reader of the release")
}

// checkReading decodes a sample and compares the value with the one that has all the fields of like.
func (f Form) checkReading(sample []byte, like any) error {
	want, got := f.New(), f.New()
	if err := fill(reflect.ValueOf(want), f.Name, like); err != nil {
		return err
	}
	if err := f.Decode(sample, got); err != nil {
		return errors.Wrap(err, "decoding")
	}
	all := cmp.Exporter(func(reflect.Type) bool { return true })
	if diff := cmp.Diff(want, got, all, cmpopts.EquateEmpty()); diff != "" {
		return errors.Errorf("decoded (-want +got):\n%s", diff)
	}
	return nil
}

// extended returns a sample in which each struct has one more field.
func (f Form) extended(sample []byte) ([]byte, error) {
	part, join := f.split(sample)
	like, err := f.generic(part)
	if err != nil {
		return nil, err
	}
	data, err := f.marshal(extend(reflect.TypeOf(f.New()), like))
	return join(data), err
}

// emptied returns a sample without any field.
func (f Form) emptied(sample []byte) []byte {
	part, join := f.split(sample)
	like, _ := f.generic(part) // the caller has decoded it
	var none any = map[string]any{}
	if _, ok := like.([]any); ok {
		none = []any{}
	}
	data, _ := f.marshal(none)
	return join(data)
}

func (f Form) split(sample []byte) (part []byte, join func([]byte) []byte) {
	if f.Split != nil {
		return f.Split(sample)
	}
	return sample, func(part []byte) []byte { return part }
}

func (f Form) marshal(v any) ([]byte, error) {
	if f.packed {
		return msgpack.Marshal(v)
	}
	return json.Marshal(v)
}

// generic decodes an encoded value into maps, lists, strings, bytes and numbers.
func (f Form) generic(part []byte) (any, error) {
	if !f.packed {
		var v any
		d := json.NewDecoder(bytes.NewReader(part))
		d.UseNumber()
		return v, errors.Wrap(d.Decode(&v), "decoding JSON")
	}
	d := msgpack.NewDecoder(bytes.NewReader(part))
	v, err := d.DecodeInterfaceLoose()
	return v, errors.Wrap(err, "decoding msgpack")
}

// Packed returns the form as one whose values are msgpack.
func (f Form) Packed() Form {
	f.packed = true
	return f
}

// Fuzz gives the decoders of the forms changed samples. What a decoder takes must be encoded again, and be read as before.
func Fuzz(f *testing.F, dir, file string, forms ...Form) {
	f.Helper()
	releases, _ := filepath.Glob(filepath.Join(dir, "*", file+".json")) // the pattern is valid
	if len(releases) == 0 {
		f.Fatalf("no samples of %s in %s", file, dir)
	}
	for _, path := range releases {
		stored := read(f, path)
		for i, form := range forms {
			if sample, ok := stored.Samples[form.Name]; ok {
				f.Add(uint16(i), sample)
			}
		}
	}
	f.Fuzz(func(t *testing.T, index uint16, sample []byte) {
		form := forms[int(index)%len(forms)]
		value := form.New()
		if form.Decode(sample, value) != nil {
			return
		}
		again, err := form.Encode(value)
		if err != nil {
			t.Fatalf("%s: encoding what was decoded: %v", form.Name, err)
		}
		if err := form.Decode(again, form.New()); err != nil {
			t.Fatalf("%s: decoding it again: %v", form.Name, err)
		}
	})
}
