package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// workload is the distribution of the tasks of one customer.
type workload struct {
	name string
	// slots is how many tasks each worker runs, longPart the part of them that take longFactor
	// times as long, and estimateError by how much the estimates of a job may be off.
	slots         int
	longPart      float64
	estimateError float64
	// fillers makes them fillers that take four times as long and get a varying share of the
	// processors, which is reported inexactly.
	fillers bool
}

const (
	longFactor = 7
	meanTask   = 800 * time.Millisecond
	logSpread  = 0.5
	simStep    = 20 * time.Millisecond
	simPoll    = 600 * time.Millisecond
	tasksOfJob = 4
)

// simTask is a running task; its progress is in seconds of work.
type simTask struct {
	at           Attempt
	job          string
	estimate     time.Duration
	length, done float64
}

// simWorker is a worker whose tasks run slower by a factor.
type simWorker struct {
	Worker
	tasks    []*simTask
	factor   float64
	share    float64
	reported float64
	until    time.Time
	since    time.Time
	found    bool
	nextPoll time.Time
}

// simulatedFleet has workers of which a sixth is slow at any time, and measures the verdicts.
type simulatedFleet struct {
	wl      workload
	rng     *rand.Rand
	mo      Model
	now     time.Time
	workers []*simWorker
	started int
	// delays are the times until slow workers were found, missed counts those that were not.
	delays []time.Duration
	missed int
	// healthy counts the steps of healthy workers, wrong those of them called slow.
	healthy, wrong int
}

func simulate(wl workload, workers int, warmUp, length time.Duration) *simulatedFleet {
	sf := &simulatedFleet{wl: wl, rng: rand.New(rand.NewPCG(7, uint64(wl.slots))), now: time.UnixMilli(1)}
	for range workers {
		wk := &simWorker{factor: 1, share: 1, reported: 1, nextPoll: sf.now.Add(time.Duration(sf.rng.Int64N(int64(simPoll))))}
		for range wl.slots {
			wk.tasks = append(wk.tasks, sf.newTask())
		}
		sf.workers = append(sf.workers, wk)
	}
	for begin := sf.now; sf.now.Sub(begin) < warmUp+length; sf.now = sf.now.Add(simStep) {
		for _, wk := range sf.workers {
			sf.step(wk, sf.now.Sub(begin) > warmUp)
		}
	}
	return sf
}

func (sf *simulatedFleet) newTask() *simTask {
	sf.started++
	length := meanTask.Seconds() * math.Exp(logSpread*sf.rng.NormFloat64()-logSpread*logSpread/2)
	if sf.rng.Float64() < sf.wl.longPart {
		length *= longFactor
	}
	mean := meanTask
	if sf.wl.fillers {
		length, mean = 4*length, 4*mean
	}
	job := sf.started / tasksOfJob
	off := 1 + sf.wl.estimateError*(2*rand.New(rand.NewPCG(3, uint64(job))).Float64()-1)
	ta := &simTask{job: fmt.Sprint(job), length: length, estimate: time.Duration(float64(mean) * off)}
	ta.at.Begin(sf.now)
	return ta
}

// step advances a worker. A sixth of the time it is slow for 6 to 10 s.
func (sf *simulatedFleet) step(wk *simWorker, measures bool) {
	if wk.factor > 1 && !sf.now.Before(wk.until) {
		if !wk.found && measures {
			sf.missed++
		}
		wk.factor, wk.since, wk.found = 1, sf.now, false
	} else if wk.factor == 1 && measures && sf.rng.Float64() < simStep.Seconds()/40 {
		wk.factor, wk.since, wk.found = 4+2*sf.rng.Float64(), sf.now, wk.Slow(sf.now)
		wk.until = sf.now.Add(6*time.Second + time.Duration(4*sf.rng.Float64()*float64(time.Second)))
	}
	if sf.wl.fillers && sf.rng.Float64() < simStep.Seconds() {
		wk.share = 0.2 + 0.8*sf.rng.Float64()
	}
	wk.reported += (wk.share - wk.reported) * simStep.Seconds() / 0.25
	ended := false
	for _, ta := range wk.tasks {
		ta.done += simStep.Seconds() * wk.share / wk.factor
		ended = ended || ta.done >= ta.length
	}
	if ended || !sf.now.Before(wk.nextPoll) {
		sf.poll(wk)
	}
	slow := wk.Slow(sf.now)
	switch {
	case !measures:
	case wk.factor > 1 && slow && !wk.found:
		wk.found = true
		sf.delays = append(sf.delays, sf.now.Sub(wk.since))
	case wk.factor == 1 && (wk.since.IsZero() || sf.now.Sub(wk.since) > 1500*time.Millisecond):
		sf.healthy++
		if slow {
			sf.wrong++
		}
	}
}

// poll reports all tasks of a worker, and replaces those that ended.
func (sf *simulatedFleet) poll(wk *simWorker) {
	wk.nextPoll = sf.now.Add(simPoll)
	for i, ta := range wk.tasks {
		ob := Observation{Kind: Kind{Queue: "q"}, Job: ta.job, Estimate: ta.estimate, Filler: sf.wl.fillers, Share: wk.reported, At: sf.now}
		if ob.Filler {
			ob.Share *= 0.8 + 0.4*sf.rng.Float64()
		}
		if ta.done >= ta.length {
			sf.mo.ObserveEnd(&wk.Worker, &ta.at, ob, sf.now)
			wk.tasks[i] = sf.newTask()
			continue
		}
		ob.Percent = int(100 * ta.done / ta.length)
		sf.mo.ObserveProgress(&wk.Worker, &ta.at, ob, sf.now)
	}
	wk.Judge(sf.now)
}

// TestSlowWorkers checks how soon workers are found that turn four to six times slower, and how
// many healthy ones are called slow. A late verdict leaves tasks there, a wrong one costs
// capacity.
func TestSlowWorkers(t *testing.T) {
	for _, wl := range []workload{
		{name: "5 tasks", slots: 5},
		{name: "10 tasks", slots: 10},
		{name: "20 tasks", slots: 20},
		{name: "5 tasks, some long", slots: 5, longPart: 0.03},
		{name: "10 tasks, some long", slots: 10, longPart: 0.03},
		{name: "5 tasks, estimates off", slots: 5, estimateError: 0.9},
		{name: "10 tasks, estimates off, some long", slots: 10, longPart: 0.03, estimateError: 0.9},
		{name: "5 fillers", slots: 5, fillers: true},
		{name: "10 fillers", slots: 10, fillers: true},
	} {
		t.Run(wl.name, func(t *testing.T) {
			sf := simulate(wl, 60, 20*time.Second, 2*time.Minute)
			slices.Sort(sf.delays)
			wrong := float64(sf.wrong) / float64(sf.healthy)
			median, p90, most := sf.delays[len(sf.delays)/2], sf.delays[len(sf.delays)*9/10], 1500*time.Millisecond
			t.Logf("found %d, missed %d, after %v (median), %v (9 in 10); healthy called slow %.5f; ratio %.2f",
				len(sf.delays), sf.missed, median, p90, wrong, sf.mo.Ratio(Kind{Queue: "q"}))
			qt.Check(t, median <= most && (p90 <= most || wl.fillers), qt.IsTrue)
			qt.Check(t, sf.missed*20 <= len(sf.delays), qt.IsTrue)
			qt.Check(t, wrong < 1.0/200, qt.IsTrue)
		})
	}
}
