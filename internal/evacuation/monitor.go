package evacuation

import (
	"log/slog"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Intervals of reports.
const (
	// updateInterval is the time between two updates of the gauges.
	updateInterval = 500 * time.Millisecond
	// logInterval is the time between two log lines on a data centre where tasks still run.
	logInterval = 2 * time.Second
)

// Load is what there is in a data centre.
type Load struct {
	// Workers counts the workers that are listed.
	Workers int
	// LongRunning and Other count the tasks that run, or may run.
	LongRunning, Other int
}

// Monitor reports on evacuations. Set the exported fields, then use it from one goroutine.
type Monitor struct {
	// Metrics receives the gauges.
	Metrics *telemetry.Metrics
	// Log receives the lines.
	Log *slog.Logger

	set       Set
	active    map[string]*report
	updatedAt time.Time
	// warnedLast is set once a warning was logged that no data centre is left.
	warnedLast bool
}

// report is what was reported of the evacuation of a data centre.
type report struct {
	beganAt, loggedAt time.Time
	// warnedUnknown is set once it was logged that the data centre has no workers.
	warnedUnknown bool
}

// Due reports whether [Monitor.Update] is to be called for the requests in force.
func (mo *Monitor) Due(now time.Time, se Set) bool {
	return !se.Equal(mo.set) || (!se.Empty() && now.Sub(mo.updatedAt) >= updateInterval)
}

// Update reports on the evacuations in force, given the load of all data centres by name.
func (mo *Monitor) Update(now time.Time, se Set, loads map[string]Load) {
	for _, name := range mo.set.DataCentres() {
		if !se.Contains(name) {
			mo.end(name, now, loads[name])
		}
	}
	mo.set, mo.updatedAt = se, now
	if mo.active == nil {
		mo.active = map[string]*report{}
	}
	for _, name := range se.DataCentres() {
		mo.update(name, now, loads[name], len(loads) > 0)
	}
	mo.warnLast(se, loads)
}

// update reports on one evacuation in force. The parameter listed is set if the list of workers
// is known.
func (mo *Monitor) update(name string, now time.Time, lo Load, listed bool) {
	mo.setGauge(name, lo)
	re := mo.active[name]
	switch {
	case re == nil:
		re = &report{beganAt: now, loggedAt: now}
		mo.active[name] = re
		mo.Log.Info("evacuation began", "data_centre", name, "workers", lo.Workers, "long_running", lo.LongRunning, "other", lo.Other)
	case lo.LongRunning+lo.Other > 0 && now.Sub(re.loggedAt) >= logInterval:
		re.loggedAt = now
		mo.Log.Info("evacuation in progress", "data_centre", name, "workers", lo.Workers, "long_running", lo.LongRunning, "other", lo.Other,
			"for", now.Sub(re.beganAt))
	}
	if lo.Workers == 0 && listed && !re.warnedUnknown {
		re.warnedUnknown = true
		mo.Log.Warn("evacuated data centre has no workers, is its name right?", "data_centre", name)
	}
}

func (mo *Monitor) end(name string, now time.Time, lo Load) {
	re := mo.active[name]
	mo.Log.Info("evacuation ended", "data_centre", name, "workers", lo.Workers, "long_running", lo.LongRunning, "other", lo.Other,
		"after", now.Sub(re.beganAt))
	delete(mo.active, name)
	mo.setGauge(name, Load{})
}

// warnLast warns once if every data centre that has workers is evacuated.
func (mo *Monitor) warnLast(se Set, loads map[string]Load) {
	known, left := 0, 0
	for name, lo := range loads {
		if lo.Workers == 0 {
			continue
		}
		known++
		if !se.Contains(name) {
			left++
		}
	}
	none := known > 0 && left == 0
	if none && !mo.warnedLast {
		mo.Log.Warn("all data centres are evacuated, nothing starts until a request is withdrawn", "in_force", se, "data_centres", known)
	}
	mo.warnedLast = none
}

// Reset sets the gauges to zero, as the caller reports no more.
func (mo *Monitor) Reset() {
	for name := range mo.active {
		mo.setGauge(name, Load{})
	}
	mo.active, mo.set = nil, Set{}
}

func (mo *Monitor) setGauge(name string, lo Load) {
	mo.Metrics.Set(telemetry.EvacuatedTasks, int64(lo.LongRunning), "data_centre", name, "kind", "long-running")
	mo.Metrics.Set(telemetry.EvacuatedTasks, int64(lo.Other), "data_centre", name, "kind", "other")
}
