// Package logs writes the process's log: one line of key=value pairs for each event.
package logs

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/figshift/figshift/internal/event"
)

// New returns a logger that writes lines of the given level (debug, info, warn or error; any other means info) and above
// to w. It may be used concurrently.
func New(level, host string, w io.Writer) *zap.Logger {
	return NewWithSettings(NewSettings(level, 0), host, w)
}

// NewWithSettings returns a logger that writes lines to w at the level that settings has at the time. It may be used
// concurrently.
func NewWithSettings(settings *Settings, host string, w io.Writer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Event"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zaplogfmt.NewEncoder(config)
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), settings.level)
	return zap.New(core).With(zap.String("Daemon", host))
}

// Executor writes event.Log effects. Its exported fields are set before use.
type Executor struct {
	Log        *zap.Logger
	Settings   *Settings          // limits the lines of each event, nil for no limit
	Suppressed func(event string) // called for each suppressed line, may be nil

	limiter eventLimiter
}

// Do writes a Log effect to the log and reports whether the effect was one.
func (x *Executor) Do(effect event.Effect) bool {
	e, ok := effect.(event.Log)
	if !ok {
		return false
	}
	if !x.Log.Core().Enabled(parseLevel(e.Level)) {
		return true
	}
	if x.Settings != nil {
		x.limiter.setRate(float64(x.Settings.perSecond.Load()))
	}
	suppressed, ok := x.limiter.allow(e.Event)
	if !ok {
		if x.Suppressed != nil {
			x.Suppressed(e.Event)
		}
		return true
	}
	fields := make([]zap.Field, 0, len(e.Fields)+1)
	for _, f := range e.Fields {
		fields = append(fields, zap.String(f.Key, f.Value))
	}
	if suppressed > 0 {
		fields = append(fields, zap.Int("Held", suppressed)) // number of lines of this event suppressed before this one
	}
	x.Log.Log(parseLevel(e.Level), e.Event, fields...)
	return true
}
