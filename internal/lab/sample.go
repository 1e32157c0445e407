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

// service is the name of the service that all workers belong to.
const service = "lab"

// sampledJob is one job of a day.
type sampledJob struct {
	id    string
	at    time.Duration
	terms job.Terms
	spec  job.Spec
	batch *BatchJobs
	// runMS holds the true run time of each step's tasks in milliseconds. phase is the
	// start of a service's load curve, in radians.
	runMS []int64
	phase float64
}

// day holds the jobs and disturbances sampled from a mix.
type day struct {
	mix  Mix
	jobs []*sampledJob
	byID map[string]*sampledJob
	// drops has by how much the headroom of a service's image falls if a filler's image
	// takes a whole worker.
	drops map[interfere.Pair]float64
}

// sampleDay samples a day. The result depends only on the mix and the seed.
func sampleDay(mi Mix, seed uint64) *day {
	rn := rand.New(rand.NewPCG(seed, 1))
	da := &day{mix: mi, byID: map[string]*sampledJob{}, drops: map[interfere.Pair]float64{}}
	da.sampleDrops(rn)
	for range mi.Services.Jobs {
		da.add(da.sampleService(rn))
	}
	for _, ba := range []*BatchJobs{&mi.Fillers, &mi.Short} {
		for at := 0.0; ; {
			at += rn.ExpFloat64() / ba.Rate
			if at > float64(mi.Seconds) {
				break
			}
			da.add(ba.sample(rn, time.Duration(at*float64(time.Second))))
		}
	}
	return da
}

// add adds a job under the next ID.
func (da *day) add(sj *sampledJob) {
	sj.id = fmt.Sprintf("%016x", len(da.jobs)+1)
	da.jobs = append(da.jobs, sj)
	da.byID[sj.id] = sj
}

// sampleDrops samples how much each filler image disturbs each service image.
func (da *day) sampleDrops(rn *rand.Rand) {
	for s := range da.mix.Services.Images {
		for f := range da.mix.Fillers.Images {
			mean := da.mix.LightDrop
			if rn.Float64() < da.mix.HeavyFraction {
				mean = da.mix.HeavyDrop
			}
			da.drops[interfere.Pair{Service: imageName("s", s), Filler: imageName("f", f)}] = mean * (0.6 + 0.8*rn.Float64())
		}
	}
}

func imageName(kind string, n int) string { return fmt.Sprintf("%s%d", kind, n) }

// sampleService samples a service job. A few images are much more frequent than others.
func (da *day) sampleService(rn *rand.Rand) *sampledJob {
	se := &da.mix.Services
	st := job.Step{
		Tasks: se.Tasks.sampleCount(rn), Each: worker.Resources{MilliCores: int64(se.MilliCores.sample(rn)), MemMB: int64(se.MemMB)},
		LongRunning: true, Image: imageName("s", skewedIndex(rn, se.Images)), TargetMS: se.TargetMS,
	}
	if rn.Float64() < se.SpreadFraction {
		st.MaxPerWorker = 1
	}
	return &sampledJob{terms: jobTerms("services", 0, 0, 0), spec: job.Spec{Steps: []job.Step{st}}, runMS: []int64{0}, phase: 2 * math.Pi * rn.Float64()}
}

// skewedIndex samples an index below n; small ones are more frequent.
func skewedIndex(rn *rand.Rand, n int) int {
	return int(float64(n) * math.Pow(rn.Float64(), 1.5))
}

func jobTerms(queue string, priority int, stretch float64, allowanceMS int64) job.Terms {
	return job.Terms{Queue: queue, Service: service, Priority: priority, MaxFailures: 3, Stretch: stretch, AllowanceMS: allowanceMS}
}

// sample samples a job that arrives at the given time.
func (ba *BatchJobs) sample(rn *rand.Rand, at time.Duration) *sampledJob {
	queue, image := "short", ""
	if ba.Filler {
		queue, image = "fillers", imageName("f", skewedIndex(rn, ba.Images))
	}
	sj := &sampledJob{at: at, terms: jobTerms(queue, ba.Priority, ba.Stretch, ba.AllowanceMS), batch: ba}
	for i := range ba.Steps.sampleCount(rn) {
		run := ba.RunMS.sample(rn)
		st := job.Step{
			Tasks: ba.Tasks.sampleCount(rn), Each: worker.Resources{MilliCores: int64(ba.MilliCores.sample(rn)), MemMB: int64(ba.MemMB)},
			EstimateMS: int64(max(run*math.Exp(ba.EstimateSigma*rn.NormFloat64()), 1)), Checkpoints: ba.Filler, Filler: ba.Filler, Image: image,
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		sj.spec.Steps = append(sj.spec.Steps, st)
		sj.runMS = append(sj.runMS, int64(run))
	}
	return sj
}

// target returns the job's target duration by its true run times.
func (sj *sampledJob) target() time.Duration {
	return time.Duration(sj.trueJob().TargetDurationMS()) * time.Millisecond
}

// work returns the job's processor time in millicore-milliseconds, by its true run times.
func (sj *sampledJob) work() float64 {
	return float64(sj.trueJob().RemainingWork())
}

// trueJob returns the job with its true run times as estimates.
func (sj *sampledJob) trueJob() *job.Job {
	sp := sj.spec
	sp.Steps = slices.Clone(sp.Steps)
	for i := range sp.Steps {
		sp.Steps[i].EstimateMS = sj.runMS[i]
	}
	return job.New(sj.id, sj.terms, sp)
}

// load returns the fraction of its processor allocation that a service uses at the time
// since the start of the day.
func (da *day) load(sj *sampledJob, since time.Duration) float64 {
	se := &da.mix.Services
	return se.Load * (1 + se.Swing*math.Sin(sj.phase+2*math.Pi*since.Seconds()/se.SwingS))
}
