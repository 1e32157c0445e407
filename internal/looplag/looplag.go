// Package looplag measures how far an event loop is behind: how long events wait for it, how long
// changes wait until they are durable, how much work it does, and how its time divides among the
// parts of that work.
//
// It knows the longest waits only. An event that is still queued counts once it is handled, so a loop
// that stands still is not reported until it goes on. Times are those of the clock: they include what
// the loop waits for a processor while it has work.
package looplag

import (
	"fmt"
	"strings"
	"time"
)

// Part is a part of the work of the loop.
type Part int

// The parts.
const (
	// Idle: the loop waits for events.
	Idle Part = iota
	// Polls: answers of workers to polls, and the next ones.
	Polls
	// Launches: answers to start orders.
	Launches
	// Submissions: submitted jobs and calls of other hosts.
	Submissions
	// Writes: answers of the store, and the orders that waited for them.
	Writes
	// Ticks: what depends on time alone.
	Ticks
	// Background: what gives way to everything else.
	Background
	// Placement: rounds of placement.
	Placement
	// Encoding: rows for the next write.
	Encoding
	// Other: everything else.
	Other

	parts
)

// partNames are the names of the parts in logs and metrics.
var partNames = [parts]string{"idle", "polls", "launches", "submissions", "writes", "ticks", "background", "placement", "encoding", "other"}

// String returns the part's name.
func (pa Part) String() string { return partNames[pa] }

// Times is a time for each part of the work.
type Times [parts]time.Duration

// Busy returns the share of the time in which the loop was not idle.
func (ti Times) Busy() float64 {
	total := time.Duration(0)
	for _, d := range ti {
		total += d
	}
	if total <= 0 {
		return 0
	}
	return 1 - float64(ti[Idle])/float64(total)
}

// String returns the times in milliseconds, without the parts that took none.
func (ti Times) String() string {
	var list []string
	for pa, d := range ti {
		if ms := d.Milliseconds(); ms > 0 {
			list = append(list, fmt.Sprintf("%s:%d", Part(pa), ms))
		}
	}
	return strings.Join(list, " ")
}

// Limits on the reports of a loop that falls behind.
const (
	// eventsBehindAfter is the wait of an event for the loop from which the loop counts as
	// behind, changesBehindAfter the wait of a job's change until it is durable.
	eventsBehindAfter  = 25 * time.Millisecond
	changesBehindAfter = 100 * time.Millisecond
	// logInterval is the least time between two log lines about a loop that is behind.
	logInterval = time.Second
)

// Workload counts the loop's work, and holds the longest waits, over some time.
type Workload struct {
	// EventWait is the longest wait of an event for the loop, ChangeWait the longest time from
	// a job's change to the end of the write that includes it.
	EventWait, ChangeWait time.Duration
	// Events, Rounds and Rated count events, placement rounds, and the workers rated in them.
	Events, Rounds, Rated int64
	// Visits counts the workers, attempts and jobs that were looked at, other than those that
	// an event concerns.
	Visits int64
	// Writes counts completed writes, Written the jobs in them.
	Writes, Written int64
	// StartDelay is the longest time until a goroutine that the loop started got to run, which
	// shows how long everything beside the loop waits for a processor. WriteTime is the longest
	// time of a write.
	StartDelay, WriteTime time.Duration
	// Times is the time of each part of the work.
	Times Times
}

func (wl Workload) plus(other Workload) Workload {
	for pa, d := range wl.Times {
		other.Times[pa] += d
	}
	return Workload{
		StartDelay: max(wl.StartDelay, other.StartDelay), WriteTime: max(wl.WriteTime, other.WriteTime), Times: other.Times,
		EventWait: max(wl.EventWait, other.EventWait), ChangeWait: max(wl.ChangeWait, other.ChangeWait),
		Events: wl.Events + other.Events, Rounds: wl.Rounds + other.Rounds, Rated: wl.Rated + other.Rated, Visits: wl.Visits + other.Visits,
		Writes: wl.Writes + other.Writes, Written: wl.Written + other.Written,
	}
}

func (wl Workload) behind() bool {
	return wl.EventWait >= eventsBehindAfter || wl.ChangeWait >= changesBehindAfter
}

// Meter measures a loop. Its zero value is ready to use.
type Meter struct {
	// tick is the workload since the last tick, last that between the two last ticks, and
	// sinceLog that of the ticks since loggedAt.
	tick, last, sinceLog Workload
	loggedAt             time.Time
	// part is the part of the work that the loop has been at since partAt.
	part   Part
	partAt time.Time
	// behindSince is when the loop was first reported as behind, or zero once it keeps up.
	behindSince time.Time
}

// RecordEvent records that an event waited for the given time.
func (me *Meter) RecordEvent(wait time.Duration) {
	me.tick.Events++
	me.tick.EventWait = max(me.tick.EventWait, wait)
}

// Begin records that the loop begins a part of its work at the given time, which ends the part before.
func (me *Meter) Begin(pa Part, now time.Time) {
	if !me.partAt.IsZero() {
		me.tick.Times[me.part] += now.Sub(me.partAt)
	}
	me.part, me.partAt = pa, now
}

// RecordRound records a placement round.
func (me *Meter) RecordRound() { me.tick.Rounds++ }

// RecordRated records that workers were rated.
func (me *Meter) RecordRated(workers int) { me.tick.Rated += int64(workers) }

// RecordVisits records that workers, attempts or jobs were looked at.
func (me *Meter) RecordVisits(n int) { me.tick.Visits += int64(n) }

// RecordWrite records that a write of the given number of jobs has ended after the given time.
// delay is the time until its goroutine got to run.
func (me *Meter) RecordWrite(jobs int, took, delay time.Duration) {
	me.tick.Writes++
	me.tick.Written += int64(jobs)
	me.tick.WriteTime = max(me.tick.WriteTime, took)
	me.tick.StartDelay = max(me.tick.StartDelay, delay)
}

// RecordChange records that a change waited for the given time until it was durable.
func (me *Meter) RecordChange(wait time.Duration) {
	me.tick.ChangeWait = max(me.tick.ChangeWait, wait)
}

// Current returns the workload since the last tick.
func (me *Meter) Current() Workload { return me.tick }

// Late reports whether events have lately waited for long, or goroutines for a processor.
func (me *Meter) Late() bool {
	return max(me.tick.EventWait, me.last.EventWait, me.tick.StartDelay, me.last.StartDelay) >= eventsBehindAfter
}

// State is what is to be logged about a loop.
type State int

// States of a loop.
const (
	// Unchanged: there is nothing to log.
	Unchanged State = iota
	// Behind: the loop is behind.
	Behind
	// CaughtUp: the loop keeps up again.
	CaughtUp
)

// Report is what is to be logged about a loop.
type Report struct {
	State State
	// Workload is that since the last report, Over the time for which it counts, 0 if this is
	// the first report.
	Workload Workload
	Over     time.Duration
	// BehindFor is how long the loop was behind, if it keeps up again.
	BehindFor time.Duration
}

// Tick returns the workload since the last tick, and what is to be logged.
func (me *Meter) Tick(now time.Time) (Workload, Report) {
	wl := me.tick
	me.tick, me.last, me.sinceLog = Workload{}, wl, me.sinceLog.plus(wl)
	if now.Sub(me.loggedAt) < logInterval {
		return wl, Report{}
	}
	re := Report{Workload: me.sinceLog}
	if !me.loggedAt.IsZero() {
		re.Over = now.Sub(me.loggedAt)
	}
	switch {
	case me.sinceLog.behind():
		if me.behindSince.IsZero() {
			me.behindSince = now
		}
		re.State = Behind
	case !me.behindSince.IsZero():
		re.State, re.BehindFor = CaughtUp, now.Sub(me.behindSince)
		me.behindSince = time.Time{}
	}
	me.loggedAt, me.sinceLog = now, Workload{}
	return wl, re
}
