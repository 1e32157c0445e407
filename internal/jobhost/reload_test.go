package jobhost

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func validSettings() Settings {
	return Settings{
		Name: "e1", DataCentre: "z", IP: "127.0.0.1", Ports: []int{1, 2}, StoreAddr: "127.0.0.1:9", CallerAddr: "127.0.0.1:1",
		ReadyAddr: "127.0.0.1:2", MaxLeaseMS: 6000, StopMS: 900, GraceS: 6, KeepEndedS: 120, HarmMS: 4000,
	}
}

func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(se Settings) {
		data, err := json.Marshal(se)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	}
	se := validSettings()
	write(se)
	synctest.Test(t, func(t *testing.T) {
		ho, err := New(se, slog.New(slog.DiscardHandler))
		qt.Assert(t, err, qt.IsNil)
		ctx, end := context.WithCancel(context.Background())
		signals := make(chan os.Signal)
		go ho.WatchSettings(ctx, path, signals)
		synctest.Wait()

		se.StoreAddr = "127.0.0.1:10"
		write(se)
		signals <- os.Interrupt
		synctest.Wait()
		qt.Assert(t, ho.settings.Load().StoreAddr, qt.Equals, "127.0.0.1:10")

		se.StoreAddr = "127.0.0.1:11"
		write(se)
		time.Sleep(2 * rereadInterval)
		qt.Assert(t, ho.settings.Load().StoreAddr, qt.Equals, "127.0.0.1:11")

		se.StoreAddr = "no address"
		write(se)
		time.Sleep(2 * rereadInterval)
		qt.Assert(t, ho.settings.Load().StoreAddr, qt.Equals, "127.0.0.1:11")
		end()
	})
}
