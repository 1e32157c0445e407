package relay

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// minUpdateInterval is the least time between figures of one worker's attempts on a
// stream. A worker is looked at after each end, and its figures are those of the
// last half second, so more often they would say the same.
const minUpdateInterval = 250 * time.Millisecond

// listed is what a look saw, as far as it differs from the look at the same
// worker that was told before on the same stream.
type pollDiff struct {
	// New are attempts that were not listed before, or whose figures changed.
	Updated []attemptRow `json:"r,omitempty"`
	// Gone are the numbers of rows that are no longer listed.
	Removed []int `json:"g,omitempty"`
	// Ended are the ends.
	Ended []endedAttempt `json:"e,omitempty"`
}

// row is an attempt that runs. Its name is sent the first time only.
type attemptRow struct {
	// Row numbers it among the worker's.
	ID int `json:"i"`
	// Task and Number are the attempt, counted from 0.
	Task         string `json:"t,omitempty"`
	AttemptIndex int    `json:"a,omitempty"`
	// Checkpoint, Percent and Usage are as in [worker.RunningAttempt].
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Usage      int64  `json:"u,omitempty"`
}

// ended is an end as in [worker.EndedAttempt].
type endedAttempt struct {
	EndNumber int64 `json:"n"`
	// Row is the number of the row that the attempt had, if it was told of; Task and
	// Number, counted from 0, name it otherwise.
	RowID        int    `json:"i,omitempty"`
	Task         string `json:"t,omitempty"`
	AttemptIndex int    `json:"a,omitempty"`
	// How is left out of one that was done, and so is its checkpoint, which nobody
	// needs.
	Outcome    string `json:"h,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// outcomeDone is the worker's word for an attempt that was done.
const outcomeDone = "done"

// diffEncoder makes differences of one worker's looks, on the relay. The zero value is
// ready.
type diffEncoder struct {
	rows    map[worker.Attempt]attemptRow
	next    int
	updated time.Time
}

// diff returns how a look differs from the one before.
func (di *diffEncoder) encode(si worker.Sight, now time.Time) *pollDiff {
	li := &pollDiff{}
	if di.rows == nil {
		di.rows = map[worker.Attempt]attemptRow{}
	}
	due := now.Sub(di.updated) >= minUpdateInterval
	if due {
		di.updated = now
	}
	seen := make(map[worker.Attempt]bool, len(si.Running))
	for _, ra := range si.Running {
		seen[ra.Attempt] = true
		di.encodeRunning(li, ra, due)
	}
	for _, ea := range si.Ended {
		li.Ended = append(li.Ended, di.encodeEnded(ea))
	}
	for at, ro := range di.rows {
		if !seen[at] {
			li.Removed = append(li.Removed, ro.ID)
			delete(di.rows, at)
		}
	}
	return li
}

// end returns an end as it is sent.
func (di *diffEncoder) encodeEnded(ea worker.EndedAttempt) endedAttempt {
	en := endedAttempt{EndNumber: ea.EndNumber}
	if ro, ok := di.rows[ea.Attempt]; ok {
		en.RowID = ro.ID
	} else {
		en.Task, en.AttemptIndex = ea.Task, ea.Number-1
	}
	if ea.How != outcomeDone {
		en.Outcome, en.Checkpoint = ea.How, ea.Checkpoint
	}
	return en
}

// add adds what is new of an attempt that runs.
func (di *diffEncoder) encodeRunning(li *pollDiff, ra worker.RunningAttempt, due bool) {
	known, ok := di.rows[ra.Attempt]
	ro := attemptRow{ID: known.ID, Checkpoint: ra.Checkpoint, Percent: ra.Percent, Usage: ra.Usage}
	if !ok {
		di.next++
		ro.ID, ro.Task, ro.AttemptIndex = di.next, ra.Task, ra.Number-1
	}
	if ok && (!due || ro == known) {
		return
	}
	li.Updated = append(li.Updated, ro)
	ro.Task, ro.AttemptIndex = "", 0
	di.rows[ra.Attempt] = ro
}

// diffDecoder puts looks together again, on the owner's host. The zero value is ready.
type diffDecoder struct {
	rows map[int]worker.RunningAttempt
}

// merge returns the whole look that a difference stands for.
func (me *diffDecoder) decode(li *pollDiff, clockMS int64) worker.Sight {
	if me.rows == nil {
		me.rows = map[int]worker.RunningAttempt{}
	}
	for _, ro := range li.Updated {
		ra := me.rows[ro.ID]
		if ro.Task != "" {
			ra.Attempt = worker.Attempt{Task: ro.Task, Number: ro.AttemptIndex + 1}
		}
		ra.Checkpoint, ra.Percent, ra.Usage = ro.Checkpoint, ro.Percent, ro.Usage
		me.rows[ro.ID] = ra
	}
	si := worker.Sight{ClockMS: clockMS, Running: make([]worker.RunningAttempt, 0, len(me.rows))}
	for _, en := range li.Ended {
		si.Ended = append(si.Ended, me.decodeEnded(en))
	}
	for _, n := range li.Removed {
		delete(me.rows, n)
	}
	for _, ra := range me.rows {
		si.Running = append(si.Running, ra)
	}
	return si
}

// end returns an end as the worker listed it.
func (me *diffDecoder) decodeEnded(en endedAttempt) worker.EndedAttempt {
	ea := worker.EndedAttempt{Attempt: worker.Attempt{Task: en.Task, Number: en.AttemptIndex + 1}, EndNumber: en.EndNumber, How: en.Outcome, Checkpoint: en.Checkpoint}
	if en.RowID > 0 {
		ea.Attempt = me.rows[en.RowID].Attempt
	}
	if ea.How == "" {
		ea.How = outcomeDone
	}
	return ea
}
