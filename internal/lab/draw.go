package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// service is the service of all workers of the lab.
const service = "lab"

// drawn is one job of a day.
type drawn struct {
	id    string
	at    time.Duration
	terms job.Terms
	spec  job.Spec
	batch *Batch
	// runMS has the true run time of each step's tasks, phase the moment of a
	// service's swing at which it starts, in radians.
	runMS []int64
	phase float64
}

// day is all that is drawn of a mix with a seed.
type day struct {
	mix   Mix
	jobs  []*drawn
	byID  map[string]*drawn
	drops map[interfere.Pair]float64
}

// drawDay draws a day. The same mix and seed give the same one.
func drawDay(mi Mix, seed uint64) *day {
	rn := rand.New(rand.NewPCG(seed, 1))
	da := &day{mix: mi, byID: map[string]*drawn{}, drops: map[interfere.Pair]float64{}}
	da.drawDrops(rn)
	for range mi.Services.Jobs {
		da.add(da.drawService(rn))
	}
	for _, ba := range []*Batch{&mi.Fillers, &mi.Short} {
		for at := 0.0; ; {
			at += rn.ExpFloat64() / ba.PerSecond
			if at > float64(mi.Seconds) {
				break
			}
			da.add(ba.draw(rn, time.Duration(at*float64(time.Second))))
		}
	}
	return da
}

// add enters a job under an id of its own.
func (da *day) add(dr *drawn) {
	dr.id = fmt.Sprintf("%016x", len(da.jobs)+1)
	da.jobs = append(da.jobs, dr)
	da.byID[dr.id] = dr
}

// drawDrops draws how fillers disturb services.
func (da *day) drawDrops(rn *rand.Rand) {
	for s := range da.mix.Services.Images {
		for f := range da.mix.Fillers.Images {
			mean := da.mix.LightDrop
			if rn.Float64() < da.mix.Heavy {
				mean = da.mix.HeavyDrop
			}
			da.drops[interfere.Pair{Service: imageName("s", s), Filler: imageName("f", f)}] = mean * (0.6 + 0.8*rn.Float64())
		}
	}
}

func imageName(kind string, n int) string { return fmt.Sprintf("%s%d", kind, n) }

// drawService draws a job of services. A few images have most of them.
func (da *day) drawService(rn *rand.Rand) *drawn {
	se := &da.mix.Services
	st := job.Step{
		Tasks: se.Tasks.count(rn), Each: worker.Resources{MilliCores: int64(se.MilliCores.draw(rn)), MemMB: int64(se.MemMB)},
		LongRunning: true, Image: imageName("s", skewed(rn, se.Images)), TargetMS: se.TargetMS,
	}
	if rn.Float64() < se.Apart {
		st.MaxPerWorker = 1
	}
	return &drawn{terms: terms("services", 0, 0, 0), spec: job.Spec{Steps: []job.Step{st}}, runMS: []int64{0}, phase: 2 * math.Pi * rn.Float64()}
}

// skewed draws a number under n, small ones more often.
func skewed(rn *rand.Rand, n int) int {
	return int(float64(n) * math.Pow(rn.Float64(), 1.5))
}

func terms(queue string, priority int, stretch float64, allowanceMS int64) job.Terms {
	return job.Terms{Queue: queue, Service: service, Priority: priority, MaxFailures: 3, Stretch: stretch, AllowanceMS: allowanceMS}
}

// draw draws a job of the kind.
func (ba *Batch) draw(rn *rand.Rand, at time.Duration) *drawn {
	queue, image := "short", ""
	if ba.Filler {
		queue, image = "fillers", imageName("f", skewed(rn, ba.Images))
	}
	dr := &drawn{at: at, terms: terms(queue, ba.Priority, ba.Stretch, ba.AllowanceMS), batch: ba}
	for i := range ba.Steps.count(rn) {
		run := ba.RunMS.draw(rn)
		st := job.Step{
			Tasks: ba.Tasks.count(rn), Each: worker.Resources{MilliCores: int64(ba.MilliCores.draw(rn)), MemMB: int64(ba.MemMB)},
			EstimateMS: int64(max(run*math.Exp(ba.Declared*rn.NormFloat64()), 1)), Checkpoints: ba.Filler, Filler: ba.Filler, Image: image,
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		dr.spec.Steps = append(dr.spec.Steps, st)
		dr.runMS = append(dr.runMS, int64(run))
	}
	return dr
}

// aim is how soon the job should be done, by its true run times.
func (dr *drawn) aim() time.Duration {
	return time.Duration(dr.trueJob().TargetDurationMS()) * time.Millisecond
}

// work is its processor time, in thousandths of a core times milliseconds.
func (dr *drawn) work() float64 {
	return float64(dr.trueJob().RemainingWork())
}

// trueJob is the job as it would be if it declared its true run times.
func (dr *drawn) trueJob() *job.Job {
	sp := dr.spec
	sp.Steps = slices.Clone(sp.Steps)
	for i := range sp.Steps {
		sp.Steps[i].EstimateMS = dr.runMS[i]
	}
	return job.New(dr.id, dr.terms, sp)
}

// load is the share of its processors that a service uses at a moment of the day.
func (da *day) load(dr *drawn, since time.Duration) float64 {
	se := &da.mix.Services
	return se.Load * (1 + se.Swing*math.Sin(dr.phase+2*math.Pi*since.Seconds()/se.SwingS))
}
