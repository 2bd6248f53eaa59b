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

// settingsPollInterval is the interval at which the modification time of the
// settings file is checked. The file may change without a SIGHUP.
const settingsPollInterval = time.Second

// watchSettings reloads the settings file when it changes and on SIGHUP, until ctx
// ends.
func (e *Entry) watchSettings(ctx context.Context) {
	if e.opts.SettingsPath == "" {
		<-ctx.Done()
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := modificationTime(e.opts.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			last = modificationTime(e.opts.SettingsPath)
			e.reload()
		case <-tick.C:
			if now := modificationTime(e.opts.SettingsPath); !now.Equal(last) {
				last = now
				e.reload()
			}
		}
	}
}

// modificationTime returns the modification time of a file, or the zero time if the
// file cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload loads the settings file and applies the seeds, the bounds on retries, the
// memory and the descriptors. Other changes take effect at the next start. An invalid
// file leaves the previous settings in force.
func (e *Entry) reload() {
	s, err := platform.LoadSettings(e.opts.SettingsPath)
	if err != nil {
		e.log.Error("settings refused; the last ones stay in force", zap.Error(err))
		return
	}
	old := e.opts.Settings
	e.fleet.AddSeeds(s.Seeds)
	e.budget.setBounds(s.Bounds)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	e.setResources(resourcesOf(s))
	restart := s.Front != old.Front || s.Ready != old.Ready || s.Peer != old.Peer || s.StoreAddress != old.StoreAddress
	e.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds), zap.Int64("memory", s.MemoryBytes), zap.Int("descriptors", s.Descriptors), zap.Bool("restart_needed", restart))
}
