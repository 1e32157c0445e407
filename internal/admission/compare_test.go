package admission

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

var compare = flag.Bool("compare", false, "print the full comparison of ways to refuse jobs")

// trialResult is the outcome of a trial for one queue.
type trialResult struct {
	// inTime is the share of the jobs first tried from the begin of the burst until 10 s after
	// its end that ended in time, largest and large those of the largest tenth and of the next
	// fifth.
	inTime, largest, large float64
	// refused is the share of jobs that were refused at the first try, inVain that of jobs
	// that were accepted and did not end in time.
	refused, inVain float64
	// dip is how long after the burst less than 95% of the jobs of a second were in time.
	dip time.Duration
	n   int
}

func runTrial(way *trialWay, demand float64, seed uint64) map[string]trialResult {
	start := time.UnixMilli(0)
	tr := &trial{way: way, rng: rand.New(rand.NewPCG(seed, 7)), now: start, mean: map[string]float64{}, outcomes: map[string][]sizedDecision{}, neglected: map[string]bool{}}
	for range trialWorkers {
		re := worker.Resources{MilliCores: trialCores}
		tr.hosts = append(tr.hosts, Host{Usable: re, Free: re, Idle: trialIdle, FreeIdle: trialIdle})
	}
	for range trialWarmUp / trialTick {
		tr.step(1)
	}
	burst := tr.now
	tr.lose(int(trialLost * trialWorkers))
	for range trialBurst / trialTick {
		tr.step(demand)
	}
	calm := tr.now
	// The lost workers are back once the burst is over.
	for range int(trialLost * trialWorkers) {
		re := worker.Resources{MilliCores: trialCores}
		tr.hosts = append(tr.hosts, Host{Usable: re, Free: re, Idle: trialIdle, FreeIdle: trialIdle})
	}
	for range trialCoolDown / trialTick {
		tr.step(1)
	}
	results := map[string]trialResult{}
	for qi := range trialQueues {
		results[trialQueues[qi].name] = tr.result(&trialQueues[qi], burst, calm)
	}
	return results
}

func (tr *trial) result(qu *trialQueue, burst, calm time.Time) trialResult {
	var list []*trialJob
	var bins [trialCoolDown / 2 / time.Second][]*trialJob
	for _, tj := range tr.jobs {
		if tj.qu != qu || tj.firstTry.Before(burst) || !tj.firstTry.Before(calm.Add(trialCoolDown/2)) {
			continue
		}
		if since := tj.firstTry.Sub(calm); since >= 0 {
			bins[since/time.Second] = append(bins[since/time.Second], tj)
		}
		if tj.firstTry.Before(calm.Add(10 * time.Second)) {
			list = append(list, tj)
		}
	}
	var re trialResult
	for bin, jobs := range bins {
		if len(jobs) > 0 && shareInTime(jobs) < 0.95 {
			re.dip = time.Duration(bin+1) * time.Second
		}
	}
	slices.SortStableFunc(list, func(a, b *trialJob) int { return cmp.Compare(b.work, a.work) })
	tenth := len(list) / 10
	re.n, re.inTime, re.largest, re.large = len(list), shareInTime(list), shareInTime(list[:tenth]), shareInTime(list[tenth:3*tenth])
	re.refused = shareOf(list, func(tj *trialJob) bool { return tj.tries > 1 || !tj.accepted })
	re.inVain = shareOf(list, func(tj *trialJob) bool { return tj.accepted && !tj.inTime() })
	return re
}

func shareInTime(list []*trialJob) float64 { return shareOf(list, (*trialJob).inTime) }

// shareOf returns the share of jobs for which a function is true.
func shareOf(list []*trialJob, counts func(*trialJob) bool) float64 {
	n := 0
	for _, tj := range list {
		if counts(tj) {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

// meanResults runs a way with several seeds and returns the means by queue.
func meanResults(way *trialWay, demand float64, seeds int) map[string]trialResult {
	means := map[string]trialResult{}
	for seed := range seeds {
		for name, one := range runTrial(way, demand, uint64(seed)+1) {
			sum := means[name]
			part := 1 / float64(seeds)
			sum.inTime += part * one.inTime
			sum.largest += part * one.largest
			sum.large += part * one.large
			sum.refused += part * one.refused
			sum.inVain += part * one.inVain
			sum.dip += one.dip / time.Duration(seeds)
			sum.n += one.n
			means[name] = sum
		}
	}
	return means
}

// TestCompare compares ways to refuse jobs under a burst on seven tenths of the workers. With
// -compare it prints all of them; without, it guards against a controller that serves fewer jobs
// than admitting everything does, accepts as many that end too late, or neglects large jobs.
func TestCompare(t *testing.T) {
	demands, seeds := []float64{3}, 1
	if *compare {
		demands, seeds = []float64{1, 2, 3}, 5
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	if *compare {
		_, _ = fmt.Fprintln(tw, "demand\tway\tqueue\tin time\tlargest tenth\tnext fifth\trefused\tin vain\tdip\tjobs\t")
	}
	for _, demand := range demands {
		results := map[string]map[string]trialResult{}
		for i := range trialWays {
			way := &trialWays[i]
			if !*compare && way.name != admitAll && way.name != withTurns {
				continue
			}
			results[way.name] = meanResults(way, demand, seeds)
			for _, qu := range trialQueues {
				re := results[way.name][qu.name]
				if *compare {
					_, _ = fmt.Fprintf(tw, "%.0f\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f s\t%d\t\n", demand, way.name, qu.name, re.inTime, re.largest, re.large, re.refused, re.inVain, re.dip.Seconds(), re.n)
				}
			}
		}
		_ = tw.Flush()
		for _, qu := range trialQueues {
			got, without := results[withTurns][qu.name], results[admitAll][qu.name]
			text := qt.Commentf("demand %v, %s: %+v, without refusals %+v", demand, qu.name, got, without)
			qt.Check(t, got.inTime >= without.inTime-0.02, qt.IsTrue, text)
			qt.Check(t, got.inVain <= without.inVain+0.01, qt.IsTrue, text)
			qt.Check(t, min(got.largest, got.large) >= got.inTime/2, qt.IsTrue, text)
		}
	}
}
