package sched

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// delays draws random delays from a fixed seed.
type delays struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// between returns a delay of lo to hi milliseconds.
func (de *delays) between(lo, hi int) time.Duration {
	de.mu.Lock()
	defer de.mu.Unlock()
	return time.Duration(lo+de.rnd.Intn(hi-lo+1)) * time.Millisecond
}

// wrap delays answers to polls and launches by 10 to 20 ms. A stop takes 0.3 to 0.9 s.
func (de *delays) wrap(ag worker.Agent) worker.Agent {
	halt, poll, launch := ag.HaltFunc, ag.PollFunc, ag.LaunchFunc
	ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
		time.AfterFunc(de.between(300, 900), func() { _, _ = halt(context.WithoutCancel(ctx), ad, ha) })
		return worker.Ack{}, nil
	}
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		res, err := poll(ctx, ad, po)
		clock.Sleep(ctx, de.between(10, 20))
		return res, err
	}
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		clock.Sleep(ctx, de.between(10, 20))
		return launch(ctx, ad, la)
	}
	return ag
}

// fullService is a service that is full of long-running tasks while interrupted ones wait.
type fullService struct {
	*lab
	ow   *Owner
	rnd  *rand.Rand
	jobs int
	// cancelled has when jobs were cancelled, by id.
	cancelled map[string]time.Time
	// calmAt is when the leases of the lost workers have lapsed.
	calmAt time.Time
}

// newFullService fills workers of 64 cores and loses some; writes take 18 ms.
func newFullService(t *testing.T, seed int64, lost, left int) *fullService {
	t.Helper()
	fs := &fullService{lab: newLab(t, 0), rnd: rand.New(rand.NewSource(seed)), cancelled: map[string]time.Time{}}
	fs.wrapAgentFunc = (&delays{rnd: rand.New(rand.NewSource(seed))}).wrap
	fs.fleet.RunFunc = runUntilStopped
	ow, end := fs.startOwner()
	t.Cleanup(end)
	fs.ow = ow
	fs.addWorkers(lost)
	fs.fill(lost * 56)
	time.Sleep(crashBlameLimit + 4*time.Second)
	fs.addWorkers(left)
	fs.fill(left * 80)
	time.Sleep(2 * time.Second)
	fs.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 18})
	var ids []string
	for _, fw := range fs.fleetWorkers[:lost] {
		fs.fleet.Kill(fw)
		ids = append(ids, fw.Addr.Incarnation.ID)
	}
	ow.SetWorkers(nil, ids, false)
	time.Sleep(10 * time.Second)
	fs.calmAt = time.Now()
	return fs
}

func (fs *fullService) addWorkers(n int) {
	for range n {
		fs.addWorker(len(fs.fleetWorkers))
		fs.fleetWorkers[len(fs.fleetWorkers)-1].Capacity = worker.Resources{MilliCores: 64_000, MemMB: 256_000}
	}
	fs.ow.SetWorkers(fs.workerEntries(), nil, true)
	time.Sleep(2 * time.Second)
}

// fill submits long-running jobs of 7 to 14 tasks of 8 to 20 cores that need the given cores.
func (fs *fullService) fill(cores int) {
	for cores > 0 {
		fs.jobs++
		tasks, each := 7+fs.rnd.Intn(8), 8+fs.rnd.Intn(13)
		fs.submit(fs.ow, fs.jobs, longRunningOf(tasks, int64(each)))
		cores -= tasks * each
	}
}

// cancelUntilAllRun cancels jobs, one in the given time, until no interrupted task waits.
func (fs *fullService) cancelUntilAllRun(every time.Duration) {
	for _, i := range fs.rnd.Perm(fs.jobs) {
		waiting := 0
		for _, vw := range fs.interruptions(fs.cancelled) {
			if !vw.until.Before(time.Now()) {
				waiting++
			}
		}
		if waiting == 0 {
			return
		}
		if n := 1 + i; fs.runningOfJob(n) > 0 {
			_, err := fs.ow.Cancel(context.Background(), jobID(n))
			qt.Assert(fs.t, err, qt.IsNil)
			fs.cancelled[jobID(n)] = time.Now()
			time.Sleep(every/2 + time.Duration(fs.rnd.Int63n(int64(every))))
		}
	}
}

// visibleShare returns how much of their last reportPeriod tasks that waited found the
// capacity on two workers.
func (fs *fullService) visibleShare() (share float64, tasks int) {
	for _, vw := range fs.visibleWaits(fs.cancelled) {
		if vw.until.Sub(fs.calmAt) < reportPeriod || vw.until.Sub(vw.from) < reportAfter {
			continue
		}
		tasks++
		for _, pe := range vw.onTwo {
			if since := vw.until.Add(-reportPeriod); pe.From.Before(since) {
				pe.From = since
			}
			share += max(pe.Until.Sub(pe.From), 0).Seconds() / reportPeriod.Seconds()
		}
	}
	return share / float64(tasks), tasks
}

// maxVisibleShare is so low that three independent samples find the capacity in 1 of 64 cases.
const maxVisibleShare = 0.25

// TestFreedCapacityIsTakenBeforeTasksAreMissed guards against tasks missed beside capacity in transit.
func TestFreedCapacityIsTakenBeforeTasksAreMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFullService(t, 1, 60, 140)
		fs.cancelUntilAllRun(250 * time.Millisecond)
		share, tasks := fs.visibleShare()
		qt.Assert(t, tasks > 100, qt.IsTrue, qt.Commentf("only %d tasks waited", tasks))
		qt.Check(t, share <= maxVisibleShare, qt.IsTrue, qt.Commentf("two workers had the capacity in %.3f of the time, %d tasks", share, tasks))
	})
}

// TestWriteDelaysStartInCapacityOfStoppedTask guards against capacity left unused during a write.
func TestWriteDelaysStartInCapacityOfStoppedTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.wrapAgentFunc = (&delays{rnd: rand.New(rand.NewSource(1))}).wrap
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunningOf(1, 20))
		time.Sleep(crashBlameLimit + 2*time.Second)
		la.addWorker(1)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 2, longRunningOf(1, 16))
		time.Sleep(time.Second)
		lost := la.fleetWorkers[0]
		la.fleet.Kill(lost)
		ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		const write = 200 * time.Millisecond
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: write.Milliseconds()})
		cancelled := map[string]time.Time{jobID(2): time.Now()}
		_, err := ow.Cancel(context.Background(), jobID(2))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		waits := la.visibleWaits(cancelled)
		qt.Assert(t, waits, qt.HasLen, 1)
		qt.Check(t, la.runningOfJob(1), qt.Equals, 1)
		qt.Check(t, longest(waits[0].onOne) < write/2, qt.IsTrue, qt.Commentf("a worker had the capacity for %v", longest(waits[0].onOne)))
	})
}
