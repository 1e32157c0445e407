package sched

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// ownerLosses are the ways in which an owner is lost.
var ownerLosses = []struct {
	name string
	lose func(cl *cluster, owner *clusterHost)
}{
	{"killed", func(_ *cluster, owner *clusterHost) { owner.kill() }},
	{"host without power", func(_ *cluster, owner *clusterHost) {
		owner.set(func(ch *clusterHost) { ch.partitioned = true })
		owner.kill()
	}},
	{"frozen", func(cl *cluster, owner *clusterHost) {
		owner.cutOff()
		for _, fw := range cl.fleetWorkers {
			owner.setUnreachable(fw)
		}
	}},
	{"cut off", func(_ *cluster, owner *clusterHost) { owner.cutOff() }},
}

// cutOff cuts the host off from the store and the other hosts, but not from the workers.
func (ch *clusterHost) cutOff() {
	ch.gate.Set(standin.Fault{Mode: standin.ModeDown})
	ch.set(func(ch *clusterHost) { ch.partitioned = true })
}

func (ch *clusterHost) setUnreachable(fw *standin.FleetWorker) {
	ch.set(func(ch *clusterHost) { ch.unreachable[fw.Addr.Incarnation] = true })
}

// cutOffWorker makes a worker, which goes on, unreachable for all hosts.
func (cl *cluster) cutOffWorker(fw *standin.FleetWorker) {
	for _, ch := range cl.hosts {
		ch.setUnreachable(fw)
	}
}

// restartWorker ends a worker's process and starts the next one, with a slow clock, under its id
// after a pause. The next one is listed, but no owner gets the list.
func (cl *cluster) restartWorker(i int, pause time.Duration) *standin.FleetWorker {
	former := cl.fleetWorkers[i]
	cl.fleet.Kill(former)
	time.Sleep(pause)
	next := &standin.FleetWorker{Addr: former.Addr, Capacity: former.Capacity, ClockRate: 1 - clockDrift}
	next.Addr.Incarnation.StartedMS = time.Now().UnixMilli()
	cl.mu.Lock()
	cl.fleetWorkers[i] = next
	cl.mu.Unlock()
	cl.fleet.Add(next)
	return next
}

// Numbers of long-running tasks: those of [sixHosts], those submitted after a restart, and those
// whose orders to start are carried out by another process.
const (
	hostsTasks       = 4
	nextTasks        = 4
	misdirectedTasks = 2
)

// callRecord has the last poll of each worker that extended its leases.
type callRecord struct {
	mu    sync.Mutex
	polls map[worker.Incarnation]worker.Poll
}

func (cr *callRecord) wrap(ag worker.Agent) worker.Agent {
	poll := ag.PollFunc
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		if po.LeaseUntilMS > 0 {
			cr.mu.Lock()
			cr.polls[ad.Incarnation] = po
			cr.mu.Unlock()
		}
		return poll(ctx, ad, po)
	}
	return ag
}

// repeatPoll sends the last poll of a worker's former process once more. It must be carried out
// by the next process.
func (cl *cluster) repeatPoll(cr *callRecord, former worker.Addr) {
	cr.mu.Lock()
	po := cr.polls[former.Incarnation]
	cr.mu.Unlock()
	po.Wait = 0
	_, err := cl.fleet.Agent().PollFunc(context.Background(), former, po)
	ie := (*worker.IncarnationError)(nil)
	qt.Assert(cl.t, errors.As(err, &ie), qt.IsTrue, qt.Commentf("poll of %s: %v", former, err))
}

// misdirectedCalls are the calls for a worker's former process that the next one carries out. Each
// restarts the first worker after a pause, and returns once the next process has the call.
var misdirectedCalls = []struct {
	name string
	// tasks is the number of long-running tasks that are submitted with it.
	tasks   int
	restart func(cl *cluster, cr *callRecord, owner *clusterHost, pause time.Duration) *standin.FleetWorker
}{
	{"poll", 0, func(cl *cluster, cr *callRecord, _ *clusterHost, pause time.Duration) *standin.FleetWorker {
		former := cl.fleetWorkers[0].Addr
		next := cl.restartWorker(0, pause)
		cl.repeatPoll(cr, former)
		return next
	}},
	{"start order", misdirectedTasks, func(cl *cluster, _ *callRecord, owner *clusterHost, pause time.Duration) *standin.FleetWorker {
		const sent, late = 10 * time.Millisecond, 50 * time.Millisecond
		cl.fleet.SetOrderDelay(cl.fleetWorkers[0], sent+pause+late)
		qt.Assert(cl.t, cl.submit(owner.ow.Load(), 2, longRunning(misdirectedTasks)).Outcome, qt.Equals, Accepted)
		time.Sleep(sent)
		next := cl.restartWorker(0, pause)
		time.Sleep(late + time.Millisecond)
		qt.Assert(cl.t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
		return next
	}},
}

// withRestartedWorker runs four workers with leases of 10 s in a cell of six hosts. The first worker restarts,
// and its next process carries out a call for the former one before the owner has an answer of it.
// Then tasks are started there, and test is called.
func withRestartedWorker(t *testing.T, misdirected int, pause time.Duration, test func(cl *cluster, owner *clusterHost, next *standin.FleetWorker)) {
	t.Helper()
	cr := &callRecord{polls: map[worker.Incarnation]worker.Poll{}}
	sixHosts{workers: 4, maxLease: 10 * time.Second, wrapAgent: cr.wrap}.run(t, func(cl *cluster, owner *clusterHost) {
		next := misdirectedCalls[misdirected].restart(cl, cr, owner, pause)
		owner.ow.Load().SetWorkers(cl.listedWorkers(), nil, true)
		time.Sleep(250 * time.Millisecond)
		qt.Assert(t, cl.submit(owner.ow.Load(), 3, longRunningOf(nextTasks, 8)).Outcome, qt.Equals, Accepted)
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
		test(cl, owner, next)
	})
}

// TestMisdirectedLeasesOutliveTheirOwner guards against a task that runs twice: a call for the former
// process of a worker extends the leases of the next one beyond what the next owner awaits.
func TestMisdirectedLeasesOutliveTheirOwner(t *testing.T) {
	for misdirected, call := range misdirectedCalls {
		for _, pause := range []time.Duration{50 * time.Millisecond, 600 * time.Millisecond} {
			for _, lo := range ownerLosses {
				for _, later := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/away for %v/%s %v later", call.name, pause, lo.name, later), func(t *testing.T) {
						withRestartedWorker(t, misdirected, pause, func(cl *cluster, owner *clusterHost, next *standin.FleetWorker) {
							time.Sleep(later)
							lo.lose(cl, owner)
							cl.cutOffWorker(next)
							time.Sleep(40 * time.Second)
							cl.assertRunning(hostsTasks + nextTasks + call.tasks)
						})
					})
				}
			}
		}
	}
}

// TestLateStartsOutliveTheirOwner guards against a task that runs twice: the next process of a worker
// carries out an order for the former one, long after the owner that sent it was lost.
func TestLateStartsOutliveTheirOwner(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second} {
		for _, lo := range ownerLosses {
			t.Run(fmt.Sprintf("after %v/%s", late, lo.name), func(t *testing.T) {
				withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
					former := cl.orderLate(owner, late)
					lo.lose(cl, owner)
					cl.cutOffWorker(former)
					next := cl.restartWorker(0, 50*time.Millisecond)
					cl.cutOffWorker(next)
					time.Sleep(late)
					qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
					time.Sleep(40 * time.Second)
					cl.assertRunning(hostsTasks + misdirectedTasks)
				})
			})
		}
	}
}

// TestOldProcessesAwaitNoMisdirectedLease guards against tasks of a lost worker that did not restart, which
// start again later than in [TestWorkersLostWithTheirOwner] because another worker has restarted.
func TestOldProcessesAwaitNoMisdirectedLease(t *testing.T) {
	for _, lo := range ownerLosses {
		t.Run(lo.name, func(t *testing.T) {
			withRestartedWorker(t, 0, 50*time.Millisecond, func(cl *cluster, owner *clusterHost, next *standin.FleetWorker) {
				time.Sleep(500 * time.Millisecond)
				old := cl.busyOther(next)
				lost := cl.tasksAt(old)
				cl.fleet.Kill(old)
				lo.lose(cl, owner)
				cl.cutOffWorker(next)
				time.Sleep(tenure.UnreachableTimeout + time.Second + lostRestartDeadline)
				again := map[string]bool{}
				for _, fw := range cl.fleetWorkers[1:] {
					maps.Copy(again, cl.tasksAt(fw))
				}
				for task := range lost {
					qt.Check(t, again[task], qt.IsTrue, qt.Commentf("task %s does not run again", task))
				}
			})
		})
	}
}

// busyOther returns a worker other than the given one that runs a task.
func (cl *cluster) busyOther(fw *standin.FleetWorker) *standin.FleetWorker {
	for _, other := range cl.fleetWorkers {
		if other != fw && cl.running()[other.Addr.Incarnation] > 0 {
			return other
		}
	}
	cl.t.Fatal("no other worker runs anything")
	return nil
}

// tasksAt returns the tasks that run on a worker.
func (la *lab) tasksAt(fw *standin.FleetWorker) map[string]bool {
	tasks := map[string]bool{}
	for _, ru := range la.fleet.Runs() {
		if ru.Until.IsZero() && ru.Worker == fw.Addr.Incarnation {
			tasks[ru.Task] = true
		}
	}
	return tasks
}

// TestWholeLeaseAwaitedWhereRestartsAreNotStated guards against tasks that run twice because a row states nothing
// of the leases on a restarted worker, or something impossible.
func TestWholeLeaseAwaitedWhereRestartsAreNotStated(t *testing.T) {
	const maxLease = 10 * time.Second
	confirmed, whole := maxDriftDuration(tenure.LeaseLimit)+lapseMargin, tenure.ExtendFor+maxDriftDuration(maxLease)+lapseMargin
	for _, tc := range []struct {
		name   string
		stated bool
		rowMS  []int64
		want   time.Duration
	}{
		{"by an earlier version", false, []int64{0}, whole},
		{"without a row", true, nil, whole},
		{"as none", true, []int64{0}, confirmed},
		{"as short", true, []int64{3000}, confirmed},
		{"as long", true, []int64{10_000}, maxDriftDuration(10 * time.Second)},
		{"as long in one of two rows", true, []int64{10_000, 0}, confirmed},
		{"as negative", true, []int64{-1}, whole},
		{"as endless", true, []int64{1 << 62}, whole},
	} {
		in := worker.Incarnation{ID: "i-0", StartedMS: 5}
		ow := New(&Owner{Limits: Limits{MaxLease: maxLease}, startedAt: time.Now()})
		ow.Tenure.Former = tenure.OwnerRow{Owner: "a", Bounded: true, StatesRestarts: tc.stated}
		ow.Tenure.FormerEnded = func() time.Time { return time.Time{} }
		for _, ms := range tc.rowMS {
			ow.recordRowLeases(&job.Job{RestartLeaseMS: map[worker.Incarnation]int64{in: ms}}, in)
		}
		qt.Check(t, ow.incarnationLeases(in).until.Sub(ow.startedAt), qt.Equals, tc.want, qt.Commentf("stated %s", tc.name))
	}
}

// TestAcknowledgementOfTheNextProcessIsNoticed guards against a task that runs twice: an acknowledgement without
// the start time of its process counts as one of the former process, for whose leases its owner then waits.
func TestAcknowledgementOfTheNextProcessIsNoticed(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * time.Second, 15 * time.Second, 30 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) { acknowledgeByNextProcess(t, wait) })
	}
}

func acknowledgeByNextProcess(t *testing.T, wait time.Duration) {
	t.Helper()
	var cl *cluster
	var next *standin.FleetWorker
	wrap := func(ag worker.Agent) worker.Agent {
		launch, poll := ag.LaunchFunc, ag.PollFunc
		ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			if cl != nil && next == nil {
				next = cl.restartAddressee(ad)
			}
			return launch(ctx, ad, la)
		}
		ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			if next != nil && ad.Incarnation.ID == next.Addr.Incarnation.ID {
				return worker.PollResult{}, errUnreachable
			}
			return poll(ctx, ad, po)
		}
		return ag
	}
	sixHosts{workers: 4, maxLease: 10 * time.Second, wrapAgent: wrap}.run(t, func(cell *cluster, owner *clusterHost) {
		time.Sleep(wait)
		cell.fleet.OmitStartTime = true
		cl = cell
		qt.Assert(t, cl.submit(owner.ow.Load(), 2, longRunning(1)).Outcome, qt.Equals, Accepted)
		time.Sleep(40 * time.Second)
		qt.Assert(t, next, qt.IsNotNil)
		cl.assertRunning(hostsTasks + 1)
	})
}

// restartAddressee restarts the worker whose process has an address.
func (cl *cluster) restartAddressee(ad worker.Addr) *standin.FleetWorker {
	for i, fw := range cl.fleetWorkers {
		if fw.Addr.Incarnation == ad.Incarnation {
			return cl.restartWorker(i, 0)
		}
	}
	return nil
}

// TestTasksSeenRunningDoNotAwaitLateOrders guards against tasks of a restarted worker that is out of reach which
// start again late, as if their orders could still arrive.
func TestTasksSeenRunningDoNotAwaitLateOrders(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(cl *cluster, owner *clusterHost, former *standin.FleetWorker)
	}{
		{"same owner", func(_ *cluster, owner *clusterHost, former *standin.FleetWorker) {
			owner.setUnreachable(former)
			owner.set(func(ch *clusterHost) { ch.reachableOnce = map[worker.Incarnation]bool{former.Addr.Incarnation: true} })
		}},
		{"next owner", func(_ *cluster, owner *clusterHost, _ *standin.FleetWorker) { owner.kill() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
				qt.Assert(t, len(cl.tasksAt(cl.fleetWorkers[0])) > 0, qt.IsTrue)
				former := cl.fleetWorkers[0]
				cl.cutOffWorker(cl.restartWorker(0, 0))
				tc.lose(cl, owner, former)
				time.Sleep(tenure.UnreachableTimeout + time.Second + lostRestartDeadline)
				cl.assertRunning(hostsTasks)
			})
		})
	}
}

// TestLateStartsOnAListedProcess guards against a task that runs twice under one owner: the next process of a worker,
// which is listed but out of reach, carries out an order for the former one.
func TestLateStartsOnAListedProcess(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second, 12 * time.Second} {
		for _, listed := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			for _, released := range []bool{false, true} {
				t.Run(fmt.Sprintf("after %v/listed after %v/owner released %v", late, listed, released), func(t *testing.T) {
					withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
						former := cl.orderLate(owner, late)
						cl.cutOffWorker(former)
						next := cl.restartWorker(0, 50*time.Millisecond)
						cl.cutOffWorker(next)
						time.Sleep(listed)
						owner.ow.Load().SetWorkers(cl.listedWorkers(), nil, true)
						time.Sleep(time.Second)
						if released {
							owner.keeper.Release(time.Second)
						}
						time.Sleep(40 * time.Second)
						cl.assertRunning(hostsTasks + misdirectedTasks)
					})
				})
			}
		}
	}
}
