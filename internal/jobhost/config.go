package jobhost

import (
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/watch"
	"github.com/pepperhatch/pepperhatch/platform"
)

// newConfigWatch returns the watch of the operator's configuration.
func (ho *Host) newConfigWatch() *watch.Watch {
	return &watch.Watch{
		Table: ho.table, TableName: platform.ConfigTable, Prefix: platform.ConfigPrefix, RelistOnError: true, Log: ho.log,
		OnRows: ho.onConfig, OnContact: ho.recordConfirmed,
	}
}

// onConfig puts a newer configuration and changes of evacuations in force. A configuration that
// can't be decoded is logged and ignored.
func (ho *Host) onConfig(rows []store.FeedRow, complete bool) {
	ho.onEvacuations(rows, complete, ho.configWatch.Version())
	for _, row := range rows {
		if row.Key != platform.ConfigKey || row.Deleted {
			continue
		}
		co, err := platform.DecodeConfig(row.Row)
		if err != nil {
			ho.invalidRows.Report("configuration", row.Key, row.Version, err, fmt.Sprintf("version %d stays in force", ho.frontEnd.ConfigVersion()))
			continue
		}
		old := ho.config.Load()
		if old != nil && old.Version >= co.Version {
			continue
		}
		last, _ := ho.configWatch.Contact()
		ho.log.Info("configuration in force", "config", co.Version, "was", ho.frontEnd.ConfigVersion(), "row_version", row.Version,
			"confirmed_age", watch.Age(last))
		ho.config.Store(co)
		ho.metrics.Set(telemetry.ConfigVersion, co.Version)
	}
}

// recordConfirmed records that the configuration was the latest when a call was sent.
func (ho *Host) recordConfirmed(sent time.Time) {
	ho.metrics.Set(telemetry.ConfigConfirmed, sent.Unix())
}
