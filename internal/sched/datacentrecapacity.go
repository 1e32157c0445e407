package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/capacity"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

const (
	// dataCentreInterval is the time between two reports of the capacity by data centre.
	dataCentreInterval = time.Second
	// maxCapacityLines bounds the lines of one report.
	maxCapacityLines = 16
)

// dataCentreCapacity is the state of the reports of capacity by data centre.
type dataCentreCapacity struct {
	groups capacity.Groups
	// summary is that of the last round of placement or report, computed at summarizedAt. logged
	// has the figures as they were last logged.
	summary, logged capacity.Summary
	summarizedAt    time.Time
}

// addTo adds the worker to a tally, unless it is dead or has no entry.
func (wk *workerState) addTo(ta *capacity.Tally, available bool) {
	if wk.dead || wk.unlisted {
		return
	}
	if wk.capacityGroup == 0 {
		wk.capacityGroup = wk.ow.dataCentreCapacity.groups.Number(capacity.Key{DataCentre: wk.DataCentre, Service: wk.Service})
	}
	fi := capacity.Figures{
		Workers: 1, Total: wk.Capacity.MilliCores,
		LongRunning: wk.reserved.MilliCores - wk.finiteReserved.MilliCores, Finite: wk.finiteReserved.MilliCores,
	}
	if available {
		fi.Available, fi.Usable, fi.Idle = 1, wk.Capacity.MilliCores, max(wk.Capacity.MilliCores-wk.expectedUse, 0)
	}
	ta.Add(wk.capacityGroup, fi)
}

// setSummary records the summary of a round of placement.
func (cr *dataCentreCapacity) setSummary(su capacity.Summary, now time.Time) {
	cr.summary, cr.summarizedAt = su, now
}

// reportCapacity sets the gauges of capacity by data centre and logs the figures that have changed
// notably.
func (ow *Owner) reportCapacity(now time.Time) {
	cr := &ow.dataCentreCapacity
	if now.Sub(cr.summarizedAt) >= dataCentreInterval {
		ta := cr.groups.Tally()
		for wk := range ow.allWorkers() {
			wk.addTo(ta, wk.unavailableReason(now) == "")
		}
		cr.setSummary(ta.Summary(), now)
	}
	for _, ke := range cr.summary.Keys() {
		setDataCentreGauges(ow.Metrics, ke, cr.summary.Of(ke))
	}
	changed := cr.summary.Changed(cr.logged)
	for _, ke := range changed[:min(len(changed), maxCapacityLines)] {
		fi := cr.summary.Of(ke)
		cr.logged = cr.logged.With(ke, fi)
		ow.Log.Info("capacity of a data centre", "data_centre", ke.DataCentre, "service", ke.Service, "workers", fi.Workers, "available", fi.Available,
			"millicores", fi.Total, "usable_millicores", fi.Usable, "lasting_millicores", fi.LongRunning, "passing_millicores", fi.Finite,
			"idle_millicores", fi.Idle, "age", now.Sub(cr.summarizedAt))
	}
}

// resetCapacityGauges sets the gauges of capacity by data centre to 0.
func (ow *Owner) resetCapacityGauges() {
	for _, ke := range ow.dataCentreCapacity.summary.Keys() {
		setDataCentreGauges(ow.Metrics, ke, capacity.Figures{})
	}
}

// setDataCentreGauges sets the gauges of a data centre and service.
func setDataCentreGauges(me *telemetry.Metrics, ke capacity.Key, fi capacity.Figures) {
	set := func(name telemetry.Name, label, value string, n int64) {
		me.Set(name, n, "data_centre", ke.DataCentre, "service", ke.Service, label, value)
	}
	set(telemetry.DataCentreWorkers, "state", "listed", int64(fi.Workers))
	set(telemetry.DataCentreWorkers, "state", "available", int64(fi.Available))
	set(telemetry.DataCentreCores, "part", "total", fi.Total/1000)
	set(telemetry.DataCentreCores, "part", "usable", fi.Usable/1000)
	set(telemetry.DataCentreCores, "part", "long-running", fi.LongRunning/1000)
	set(telemetry.DataCentreCores, "part", "finite", fi.Finite/1000)
	set(telemetry.DataCentreCores, "part", "idle", fi.Idle/1000)
}
