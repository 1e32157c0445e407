package relay

import "github.com/pepperhatch/pepperhatch/internal/worker"

// deferredFor is a [worker.Deferral] as sent to a relay. Its wait and its timeout are those of
// the order.
type deferredFor struct {
	Number  int64     `json:"i"`
	Need    resources `json:"n"`
	Free    resources `json:"f"`
	Running []usage   `json:"r,omitempty"`
	Ahead   []usage   `json:"a,omitempty"`
}

// resources holds thousandths of a core, MiB of memory, and accelerators.
type resources [3]int64

// usage is an attempt, and the resources that it uses if these matter. The index counts from 0.
type usage struct {
	Task         string    `json:"t"`
	AttemptIndex int       `json:"a,omitempty"`
	Resources    resources `json:"r,omitzero"`
}

func encodeResources(re worker.Resources) resources {
	return resources{re.MilliCores, re.MemMB, re.Accels}
}

func (re resources) decode() worker.Resources {
	return worker.Resources{MilliCores: re[0], MemMB: re[1], Accels: re[2]}
}

// encodeDeferral returns the form in which a deferral is sent, nil for none.
func encodeDeferral(de *worker.Deferral) *deferredFor {
	if de == nil {
		return nil
	}
	df := &deferredFor{Number: de.Number, Need: encodeResources(de.Need), Free: encodeResources(de.Free)}
	for _, us := range de.Running {
		df.Running = append(df.Running, usage{Task: us.Task, AttemptIndex: us.Number - 1, Resources: encodeResources(us.Resources)})
	}
	for _, at := range de.Ahead {
		df.Ahead = append(df.Ahead, usage{Task: at.Task, AttemptIndex: at.Number - 1})
	}
	return df
}

// deferral returns the deferral of a launch, nil for none.
func (or order) deferral() *worker.Deferral {
	df := or.Deferral
	if df == nil {
		return nil
	}
	de := &worker.Deferral{Number: df.Number, Need: df.Need.decode(), Free: df.Free.decode(), Wait: or.wait(), Timeout: or.answerTimeout()}
	for _, us := range df.Running {
		de.Running = append(de.Running, worker.Usage{Attempt: us.attempt(), Resources: us.Resources.decode()})
	}
	for _, us := range df.Ahead {
		de.Ahead = append(de.Ahead, us.attempt())
	}
	return de
}

func (us usage) attempt() worker.Attempt {
	return worker.Attempt{Task: us.Task, Number: us.AttemptIndex + 1}
}
