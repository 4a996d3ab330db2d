// Package logs writes the process's log: one line of key=value pairs for each event.
package logs

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/figshift/figshift/internal/event"
)

// New returns a logger that writes to w the lines of a level (debug, info, warn, error) and above,
// info for any other level. It may be used concurrently.
func New(level, host string, w io.Writer) *zap.Logger {
	return NewWith(NewSettings(level, 0), host, w)
}

// NewWith returns a logger that follows settings. It may be used concurrently.
func NewWith(settings *Settings, host string, w io.Writer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "Time"
	encoding.LevelKey = "Level"
	encoding.MessageKey = "Event"
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zaplogfmt.NewEncoder(encoding)
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), settings.level)
	return zap.New(core).With(zap.String("Daemon", host))
}

// Executor writes event.Log effects. Its exported fields are set before use.
type Executor struct {
	Log      *zap.Logger
	Settings *Settings          // bounds the lines of each event, nil for any number
	Held     func(event string) // called for each line that the bound keeps back, nil for none

	budget budget
}

// Do writes a Log effect and reports whether the effect was one.
func (x *Executor) Do(effect event.Effect) bool {
	e, ok := effect.(event.Log)
	if !ok {
		return false
	}
	if !x.Log.Core().Enabled(levelOf(e.Level)) {
		return true
	}
	if x.Settings != nil {
		x.budget.setRate(float64(x.Settings.perSecond.Load()))
	}
	held, ok := x.budget.take(e.Event)
	if !ok {
		if x.Held != nil {
			x.Held(e.Event)
		}
		return true
	}
	fields := make([]zap.Field, 0, len(e.Fields)+1)
	for _, f := range e.Fields {
		fields = append(fields, zap.String(f.Key, f.Value))
	}
	if held > 0 {
		fields = append(fields, zap.Int("Held", held)) // lines of this event that were not written before this one
	}
	x.Log.Log(levelOf(e.Level), e.Event, fields...)
	return true
}
