package logs

import (
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Settings are what may change while the process runs. Its methods may be called concurrently.
type Settings struct {
	level     zap.AtomicLevel
	perSecond atomic.Uint64 // lines of one event, 0 for any number
}

// NewSettings returns settings with a level (debug, info, warn, error; info for any other) and a number of lines that
// each event may have in a second, 0 for any number.
func NewSettings(level string, perSecond uint64) *Settings {
	s := &Settings{level: zap.NewAtomicLevelAt(levelOf(level))}
	s.perSecond.Store(perSecond)
	return s
}

// Set replaces both.
func (s *Settings) Set(level string, perSecond uint64) {
	s.level.SetLevel(levelOf(level))
	s.perSecond.Store(perSecond)
}

func levelOf(level string) zapcore.Level {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}
