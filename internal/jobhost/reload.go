package jobhost

import (
	"bytes"
	"context"
	"os"
	"time"
)

// rereadEvery is how often the settings file is looked at: it may change
// without a signal.
const rereadEvery = time.Second

// WatchSettings reads the settings file again at each signal, and when it has
// changed, until ctx ends. What cannot be used is logged and left.
func (ho *Host) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ti := time.NewTicker(rereadEvery)
	defer ti.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		ho.log.Error("settings cannot be read again", "path", path, "err", err)
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
			ho.log.Error("settings cannot be read again", "path", path, "err", err)
			continue
		}
		if signalled || !bytes.Equal(data, last) {
			ho.reload(path)
		}
		last = data
	}
}

// reload takes the settings that can change while the host runs: the store's
// address at once, what the owner of a cell is bound to with the next tenure,
// the time to stop at the stop. Addresses that the host listens at need a new
// process.
func (ho *Host) reload(path string) {
	se, err := ReadSettings(path)
	if err != nil {
		ho.log.Error("settings not reloaded", "path", path, "err", err)
		return
	}
	old := ho.se.Swap(&se)
	ho.log.Info("settings reloaded", "path", path, "store", se.StoreAddr, "store_was", old.StoreAddr,
		"restart_needed", old.CallerAddr != se.CallerAddr || old.ReadyAddr != se.ReadyAddr || old.PeerAddr() != se.PeerAddr())
}
