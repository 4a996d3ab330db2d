package logs

import (
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Settings holds the log settings that may change while the process runs. Its methods may be called concurrently.
type Settings struct {
	level     zap.AtomicLevel
	perSecond atomic.Uint64 // limit of lines of one event, 0 for no limit
}

// NewSettings returns settings with a level (debug, info, warn or error; any other means info) and a limit of lines per
// second for each event, 0 for no limit.
func NewSettings(level string, perSecond uint64) *Settings {
	s := &Settings{level: zap.NewAtomicLevelAt(parseLevel(level))}
	s.perSecond.Store(perSecond)
	return s
}

// Set replaces the level and the limit.
func (s *Settings) Set(level string, perSecond uint64) {
	s.level.SetLevel(parseLevel(level))
	s.perSecond.Store(perSecond)
}

func parseLevel(level string) zapcore.Level {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}
