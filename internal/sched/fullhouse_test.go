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

// fullHouse is a service that is full of long-running tasks while interrupted ones wait.
type fullHouse struct {
	*lab
	ow   *Owner
	rnd  *rand.Rand
	jobs int
	// cancelled has when jobs were cancelled, by id.
	cancelled map[string]time.Time
	// calmAt is when the leases of the lost workers have lapsed.
	calmAt time.Time
}

// newFullHouse fills workers of 64 cores and loses some; writes take 18 ms.
func newFullHouse(t *testing.T, seed int64, lost, left int) *fullHouse {
	t.Helper()
	fh := &fullHouse{lab: newLab(t, 0), rnd: rand.New(rand.NewSource(seed)), cancelled: map[string]time.Time{}}
	fh.wrapAgentFunc = (&delays{rnd: rand.New(rand.NewSource(seed))}).wrap
	fh.fleet.RunFunc = runUntilStopped
	ow, end := fh.startOwner()
	t.Cleanup(end)
	fh.ow = ow
	fh.addWorkers(lost)
	fh.fill(lost * 56)
	time.Sleep(crashBlameLimit + 4*time.Second)
	fh.addWorkers(left)
	fh.fill(left * 80)
	time.Sleep(2 * time.Second)
	fh.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 18})
	var ids []string
	for _, fw := range fh.fleetWorkers[:lost] {
		fh.fleet.Kill(fw)
		ids = append(ids, fw.Addr.Incarnation.ID)
	}
	ow.SetWorkers(nil, ids, false)
	time.Sleep(10 * time.Second)
	fh.calmAt = time.Now()
	return fh
}

func (fh *fullHouse) addWorkers(n int) {
	for range n {
		fh.addWorker(len(fh.fleetWorkers))
		fh.fleetWorkers[len(fh.fleetWorkers)-1].Capacity = worker.Resources{MilliCores: 64_000, MemMB: 256_000}
	}
	fh.ow.SetWorkers(fh.workerEntries(), nil, true)
	time.Sleep(2 * time.Second)
}

// fill submits long-running jobs of 7 to 14 tasks of 8 to 20 cores that need the given cores.
func (fh *fullHouse) fill(cores int) {
	for cores > 0 {
		fh.jobs++
		tasks, each := 7+fh.rnd.Intn(8), 8+fh.rnd.Intn(13)
		fh.submit(fh.ow, fh.jobs, longRunningOf(tasks, int64(each)))
		cores -= tasks * each
	}
}

// cancelUntilAllRun cancels jobs, one in the given time, until no interrupted task waits.
func (fh *fullHouse) cancelUntilAllRun(every time.Duration) {
	for _, i := range fh.rnd.Perm(fh.jobs) {
		waiting := 0
		for _, rw := range fh.interruptions(fh.cancelled) {
			if !rw.until.Before(time.Now()) {
				waiting++
			}
		}
		if waiting == 0 {
			return
		}
		if n := 1 + i; fh.runningOfJob(n) > 0 {
			_, err := fh.ow.Cancel(context.Background(), jobID(n))
			qt.Assert(fh.t, err, qt.IsNil)
			fh.cancelled[jobID(n)] = time.Now()
			time.Sleep(every/2 + time.Duration(fh.rnd.Int63n(int64(every))))
		}
	}
}

// roomShare returns how much of their last reportPeriod tasks that waited found room on two workers.
func (fh *fullHouse) roomShare() (share float64, tasks int) {
	for _, rw := range fh.roomWaits(fh.cancelled) {
		if rw.until.Sub(fh.calmAt) < reportPeriod || rw.until.Sub(rw.from) < reportAfter {
			continue
		}
		tasks++
		for _, pe := range rw.onTwo {
			if since := rw.until.Add(-reportPeriod); pe.From.Before(since) {
				pe.From = since
			}
			share += max(pe.Until.Sub(pe.From), 0).Seconds() / reportPeriod.Seconds()
		}
	}
	return share / float64(tasks), tasks
}

// maxRoomShare is so low that three independent samples find room in 1 of 64 cases.
const maxRoomShare = 0.25

// TestFreedCapacityIsTakenBeforeTasksAreMissed guards against interrupted tasks that are missed though all freed capacity is used, as too much of it is on its way to the next task.
func TestFreedCapacityIsTakenBeforeTasksAreMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fh := newFullHouse(t, 1, 60, 140)
		fh.cancelUntilAllRun(250 * time.Millisecond)
		share, tasks := fh.roomShare()
		qt.Assert(t, tasks > 100, qt.IsTrue, qt.Commentf("only %d tasks waited", tasks))
		qt.Check(t, share <= maxRoomShare, qt.IsTrue, qt.Commentf("two workers had room in %.3f of the time, %d tasks", share, tasks))
	})
}

// TestWriteDelaysStartInCapacityOfStoppedTask guards against capacity that stays free for a write of the store although the owner stops the task in it and could write the next start meanwhile.
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
		waits := la.roomWaits(cancelled)
		qt.Assert(t, waits, qt.HasLen, 1)
		qt.Check(t, la.runningOfJob(1), qt.Equals, 1)
		qt.Check(t, longest(waits[0].onOne) < write/2, qt.IsTrue, qt.Commentf("a worker had room for %v", longest(waits[0].onOne)))
	})
}
