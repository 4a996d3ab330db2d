package golden_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/fleet"
	"github.com/figshift/figshift/internal/golden"
	"github.com/figshift/figshift/internal/items"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/lots"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/peer"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/trace"
	"github.com/figshift/figshift/internal/update"
	"github.com/figshift/figshift/internal/weight"
	"github.com/figshift/figshift/internal/wire"
)

const (
	dir         = "testdata"
	file        = "forms"
	lengthBytes = 4 // of the length before a frame
)

// Guards against a build that another one, running beside it or before it, can't understand.
func TestFormsOfReleases(t *testing.T) {
	golden.Check(t, dir, file, names(), forms()...)
}

func FuzzForms(f *testing.F) { golden.Fuzz(f, dir, file, forms()...) }

func forms() []golden.Form {
	all := []golden.Form{
		golden.Msgpack[wire.Job]("Lots/"), golden.Msgpack[wire.JobChunk]("Chunks/"), golden.JSON[wire.JobOwner]("Owners/"), golden.JSON[event.Host]("Hosts/"),
		golden.JSON[lease.Record]("Duty/"), golden.JSON[lots.Ledger]("ledger of Rollout."), golden.JSON[weight.Ledger]("ledger of Weights."), golden.JSON[fleet.Ledger]("ledger of Fleet."),
		golden.JSON[keys.Shard]("Keys/"), golden.JSON[config.Site]("Config/Site"), golden.JSON[wire.RolloutSpec]("Rollouts/"),
		golden.Msgpack[wire.PassedCall]("/pass"), golden.Msgpack[wire.JobPage]("/jobs"), golden.Msgpack[event.JobAnswer]("answer of /submit"), golden.JSON[wire.Status]("/status"),
		golden.JSON[trace.Header]("header of a recorded run"),
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[wire.Message]()) {
		all = append(all, frame(field.Name))
	}
	for _, e := range event.ExternalTypes() {
		all = append(all, step(reflect.TypeOf(e)))
	}
	return all
}

// names returns the constants by which builds understand each other.
func names() map[string]string {
	all := map[string]string{
		"duty to report usage": event.DutyUsage, "duty to order versions": update.Duty, "duties of rollouts": wire.PrefixRolloutDuty, "duties of zones": fleet.DutyPrefix, "duties of models": weight.DutyPrefix,
		"jobs": wire.PrefixJobs, "chunks": wire.PrefixChunks, "texts": wire.PrefixTexts, "owners": wire.PrefixOwners, "hosts": member.Prefix, "keys": keys.Prefix, "rollouts": wire.PrefixRollouts,
		"path of passed calls": wire.PathPass, "header of passed calls": wire.HeaderPassed, "header of answers without length": wire.HeaderUnframed, "endpoint's answer": wire.PassedAnswer,
		"path of jobs": items.PathJob, "path of copies": items.PathCopies, "path of submissions": items.PathSubmit, "path of store calls": relay.Path, "header of the secret": relay.HeaderSecret,
		"unit of Heard": fmt.Sprint(wire.HeardUnitMS), "unknown in Heard": fmt.Sprint(wire.HeardUnknown),
	}
	for _, k := range kinds.All() {
		all["kind "+string(k)] = fmt.Sprint(kinds.AnswerFor(k).Status, " ", kinds.AnswerFor(k).Run)
	}
	return all
}

// frame returns the form of a message between hosts with one field.
func frame(field string) golden.Form {
	return golden.Form{
		Name: "message " + field, New: func() any { return new(wire.Message) }, Fields: field,
		Encode: func(v any) ([]byte, error) { return peer.Encode(*v.(*wire.Message)) },
		Decode: func(sample []byte, v any) (err error) {
			*v.(*wire.Message), err = peer.Decode(bytes.NewReader(sample), peer.MaxFrameBytes)
			return err
		},
		Split: func(sample []byte) ([]byte, func([]byte) []byte) {
			return sample[lengthBytes:], func(body []byte) []byte {
				return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
			}
		},
	}.Packed()
}

// step returns the form of a step with an event in a recorded run.
func step(t reflect.Type) golden.Form {
	return golden.Form{
		Name: "step with " + t.Name(), New: func() any { return reflect.New(t).Interface() },
		Encode: func(v any) ([]byte, error) {
			var run bytes.Buffer
			w := trace.Writer{Out: &run}
			if err := w.Begin(trace.Header{}); err != nil {
				return nil, err
			}
			err := w.Add(1, reflect.ValueOf(v).Elem().Interface().(event.Event), nil)
			return run.Bytes(), err
		},
		Decode: func(sample []byte, v any) error {
			_, steps, err := trace.Read(bytes.NewReader(sample))
			if err != nil {
				return err
			}
			if len(steps) != 1 || reflect.TypeOf(steps[0].Event) != t {
				return fmt.Errorf("%d steps, want one with %s", len(steps), t)
			}
			reflect.ValueOf(v).Elem().Set(reflect.ValueOf(steps[0].Event))
			return nil
		},
		Split: splitStep,
	}
}

// splitStep finds the event in the second line.
func splitStep(sample []byte) ([]byte, func([]byte) []byte) {
	header, line, _ := bytes.Cut(sample, []byte("\n"))
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, func([]byte) []byte { return nil }
	}
	return fields["Event"], func(encoded []byte) []byte {
		fields["Event"] = encoded
		changed, _ := json.Marshal(fields) // it was decoded from JSON
		return append(append(bytes.Clone(header), '\n'), changed...)
	}
}
