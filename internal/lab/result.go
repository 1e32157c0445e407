package lab

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Weights of what users are served.
const (
	// lateWorth is the part of its worth that a job has that takes up to lateMost
	// times its aim.
	lateWorth = 0.15
	lateMost  = 3
	// workPart is the part of a job's worth that goes by its work.
	workPart = 0.7
	// overWeight is how much more a second over the target by fillers counts than
	// one away.
	overWeight = 4
)

// Class is what became of one kind of jobs.
type Class struct {
	// Owed and Earned are worth.
	Owed, Earned float64
	// Jobs, InTime, Late and Lost are numbers.
	Jobs, InTime, Late, Lost int
	// Taken has the times from handing in to the end, in milliseconds.
	Taken *hdrhistogram.Histogram
}

// Result is what a day came to.
type Result struct {
	Fillers, Short Class
	// Served is how long services served, in all; OverByFillers and OverAlone how
	// long they were over their target.
	Served, OverByFillers, OverAlone time.Duration
	// ServiceOwed and ServiceEarned are worth.
	ServiceOwed, ServiceEarned float64
	// Starts is the number of runs, Stopped those that were stopped.
	Starts, Stopped int
}

// Worth is the share of what was owed that was earned.
func (re *Result) Worth() float64 {
	owed := re.Fillers.Owed + re.Short.Owed + re.ServiceOwed
	return (re.Fillers.Earned + re.Short.Earned + re.ServiceEarned) / max(owed, math.SmallestNonzeroFloat64)
}

// histogramMostMS bounds the times that a histogram tells apart.
const histogramMostMS = 120_000

func newClass() Class { return Class{Taken: hdrhistogram.New(1, histogramMostMS, 2)} }

// result sums the day up.
func (pl *play) result() Result {
	re := Result{Fillers: newClass(), Short: newClass()}
	done := map[string]int{}
	until := map[string]time.Time{}
	for _, ru := range pl.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		re.Starts++
		if ru.Outcome == "stopped" {
			re.Stopped++
		}
		re.Served += ru.ServingTime
		re.OverByFillers += ru.OverTargetByFillers
		re.OverAlone += ru.OverTargetByLoad
		if ru.Outcome == "done" {
			done[id]++
			if ru.Until.After(until[id]) {
				until[id] = ru.Until
			}
		}
	}
	pl.sumJobs(&re, done, until)
	pl.sumServices(&re)
	return re
}

// sumJobs sums up the jobs that end.
func (pl *play) sumJobs(re *Result, done map[string]int, until map[string]time.Time) {
	means := map[*Batch]float64{}
	counts := map[*Batch]float64{}
	for _, dr := range pl.day.jobs {
		if dr.batch != nil {
			means[dr.batch] += dr.work()
			counts[dr.batch]++
		}
	}
	for _, dr := range pl.day.jobs {
		if dr.batch == nil {
			continue
		}
		worth := dr.batch.Worth * (1 - workPart + workPart*dr.work()*counts[dr.batch]/means[dr.batch])
		cl := &re.Short
		if dr.batch.Filler {
			cl = &re.Fillers
		}
		finished := done[dr.id] == tasks(dr)
		cl.add(worth, dr.aim(), until[dr.id].Sub(pl.began.Add(dr.at)), finished)
	}
}

func tasks(dr *drawn) int {
	n := 0
	for _, st := range dr.spec.Steps {
		n += st.Tasks
	}
	return n
}

// add adds a job.
func (cl *Class) add(worth float64, aim, took time.Duration, finished bool) {
	cl.Jobs++
	cl.Owed += worth
	if finished {
		// Longer times than the histogram tells apart count as its longest.
		_ = cl.Taken.RecordValue(min(max(took.Milliseconds(), 1), histogramMostMS))
	}
	switch {
	case finished && took <= aim:
		cl.InTime++
		cl.Earned += worth
	case finished && took <= lateMost*aim:
		cl.Late++
		cl.Earned += lateWorth * worth
	default:
		cl.Lost++
	}
}

// sumServices sums up the services: all should serve from the warm-up on.
func (pl *play) sumServices(re *Result) {
	all := 0
	for _, dr := range pl.day.jobs {
		if dr.batch == nil {
			all += tasks(dr)
		}
	}
	perTask := pl.day.mix.Services.Worth * float64(pl.day.mix.Services.Jobs) / float64(max(all, 1))
	span := warmUp + time.Duration(pl.day.mix.Seconds)*time.Second + coolDown
	re.ServiceOwed = perTask * float64(all) * span.Seconds()
	earned := re.Served - re.OverAlone - overWeight*re.OverByFillers
	re.ServiceEarned = min(perTask*earned.Seconds(), re.ServiceOwed)
}

// Row is a variant with the results of its days.
type Row struct {
	Variant Variant
	Results []Result
}

// mean returns the mean of a number over the days, and its standard error.
func (ro Row) mean(of func(*Result) float64) (mean, stderr float64) {
	n := float64(len(ro.Results))
	var sum, squares float64
	for i := range ro.Results {
		x := of(&ro.Results[i])
		sum += x
		squares += x * x
	}
	mean = sum / n
	if n < 2 {
		return mean, 0
	}
	return mean, math.Sqrt(max(squares/n-mean*mean, 0) / (n - 1))
}

// Print writes a table of variants.
func Print(out io.Writer, mi Mix, rows []Row) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(tw, "%s\tDAYS\tWORTH\tSE\tFILLERS\tP50 MS\tP95 MS\tSHORT\tP95 MS\tSERVICES\tOVER BY FILLERS\tSTOPPED\t\n", mi.Name)
	for _, ro := range rows {
		worth, se := ro.mean((*Result).Worth)
		fillers, _ := ro.mean(func(re *Result) float64 { return re.Fillers.Earned / re.Fillers.Owed })
		short, _ := ro.mean(func(re *Result) float64 { return re.Short.Earned / re.Short.Owed })
		services, _ := ro.mean(func(re *Result) float64 { return re.ServiceEarned / re.ServiceOwed })
		over, _ := ro.mean(func(re *Result) float64 { return float64(re.OverByFillers) / float64(max(re.Served, 1)) })
		stopped, _ := ro.mean(func(re *Result) float64 { return float64(re.Stopped) })
		fi, sh := hdrhistogram.New(1, histogramMostMS, 2), hdrhistogram.New(1, histogramMostMS, 2)
		for i := range ro.Results {
			fi.Merge(ro.Results[i].Fillers.Taken)
			sh.Merge(ro.Results[i].Short.Taken)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.3f\t%d\t%.3f\t%.3f\t%.0f\t\n", ro.Variant.Name, len(ro.Results), worth, se,
			fillers, fi.ValueAtQuantile(50), fi.ValueAtQuantile(95), short, sh.ValueAtQuantile(95), services, over, stopped)
	}
	return tw.Flush()
}
