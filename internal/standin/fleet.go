package standin

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// OutcomeCrash is the outcome of a task that crashes its worker's process. The worker
// reports neither that end nor any other.
const OutcomeCrash = "crashes"

// FleetRun is one run of an attempt at a worker of a [Fleet], recorded for checks.
type FleetRun struct {
	worker.Attempt

	// Worker is the incarnation of the worker that ran it.
	Worker worker.Incarnation
	// Payload and Checkpoint are those of the order that launched it.
	Payload, Checkpoint string
	// From and Until are its start and end; Until is zero while it runs.
	From, Until time.Time
	// Outcome is how it ended, "" while it runs.
	Outcome string
	// AckedInLease is set once the owner has acknowledged the end, unless the worker's
	// lease expired between the end and the acknowledgement: the owner may then have
	// given up the attempt.
	AckedInLease bool
	// AckedAt is when the owner acknowledged the end, also after the lease expired, or
	// zero.
	AckedAt time.Time
	// ServingTime is how long a service ran under the model of [Interference].
	// OverTargetByFillers and OverTargetByLoad are how long its tail latency was over
	// its target because of fillers and because of its own load alone.
	ServingTime, OverTargetByFillers, OverTargetByLoad time.Duration
	// LongestOverTarget is the longest time for which it had been over its target without
	// interruption at a moment when it was so because of fillers.
	LongestOverTarget time.Duration

	// lapsed is set if the lease expired while the end was not yet acknowledged.
	lapsed bool
}

// Fleet is a fake of workers that are polled and get one order per attempt. The zero value
// has no workers.
type Fleet struct {
	// RunFunc returns how long an attempt runs, where a negative time means until it
	// is stopped, and its outcome. If it is nil, tasks are done after a second.
	RunFunc func(at worker.Attempt) (time.Duration, string)
	// Interference, if set, makes fillers and services slow each other down.
	Interference *Interference
	// CrashedFunc, if set, is called with each worker that a task crashed.
	CrashedFunc func(fw *FleetWorker)
	// ResourcesFunc returns the resources that an attempt takes; nil means none.
	ResourcesFunc func(at worker.Attempt) worker.Resources
	// ApplyAckToLaterEnds makes an acknowledgement also cover ends that happen after it
	// and have a number up to the acknowledged one: workers never list them. Otherwise
	// an acknowledgement only removes ends that are already listed.
	ApplyAckToLaterEnds bool
	// Faults, if set, are those of messages to and from all workers.
	Faults *MessageFaults
	// MaxLease is the longest lease by a worker's clock, to which longer ones are cut; 0 means no
	// limit.
	MaxLease time.Duration
	// OmitStartTime leaves the start time of the worker's process out of answers to
	// orders; answers to polls always have it.
	OmitStartTime bool
	// ClockStartFunc, if set, returns the ClockStart of processes that Restart starts.
	ClockStartFunc func() time.Duration

	mu      sync.Mutex
	workers map[string]*FleetWorker
	runs    []*FleetRun
}

// FleetWorker is one worker of a fleet.
type FleetWorker struct {
	// Addr is the address at which it listens and its incarnation. Add sets the
	// incarnation's start time unless it is set.
	Addr worker.Addr
	// Capacity is the resources that it offers to tasks.
	Capacity worker.Resources
	// Faults injects faults into orders and polls.
	Faults FaultInjector
	// OrderDelay, if not 0, is the time after which the worker carries out an order,
	// which it then leaves without an answer.
	OrderDelay time.Duration
	// PollDelay is the same for polls.
	PollDelay time.Duration
	// ClockRate is the speed of its clock relative to real time; 0 means 1.
	ClockRate float64
	// ClockStart is the time of its clock when the process starts; 0 means a second.
	ClockStart time.Duration
	// RunFunc, if set, overrides that of the fleet.
	RunFunc func(at worker.Attempt) (time.Duration, string)

	fl        *Fleet
	startedAt time.Time
	dead      bool
	// fence is the highest fencing token seen.
	fence int64
	// leaseUntil is the end of the lease in milliseconds of the worker's clock.
	leaseUntil int64
	// maxAckedEnd is the highest number of an end that was acknowledged.
	maxAckedEnd int64
	running     map[string]*fleetTask
	// lastAttempt is the highest attempt of each task that ended or was stopped before
	// it started.
	lastAttempt map[string]int
	ended       []worker.EndedAttempt
	// endedRuns holds the runs of ended, in the same order.
	endedRuns []*FleetRun
	// ends is the number of the last end.
	ends int64
	// wake is closed at the next end, to answer polls that wait.
	wake chan struct{}
}

// fleetTask is an attempt that runs at a worker.
type fleetTask struct {
	run       *FleetRun
	resources worker.Resources
	timer     *time.Timer
	// target is how long the attempt is to run at full speed, and outcome how it then
	// ends.
	target  time.Duration
	outcome string
	// The next fields are set under the model of [Interference]. worked is how much of
	// target a filler has worked, and used the processors it gets, in millicores. usage
	// is the reported figure, with noise: that of a filler is in millicores, that of a
	// service its tail latency in milliseconds, both over the window of which reported has the
	// values. pace is the ordered speed in percent if paced is set. overTarget is for how long a
	// service has been over its target.
	worked     time.Duration
	used       float64
	usage      int64
	reported   recent
	pace       int
	paced      bool
	overTarget time.Duration
}

// Add adds a worker and starts its clock.
func (fl *Fleet) Add(fw *FleetWorker) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.workers == nil {
		fl.workers = map[string]*FleetWorker{}
	}
	fw.fl, fw.startedAt = fl, time.Now()
	if fw.Addr.Incarnation.StartedMS == 0 {
		fw.Addr.Incarnation.StartedMS = fw.startedAt.UnixMilli()
	}
	fw.running, fw.lastAttempt, fw.wake = map[string]*fleetTask{}, map[string]int{}, make(chan struct{})
	fl.workers[fw.Addr.HostPort] = fw
}

// Restart kills a worker's process and starts a new one with the same id at an address.
// The new process has no state of the old one, and its clock and the numbers of its ends
// restart; the clock runs as fast as before. The wall clock of its host was stepped by the
// given time in between.
func (fl *Fleet) Restart(fw *FleetWorker, hostPort string, stepped time.Duration) *FleetWorker {
	fl.Kill(fw)
	next := &FleetWorker{Addr: fw.Addr, Capacity: fw.Capacity, ClockRate: fw.ClockRate}
	if fl.ClockStartFunc != nil {
		next.ClockStart = fl.ClockStartFunc()
	}
	next.Addr.HostPort = hostPort
	next.Addr.Incarnation.StartedMS = time.Now().Add(stepped).UnixMilli()
	if next.Addr.Incarnation == fw.Addr.Incarnation {
		next.Addr.Incarnation.StartedMS++
	}
	fl.Add(next)
	return next
}

// Kill kills a worker's process and all that runs there.
func (fl *Fleet) Kill(fw *FleetWorker) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fw.kill()
}

func (fw *FleetWorker) kill() {
	fw.dead = true
	for name := range fw.running {
		fw.end(name, "killed")
	}
	// The connections of a killed process break, including those of polls that wait.
	close(fw.wake)
	fw.wake = make(chan struct{})
}

// crash kills the worker's process because of a task.
func (fw *FleetWorker) crash(task string) {
	fw.end(task, OutcomeCrash)
	fw.kill()
	if fw.fl.CrashedFunc != nil {
		go fw.fl.CrashedFunc(fw)
	}
}

// SetOrderDelay sets the OrderDelay of a worker while it runs.
func (fl *Fleet) SetOrderDelay(fw *FleetWorker, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fw.OrderDelay = d
}

// SetPollDelay sets the PollDelay of a worker while it runs.
func (fl *Fleet) SetPollDelay(fw *FleetWorker, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fw.PollDelay = d
}

// SetRunFunc sets RunFunc while workers run.
func (fl *Fleet) SetRunFunc(run func(at worker.Attempt) (time.Duration, string)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.RunFunc = run
}

// Runs returns copies of all runs so far in the order of their starts.
func (fl *Fleet) Runs() []FleetRun {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	runs := make([]FleetRun, len(fl.runs))
	for i, ru := range fl.runs {
		runs[i] = *ru
	}
	return runs
}

// FencingTokens returns the highest fencing token that each worker has received, by
// incarnation.
func (fl *Fleet) FencingTokens() map[worker.Incarnation]int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fences := map[worker.Incarnation]int64{}
	for _, fw := range fl.workers {
		fences[fw.Addr.Incarnation] = fw.fence
	}
	return fences
}

// clock returns the worker's clock in milliseconds.
func (fw *FleetWorker) clock() int64 {
	passed := float64(time.Since(fw.startedAt).Milliseconds()) * fw.rate()
	return cmp.Or(fw.ClockStart, time.Second).Milliseconds() + int64(passed)
}

func (fw *FleetWorker) rate() float64 { return cmp.Or(fw.ClockRate, 1) }

// extendLease sets the end of the lease, in milliseconds of the worker's clock, unless it
// is earlier than the current one.
func (fw *FleetWorker) extendLease(until int64) {
	if most := fw.fl.MaxLease; most > 0 {
		until = min(until, fw.clock()+most.Milliseconds())
	}
	if until <= fw.leaseUntil {
		return
	}
	fw.leaseUntil = until
	time.AfterFunc(time.Duration(float64(until-fw.clock())/fw.rate())*time.Millisecond+time.Millisecond, fw.expireLease)
}

// expireLease ends all runs if the lease has expired.
func (fw *FleetWorker) expireLease() {
	fw.fl.mu.Lock()
	defer fw.fl.mu.Unlock()
	if fw.dead || fw.clock() < fw.leaseUntil {
		return
	}
	for name := range fw.running {
		fw.end(name, "lapsed")
	}
	for _, ru := range fw.endedRuns {
		ru.lapsed = true
	}
}

func (fw *FleetWorker) ack() worker.Ack { return worker.Ack{ClockMS: fw.clock()} }

// isFenced records a fencing token and reports whether a higher one was seen before.
func (fw *FleetWorker) isFenced(fence int64) bool {
	fw.fence = max(fw.fence, fence)
	return fence < fw.fence
}

func (fw *FleetWorker) launch(la worker.Launch) (worker.Ack, error) {
	if fw.isFenced(la.Fence) {
		return fw.ack(), worker.ErrFenced
	}
	fw.extendLease(la.LeaseUntilMS)
	switch ta := fw.running[la.Task]; {
	case ta != nil && ta.run.Number == la.Number:
		return fw.ack(), nil
	case ta != nil || la.Number <= fw.lastAttempt[la.Task]:
		return fw.ack(), worker.ErrStaleAttempt
	case fw.leaseUntil <= fw.clock():
		return fw.ack(), worker.ErrLeaseExpired
	}
	resources := fw.fl.resourcesOf(la.Attempt)
	if !resources.Fits(fw.free()) {
		return fw.ack(), worker.ErrNoCapacity
	}
	fw.start(la, resources)
	return fw.ack(), nil
}

// resourcesOf returns the resources that an attempt takes.
func (fl *Fleet) resourcesOf(at worker.Attempt) worker.Resources {
	if fl.ResourcesFunc == nil {
		return worker.Resources{}
	}
	return fl.ResourcesFunc(at)
}

func (fw *FleetWorker) free() worker.Resources {
	free := fw.Capacity
	for _, ta := range fw.running {
		free = free.Sub(ta.resources)
	}
	return free
}

// start starts an attempt. Under the model of [Interference] a filler ends when its work
// is done rather than after a time.
func (fw *FleetWorker) start(la worker.Launch, resources worker.Resources) {
	work, outcome := time.Second, "done"
	run := fw.fl.RunFunc
	if fw.RunFunc != nil {
		run = fw.RunFunc
	}
	if run != nil {
		work, outcome = run(la.Attempt)
	}
	ru := &FleetRun{Attempt: la.Attempt, Worker: fw.Addr.Incarnation, Payload: la.Payload, Checkpoint: la.Checkpoint, From: time.Now()}
	fw.fl.runs = append(fw.fl.runs, ru)
	ta := &fleetTask{run: ru, resources: resources, target: work, outcome: outcome}
	fw.running[la.Task] = ta
	if work < 0 {
		return
	}
	if in := fw.fl.Interference; in != nil && in.StepFunc(la.Attempt).Filler {
		ta.worked = workedUntil(la.Checkpoint)
		return
	}
	ta.timer = time.AfterFunc(work, func() {
		fw.fl.mu.Lock()
		defer fw.fl.mu.Unlock()
		switch {
		case fw.running[la.Task] != ta:
		case outcome == OutcomeCrash:
			fw.crash(la.Task)
		default:
			fw.end(la.Task, outcome)
		}
	})
}

// end ends a run, lists its end and answers the polls that wait.
func (fw *FleetWorker) end(name, outcome string) {
	ta := fw.running[name]
	delete(fw.running, name)
	if ta.timer != nil {
		ta.timer.Stop()
	}
	ta.run.Until, ta.run.Outcome = time.Now(), outcome
	fw.lastAttempt[name] = max(fw.lastAttempt[name], ta.run.Number)
	fw.ends++
	fw.ended = append(fw.ended, worker.EndedAttempt{Attempt: ta.run.Attempt, EndNumber: fw.ends, Outcome: outcome, Checkpoint: ta.checkpoint()})
	fw.endedRuns = append(fw.endedRuns, ta.run)
	if fw.fl.ApplyAckToLaterEnds {
		fw.removeAcked(fw.maxAckedEnd)
	}
	close(fw.wake)
	fw.wake = make(chan struct{})
}

// removeAcked removes the ends up to an acknowledged number from the list.
func (fw *FleetWorker) removeAcked(number int64) {
	for len(fw.ended) > 0 && fw.ended[0].EndNumber <= number {
		fw.endedRuns[0].AckedInLease, fw.endedRuns[0].AckedAt = !fw.endedRuns[0].lapsed, time.Now()
		fw.ended, fw.endedRuns = fw.ended[1:], fw.endedRuns[1:]
	}
}

// checkpoint returns a checkpoint with the progress of a run: the time worked in
// milliseconds for a filler under the model of [Interference], otherwise the time since
// its start in whole seconds.
func (ta *fleetTask) checkpoint() string {
	if ta.worked > 0 {
		return fmt.Sprintf("%s@%d", ta.run.Task, ta.worked.Milliseconds())
	}
	return fmt.Sprintf("%s@%d", ta.run.Task, int(time.Since(ta.run.From).Seconds()))
}

// workedUntil returns how long a filler had worked at a checkpoint under the model of
// [Interference], or 0 if there is none.
func workedUntil(checkpoint string) time.Duration {
	_, ms, _ := strings.Cut(checkpoint, "@")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// percent returns the progress of a run in percent.
func (ta *fleetTask) percent() int {
	if ta.target <= 0 {
		return 100
	}
	if ta.worked > 0 {
		return int(min(100*ta.worked/ta.target, 99))
	}
	return int(min(100*time.Since(ta.run.From)/ta.target, 99))
}

func (fw *FleetWorker) halt(ha worker.Halt) (worker.Ack, error) {
	if fw.isFenced(ha.Fence) {
		return fw.ack(), worker.ErrFenced
	}
	if ta := fw.running[ha.Task]; ta != nil && ta.run.Number == ha.Number {
		fw.end(ha.Task, "stopped")
	}
	fw.lastAttempt[ha.Task] = max(fw.lastAttempt[ha.Task], ha.Number)
	return fw.ack(), nil
}

func (fw *FleetWorker) pace(pa worker.Pace) (worker.Ack, error) {
	if fw.isFenced(pa.Fence) {
		return fw.ack(), worker.ErrFenced
	}
	if ta := fw.running[pa.Task]; ta != nil && ta.run.Number == pa.Number {
		fw.setPace(ta, pa.Percent)
	}
	return fw.ack(), nil
}
