package job

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// ErrTooLarge is returned for a job, or a state of one, that doesn't fit into the rows of the store.
var ErrTooLarge = errors.New("does not fit into a row of the store")

// Omitted is what a row lacks of the state of its job, for want of space. A next owner starts
// tasks without a checkpoint from their beginning.
type Omitted struct {
	// Checkpoints is the number of tasks whose checkpoint is missing.
	Checkpoints int
	// Losses is set if the ends of workers under the tasks are missing.
	Losses bool
}

// EncodeRow returns the row of the current state in at most limit bytes. If the state takes more,
// the row lacks the addresses of workers, which only save time, then the largest checkpoints, which
// only save work, and then the counts by which tasks are given up. What keeps tasks from running
// twice is never left out: if that alone exceeds the limit, the error wraps [ErrTooLarge].
func (jo *Job) EncodeRow(epoch int64, limit int) ([]byte, Omitted, error) {
	row := jo.NextRow(epoch)
	var om Omitted
	data, err := json.Marshal(row)
	if err == nil && len(data) > limit {
		row.omitHostPorts()
		data, err = json.Marshal(row)
	}
	if err == nil && len(data) > limit {
		om.Checkpoints = row.omitCheckpoints(len(data) - limit)
		data, err = json.Marshal(row)
	}
	if err == nil && len(data) > limit {
		om.Losses = true
		row.omitLosses()
		data, err = json.Marshal(row)
	}
	if err != nil {
		return nil, om, fmt.Errorf("encode progress of job %s: %w", jo.ID, err)
	}
	if len(data) > limit {
		return nil, om, fmt.Errorf("progress of job %s with %d bytes: %w", jo.ID, len(data), ErrTooLarge)
	}
	return data, om, nil
}

// omitCheckpoints removes the largest checkpoints, so that the row takes at least excess bytes
// less or has none, and returns how many.
func (pr *ProgressRow) omitCheckpoints(excess int) int {
	type checkpoint struct{ step, task, bytes int }
	var list []checkpoint
	for step := range pr.Steps {
		for task, text := range pr.Steps[step].Checkpoints {
			// A string can always be encoded.
			value, _ := json.Marshal(text)
			list = append(list, checkpoint{step, task, len(strconv.Itoa(task)) + len(`"":,`) + len(value)})
		}
	}
	slices.SortFunc(list, func(a, b checkpoint) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
	})
	// The last entry of each map has no comma.
	excess += len(pr.Steps)
	n := 0
	for ; n < len(list) && excess > 0; n++ {
		delete(pr.Steps[list[n].step].Checkpoints, list[n].task)
		excess -= list[n].bytes
	}
	return n
}

func (pr *ProgressRow) omitHostPorts() {
	for i := range pr.Steps {
		pr.Steps[i].HostPorts = nil
	}
}

func (pr *ProgressRow) omitLosses() {
	for i := range pr.Steps {
		sr := &pr.Steps[i]
		sr.Crashes, sr.PresumedCrashes, sr.Losses, sr.GivenUp = nil, nil, nil, nil
	}
}

// CheckSize returns an error that wraps [ErrTooLarge] if a job's constant part takes more than
// limit bytes in the store.
func CheckSize(te Terms, sp Spec, limit int) error {
	// The encoded form may be several times as long, so it is not made of a spec that can't fit.
	if n := sp.textBytes(); n > limit {
		return fmt.Errorf("%w: at least %d bytes, want at most %d", ErrTooLarge, n, limit)
	}
	data, err := json.Marshal(SpecRow{Terms: te, Spec: sp})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(data) > limit {
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLarge, len(data), limit)
	}
	return nil
}

// textBytes returns the length of all texts of a spec, in bytes.
func (sp *Spec) textBytes() int {
	n := len(sp.Payload)
	for i := range sp.Steps {
		st := &sp.Steps[i]
		n += len(st.Label) + len(st.Rack) + len(st.Image)
	}
	return n
}
