package copies

import (
	"math"
	"slices"
	"time"
)

// evidence is what the progress of all attempts tells of their workers and steps.
type evidence struct {
	attempts []Attempt
	jobs     map[string]Job
	// raw has the logarithm of each attempt's total run time, as its progress has it, divided
	// by what was expected; known is set where there is enough progress.
	raw   []float64
	known []bool
	// byStep and byWorker have the indices of the attempts with known progress.
	byStep   map[stepKey][]int
	byWorker map[string][]int
	// net has raw without the part that the siblings show too, and base that part.
	net, base []float64
}

// stepKey identifies a step of a job.
type stepKey struct {
	job  string
	step int
}

func (at *Attempt) stepKey() stepKey { return stepKey{at.Job, at.Step} }

// total returns how long the attempt takes in all, by its progress so far.
func (at *Attempt) total() time.Duration { return at.Worked * 100 / time.Duration(at.Done) }

// progresses reports whether the attempt has shown enough progress to be judged by it. An
// attempt without any is left to the detection of stalled attempts.
func (at *Attempt) progresses() bool {
	return at.Done > 0 && at.Worked >= minWorked && at.Expected > 0 && at.SilentFor == 0
}

// newEvidence compares the progress of the attempts.
func newEvidence(attempts []Attempt, jobs map[string]Job) *evidence {
	ev := &evidence{
		attempts: attempts, jobs: jobs, raw: make([]float64, len(attempts)), known: make([]bool, len(attempts)),
		byStep: map[stepKey][]int{}, byWorker: map[string][]int{}, net: make([]float64, len(attempts)), base: make([]float64, len(attempts)),
	}
	for i := range attempts {
		at := &attempts[i]
		if !at.progresses() {
			continue
		}
		ev.raw[i], ev.known[i] = logRatio(at.total(), at.Expected), true
		ev.byStep[at.stepKey()] = append(ev.byStep[at.stepKey()], i)
		ev.byWorker[at.Worker] = append(ev.byWorker[at.Worker], i)
	}
	for i := range attempts {
		ev.base[i] = ev.siblings(i)
		ev.net[i] = ev.raw[i] - ev.base[i]
	}
	return ev
}

// siblings returns the logarithm of how much longer than expected the siblings of an attempt
// take: those on other workers, and those that are done.
func (ev *evidence) siblings(i int) float64 {
	at := &ev.attempts[i]
	en := ev.jobs[at.Job].Ended[at.Step]
	sum, n := en.logSum, en.n
	for _, other := range ev.byStep[at.stepKey()] {
		if ev.attempts[other].Worker != at.Worker {
			sum += ev.raw[other]
			n++
		}
	}
	return sum / (float64(n) + priorSiblings)
}

// slowdown returns the estimated slowdown of an attempt's worker: by the other attempts there,
// or, if there are none, by the attempt itself.
func (ev *evidence) slowdown(i int) float64 {
	at := &ev.attempts[i]
	var others []float64
	for _, other := range ev.byWorker[at.Worker] {
		if oa := &ev.attempts[other]; oa.stepKey() != at.stepKey() || oa.Index != at.Index {
			others = append(others, ev.net[other])
		}
	}
	if len(others) == 0 {
		return math.Exp(ev.net[i] / (1 + priorAlone))
	}
	return estimate(others)
}

// estimate returns the slowdown that observations of one worker show.
func estimate(logs []float64) float64 {
	n := float64(len(logs))
	return math.Exp(median(logs) * n / (n + priorWorker))
}

// slowdowns returns the estimated slowdowns of all workers with known progress.
func (ev *evidence) slowdowns() map[string]float64 {
	all := make(map[string]float64, len(ev.byWorker))
	for id, list := range ev.byWorker {
		var logs []float64
		for _, i := range list {
			logs = append(logs, ev.net[i])
		}
		all[id] = estimate(logs)
	}
	return all
}

// median returns the median; it sorts the list.
func median(list []float64) float64 {
	slices.Sort(list)
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}

// typical returns how long an attempt of the task takes on a healthy worker, as far as the
// estimate and the siblings tell.
func (ev *evidence) typical(i int) time.Duration {
	return scale(ev.attempts[i].Expected, math.Exp(ev.base[i]))
}

// remaining returns how long an attempt is expected to run from now on.
func (ev *evidence) remaining(i int) time.Duration {
	at := &ev.attempts[i]
	switch {
	case at.SilentFor > 0:
		return at.Lapses + ev.typical(i)
	case !ev.known[i]:
		return max(ev.typical(i)-at.Worked-at.SinceSeen, 0)
	}
	return max(at.Worked*time.Duration(at.Left)/time.Duration(at.Done)-at.SinceSeen, 0)
}

// judge returns the choice of an attempt that is late enough for a copy.
func (ev *evidence) judge(i int) (Choice, bool) {
	at := &ev.attempts[i]
	if !at.MayCopy {
		return Choice{}, false
	}
	ch := Choice{Attempt: *at, Remaining: ev.remaining(i)}
	switch {
	case at.SilentFor >= silentAfter && at.Expected > 0:
		ch.Fresh = ev.typical(i)
	case ev.known[i]:
		ch.Slowdown = ev.slowdown(i)
		if ch.Slowdown < minSlowdown {
			return Choice{}, false
		}
		ch.Fresh = scale(at.total(), 1/ch.Slowdown)
	default:
		return Choice{}, false
	}
	return ch, ch.gain() >= max(minGain, scale(ch.Fresh, gainShare))
}

// classify sets the classes of the late attempts. A job ends with the last of its tasks, so
// one copy may be of no use without the others.
func (ev *evidence) classify(late []Choice) {
	type ends struct{ without, with time.Duration }
	copied := map[stepKey]map[int]time.Duration{}
	byJob := map[string]ends{}
	for _, ch := range late {
		key := ch.Attempt.stepKey()
		if copied[key] == nil {
			copied[key] = map[int]time.Duration{}
		}
		copied[key][ch.Attempt.Index] = startDelay + ch.Fresh
		byJob[ch.Attempt.Job] = ends{}
	}
	for i := range ev.attempts {
		at := &ev.attempts[i]
		en, ok := byJob[at.Job]
		if !ok {
			continue
		}
		without := ev.remaining(i)
		with := without
		if d, ok := copied[at.stepKey()][at.Index]; ok {
			with = d
		}
		byJob[at.Job] = ends{max(en.without, without), max(en.with, with)}
	}
	for i := range late {
		jo, en := ev.jobs[late[i].Attempt.Job], byJob[late[i].Attempt.Job]
		late[i].Class = jo.class(jo.Age+jo.After+en.without, jo.Age+jo.After+en.with)
	}
}

// class returns the class of copies by which the job ends after one time instead of another.
func (jo *Job) class(without, with time.Duration) Class {
	switch {
	case jo.Target <= 0:
		return Sooner
	case with <= jo.Target && without > jo.Target:
		return InTime
	case with <= jo.Limit && without > jo.Limit:
		return OfValue
	case with > jo.Limit:
		return TooLate
	}
	return Sooner
}
