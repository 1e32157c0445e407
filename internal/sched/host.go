package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Listed is a worker as the platform's list has it.
type Listed struct {
	// Addr is where it listens, and which life it is.
	worker.Addr

	// Service is what it belongs to, DataCentre where it is.
	Service    string
	DataCentre string
	// Labels are what steps may ask for; the last one is the rack.
	Labels []string
	// Rack is where its machine stands.
	Rack string
	// Holds is what it has.
	Holds worker.Resources
	// Draining workers get nothing new, and leave after Remaining at the
	// earliest.
	Draining  bool
	Remaining time.Duration
}

// host is a worker of the cell.
type host struct {
	Listed

	ow *Owner
	// target is where it listens; unlike what the list says it never changes,
	// so that orders on their way may read it.
	target      worker.Addr
	incarnation string
	// leaves is when a draining worker may leave, at the earliest.
	leaves time.Time
	// gone is set once the list no longer has it.
	gone bool
	// dead is set once its process is known to have ended.
	dead bool
	// stop ends its loop of looks.
	stop context.CancelFunc
	// settled is set once it obeys this owner's fencing token and what it ran
	// before is known.
	settled bool
	// clockMS is its clock as read at clockAt; leaseUntilMS is the latest end
	// of leases that it was told, by that clock.
	clockMS      int64
	clockAt      time.Time
	leaseUntilMS int64
	// seen is when a look last succeeded, failing since when looks fail.
	seen    time.Time
	failing time.Time
	// handled is the last end taken in, acked the last one that is durable.
	handled, acked int64
	// undurable counts ends that are not durable yet.
	undurable int
	// release lets the next look go ahead.
	release chan struct{}
	// attempts are those that run here, or may.
	attempts map[*attempt]bool
	// services are those of them that serve within a target.
	services []*attempt
	// reserved is what they take of its room.
	reserved worker.Resources
	// asideUntil is until when it gets nothing new; failures counts attempts
	// that failed here since one was done, of failedJobs.
	asideUntil time.Time
	asides     int
	failures   int
	failedJobs map[string]bool
	// fill follows the fillers.
	fill fillers
}

// Times of looks.
const (
	// lookWait is how long a worker with work may wait for an end before it
	// answers; without work it waits idleWait, and beside services with
	// targets, whose figures are of half a second, serveWait.
	lookWait  = time.Second
	serveWait = 600 * time.Millisecond
	idleWait  = 2 * time.Second
	// lookGrace is how much longer an answer may take before the connection
	// counts as dead.
	lookGrace = 600 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 250 * time.Millisecond
	// undurableWait is how long a look waits for ends to become durable before
	// it extends leases all the same.
	undurableWait = 500 * time.Millisecond
	// silentAfter is the time without a successful look after which a worker
	// gets nothing new.
	silentAfter = 2500 * time.Millisecond
	// extendSilent is how long the leases of a worker that does not answer are
	// extended: each order on its way may be obeyed, so they would never lapse.
	extendSilent = time.Second
	// maxEnds is the most ends that one answer lists.
	maxEnds = 500
)

// SetWorkers takes in rows of the platform's list of workers. If whole is set
// they are all there are.
func (ow *Owner) SetWorkers(listed []Listed, gone []string, whole bool) {
	ow.post(func() { ow.setWorkers(listed, gone, whole) })
}

func (ow *Owner) setWorkers(listed []Listed, gone []string, whole bool) {
	ow.listed = true
	for _, li := range listed {
		ow.seeWorker(li)
	}
	for _, incarnation := range gone {
		ow.loseWorker(incarnation)
	}
	if whole {
		named := map[string]bool{}
		for _, li := range listed {
			named[li.Incarnation] = true
		}
		for incarnation := range ow.hosts {
			if !named[incarnation] {
				ow.loseWorker(incarnation)
			}
		}
	}
	ow.due = true
}

// seeWorker enters or updates a worker.
func (ow *Owner) seeWorker(li Listed) {
	if ho := ow.hosts[li.Incarnation]; ho != nil {
		if ho.Draining != li.Draining || ho.gone {
			ow.Log.Info("worker changed", "worker", li.Incarnation, "draining", li.Draining, "listed", true)
		}
		if li.Draining && !ho.Draining {
			ho.leaves = time.Now().Add(li.Remaining)
		}
		ho.Listed, ho.gone = li, false
		return
	}
	if former := ow.byAddr[li.HostPort]; former != nil && !former.dead {
		former.die("another process is listed at its address")
	}
	ow.Log.Info("worker seen", "worker", li.Incarnation, "addr", li.HostPort, "service", li.Service, "rack", li.Rack,
		"millicores", li.Holds.MilliCores, "mem_mb", li.Holds.MemMB, "draining", li.Draining)
	ctx, stop := context.WithCancel(ow.ctx)
	ho := &host{
		Listed: li, ow: ow, target: li.Addr, incarnation: li.Incarnation, stop: stop, release: make(chan struct{}, 1),
		attempts: map[*attempt]bool{}, failedJobs: map[string]bool{},
	}
	ho.leaves = time.Now().Add(li.Remaining)
	ow.hosts[li.Incarnation] = ho
	ow.sorted = nil
	ow.byAddr[li.HostPort] = ho
	ow.adopt(ho)
	go ho.looks(ctx)
}

// loseWorker notes that the list no longer has a worker. It stays as long as
// it may run something.
func (ow *Owner) loseWorker(incarnation string) {
	ho := ow.hosts[incarnation]
	if ho == nil || ho.gone {
		return
	}
	ho.gone = true
	ow.Log.Info("worker no longer listed", "worker", incarnation, "attempts", len(ho.attempts))
	ow.dropIdle(ho)
}

// dropIdle forgets a worker that is gone and runs nothing.
func (ow *Owner) dropIdle(ho *host) {
	if (!ho.gone && !ho.dead) || len(ho.attempts) > 0 {
		return
	}
	ho.stop()
	delete(ow.hosts, ho.incarnation)
	ow.sorted = nil
	if ow.byAddr[ho.HostPort] == ho {
		delete(ow.byAddr, ho.HostPort)
	}
}

// die notes that the worker's process has ended, and all that it ran.
func (ho *host) die(why string) {
	ho.dead = true
	ho.ow.Log.Warn("worker is dead", "worker", ho.incarnation, "attempts", len(ho.attempts), "why", why)
	ho.endAll(why)
	ho.ow.dropIdle(ho)
}

// endAll notes that nothing of what was ordered runs there any more.
func (ho *host) endAll(why string) {
	for at := range ho.attempts {
		ho.ow.end(at.en, at.ref, at.number, job.EndLapsed, "", why)
	}
}

// drop takes an attempt off the worker.
func (ho *host) drop(at *attempt) {
	if !ho.attempts[at] {
		return
	}
	delete(ho.attempts, at)
	ho.setSpell(at, time.Now(), false)
	ho.services = slices.DeleteFunc(ho.services, func(other *attempt) bool { return other == at })
	ho.reserved = ho.reserved.Without(at.step().Reserved())
}

// put enters an attempt.
func (ho *host) put(at *attempt) {
	ho.attempts[at] = true
	ho.reserved = ho.reserved.With(at.step().Reserved())
	if at.step().HasTarget() {
		ho.services = append(ho.services, at)
	}
	ho.setSpell(at, time.Now(), true)
	at.en.attempts[at.ref] = at
}

// usable reports whether the worker may be given something new.
func (ho *host) usable(now time.Time) bool {
	return ho.settled && !ho.gone && !ho.dead && !ho.Draining && ho.failing.IsZero() && now.After(ho.asideUntil)
}

// clockNow is the worker's clock now, at the earliest and at the latest.
func (ho *host) clockNow(now time.Time) (earliest, latest int64) {
	if ho.clockAt.IsZero() {
		return 0, 0
	}
	passed := float64(now.Sub(ho.clockAt).Milliseconds())
	return ho.clockMS + int64(passed*(1-clockDrift)), ho.clockMS + int64(passed)
}

// leaseNow returns the end of leases to tell the worker now, or 0 if its clock
// is not known or the tenure was not confirmed for too long.
func (ho *host) leaseNow(now time.Time) int64 {
	if ho.clockAt.IsZero() || now.Sub(ho.ow.Tenure.Confirmed()) > tenure.ExtendFor {
		return 0
	}
	_, latest := ho.clockNow(now)
	until := latest + ho.ow.Limits.MaxLease.Milliseconds()
	ho.leaseUntilMS = max(ho.leaseUntilMS, until)
	return until
}

// read notes what the worker's clock read.
func (ho *host) read(clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	if earliest, _ := ho.clockNow(at); clockMS >= earliest {
		ho.clockMS, ho.clockAt = clockMS, at
	}
}

// looks looks at the worker again and again until ctx ends.
func (ho *host) looks(ctx context.Context) {
	for ctx.Err() == nil {
		lo, err := ask(ctx, ho.ow, func(answer func(worker.Look)) { answer(ho.nextLook()) })
		if err != nil {
			return
		}
		sent := time.Now()
		lctx, cancel := context.WithTimeout(ctx, lo.Wait+lookGrace)
		si, err := ho.ow.Agent.LookFunc(lctx, ho.target, lo)
		cancel()
		if ctx.Err() != nil {
			return
		}
		got := time.Now()
		if !ho.ow.post(func() { ho.looked(sent, got, si, err) }) {
			return
		}
		ho.pause(ctx, err)
	}
}

// pause waits until the next look is due: until the ends just seen are
// durable, but not for long.
func (ho *host) pause(ctx context.Context, err error) {
	if err != nil {
		clock.Sleep(ctx, lookRetry)
		return
	}
	ti := time.NewTimer(undurableWait)
	defer ti.Stop()
	select {
	case <-ho.release:
	case <-ti.C:
	case <-ctx.Done():
	}
}

// nextLook is what to ask now.
func (ho *host) nextLook() worker.Look {
	now := time.Now()
	lo := worker.Look{Fence: ho.ow.Tenure.Epoch, Seen: ho.acked}
	if ho.failing.IsZero() || now.Sub(ho.failing) < extendSilent {
		lo.LeaseUntilMS = ho.leaseNow(now)
	}
	switch {
	case ho.clockAt.IsZero() || ho.undurable > 0 || !ho.failing.IsZero():
	case ho.mixed():
		lo.Wait = serveWait
	case len(ho.attempts) > 0:
		lo.Wait = lookWait
	default:
		lo.Wait = idleWait
	}
	return lo
}

// mixed reports whether fillers run beside services with targets.
func (ho *host) mixed() bool {
	filled, served := false, false
	for at := range ho.attempts {
		filled = filled || at.step().Filler
		served = served || at.serves()
	}
	return filled && served
}

// looked takes in what a look saw.
func (ho *host) looked(sent, got time.Time, si worker.Sight, err error) {
	if ho.dead {
		return
	}
	if err != nil {
		ho.lookFailed(err)
		return
	}
	if !ho.failing.IsZero() {
		ho.ow.Log.Info("worker answers again", "worker", ho.incarnation, "after", got.Sub(ho.failing))
		ho.failing = time.Time{}
	}
	ho.ow.noteAnswer(ho)
	ho.seen = got
	ho.read(si.ClockMS, got)
	ended := ho.takeEnds(si)
	ho.takeRunning(si, got)
	if len(si.Ended) < maxEnds {
		ho.takeMissing(si, sent, ended)
		if !ho.settled {
			ho.settled = true
			ho.ow.Log.Info("worker settled", "worker", ho.incarnation, "running", len(si.Running), "ended", len(si.Ended))
		}
	}
	ho.measure(got)
	ho.acknowledge()
}

func (ho *host) lookFailed(err error) {
	ho.ow.Metrics.Add(telemetry.Looks, 1, "outcome", "failed")
	switch {
	case errors.Is(err, worker.ErrOtherLife):
		ho.die("another process answers at its address")
	case errors.Is(err, worker.ErrFenced):
		ho.ow.Log.Warn("worker obeys a later owner", "worker", ho.incarnation, "epoch", ho.ow.Tenure.Epoch)
		ho.failing = time.Now()
	case ho.failing.IsZero():
		ho.failing = time.Now()
		ho.ow.Log.Warn("worker does not answer", "worker", ho.incarnation, "attempts", len(ho.attempts), "err", err)
	}
}

// takeEnds takes in ends that are new, and returns all that are listed.
func (ho *host) takeEnds(si worker.Sight) map[worker.Attempt]bool {
	ended := map[worker.Attempt]bool{}
	for _, ea := range si.Ended {
		ended[ea.Attempt] = true
		if ea.EndNumber <= ho.handled {
			continue
		}
		ho.handled = ea.EndNumber
		ho.takeEnd(ea)
	}
	return ended
}

func (ho *host) takeEnd(ea worker.EndedAttempt) {
	id, ref, ok := job.ParseTaskID(ea.Task)
	en := ho.ow.entries[id]
	if !ok || en == nil {
		ho.ow.Log.Info("end of an unknown task", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.How)
		return
	}
	ho.judge(en, ea.How)
	if ho.ow.end(en, ref, ea.Number, endOf(ea.How), ea.Checkpoint, "listed by the worker") {
		ho.undurable++
		en.effects = append(en.effects, ho.durable)
	}
}

// endOf translates a worker's word for how an attempt ended. What is neither
// done nor failed can be tried again at no one's expense.
func endOf(how string) job.End {
	switch how {
	case "done":
		return job.EndDone
	case "failed":
		return job.EndFailed
	case "stopped":
		return job.EndStopped
	}
	return job.EndLapsed
}

// durable notes that an end became durable.
func (ho *host) durable() {
	ho.undurable--
	ho.acknowledge()
}

// acknowledge lets the next look go ahead once all ends are durable.
func (ho *host) acknowledge() {
	if ho.undurable > 0 {
		return
	}
	ho.acked = ho.handled
	select {
	case ho.release <- struct{}{}:
	default:
	}
}

// takeRunning takes in what runs. What should not is stopped.
func (ho *host) takeRunning(si worker.Sight, got time.Time) {
	for _, ra := range si.Running {
		at := ho.find(ra.Attempt)
		if at == nil {
			ho.stray(ra)
			continue
		}
		ho.started(at, got)
		if ra.Percent != at.percent || at.moved.IsZero() {
			at.percent, at.moved = ra.Percent, got
		}
		at.usage = ra.Usage
		if ra.Checkpoint != "" {
			at.en.jo.Task(at.ref).Checkpoint = ra.Checkpoint
		}
		if at.en.jo.State().Final() {
			ho.ow.halt(at, "still running after the end of its job")
		}
	}
}

// stray stops an attempt that the cell's rows do not have.
func (ho *host) stray(ra worker.RunningAttempt) {
	ho.ow.Log.Warn("stopping an attempt that is not ours", "task", ra.Task, "attempt", ra.Number, "worker", ho.incarnation)
	go ho.ow.sendHalt(ho, ra.Attempt)
}

// started notes that an attempt is known to be at the worker.
func (ho *host) started(at *attempt, now time.Time) {
	if !at.launched.IsZero() {
		return
	}
	at.launched = now
	if at.spell != nil {
		at.spell.from = now
	}
	ho.easeIn(at, now)
}

// find returns the attempt that the worker names, if it runs here.
func (ho *host) find(wa worker.Attempt) *attempt {
	id, ref, ok := job.ParseTaskID(wa.Task)
	en := ho.ow.entries[id]
	if !ok || en == nil {
		return nil
	}
	at := en.attempts[ref]
	if at == nil || at.ho != ho || at.number != wa.Number {
		return nil
	}
	return at
}

// takeMissing notes the end of attempts that a look should have listed and did
// not: those that were acknowledged before it was sent, and before the worker
// is settled all that former owners ordered.
func (ho *host) takeMissing(si worker.Sight, sent time.Time, ended map[worker.Attempt]bool) {
	running := map[worker.Attempt]bool{}
	for _, ra := range si.Running {
		running[ra.Attempt] = true
	}
	for at := range ho.attempts {
		wa := worker.Attempt{Task: at.en.jo.TaskID(at.ref), Number: at.number}
		if running[wa] || ended[wa] {
			continue
		}
		if !at.launched.IsZero() && at.launched.Before(sent) {
			ho.ow.end(at.en, at.ref, at.number, job.EndLapsed, "", "no longer listed by the worker")
			continue
		}
		if at.inherited && !ho.settled {
			ho.ow.end(at.en, at.ref, at.number, job.EndNever, "", "ordered by a former owner and not listed")
		}
	}
}

// tick looks at what time alone changes.
func (ho *host) tick(now time.Time) {
	if len(ho.attempts) == 0 {
		ho.ow.dropIdle(ho)
		return
	}
	if ho.failing.IsZero() || now.Sub(ho.seen) < silentAfter {
		return
	}
	if ho.lapsed(now) {
		ho.endAll("its leases have lapsed")
	}
}

// lapsed reports whether every lease that the worker can have been given has
// ended by the slowest clock.
func (ho *host) lapsed(now time.Time) bool {
	if !ho.settled {
		return ho.ow.orphansOver(ho.incarnation, now)
	}
	earliest, _ := ho.clockNow(now)
	return earliest > ho.leaseUntilMS+lapseMargin.Milliseconds()
}

// orphansOver reports whether attempts ordered by a former owner have ended on
// a worker that cannot be reached.
func (ow *Owner) orphansOver(incarnation string, now time.Time) bool {
	return now.After(ow.orphansUntil(incarnation))
}

// orphansUntil returns when such attempts have ended at the latest: when the
// former owner said so as it released the cell, or once leases have lapsed since
// the last moment at which it can have extended them.
func (ow *Owner) orphansUntil(incarnation string) time.Time {
	last := ow.opened.Add(tenure.ExtendFor)
	if ended := ow.Tenure.FormerEnded(); !ended.IsZero() && ended.Before(last) {
		last = ended
	}
	lease := time.Duration(float64(ow.Limits.MaxLease) * (1 + 2*clockDrift))
	until := last.Add(lease + lapseMargin)
	if ms, ok := ow.Tenure.Former.SilentMS[incarnation]; ok {
		if known := ow.opened.Add(time.Duration(ms)*time.Millisecond + lapseMargin); known.Before(until) {
			return known
		}
	}
	return until
}

// judge keeps how a worker does, and sets it aside if it fails the tasks of
// several jobs in a row.
func (ho *host) judge(en *entry, how string) {
	switch how {
	case "done":
		ho.failures, ho.asides = 0, 0
		clear(ho.failedJobs)
	case "failed":
		ho.failures++
		ho.failedJobs[en.jo.ID] = true
	}
	if ho.failures >= asideFailures && len(ho.failedJobs) >= asideJobs {
		ho.setAside(asideFirst<<min(ho.asides, asideDoublings), "fails tasks of several jobs")
		ho.asides++
		ho.failures = asideFailures - 1
	}
}

// Setting workers aside.
const (
	// asideFailures and asideJobs are how many attempts, of how many jobs,
	// must fail in a row: one attempt in 30 fails by itself.
	asideFailures = 2
	asideJobs     = 2
	// asideFirst is the first time aside; it doubles so often.
	asideFirst     = 1500 * time.Millisecond
	asideDoublings = 3
	// asideUnfit is the time aside after a refused order.
	asideUnfit = 700 * time.Millisecond
)

// setAside keeps new work from the worker for a while.
func (ho *host) setAside(d time.Duration, why string) {
	until := time.Now().Add(d)
	if until.Before(ho.asideUntil) {
		return
	}
	ho.asideUntil = until
	ho.ow.Log.Warn("worker set aside", "worker", ho.incarnation, "for", d, "failures", ho.failures, "why", why)
}

// sortedHosts returns the workers in an order that does not change.
func (ow *Owner) sortedHosts() []*host {
	if ow.sorted != nil {
		return ow.sorted
	}
	list := make([]*host, 0, len(ow.hosts))
	for _, ho := range ow.hosts {
		list = append(list, ho)
	}
	slices.SortFunc(list, func(a, b *host) int { return compareStrings(a.incarnation, b.incarnation) })
	ow.sorted = list
	return list
}
