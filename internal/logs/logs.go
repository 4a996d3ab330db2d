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
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "Time"
	encoding.LevelKey = "Level"
	encoding.MessageKey = "Event"
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zaplogfmt.NewEncoder(encoding)
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), levelOf(level))
	return zap.New(core).With(zap.String("Daemon", host))
}

func levelOf(level string) zapcore.Level {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}

// Executor writes event.Log effects. Its field is set before use.
type Executor struct{ Log *zap.Logger }

// Do writes a Log effect and reports whether the effect was one.
func (x *Executor) Do(effect event.Effect) bool {
	e, ok := effect.(event.Log)
	if !ok {
		return false
	}
	fields := make([]zap.Field, len(e.Fields))
	for i, f := range e.Fields {
		fields[i] = zap.String(f.Key, f.Value)
	}
	x.Log.Log(levelOf(e.Level), e.Event, fields...)
	return true
}
