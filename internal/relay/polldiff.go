package relay

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// minUpdateInterval is the shortest time between updates of the progress of one worker's
// attempts on a stream. A worker is polled after each end of an attempt, and reports usage
// over the last half second, so more frequent updates would repeat the same values.
const minUpdateInterval = 250 * time.Millisecond

// pollDiff is the result of a poll, relative to the previous poll of the same worker on the
// same stream.
type pollDiff struct {
	// NotUpdated is set if no update was due, so that attempts listed before may have progressed
	// since their last one.
	NotUpdated bool `json:"n,omitempty"`
	// Updated are attempts that were not listed before, or whose progress changed.
	Updated []attemptRow `json:"r,omitempty"`
	// Removed are the ids of rows that are no longer listed.
	Removed []int `json:"g,omitempty"`
	// Ended are the attempts that have ended and that the owner has not acknowledged yet.
	Ended []endedAttempt `json:"e,omitempty"`
}

// attemptRow is a running attempt. Task and AttemptIndex are sent only the first time.
type attemptRow struct {
	// ID identifies the row among those of the worker on this stream.
	ID int `json:"i"`
	// Task and AttemptIndex identify the attempt; the index counts from 0.
	Task         string `json:"t,omitempty"`
	AttemptIndex int    `json:"a,omitempty"`
	// Checkpoint, Percent and Usage are as in [worker.RunningAttempt].
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Usage      int64  `json:"u,omitempty"`
}

// endedAttempt is an ended attempt, as in [worker.EndedAttempt].
type endedAttempt struct {
	EndNumber int64 `json:"n"`
	// RowID is the id of the attempt's row if it was listed as running. Otherwise Task and
	// AttemptIndex, which counts from 0, identify the attempt.
	RowID        int    `json:"i,omitempty"`
	Task         string `json:"t,omitempty"`
	AttemptIndex int    `json:"a,omitempty"`
	// Outcome is left out for an attempt that is done, as is its checkpoint, which is no
	// longer needed.
	Outcome    string `json:"h,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// outcomeDone is the outcome that workers report for an attempt that is done.
const outcomeDone = "done"

// diffEncoder computes the differences between successive polls of one worker, on the relay.
// The zero value is ready to use.
type diffEncoder struct {
	rows    map[worker.Attempt]attemptRow
	lastID  int
	updated time.Time
}

// encode returns the difference between a poll result and the previous one.
func (di *diffEncoder) encode(res worker.PollResult, now time.Time) *pollDiff {
	if di.rows == nil {
		di.rows = map[worker.Attempt]attemptRow{}
	}
	due := now.Sub(di.updated) >= minUpdateInterval
	pd := &pollDiff{NotUpdated: !due}
	if due {
		di.updated = now
	}
	seen := make(map[worker.Attempt]bool, len(res.Running))
	for _, ra := range res.Running {
		seen[ra.Attempt] = true
		di.encodeRunning(pd, ra, due)
	}
	for _, ea := range res.Ended {
		pd.Ended = append(pd.Ended, di.encodeEnded(ea))
	}
	for at, ro := range di.rows {
		if !seen[at] {
			pd.Removed = append(pd.Removed, ro.ID)
			delete(di.rows, at)
		}
	}
	return pd
}

// encodeEnded returns an ended attempt in the form in which it is sent.
func (di *diffEncoder) encodeEnded(ea worker.EndedAttempt) endedAttempt {
	en := endedAttempt{EndNumber: ea.EndNumber}
	if ro, ok := di.rows[ea.Attempt]; ok {
		en.RowID = ro.ID
	} else {
		en.Task, en.AttemptIndex = ea.Task, ea.Number-1
	}
	if ea.Outcome != outcomeDone {
		en.Outcome, en.Checkpoint = ea.Outcome, ea.Checkpoint
	}
	return en
}

// encodeRunning adds a running attempt to the difference if it is new, or if its progress
// changed and an update is due.
func (di *diffEncoder) encodeRunning(pd *pollDiff, ra worker.RunningAttempt, due bool) {
	known, ok := di.rows[ra.Attempt]
	ro := attemptRow{ID: known.ID, Checkpoint: ra.Checkpoint, Percent: ra.Percent, Usage: ra.Usage}
	if !ok {
		di.lastID++
		ro.ID, ro.Task, ro.AttemptIndex = di.lastID, ra.Task, ra.Number-1
	}
	if ok && (!due || ro == known) {
		return
	}
	pd.Updated = append(pd.Updated, ro)
	ro.Task, ro.AttemptIndex = "", 0
	di.rows[ra.Attempt] = ro
}

// diffDecoder reconstructs poll results from their differences, on the owner's host. The zero
// value is ready to use.
type diffDecoder struct {
	rows map[int]worker.RunningAttempt
	// updatedMS is the time of the worker's clock at the last update.
	updatedMS int64
}

// decode applies a difference and returns the complete poll result.
func (de *diffDecoder) decode(pd *pollDiff, clockMS int64) worker.PollResult {
	if de.rows == nil {
		de.rows = map[int]worker.RunningAttempt{}
	}
	for _, ro := range pd.Updated {
		ra := de.rows[ro.ID]
		if ro.Task != "" {
			ra.Attempt = worker.Attempt{Task: ro.Task, Number: ro.AttemptIndex + 1}
		}
		ra.Checkpoint, ra.Percent, ra.Usage = ro.Checkpoint, ro.Percent, ro.Usage
		de.rows[ro.ID] = ra
	}
	if !pd.NotUpdated {
		de.updatedMS = clockMS
	}
	// Ended attempts refer to rows that are removed below.
	res := worker.PollResult{ClockMS: clockMS, UsageClockMS: de.updatedMS, Running: make([]worker.RunningAttempt, 0, len(de.rows))}
	for _, en := range pd.Ended {
		res.Ended = append(res.Ended, de.decodeEnded(en))
	}
	for _, n := range pd.Removed {
		delete(de.rows, n)
	}
	for _, ra := range de.rows {
		res.Running = append(res.Running, ra)
	}
	return res
}

// decodeEnded returns an ended attempt in the form in which the worker listed it.
func (de *diffDecoder) decodeEnded(en endedAttempt) worker.EndedAttempt {
	ea := worker.EndedAttempt{Attempt: worker.Attempt{Task: en.Task, Number: en.AttemptIndex + 1}, EndNumber: en.EndNumber, Outcome: en.Outcome, Checkpoint: en.Checkpoint}
	if en.RowID > 0 {
		ea.Attempt = de.rows[en.RowID].Attempt
	}
	if ea.Outcome == "" {
		ea.Outcome = outcomeDone
	}
	return ea
}
