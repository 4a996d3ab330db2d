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

// settingsPollInterval is the interval at which the settings file is checked, since it may change without a signal.
const settingsPollInterval = 5 * time.Second

// reloadableSettings are the settings that take effect without a restart.
var reloadableSettings = []string{"LogLevel", "LogPerSecond"}

// settingsReloader reloads the settings file. Its fields up to log are set before run.
type settingsReloader struct {
	file     string
	settings platform.Settings // as last loaded
	logs     *logs.Settings
	log      *zap.Logger

	lastInfo os.FileInfo // of the file at the last check
}

// run reloads the file at SIGHUP and whenever it has changed, until ctx ends.
func (r *settingsReloader) run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	r.fileChanged()
	for {
		select {
		case <-signals:
			r.fileChanged()
			r.apply("SIGHUP")
		case <-tick.C:
			if r.fileChanged() {
				r.apply("Changed")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// fileChanged reports whether the file differs in time or size from the last check.
func (r *settingsReloader) fileChanged() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		return false // the file is probably being replaced
	}
	before := r.lastInfo
	r.lastInfo = info
	return before != nil && (!info.ModTime().Equal(before.ModTime()) || info.Size() != before.Size())
}

// apply loads the settings, applies those that can change at run time and logs those that need a restart. An invalid
// file changes nothing.
func (r *settingsReloader) apply(reason string) {
	settings, err := platform.LoadSettings(r.file)
	if err != nil {
		r.log.Error("SettingsInvalid", zap.String("Reason", reason), zap.Error(err))
		return
	}
	var applied, pending []string
	for _, name := range platform.ChangedSettings(r.settings, settings) {
		if slices.Contains(reloadableSettings, name) {
			applied = append(applied, name)
		} else {
			pending = append(pending, name)
		}
	}
	r.settings = settings
	r.logs.Set(settings.LogLevel, uint64(settings.LogPerSecond))
	r.log.Info("SettingsRead", zap.String("Reason", reason),
		zap.String("InForce", strings.Join(applied, ",")), zap.String("AtNextStart", strings.Join(pending, ",")))
}
