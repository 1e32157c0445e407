package relay

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// figuresEvery is the least time between figures of one worker's attempts on a
// stream. A worker is looked at after each end, and its figures are those of the
// last half second, so more often they would say the same.
const figuresEvery = 250 * time.Millisecond

// listed is what a look saw, as far as it differs from the look at the same
// worker that was told before on the same stream.
type listed struct {
	// New are attempts that were not listed before, or whose figures changed.
	New []row `json:"r,omitempty"`
	// Gone are the numbers of rows that are no longer listed.
	Gone []int `json:"g,omitempty"`
	// Ended are the ends.
	Ended []ended `json:"e,omitempty"`
}

// row is an attempt that runs. Its name is sent the first time only.
type row struct {
	// Row numbers it among the worker's.
	Row int `json:"i"`
	// Task and Number are the attempt, counted from 0.
	Task   string `json:"t,omitempty"`
	Number int    `json:"a,omitempty"`
	// Checkpoint, Percent and Usage are as in [worker.RunningAttempt].
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Usage      int64  `json:"u,omitempty"`
}

// ended is an end as in [worker.EndedAttempt].
type ended struct {
	EndNumber int64 `json:"n"`
	// Row is the number of the row that the attempt had, if it was told of; Task and
	// Number, counted from 0, name it otherwise.
	Row    int    `json:"i,omitempty"`
	Task   string `json:"t,omitempty"`
	Number int    `json:"a,omitempty"`
	// How is left out of one that was done, and so is its checkpoint, which nobody
	// needs.
	How        string `json:"h,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// howDone is the worker's word for an attempt that was done.
const howDone = "done"

// differ makes differences of one worker's looks, on the relay. The zero value is
// ready.
type differ struct {
	rows    map[worker.Attempt]row
	next    int
	figures time.Time
}

// diff returns how a look differs from the one before.
func (di *differ) diff(si worker.PollResult, now time.Time) *listed {
	li := &listed{}
	if di.rows == nil {
		di.rows = map[worker.Attempt]row{}
	}
	due := now.Sub(di.figures) >= figuresEvery
	if due {
		di.figures = now
	}
	seen := make(map[worker.Attempt]bool, len(si.Running))
	for _, ra := range si.Running {
		seen[ra.Attempt] = true
		di.add(li, ra, due)
	}
	for _, ea := range si.Ended {
		li.Ended = append(li.Ended, di.end(ea))
	}
	for at, ro := range di.rows {
		if !seen[at] {
			li.Gone = append(li.Gone, ro.Row)
			delete(di.rows, at)
		}
	}
	return li
}

// end returns an end as it is sent.
func (di *differ) end(ea worker.EndedAttempt) ended {
	en := ended{EndNumber: ea.EndNumber}
	if ro, ok := di.rows[ea.Attempt]; ok {
		en.Row = ro.Row
	} else {
		en.Task, en.Number = ea.Task, ea.Number-1
	}
	if ea.Outcome != howDone {
		en.How, en.Checkpoint = ea.Outcome, ea.Checkpoint
	}
	return en
}

// add adds what is new of an attempt that runs.
func (di *differ) add(li *listed, ra worker.RunningAttempt, due bool) {
	known, ok := di.rows[ra.Attempt]
	ro := row{Row: known.Row, Checkpoint: ra.Checkpoint, Percent: ra.Percent, Usage: ra.Usage}
	if !ok {
		di.next++
		ro.Row, ro.Task, ro.Number = di.next, ra.Task, ra.Number-1
	}
	if ok && (!due || ro == known) {
		return
	}
	li.New = append(li.New, ro)
	ro.Task, ro.Number = "", 0
	di.rows[ra.Attempt] = ro
}

// merger puts looks together again, on the owner's host. The zero value is ready.
type merger struct {
	rows map[int]worker.RunningAttempt
}

// merge returns the whole look that a difference stands for.
func (me *merger) merge(li *listed, clockMS int64) worker.PollResult {
	if me.rows == nil {
		me.rows = map[int]worker.RunningAttempt{}
	}
	for _, ro := range li.New {
		ra := me.rows[ro.Row]
		if ro.Task != "" {
			ra.Attempt = worker.Attempt{Task: ro.Task, Number: ro.Number + 1}
		}
		ra.Checkpoint, ra.Percent, ra.Usage = ro.Checkpoint, ro.Percent, ro.Usage
		me.rows[ro.Row] = ra
	}
	si := worker.PollResult{ClockMS: clockMS, Running: make([]worker.RunningAttempt, 0, len(me.rows))}
	for _, en := range li.Ended {
		si.Ended = append(si.Ended, me.end(en))
	}
	for _, n := range li.Gone {
		delete(me.rows, n)
	}
	for _, ra := range me.rows {
		si.Running = append(si.Running, ra)
	}
	return si
}

// end returns an end as the worker listed it.
func (me *merger) end(en ended) worker.EndedAttempt {
	ea := worker.EndedAttempt{Attempt: worker.Attempt{Task: en.Task, Number: en.Number + 1}, EndNumber: en.EndNumber, Outcome: en.How, Checkpoint: en.Checkpoint}
	if en.Row > 0 {
		ea.Attempt = me.rows[en.Row].Attempt
	}
	if ea.Outcome == "" {
		ea.Outcome = howDone
	}
	return ea
}
