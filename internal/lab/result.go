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

// Weights of the value that a schedule has for users.
const (
	// lateValue is the fraction of its value that a late job keeps; late is up to
	// maxLateFactor times the target duration.
	lateValue     = 0.15
	maxLateFactor = 3
	// workFraction is the fraction of a job's value that is proportional to its work.
	workFraction = 0.7
	// overTargetWeight is how much more a second over the target because of fillers
	// costs than a second not served.
	overTargetWeight = 4
)

// Class is the result of one class of batch jobs.
type Class struct {
	// MaxValue is the value if all jobs were in time, Value that achieved.
	MaxValue, Value float64
	// Jobs counts all jobs; each is one of InTime, Late or Lost, that is too late or
	// never done.
	Jobs, InTime, Late, Lost int
	// Durations holds the times from submission to the end of finished jobs, in
	// milliseconds.
	Durations *hdrhistogram.Histogram
}

// Result is the result of a simulated day.
type Result struct {
	Fillers, Short Class
	// Served is the total time for which service tasks ran. OverTargetByFillers and
	// OverTargetAlone are the parts of it over the latency target, because of fillers
	// and for other reasons.
	Served, OverTargetByFillers, OverTargetAlone time.Duration
	// LongestOverTarget is the longest time for which a service task had been over its target
	// without interruption at a moment when it was so because of fillers.
	LongestOverTarget time.Duration
	// ServiceMaxValue is the value if all services always met their target, ServiceValue
	// that achieved.
	ServiceMaxValue, ServiceValue float64
	// Starts counts all task runs, Stopped those that were stopped.
	Starts, Stopped int
}

// Value returns the achieved fraction of the maximum value.
func (re *Result) Value() float64 {
	maxValue := re.Fillers.MaxValue + re.Short.MaxValue + re.ServiceMaxValue
	return (re.Fillers.Value + re.Short.Value + re.ServiceValue) / max(maxValue, math.SmallestNonzeroFloat64)
}

// histogramMaxMS is the upper end of the histograms' range.
const histogramMaxMS = 120_000

func newClass() Class { return Class{Durations: hdrhistogram.New(1, histogramMaxMS, 2)} }

// result computes the result of the day from the workers' logs.
func (sm *simulation) result() Result {
	re := Result{Fillers: newClass(), Short: newClass()}
	done := map[string]int{}
	until := map[string]time.Time{}
	for _, ru := range sm.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		re.Starts++
		if ru.Outcome == "stopped" {
			re.Stopped++
		}
		re.Served += ru.ServingTime
		re.OverTargetByFillers += ru.OverTargetByFillers
		re.OverTargetAlone += ru.OverTargetByLoad
		re.LongestOverTarget = max(re.LongestOverTarget, ru.LongestOverTarget)
		if ru.Outcome == "done" {
			done[id]++
			if ru.Until.After(until[id]) {
				until[id] = ru.Until
			}
		}
	}
	sm.sumBatchJobs(&re, done, until)
	sm.sumServices(&re)
	return re
}

// sumBatchJobs adds the batch jobs to the result.
func (sm *simulation) sumBatchJobs(re *Result, done map[string]int, until map[string]time.Time) {
	means := map[*BatchJobs]float64{}
	counts := map[*BatchJobs]float64{}
	for _, sj := range sm.day.jobs {
		if sj.batch != nil {
			means[sj.batch] += sj.work()
			counts[sj.batch]++
		}
	}
	for _, sj := range sm.day.jobs {
		if sj.batch == nil {
			continue
		}
		value := sj.batch.Value * (1 - workFraction + workFraction*sj.work()*counts[sj.batch]/means[sj.batch])
		cl := &re.Short
		if sj.batch.Filler {
			cl = &re.Fillers
		}
		finished := done[sj.id] == taskCount(sj)
		cl.add(value, sj.target(), until[sj.id].Sub(sm.startTime.Add(sj.at)), finished)
	}
}

// taskCount returns the number of tasks of a job.
func taskCount(sj *sampledJob) int {
	n := 0
	for _, st := range sj.spec.Steps {
		n += st.Tasks
	}
	return n
}

// add adds a job that took the given time, if it finished.
func (cl *Class) add(value float64, target, took time.Duration, finished bool) {
	cl.Jobs++
	cl.MaxValue += value
	if finished {
		// Times above the histogram's range are recorded as its maximum.
		_ = cl.Durations.RecordValue(min(max(took.Milliseconds(), 1), histogramMaxMS))
	}
	switch {
	case finished && took <= target:
		cl.InTime++
		cl.Value += value
	case finished && took <= maxLateFactor*target:
		cl.Late++
		cl.Value += lateValue * value
	default:
		cl.Lost++
	}
}

// sumServices adds the services to the result. All their tasks should run from the
// start of the warm-up to the end.
func (sm *simulation) sumServices(re *Result) {
	all := 0
	for _, sj := range sm.day.jobs {
		if sj.batch == nil {
			all += taskCount(sj)
		}
	}
	perTask := sm.day.mix.Services.Value * float64(sm.day.mix.Services.Jobs) / float64(max(all, 1))
	span := warmUpTime + time.Duration(sm.day.mix.Seconds)*time.Second + drainTime
	re.ServiceMaxValue = perTask * float64(all) * span.Seconds()
	servedInTarget := re.Served - re.OverTargetAlone - overTargetWeight*re.OverTargetByFillers
	re.ServiceValue = min(perTask*servedInTarget.Seconds(), re.ServiceMaxValue)
}

// Row holds a variant and the results of its simulated days.
type Row struct {
	Variant Variant
	Results []Result
}

// mean returns the mean of a figure over the days and its standard error.
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

// Print writes a table with a line for each variant.
func Print(out io.Writer, mi Mix, rows []Row) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(tw, "%s\tDAYS\tWORTH\tSE\tFILLERS\tP50 MS\tP95 MS\tSHORT\tP95 MS\tSERVICES\tOVER BY FILLERS\tLONGEST S\tSTOPPED\t\n", mi.Name)
	for _, ro := range rows {
		value, se := ro.mean((*Result).Value)
		fillers, _ := ro.mean(func(re *Result) float64 { return re.Fillers.Value / re.Fillers.MaxValue })
		short, _ := ro.mean(func(re *Result) float64 { return re.Short.Value / re.Short.MaxValue })
		services, _ := ro.mean(func(re *Result) float64 { return re.ServiceValue / re.ServiceMaxValue })
		over, _ := ro.mean(func(re *Result) float64 { return float64(re.OverTargetByFillers) / float64(max(re.Served, 1)) })
		longest := 0.0
		for i := range ro.Results {
			longest = max(longest, ro.Results[i].LongestOverTarget.Seconds())
		}
		stopped, _ := ro.mean(func(re *Result) float64 { return float64(re.Stopped) })
		fi, sh := hdrhistogram.New(1, histogramMaxMS, 2), hdrhistogram.New(1, histogramMaxMS, 2)
		for i := range ro.Results {
			fi.Merge(ro.Results[i].Fillers.Durations)
			sh.Merge(ro.Results[i].Short.Durations)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.3f\t%d\t%.3f\t%.3f\t%.2f\t%.0f\t\n", ro.Variant.Name, len(ro.Results), value, se,
			fillers, fi.ValueAtQuantile(50), fi.ValueAtQuantile(95), short, sh.ValueAtQuantile(95), services, over, longest, stopped)
	}
	return tw.Flush()
}
