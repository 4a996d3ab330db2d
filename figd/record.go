package main

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/trace"
)

// recordTo records every step of the reducer to a new file; with an empty name nothing is recorded.
func (d *daemon) recordTo(name string) error {
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "creating the recording")
	}
	d.closers = append(d.closers, file)
	w := &trace.Writer{Out: file}
	if err := w.Begin(d.header(d.process)); err != nil {
		return err
	}
	d.loop.Record = func(now time.Duration, ev event.Event, effects []event.Effect) {
		if err := w.Add(now, ev, effects); err != nil {
			d.log.Error("RecordFailed", zap.Error(err))
			d.loop.Record = nil
		}
	}
	return nil
}
