package route

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/spread"
)

var (
	compare     = flag.Bool("compare", false, "print the full comparison of strategies for sharing runners among entry hosts")
	compareLoad = flag.String("compare-load", "", "compare only under loads whose name has this prefix")
	compareFor  = flag.Duration("compare-for", 10*time.Second, "virtual time of each trial")
)

// The simulated data centre and its load.
const (
	trialRunners = 17
	trialSlots   = 8
	trialMean    = 20 * time.Millisecond
	trialSigma   = 0.5
	trialWarmUp  = 2 * time.Second
	trialBatch   = 0.3 // fraction of requests
	latDeadline  = 500 * time.Millisecond
	batDeadline  = 30 * time.Second
)

// strategy is a method by which entry hosts share the runners.
type strategy struct {
	name string
	// hosts is the number of entry hosts.
	hosts int
	// subsets gives each runner to one host; otherwise every host uses all.
	subsets bool
	// spill lets a peer serve a request that finds no free slot.
	spill bool
	// slots is the maximum number of concurrent requests of one host on a
	// runner.
	slots int
	// pick replaces the choice of the runner with the fewest requests.
	pick func(free []Member, busy func(string) int) Member
	// noHedge disables hedging.
	noHedge bool
}

func pickPowerOfTwo(free []Member, busy func(string) int) Member {
	a, b := free[rand.IntN(len(free))], free[rand.IntN(len(free))]
	if busy(b.ID) < busy(a.ID) {
		return b
	}
	return a
}

func pickRandom(free []Member, _ func(string) int) Member { return free[rand.IntN(len(free))] }

var strategies = []strategy{
	{name: "ideal: one shared queue", hosts: 1, subsets: true, slots: trialSlots},
	{name: "subsets, spill", hosts: 3, subsets: true, spill: true, slots: trialSlots},
	{name: "subsets, spill, no hedge", hosts: 3, subsets: true, spill: true, slots: trialSlots, noHedge: true},
	{name: "subsets, no spill", hosts: 3, subsets: true, slots: trialSlots},
	{name: "all, least outstanding", hosts: 3, slots: trialSlots},
	{name: "all, power of two", hosts: 3, slots: trialSlots, pick: pickPowerOfTwo},
	{name: "all, random", hosts: 3, slots: trialSlots, pick: pickRandom},
	{name: "all, 3 slots each", hosts: 3, slots: 3},
}

// trialLoad is a load to run on a strategy.
type trialLoad struct {
	name string
	// load is the arrival rate as a fraction of the capacity.
	load float64
	// slow, down and hung are numbers of runners in that state; down and hung
	// apply from the middle of the trial on.
	slow, down, hung int
	// burst is the number of additional requests that arrive at once every two
	// seconds.
	burst int
}

var trialLoads = []trialLoad{
	{name: "50%", load: 0.5},
	{name: "80%", load: 0.8},
	{name: "95%", load: 0.95},
	{name: "120%", load: 1.2},
	{name: "70%, one runner 5x slow", load: 0.7, slow: 1},
	{name: "60%, rack of 5 down", load: 0.6, down: 5},
	{name: "60%, one runner hangs", load: 0.6, hung: 1},
	{name: "50%, bursts of 400", load: 0.5, burst: 400},
}

// trialStats counts the results of a trial.
type trialStats struct {
	mu       sync.Mutex
	lat      *hdrhistogram.Histogram
	sent     [2]int
	answered [2]int
	unknown  int
	attempts int
	reasons  map[reason.Reason]int
}

func (ts *trialStats) record(req Request, res Result, took time.Duration) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.sent[req.Class]++
	ts.attempts += res.Attempts
	switch res.Outcome {
	case Answered:
		ts.answered[req.Class]++
		if req.Class == runner.LatencyCritical {
			_ = ts.lat.RecordValue(took.Microseconds())
		}
	case Unknown:
		ts.unknown++
		fallthrough
	default:
		ts.reasons[res.Reason]++
	}
}

// trialCluster is a set of entry hosts that share the runners by one strategy.
type trialCluster struct {
	fr    *fakeRunners
	hosts map[string]*Router
	names []string
}

func newTrialCluster(st strategy) *trialCluster {
	tc := &trialCluster{fr: newFakeRunners(trialMean, trialSigma, trialSlots), hosts: map[string]*Router{}, names: ids("e", st.hosts)}
	runners := ids("r", trialRunners)
	primary := spread.AssignEvenly(runners, tc.names)
	for _, name := range tc.names {
		own := runners
		if st.subsets {
			own = slices.DeleteFunc(slices.Clone(runners), func(id string) bool { return primary[id] != name })
		}
		ro := newRouterWith(tc.fr, own, st)
		ro.Forward = forwardTo(tc.hosts)
		tc.hosts[name] = ro
	}
	return tc
}

// newRouterWith returns a router whose list of runners has the slots of the
// strategy; the runners themselves keep theirs.
func newRouterWith(fr *fakeRunners, own []string, st strategy) *Router {
	slots := fr.slots
	fr.slots = st.slots
	ro := newRouter(fr, own)
	fr.slots = slots
	ro.NoHedge = st.noHedge
	ro.pools["s"].Pick = st.pick
	return ro
}

// exchangeLoads reports the hosts' loads to each other with the delay that
// package peer has.
func (tc *trialCluster) exchangeLoads(ctx context.Context, spill bool) {
	for ctx.Err() == nil {
		loads := map[string]map[string]Load{}
		for name, ro := range tc.hosts {
			loads[name] = ro.Loads()
		}
		time.Sleep(200 * time.Millisecond)
		for name, ro := range tc.hosts {
			sameDC := map[string]map[string]Load{}
			for other, lo := range loads {
				if other != name && spill {
					sameDC[other] = lo
				}
			}
			ro.SetPeers(sameDC, nil)
			ro.Registry.Changed()
		}
	}
}

// do sends a request of a random class to a random host, and records the result
// if counted is set.
func (tc *trialCluster) do(ts *trialStats, n int, wg *sync.WaitGroup, counted bool) {
	class, left := runner.LatencyCritical, latDeadline
	if rand.Float64() < trialBatch {
		class, left = runner.Batch, batDeadline
	}
	req, ro := request(n, class, left), tc.hosts[tc.names[rand.IntN(len(tc.names))]]
	wg.Go(func() {
		begun := time.Now()
		res := ro.Do(context.Background(), req)
		if counted {
			ts.record(req, res, time.Since(begun))
		}
	})
}

// runTrial runs a load on a strategy, in virtual time.
func runTrial(st strategy, tl trialLoad, span time.Duration) *trialStats {
	ts := &trialStats{lat: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), reasons: map[reason.Reason]int{}}
	tc := newTrialCluster(st)
	runners := ids("r", trialRunners)
	for _, id := range runners[:tl.slow] {
		tc.fr.slow[id] = 5
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { tc.exchangeLoads(ctx, st.spill) })
	rate := tl.load * trialRunners * trialSlots / trialMean.Seconds()
	var wg sync.WaitGroup
	begun, next, burst := time.Now(), time.Now(), time.Now().Add(trialWarmUp)
	for n := 0; next.Sub(begun) < span+trialWarmUp; n++ {
		time.Sleep(time.Until(next))
		at := next.Sub(begun)
		if at > trialWarmUp+span/2 {
			tc.fr.mu.Lock()
			for i, id := range runners {
				tc.fr.down[id] = i < tl.down
				tc.fr.hung[id] = i < tl.hung
			}
			tc.fr.mu.Unlock()
		}
		tc.do(ts, n, &wg, at > trialWarmUp)
		if tl.burst > 0 && next.After(burst) {
			burst = burst.Add(2 * time.Second)
			for i := range tl.burst {
				tc.do(ts, 1_000_000+n*1000+i, &wg, true)
			}
		}
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	wg.Wait()
	// Waits for the slower attempts of hedged requests.
	time.Sleep(time.Minute)
	return ts
}

// row formats the results as a line of the comparison.
func (ts *trialStats) row(st strategy, tl trialLoad, span time.Duration) string {
	at := func(q float64) float64 { return float64(ts.lat.ValueAtQuantile(q)) / 1000 }
	sent := ts.sent[0] + ts.sent[1]
	capacity := float64(trialRunners*trialSlots) / trialMean.Seconds() * span.Seconds()
	return fmt.Sprintf("%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.1f%%\t%.2f\t%.3f\t%v",
		tl.name, st.name, at(50), at(99), at(99.9),
		100*float64(ts.answered[0])/float64(max(1, ts.sent[0])), 100*float64(ts.answered[1])/float64(max(1, ts.sent[1])),
		100*float64(ts.answered[0]+ts.answered[1])/capacity, 1000*float64(ts.unknown)/float64(max(1, sent)),
		float64(ts.attempts)/float64(max(1, sent)), ts.reasons)
}

const compareHeader = "LOAD\tSTRATEGY\tP50\tP99\tP99.9\tLATENCY-CRITICAL ANSWERED\tBATCH ANSWERED\tGOODPUT/CAPACITY\tUNKNOWN PER 1,000\tATTEMPTS\tREASONS"

// TestCompare prints the comparison of docs/DESIGN.md with -compare. By default
// it runs the chosen strategy once at 120% load and checks only what does not
// depend on chance: most latency-critical requests are answered and batch is
// not starved.
func TestCompare(t *testing.T) {
	c := qt.New(t)
	if !*compare {
		synctest.Test(t, func(t *testing.T) {
			ts := runTrial(strategies[1], trialLoads[3], time.Second)
			qt.New(t).Assert(ts.answered[0] > ts.sent[0]/2, qt.IsTrue)
			qt.New(t).Assert(ts.answered[1] > 0, qt.IsTrue, qt.Commentf("batch starved"))
		})
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, compareHeader)
	for _, tl := range trialLoads {
		if !strings.HasPrefix(tl.name, *compareLoad) {
			continue
		}
		for _, st := range strategies {
			synctest.Test(t, func(*testing.T) {
				_, _ = fmt.Fprintln(out, runTrial(st, tl, *compareFor).row(st, tl, *compareFor))
			})
		}
	}
	c.Assert(out.Flush(), qt.IsNil)
}
