package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/logs"
	"github.com/figshift/figshift/platform"
)

// settingsEvery is the interval at which the settings file is looked at, since it may change without a signal.
const settingsEvery = 5 * time.Second

// inForceAtOnce are the settings that take effect without a new start.
var inForceAtOnce = []string{"LogLevel", "LogPerSecond"}

// reload follows the settings file. Its fields are set before run.
type reload struct {
	file     string
	settings platform.Settings // as last read
	logs     *logs.Settings
	log      *zap.Logger

	seen os.FileInfo
}

// run reads the file again at SIGHUP and when it has changed, until ctx ends.
func (r *reload) run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	r.changed()
	for {
		select {
		case <-signals:
			r.changed()
			r.read("SIGHUP")
		case <-tick.C:
			if r.changed() {
				r.read("Changed")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// changed reports whether the file is another than at the last look.
func (r *reload) changed() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		return false // it is being replaced
	}
	before := r.seen
	r.seen = info
	return before != nil && (!info.ModTime().Equal(before.ModTime()) || info.Size() != before.Size())
}

// read puts into force what can be, and logs what waits for the next start. Settings that are not valid change nothing.
func (r *reload) read(why string) {
	settings, err := platform.LoadSettings(r.file)
	if err != nil {
		r.log.Error("SettingsInvalid", zap.String("Reason", why), zap.Error(err))
		return
	}
	var applied, waiting []string
	for _, name := range platform.Changed(r.settings, settings) {
		if slices.Contains(inForceAtOnce, name) {
			applied = append(applied, name)
		} else {
			waiting = append(waiting, name)
		}
	}
	r.settings = settings
	r.logs.Set(settings.LogLevel, uint64(settings.LogPerSecond))
	r.log.Info("SettingsRead", zap.String("Reason", why),
		zap.String("InForce", strings.Join(applied, ",")), zap.String("AtNextStart", strings.Join(waiting, ",")))
}
