// Package trace records the steps of the reducer and reads them back for replay.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
)

// Header is the first line of a recorded run. It holds the inputs from which the reducer's components are created.
type Header struct {
	Process     config.Process
	Incarnation string
	Seed        uint64
	Build       string `json:",omitempty"`
}

// Step is one recorded step: the event, its monotonic time, and a digest of its effects.
type Step struct {
	At      time.Duration
	Event   event.Event
	Effects uint64
}

// line is the encoding of a Step, as one JSON object in a line.
type line struct {
	At      time.Duration
	Type    string
	Event   json.RawMessage
	Effects uint64
}

// Writer records steps. Out is set before the first Add; it must not be used concurrently.
type Writer struct {
	Out io.Writer
}

// Begin writes the header. It is called once, before the first Add. It returns an error when the write to Out fails.
func (w *Writer) Begin(h Header) error {
	return w.write(h)
}

// Add records one step. It returns an error when the event or an effect can't be encoded or the write to Out fails.
func (w *Writer) Add(at time.Duration, ev event.Event, effects []event.Effect) error {
	digest, err := Digest(effects)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(ev)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return w.write(line{At: at, Type: typeName(ev), Event: encoded, Effects: digest})
}

func (w *Writer) write(v any) error {
	encoded, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode line")
	}
	_, err = w.Out.Write(append(encoded, '\n'))
	return errors.Wrap(err, "write line")
}

// Digest returns a hash of the effects, including their types and order. It returns an error when an effect can't be
// encoded. It may be called concurrently.
func Digest(effects []event.Effect) (uint64, error) {
	hash := xxhash.New()
	enc := json.NewEncoder(hash)
	for _, e := range effects {
		_, _ = hash.WriteString(typeName(e))
		if err := enc.Encode(e); err != nil {
			return 0, errors.Wrapf(err, "encode effect %s", typeName(e))
		}
	}
	return hash.Sum64(), nil
}

// Read returns the header and all steps of a recorded run. For a truncated line or an unknown event type it returns an
// error, together with the steps before it.
func Read(in io.Reader) (Header, []Step, error) {
	types := eventTypes()
	dec := json.NewDecoder(bufio.NewReader(in))
	var header Header
	if err := dec.Decode(&header); err != nil {
		return header, nil, errors.Wrap(err, "decode header")
	}
	var steps []Step
	for {
		var l line
		err := dec.Decode(&l)
		if errors.Is(err, io.EOF) {
			return header, steps, nil
		}
		if err != nil {
			return header, steps, errors.Wrapf(err, "decode step %d", len(steps)+1)
		}
		ev, err := decodeEvent(types, l)
		if err != nil {
			return header, steps, errors.Wrapf(err, "decode step %d", len(steps)+1)
		}
		steps = append(steps, Step{At: l.At, Event: ev, Effects: l.Effects})
	}
}

func decodeEvent(types map[string]reflect.Type, l line) (event.Event, error) {
	t, ok := types[l.Type]
	if !ok {
		return nil, errors.Errorf("unknown event type %q", l.Type)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(l.Event, v.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decode event %s", l.Type)
	}
	return v.Elem().Interface().(event.Event), nil
}

func eventTypes() map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, ev := range event.ExternalTypes() {
		types[typeName(ev)] = reflect.TypeOf(ev)
	}
	return types
}

func typeName(v any) string { return reflect.TypeOf(v).Name() }
