package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/trace"
)

// replayFile steps a new reducer through a recorded run and returns the number of steps. It fails at the first step
// whose effects differ, and for an unreadable file. An incomplete last line is ignored.
func replayFile(name string, stderr io.Writer) (int, error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, errors.Wrap(err, "replay")
	}
	defer file.Close()
	header, steps, err := trace.Read(file)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, errors.Wrap(err, "replay")
	}
	d, err := newDaemon(header.Process, recordedIdentity(header), stderr)
	if err != nil {
		return 0, err
	}
	defer d.close()
	return len(steps), replay(d.state, steps)
}

// replay returns an error at the first step whose effects differ from the recorded ones.
func replay(state *reduce.State, steps []trace.Step) error {
	for i, s := range steps {
		digest, err := trace.Digest(state.Step(s.At, s.Event))
		if err != nil {
			return err
		}
		if digest != s.Effects {
			return errors.Errorf("step %d at %s: effects of %T differ from the recording", i+1, s.At, event.Event(s.Event))
		}
	}
	return nil
}
