package entry

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/platform"
)

// settingsPoll is the pause between two looks whether the settings file has
// changed; it may change without a signal.
const settingsPoll = time.Second

// watchSettings follows the settings file until ctx ends.
func (e *Entry) watchSettings(ctx context.Context) {
	if e.o.SettingsPath == "" {
		<-ctx.Done()
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	last := modified(e.o.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			last = modified(e.o.SettingsPath)
			e.reload()
		case <-tick.C:
			if now := modified(e.o.SettingsPath); !now.Equal(last) {
				last = now
				e.reload()
			}
		}
	}
}

// modified returns when a file was changed last, zero if that is not known.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes over the settings file; a bad one leaves the old settings in force.
func (e *Entry) reload() {
	s, err := platform.LoadSettings(e.o.SettingsPath)
	if err != nil {
		e.log.Error("settings refused; the last ones stay in force", zap.Error(err))
		return
	}
	old := e.o.Settings
	e.fleet.AddSeeds(s.Seeds)
	e.budget.setBounds(s.Bounds)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	restart := s.Front != old.Front || s.Ready != old.Ready || s.Peer != old.Peer || s.StoreAddress != old.StoreAddress
	e.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds), zap.Int64("memory", s.MemoryBytes), zap.Bool("restart_needed", restart))
}
