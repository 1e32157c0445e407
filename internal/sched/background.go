package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/background"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// backgroundWork returns what gives way to ends, placement, orders, leases and holds: what learns,
// explains, accounts, and improves what already runs.
func (ow *Owner) backgroundWork() []background.Work {
	return []background.Work{
		{Name: "time accounting", Interval: tickInterval, MaxDelay: time.Second, Run: ow.accountTime},
		{Name: "demand report", Interval: demandLogInterval, MaxDelay: 5 * time.Second, Run: ow.logLongRunningDemand},
		{Name: "headroom report", Interval: headroomLogInterval, MaxDelay: 10 * time.Second, Run: ow.reportHeadroom},
		{Name: "capacity report", Interval: dataCentreInterval, MaxDelay: 5 * time.Second, Run: ow.reportCapacity},
		{Name: "idle capacity report", Interval: idleCapacityInterval, MaxDelay: 10 * time.Second, Run: ow.reportIdleCapacity},
		{Name: "visible capacity", Interval: tickInterval, MaxDelay: time.Second, Run: ow.measureVisibleCapacity},
		{Name: "stuck tasks report", Interval: stuckCheckInterval, MaxDelay: 5 * time.Second, Run: ow.reportStuck},
		{Name: "moves of held fillers", Interval: tickInterval, MaxDelay: time.Second, Run: ow.moveHeld},
		{Name: "slow workers report", Interval: slowReportInterval, MaxDelay: 5 * time.Second, Run: ow.reportSlow},
		{Name: "moves off slow workers", Interval: slowMoveInterval, MaxDelay: time.Second, Run: ow.moveOffSlow},
		{Name: "copies", Interval: copiesInterval, MaxDelay: 2 * time.Second, Run: ow.startCopies},
		{Name: "evacuation report", Interval: tickInterval, MaxDelay: time.Second, Run: ow.monitorEvacuations},
		{Name: "removal of ended jobs", Interval: tickInterval, MaxDelay: 5 * time.Second, Run: ow.forgetEnded},
		{Name: "interference", Interval: saveInterval, MaxDelay: 20 * time.Second, Run: ow.saveInterference},
		{Name: "durations", Interval: tickInterval, MaxDelay: 20 * time.Second, Run: ow.saveDurations},
		{Name: "throughput", Interval: tickInterval, MaxDelay: 2 * time.Second, Run: ow.observeThroughput},
	}
}

// busyEvents is the number of waiting events from which the loop counts as busy. A few that arrive
// at the same time as a tick don't delay anything.
const busyEvents = 32

// busy reports whether many events wait for the loop, or some have waited for long.
func (ow *Owner) busy() bool { return len(ow.events) >= busyEvents || ow.lag.Late() }

// runBackground runs the background work that is due, as a part of a tick.
func (ow *Owner) runBackground() {
	ow.background.Run(ow.beginPart(looplag.Background), ow.busy())
}

// recordBackground records that background work has run.
func (ow *Owner) recordBackground(name string, delay time.Duration) {
	ow.Metrics.Observe(telemetry.BackgroundDelay, delay, "work", name)
}
