package jobhost

import (
	"bytes"
	"context"
	"os"
	"time"
)

// rereadInterval is how often the settings file is checked for changes that came without
// a signal.
const rereadInterval = time.Second

// WatchSettings reloads the settings file on each signal, and when its content has changed,
// until ctx ends. A file that can't be read or is invalid is logged, and the old settings
// stay in force.
func (ho *Host) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ti := time.NewTicker(rereadInterval)
	defer ti.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		ho.log.Error("settings file cannot be read", "path", path, "err", err)
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ti.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			ho.log.Error("settings file cannot be read", "path", path, "err", err)
			continue
		}
		if signalled || !bytes.Equal(data, last) {
			ho.reload(path)
		}
		last = data
	}
}

// reload replaces the settings of the running host. The address of the store takes effect
// at once, limits of the owner with the next tenure, and the grace period at the stop.
// Addresses at which the host listens need a restart of the process.
func (ho *Host) reload(path string) {
	se, err := ReadSettings(path)
	if err != nil {
		ho.log.Error("settings not reloaded", "path", path, "err", err)
		return
	}
	old := ho.settings.Swap(&se)
	ho.log.Info("settings reloaded", "path", path, "store", se.StoreAddr, "store_was", old.StoreAddr,
		"restart_needed", old.CallerAddr != se.CallerAddr || old.ReadyAddr != se.ReadyAddr || old.PeerAddr() != se.PeerAddr())
}
