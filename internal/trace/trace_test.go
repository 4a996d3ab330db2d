package trace

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

func TestStepsReadBackAsWritten(t *testing.T) {
	effects := []event.Effect{event.SendPeer{Host: "h1"}, event.Exit{}}
	digest, err := Digest(effects)
	if err != nil {
		t.Fatal(err)
	}
	want := []Step{
		{At: time.Second, Event: event.Tick{}, Effects: digest},
		{At: 2 * time.Second, Event: event.ObjectDone{Object: wire.Object{Name: "a", Value: []byte{0, 255}}}, Effects: digest},
		{At: 3 * time.Second, Event: event.RequestArrived{Request: 7, Sample: &event.SampleRef{Rollout: "r", Lot: 2}}, Effects: digest},
	}
	var file bytes.Buffer
	w := Writer{Out: &file}
	header := Header{Process: config.Process{Host: "h1"}, Incarnation: "i1", Seed: 1 << 63}
	if err := w.Begin(header); err != nil {
		t.Fatal(err)
	}
	for _, s := range want {
		if err := w.Add(s.At, s.Event, effects); err != nil {
			t.Fatal(err)
		}
	}
	gotHeader, got, err := Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(header, gotHeader); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}

func TestReadRefusesDamagedLines(t *testing.T) {
	cases := map[string]string{
		"unknown type": `{"At":1,"Type":"Nothing","Event":{}}`,
		"cut line":     `{"At":1,"Type":"Tick","Ev`,
		"wrong field":  `{"At":1,"Type":"RequestArrived","Event":{"Request":"x"}}`,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, _, err := Read(bytes.NewBufferString("{}\n" + text)); err == nil {
				t.Error("got no error")
			}
		})
	}
}

func TestDigestDependsOnOrder(t *testing.T) {
	one, _ := Digest([]event.Effect{event.Exit{}, event.Ready{Ready: true}})
	two, _ := Digest([]event.Effect{event.Ready{Ready: true}, event.Exit{}})
	if one == two {
		t.Errorf("digest %x for both orders", one)
	}
}
