package standin

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// OutcomeCrash is how a task ends that ends its worker's process with it: nothing is told of
// that to anybody.
const OutcomeCrash = "crashes"

// FleetRun is one run of a task at a worker of a [Fleet], for checks afterwards.
type FleetRun struct {
	worker.Attempt

	// Worker is the incarnation.
	Worker worker.Incarnation
	// Payload and Checkpoint are what it was started with.
	Payload, Checkpoint string
	// From and Until are when it ran; Until is zero while it does.
	From, Until time.Time
	// How is how it ended.
	Outcome string
	// AckedInLease is set once the owner acknowledged the end, unless the worker's
	// leases had lapsed in between: the owner may then have given it up.
	AckedInLease bool
	// AckedAt is when the owner acknowledged the end, whatever became of the leases,
	// or zero.
	AckedAt time.Time
	// ServingTime is how long it served in a [Interference]; OverTargetByFillers and OverTargetByLoad are
	// how long it was over its target, through fillers and by its own load.
	ServingTime, OverTargetByFillers, OverTargetByLoad time.Duration

	lapsed bool
}

// Fleet stands in for workers that are ordered task by task. The zero value
// has none; tasks run for a second unless RunFunc says otherwise.
type Fleet struct {
	// RunFunc returns how long a task works and how it then ends; a negative
	// time is endless.
	RunFunc func(at worker.Attempt) (time.Duration, string)
	// Interference has tasks disturb each other, if set.
	Interference *Interference
	// CrashedFunc is told of a worker that a task crashed, if set.
	CrashedFunc func(fw *FleetWorker)
	// ResourcesFunc returns what a task takes of a worker's room.
	ResourcesFunc func(at worker.Attempt) worker.Resources
	// ApplyAckToLaterEnds has workers never list an end whose number was acknowledged before it came;
	// otherwise they forget those that have come by then.
	ApplyAckToLaterEnds bool
	// OmitStartTime has the answers to orders not tell when the worker's process started; those
	// to looks always do.
	OmitStartTime bool

	mu      sync.Mutex
	workers map[string]*FleetWorker
	runs    []*FleetRun
}

// FleetWorker is one worker of a fleet.
type FleetWorker struct {
	// Addr is where it listens, by name, and which life it is. Add sets when that was
	// Born, unless it is set.
	Addr worker.Addr
	// Capacity is its room.
	Capacity worker.Resources
	// Gate is its fault.
	Faults FaultInjector
	// OrderDelay has orders answered not at all and carried out so much later.
	OrderDelay time.Duration
	// ClockRate is how fast its clock runs; 0 means right.
	ClockRate float64
	// RunFunc, if set, goes before that of the fleet.
	RunFunc func(at worker.Attempt) (time.Duration, string)

	fl    *Fleet
	since time.Time
	dead  bool
	fence int64
	lease int64
	// told is the highest number of an end that may be forgotten, seen so far.
	told    int64
	running map[string]*fleetTask
	// last has the highest attempt of each task that ended or was kept from
	// starting.
	last  map[string]int
	ended []worker.EndedAttempt
	// endedRuns are the runs of ended.
	endedRuns []*FleetRun
	ends      int64
	wake      chan struct{}
}

type fleetTask struct {
	run    *FleetRun
	takes  worker.Resources
	timer  *time.Timer
	target time.Duration
	how    string
	// worked is how much of target a filler has worked in a world, used the
	// processor time it gets, usage its rough figure, and pace what it was told,
	// if it was.
	worked time.Duration
	used   float64
	usage  int64
	pace   int
	paced  bool
}

// Add adds a worker.
func (fl *Fleet) Add(fw *FleetWorker) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.workers == nil {
		fl.workers = map[string]*FleetWorker{}
	}
	fw.fl, fw.since = fl, time.Now()
	if fw.Addr.Incarnation.StartedMS == 0 {
		fw.Addr.Incarnation.StartedMS = fw.since.UnixMilli()
	}
	fw.running, fw.last, fw.wake = map[string]*fleetTask{}, map[string]int{}, make(chan struct{})
	fl.workers[fw.Addr.HostPort] = fw
}

// Restart ends a worker's process, and has it start again under its id at an address: it
// knows nothing of before, and its clock and the numbers of its ends begin anew. The time
// of day of its host was stepped by so much.
func (fl *Fleet) Restart(fw *FleetWorker, hostPort string, stepped time.Duration) *FleetWorker {
	fl.Kill(fw)
	next := &FleetWorker{Addr: fw.Addr, Capacity: fw.Capacity}
	next.Addr.HostPort = hostPort
	next.Addr.Incarnation.StartedMS = time.Now().Add(stepped).UnixMilli()
	if next.Addr.Incarnation == fw.Addr.Incarnation {
		next.Addr.Incarnation.StartedMS++
	}
	fl.Add(next)
	return next
}

// Kill ends a worker's process, and all that runs there.
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
	// Its connections break off, also those of looks that wait.
	close(fw.wake)
	fw.wake = make(chan struct{})
}

// crash ends the worker's process by the doing of a task.
func (fw *FleetWorker) crash(task string) {
	fw.end(task, OutcomeCrash)
	fw.kill()
	if fw.fl.CrashedFunc != nil {
		go fw.fl.CrashedFunc(fw)
	}
}

// SetOrderDelay has a worker's orders answered not at all and carried out so much
// later, or at once if d is 0.
func (fl *Fleet) SetOrderDelay(fw *FleetWorker, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fw.OrderDelay = d
}

// SetRunFunc changes RunFunc while workers are at work.
func (fl *Fleet) SetRunFunc(run func(at worker.Attempt) (time.Duration, string)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.RunFunc = run
}

// Runs returns all runs so far.
func (fl *Fleet) Runs() []FleetRun {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	runs := make([]FleetRun, len(fl.runs))
	for i, ru := range fl.runs {
		runs[i] = *ru
	}
	return runs
}

// Fences returns the highest fencing token of the orders that each worker has had,
// by incarnation.
func (fl *Fleet) FencingTokens() map[worker.Incarnation]int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fences := map[worker.Incarnation]int64{}
	for _, fw := range fl.workers {
		fences[fw.Addr.Incarnation] = fw.fence
	}
	return fences
}

// clock is the worker's clock in milliseconds.
func (fw *FleetWorker) clock() int64 {
	rate := fw.ClockRate
	if rate == 0 {
		rate = 1
	}
	return 1000 + int64(float64(time.Since(fw.since).Milliseconds())*rate)
}

// extend takes a lease, which ends no earlier than the one before.
func (fw *FleetWorker) extend(until int64) {
	if until <= fw.lease {
		return
	}
	fw.lease = until
	rate := fw.ClockRate
	if rate == 0 {
		rate = 1
	}
	time.AfterFunc(time.Duration(float64(until-fw.clock())/rate)*time.Millisecond+time.Millisecond, fw.lapse)
}

// lapse ends all runs if the lease is over.
func (fw *FleetWorker) lapse() {
	fw.fl.mu.Lock()
	defer fw.fl.mu.Unlock()
	if fw.dead || fw.clock() < fw.lease {
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

func (fw *FleetWorker) fenced(fence int64) bool {
	fw.fence = max(fw.fence, fence)
	return fence < fw.fence
}

func (fw *FleetWorker) launch(la worker.Launch) (worker.Ack, error) {
	if fw.fenced(la.Fence) {
		return fw.ack(), worker.ErrFenced
	}
	if ta := fw.running[la.Task]; ta != nil && ta.run.Number == la.Number {
		return fw.ack(), nil
	}
	fw.extend(la.LeaseUntilMS)
	switch {
	case fw.running[la.Task] != nil || la.Number <= fw.last[la.Task]:
		return fw.ack(), worker.ErrStaleAttempt
	case fw.lease <= fw.clock():
		return fw.ack(), worker.ErrLeaseExpired
	}
	takes := fw.fl.room(la.Attempt)
	if !takes.Fits(fw.free()) {
		return fw.ack(), worker.ErrNoCapacity
	}
	fw.start(la, takes)
	return fw.ack(), nil
}

func (fl *Fleet) room(at worker.Attempt) worker.Resources {
	if fl.ResourcesFunc == nil {
		return worker.Resources{}
	}
	return fl.ResourcesFunc(at)
}

func (fw *FleetWorker) free() worker.Resources {
	free := fw.Capacity
	for _, ta := range fw.running {
		free = free.Sub(ta.takes)
	}
	return free
}

func (fw *FleetWorker) start(la worker.Launch, takes worker.Resources) {
	work, how := time.Second, "done"
	run := fw.fl.RunFunc
	if fw.RunFunc != nil {
		run = fw.RunFunc
	}
	if run != nil {
		work, how = run(la.Attempt)
	}
	ru := &FleetRun{Attempt: la.Attempt, Worker: fw.Addr.Incarnation, Payload: la.Payload, Checkpoint: la.Checkpoint, From: time.Now()}
	fw.fl.runs = append(fw.fl.runs, ru)
	ta := &fleetTask{run: ru, takes: takes, target: work, how: how}
	fw.running[la.Task] = ta
	if work < 0 {
		return
	}
	if wo := fw.fl.Interference; wo != nil && wo.StepFunc(la.Attempt).Filler {
		ta.worked = resumed(la.Checkpoint)
		return
	}
	ta.timer = time.AfterFunc(work, func() {
		fw.fl.mu.Lock()
		defer fw.fl.mu.Unlock()
		switch {
		case fw.running[la.Task] != ta:
		case how == OutcomeCrash:
			fw.crash(la.Task)
		default:
			fw.end(la.Task, how)
		}
	})
}

// end ends a run and lists its end.
func (fw *FleetWorker) end(name, how string) {
	ta := fw.running[name]
	delete(fw.running, name)
	if ta.timer != nil {
		ta.timer.Stop()
	}
	ta.run.Until, ta.run.Outcome = time.Now(), how
	fw.last[name] = max(fw.last[name], ta.run.Number)
	fw.ends++
	fw.ended = append(fw.ended, worker.EndedAttempt{Attempt: ta.run.Attempt, EndNumber: fw.ends, Outcome: how, Checkpoint: ta.checkpoint()})
	fw.endedRuns = append(fw.endedRuns, ta.run)
	if fw.fl.ApplyAckToLaterEnds {
		fw.forget(fw.told)
	}
	close(fw.wake)
	fw.wake = make(chan struct{})
}

// forget forgets the ends up to a number, as they were acknowledged.
func (fw *FleetWorker) forget(number int64) {
	for len(fw.ended) > 0 && fw.ended[0].EndNumber <= number {
		fw.endedRuns[0].AckedInLease, fw.endedRuns[0].AckedAt = !fw.endedRuns[0].lapsed, time.Now()
		fw.ended, fw.endedRuns = fw.ended[1:], fw.endedRuns[1:]
	}
}

// checkpoint names how far a run came, in whole seconds.
func (ta *fleetTask) checkpoint() string {
	if ta.worked > 0 {
		return fmt.Sprintf("%s@%d", ta.run.Task, ta.worked.Milliseconds())
	}
	return fmt.Sprintf("%s@%d", ta.run.Task, int(time.Since(ta.run.From).Seconds()))
}

// resumed is how far a filler in a world had come by a checkpoint.
func resumed(checkpoint string) time.Duration {
	_, ms, _ := strings.Cut(checkpoint, "@")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

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
	if fw.fenced(ha.Fence) {
		return fw.ack(), worker.ErrFenced
	}
	if ta := fw.running[ha.Task]; ta != nil && ta.run.Number == ha.Number {
		fw.end(ha.Task, "stopped")
	}
	fw.last[ha.Task] = max(fw.last[ha.Task], ha.Number)
	return fw.ack(), nil
}

func (fw *FleetWorker) pace(pa worker.Pace) (worker.Ack, error) {
	if fw.fenced(pa.Fence) {
		return fw.ack(), worker.ErrFenced
	}
	if ta := fw.running[pa.Task]; ta != nil && ta.run.Number == pa.Number {
		ta.pace, ta.paced = pa.Percent, true
	}
	return fw.ack(), nil
}

// look answers what runs and what ended, at once or at the next end.
func (fl *Fleet) look(ctx context.Context, ad worker.Addr, lo worker.Poll) (worker.PollResult, error) {
	fw, err := fl.reach(ad)
	if err != nil {
		return worker.PollResult{}, err
	}
	return gated(ctx, &fw.Faults, func() (worker.PollResult, error) {
		wake, err := fw.prepare(lo)
		if err != nil {
			return worker.PollResult{}, cmp.Or(worker.CheckIncarnation(ad.Incarnation, fw.Addr.Incarnation.StartedMS), err)
		}
		if wake != nil && lo.Wait > 0 {
			select {
			case <-wake:
			case <-time.After(lo.Wait):
			case <-ctx.Done():
				return worker.PollResult{}, ctx.Err()
			}
		}
		si, err := fw.sight()
		if err == nil {
			err = worker.CheckIncarnation(ad.Incarnation, fw.Addr.Incarnation.StartedMS)
		}
		return si, err
	})
}

// prepare takes in what a look says, and returns what to wait for if no end is
// listed.
func (fw *FleetWorker) prepare(lo worker.Poll) (chan struct{}, error) {
	fw.fl.mu.Lock()
	defer fw.fl.mu.Unlock()
	if fw.fenced(lo.Fence) {
		return nil, worker.ErrFenced
	}
	fw.extend(lo.LeaseUntilMS)
	fw.told = max(fw.told, lo.AckedEnd)
	fw.forget(lo.AckedEnd)
	if len(fw.ended) > 0 {
		return nil, nil
	}
	return fw.wake, nil
}

// sight is the answer to a look. A process that ended says nothing, also not of the ends
// that woke its look.
func (fw *FleetWorker) sight() (worker.PollResult, error) {
	fw.fl.mu.Lock()
	defer fw.fl.mu.Unlock()
	if fw.dead {
		return worker.PollResult{}, errReset(fw.Addr)
	}
	si := worker.PollResult{ClockMS: fw.clock(), Ended: append([]worker.EndedAttempt(nil), fw.ended...)}
	for _, ta := range fw.running {
		si.Running = append(si.Running, worker.RunningAttempt{Attempt: ta.run.Attempt, Checkpoint: ta.checkpoint(), Percent: ta.percent(), Usage: ta.usage})
	}
	return si, nil
}
