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
	// step and on have the numbers of each attempt's step and worker. known is set where there
	// is enough progress; raw has the logarithm of the total run time, as progress has it,
	// divided by what was expected, and base the part of it that the siblings show too.
	step, on  []int
	known     []bool
	raw, base []float64
	// steps has the sums of raw by step, byWorker the attempts with known progress by worker.
	steps    []Ended
	byWorker [][]int
	workers  map[string]int
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
	n := len(attempts)
	ev := &evidence{
		attempts: attempts, jobs: jobs, step: make([]int, n), on: make([]int, n), known: make([]bool, n), raw: make([]float64, n), base: make([]float64, n),
		workers: map[string]int{},
	}
	steps := map[stepKey]int{}
	for i := range attempts {
		at := &attempts[i]
		ev.number(i, steps)
		if !at.progresses() {
			continue
		}
		ev.raw[i], ev.known[i] = logRatio(at.total(), at.Expected), true
		st := &ev.steps[ev.step[i]]
		st.n++
		st.logSum += ev.raw[i]
		ev.byWorker[ev.on[i]] = append(ev.byWorker[ev.on[i]], i)
	}
	for i := range attempts {
		ev.base[i] = ev.siblings(i)
	}
	return ev
}

// number sets the numbers of the step and the worker of an attempt.
func (ev *evidence) number(i int, steps map[stepKey]int) {
	at := &ev.attempts[i]
	step, ok := steps[at.stepKey()]
	if !ok {
		step = len(steps)
		steps[at.stepKey()] = step
		ev.steps = append(ev.steps, ev.jobs[at.Job].Ended[at.Step])
	}
	on, ok := ev.workers[at.Worker]
	if !ok {
		on = len(ev.workers)
		ev.workers[at.Worker] = on
		ev.byWorker = append(ev.byWorker, nil)
	}
	ev.step[i], ev.on[i] = step, on
}

// siblings returns the logarithm of how much longer than expected the siblings of an attempt
// take: those on other workers, and those that are done.
func (ev *evidence) siblings(i int) float64 {
	en := ev.steps[ev.step[i]]
	for _, other := range ev.byWorker[ev.on[i]] {
		if ev.step[other] == ev.step[i] {
			en.n--
			en.logSum -= ev.raw[other]
		}
	}
	return en.logSum / (float64(en.n) + priorSiblings)
}

// net returns the logarithm of how much longer an attempt takes than its siblings.
func (ev *evidence) net(i int) float64 { return ev.raw[i] - ev.base[i] }

// slowdown returns the estimated slowdown of an attempt's worker: by the other attempts there,
// or, if there are none, by the attempt itself.
func (ev *evidence) slowdown(i int) float64 {
	var others []float64
	for _, other := range ev.byWorker[ev.on[i]] {
		if other != i {
			others = append(others, ev.net(other))
		}
	}
	if len(others) == 0 {
		return math.Exp(ev.net(i) / (1 + priorAlone))
	}
	return estimate(others)
}

// estimate returns the slowdown that observations of one worker show.
func estimate(logs []float64) float64 {
	n := float64(len(logs))
	return math.Exp(median(logs) * n / (n + priorWorker))
}

// slowdownOf returns the estimated slowdown of a worker, or 1 if nothing is known of it.
func (ev *evidence) slowdownOf(id string) float64 {
	on, ok := ev.workers[id]
	if !ok || len(ev.byWorker[on]) == 0 {
		return 1
	}
	var logs []float64
	for _, i := range ev.byWorker[on] {
		logs = append(logs, ev.net(i))
	}
	return estimate(logs)
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
	case ch.Remaining < startDelay+minGain:
		return Choice{}, false
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
	type taskKey struct {
		stepKey
		index int
	}
	byTask, byJob := map[taskKey]ends{}, map[string]ends{}
	for _, ch := range late {
		byJob[ch.Attempt.Job] = ends{}
	}
	for i := range ev.attempts {
		at := &ev.attempts[i]
		if _, ok := byJob[at.Job]; !ok {
			continue
		}
		key, left := taskKey{at.stepKey(), at.Index}, ev.remaining(i)
		if en, ok := byTask[key]; ok {
			// Of two attempts, the first that is done completes the task.
			left = min(left, en.without)
		}
		byTask[key] = ends{left, left}
	}
	for _, ch := range late {
		key := taskKey{ch.Attempt.stepKey(), ch.Attempt.Index}
		byTask[key] = ends{byTask[key].without, startDelay + ch.Fresh}
	}
	for key, ta := range byTask {
		en := byJob[key.job]
		byJob[key.job] = ends{max(en.without, ta.without), max(en.with, ta.with)}
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
