package sched

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// WorkerEntry is a worker as the platform's list has it.
type WorkerEntry struct {
	// Addr is where it listens, and which life it is.
	worker.Addr

	// Undecodable is set if the list has it and nothing else is known: a worker that was
	// known stays as it was, and no other is entered.
	Undecodable bool
	// Service is what it belongs to, DataCentre where it is.
	Service    string
	DataCentre string
	// Labels are what steps may ask for; the last one is the rack.
	Labels []string
	// Rack is where its machine stands.
	Rack string
	// Capacity is what it has.
	Capacity worker.Resources
	// Draining workers get nothing new, and leave after Remaining at the
	// earliest.
	Draining  bool
	Remaining time.Duration
}

// workerState is a worker of the cell.
type workerState struct {
	WorkerEntry

	ow *Owner
	// path is how it is reached now. Orders on their way read it from any
	// goroutine.
	path        atomic.Pointer[path]
	incarnation worker.Incarnation
	// firstSeen is when it was first seen. lives are other lives of the worker whose
	// attempts it may run, of rows of former owners, and movedUntil is when leases of
	// attempts lapse at the latest that were ordered from a life before it.
	firstSeen          time.Time
	formerIncarnations []worker.Incarnation
	inheritedUntil     time.Time
	// leavesAt is when a draining worker may leave, at the earliest.
	leavesAt time.Time
	// unlisted is set once the list no longer has it, goneAt is when that was seen; emptied
	// is set once it was told that it is emptied for that.
	unlisted         bool
	unlistedAt       time.Time
	evacuationLogged bool
	// dead is set once its process is known to have ended.
	dead bool
	// stopPolling ends its loop of looks.
	stopPolling context.CancelFunc
	// settled is set once it obeys this owner's fencing token, or settleFence if that is
	// higher, and what it ran before is known.
	settled     bool
	settleFence int64
	// clockMS is its clock as read at clockAt; leaseUntilMS is the latest end
	// of leases that it was told, by that clock.
	clockMS      int64
	clockAt      time.Time
	leaseUntilMS int64
	// lastPoll is when a look last succeeded, failing since when looks fail.
	lastPoll     time.Time
	failingSince time.Time
	// unresponsive is set if looks fail since one that had no answer in time, and not since the
	// connection broke off.
	unresponsive bool
	// noContactSince is since when it is silent or unsettled, or zero.
	noContactSince time.Time
	// endsHandled is the last end taken in, acked the last one that is durable.
	endsHandled, endsAcked int64
	// lastPollHadEnds is set if the last look that succeeded listed any, withheld if the last
	// look could have acknowledged some and did not.
	lastPollHadEnds, ackWithheld bool
	// undurableEnds counts ends that are not durable yet.
	undurableEnds int
	// pollWake lets the next look go ahead, rerouted that after one that failed.
	pollWake    chan struct{}
	pathChanged chan struct{}
	// attempts are those that run here, or may.
	attempts map[*attempt]bool
	// services are those of them that serve within a target.
	services []*attempt
	// reserved is what they take of its room, inUse the processor time that they
	// are likely to use, in thousandths of a core.
	reserved    worker.Resources
	expectedUse int64
	// finiteReserved is the part of reserved that tasks take that end by themselves.
	finiteReserved worker.Resources
	// restartReserved is what of its room is promised to lasting tasks that are to begin again.
	restartReserved worker.Resources
	// restartReady is set if some of them wait for it now.
	restartReady bool
	// reservedInRound is the last round of placement in which its room was kept.
	reservedInRound int
	// trial is the task that is tried alone here, or is to be.
	trial *trial
	// quarantinedUntil is until when it gets nothing new. failures counts attempts
	// that failed here since one was done, of failedJobs; failingUntil is until when it
	// is set aside for them, asides how often it was.
	quarantinedUntil       time.Time
	failureQuarantineUntil time.Time
	failureQuarantines     int
	failures               int
	failedJobs             map[string]bool
	// fillers follows the fillers.
	fillers fillerStats
}

// SetWorkers takes in rows of the platform's list of workers. If whole is set
// they are all there are.
func (ow *Owner) SetWorkers(listed []WorkerEntry, gone []string, whole bool) {
	ow.post(func() { ow.setWorkers(listed, gone, whole) })
}

func (ow *Owner) setWorkers(listed []WorkerEntry, gone []string, whole bool) {
	for _, li := range listed {
		if li.Undecodable {
			ow.retainWorker(li.Incarnation.ID)
			continue
		}
		ow.updateWorker(li)
	}
	for _, id := range gone {
		ow.unlistWorker(id)
	}
	if whole {
		named := map[string]bool{}
		for _, li := range listed {
			named[li.Incarnation.ID] = true
		}
		for _, ho := range ow.sortedWorkers() {
			if !named[ho.incarnation.ID] {
				ho.markUnlisted()
			}
		}
	}
	ow.placementDue = true
}

// retainWorker takes a worker as listed of which no more is known.
func (ow *Owner) retainWorker(id string) {
	if ho := ow.soleIncarnation(id); ho != nil {
		ho.unlisted, ho.evacuationLogged = false, false
	}
}

// updateWorker enters or updates a worker.
func (ow *Owner) updateWorker(li WorkerEntry) {
	ho := ow.workerOfEntry(li)
	if ho == nil {
		ow.pollOthers(li)
		ho = ow.addWorker(li)
		ho.unlistOthers()
		return
	}
	ho.update(li)
	if !ho.dead {
		ho.unlistOthers()
	}
}

// update takes in what the worker's entry says now.
func (ho *workerState) update(li WorkerEntry) {
	if ho.Draining != li.Draining || ho.unlisted {
		ho.ow.Log.Info("worker changed", "worker", ho.incarnation, "draining", li.Draining, "listed", true)
	}
	if li.Draining && !ho.Draining {
		ho.leavesAt = time.Now().Add(li.Remaining)
	}
	ho.WorkerEntry, ho.unlisted, ho.evacuationLogged = li, false, false
}

// addWorker enters a worker that was not known.
func (ow *Owner) addWorker(li WorkerEntry) *workerState {
	ow.Log.Info("worker seen", "worker", li.Incarnation, "addr", li.HostPort, "service", li.Service, "rack", li.Rack,
		"millicores", li.Capacity.MilliCores, "mem_mb", li.Capacity.MemMB, "draining", li.Draining)
	ctx, stop := context.WithCancel(ow.ctx)
	ho := &workerState{
		WorkerEntry: li, ow: ow, incarnation: li.Incarnation, stopPolling: stop, pollWake: make(chan struct{}, 1), pathChanged: make(chan struct{}, 1),
		firstSeen: time.Now(), attempts: map[*attempt]bool{}, failedJobs: map[string]bool{},
	}
	ho.leavesAt = time.Now().Add(li.Remaining)
	ho.path.Store(ow.newPath(li))
	ow.hosts[li.Incarnation] = ho
	ow.sorted = nil
	ow.byAddr[li.HostPort] = append(ow.byAddr[li.HostPort], ho)
	ow.byID[li.Incarnation.ID] = append(ow.byID[li.Incarnation.ID], ho)
	ow.adopt(ho)
	go ho.pollLoop(ctx)
	return ho
}

// unlistWorker notes that the list no longer has a worker.
func (ow *Owner) unlistWorker(id string) {
	for _, ho := range slices.Clone(ow.byID[id]) {
		ho.markUnlisted()
	}
}

// markUnlisted notes that the list no longer has the worker. It stays as long as it may run
// something.
func (ho *workerState) markUnlisted() {
	if ho.unlisted {
		return
	}
	ow, now := ho.ow, time.Now()
	ho.unlisted, ho.unlistedAt = true, now
	ow.Log.Info("worker no longer listed", "worker", ho.incarnation, "attempts", len(ho.attempts), "draining", ho.Draining,
		"list_age", ow.listAge(now), "store_trouble", ow.storeUnhealthy(now))
	ow.removeIfIdle(ho)
}

// removeIfIdle forgets a worker that is gone and runs nothing. One that is dead stays known
// while it is listed, so that it is not met again.
func (ow *Owner) removeIfIdle(ho *workerState) {
	if !ho.unlisted || len(ho.attempts) > 0 {
		return
	}
	ho.deregister()
}

// deregister takes the worker for one that was never seen.
func (ho *workerState) deregister() {
	ow := ho.ow
	ho.disconnect()
	delete(ow.hosts, ho.incarnation)
	removeFromIndex(ow.byID, ho.incarnation.ID, ho)
	ow.sorted = nil
}

// removeFromIndex takes a worker off a list, and the list off its map once it is empty.
func removeFromIndex(lists map[string][]*workerState, key string, ho *workerState) {
	lists[key] = slices.DeleteFunc(lists[key], func(other *workerState) bool { return other == ho })
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// disconnect ends the looks at the worker and frees the way to it.
func (ho *workerState) disconnect() {
	ow := ho.ow
	ho.stopPolling()
	if ow.DroppedFunc != nil {
		ow.DroppedFunc(ho.incarnation)
		// Its way was chosen by what its entry told.
		if ho.Incarnation != ho.incarnation {
			ow.DroppedFunc(ho.Incarnation)
		}
	}
	removeFromIndex(ow.byAddr, ho.HostPort, ho)
}

// removeAttempt takes an attempt off the worker.
func (ho *workerState) removeAttempt(at *attempt) {
	if !ho.attempts[at] {
		return
	}
	delete(ho.attempts, at)
	ho.endTrial(at)
	ho.ow.endStart(at)
	ho.recordEndedFiller(at, time.Now())
	ho.services = slices.DeleteFunc(ho.services, func(other *attempt) bool { return other == at })
	ho.reserved = ho.reserved.Sub(at.step().Reserved())
	ho.expectedUse -= likelyUse(at.step())
	if !at.step().Endless {
		ho.finiteReserved = ho.finiteReserved.Sub(at.step().Reserved())
	}
}

// addAttempt enters an attempt.
func (ho *workerState) addAttempt(at *attempt) {
	ho.attempts[at] = true
	ho.reserved = ho.reserved.Add(at.step().Reserved())
	ho.expectedUse += likelyUse(at.step())
	if !at.step().Endless {
		ho.finiteReserved = ho.finiteReserved.Add(at.step().Reserved())
	}
	if at.step().HasTarget() {
		ho.services = append(ho.services, at)
		at.replica.Track = at.en.track(at.ref.Step)
	}
	if at.task().Isolated() {
		ho.trial = &trial{en: at.en, ref: at.ref, at: at}
	}
	ho.fillers.invalidate()
	at.en.attempts[at.ref] = at
}

// available reports whether the worker may be given something new, but for a task that is tried
// alone there.
func (ho *workerState) available(now time.Time) bool {
	why := ho.unavailableReason(now)
	return why == "" || why == unavailableTrial
}

// barTrial is why a worker gets nothing new while a task is tried alone there, barFailing
// why it gets nothing but what finds room nowhere else.
const (
	unavailableTrial   = "trial"
	unavailableFailing = "failing"
)

// unavailableReason returns why the worker may not be given anything new, or nothing if it may.
func (ho *workerState) unavailableReason(now time.Time) string {
	switch {
	case ho.dead:
		return "dead"
	case ho.unlisted:
		return "unlisted"
	case ho.Draining:
		return "draining"
	case !ho.settled:
		return "unsettled"
	case !ho.failingSince.IsZero() || ho.leaseRecorded():
		return "unanswered"
	case !now.After(ho.quarantinedUntil):
		return "aside"
	case ho.quarantinedForFailures(now):
		return unavailableFailing
	case ho.trial != nil:
		return unavailableTrial
	}
	return ""
}

// earliestClock is the worker's clock now, at the earliest.
func (ho *workerState) earliestClock(now time.Time) int64 {
	if ho.clockAt.IsZero() {
		return 0
	}
	passed := float64(now.Sub(ho.clockAt).Milliseconds())
	return ho.clockMS + int64(passed*(1-clockDrift))
}

// nextLeaseEnd returns the end of leases to tell the worker now, or 0 if its clock
// is not known, the tenure was not confirmed for too long, or the next owner may read that
// it gets none.
func (ho *workerState) nextLeaseEnd(now time.Time) int64 {
	te := &ho.ow.Tenure
	age := now.Sub(te.LastConfirmed())
	if ho.leaseRecorded() || ho.clockAt.IsZero() || age > minDriftDuration(tenure.ExtendFor) || (te.MayExtend != nil && !te.MayExtend()) {
		return 0
	}
	earliest := ho.earliestClock(now)
	until := earliest + leaseDuration(age, ho.ow.Limits.MaxLease).Milliseconds()
	ho.leaseUntilMS = max(ho.leaseUntilMS, until)
	return until
}

// leaseDuration is how long a lease may be that is told so long after the tenure was last
// confirmed. No lease outlives what its owner may claim: else the next one has to wait for
// a whole lease after the last moment at which the former could have told one.
func leaseDuration(age, most time.Duration) time.Duration {
	return max(min(most, tenure.LeaseLimit-age), 0)
}

// markSettled notes that the worker obeys this owner, and that a former one may have extended
// its leases until just now: also if this one never does.
func (ho *workerState) markSettled() {
	ho.settled = true
	ho.leaseUntilMS = max(ho.leaseUntilMS, ho.clockMS+ho.ow.Limits.MaxLease.Milliseconds())
}

// recordClock notes what the worker's clock read.
func (ho *workerState) recordClock(clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	if earliest := ho.earliestClock(at); clockMS >= earliest {
		ho.clockMS, ho.clockAt = clockMS, at
	}
	if back := time.Duration(ho.clockMS-clockMS) * time.Millisecond; back > maxClockRegression {
		ho.ow.Log.Warn("worker's clock went back", "worker", ho.incarnation, "by", back, "clock_ms", clockMS, "attempts", len(ho.attempts))
	}
}

// maxClockRegression is how far the reading of a worker's clock may be behind the last one, as
// answers on different connections pass each other.
const maxClockRegression = 3 * time.Second

// tick looks at what time alone changes.
func (ho *workerState) tick(now time.Time) {
	ho.tickTrial(now)
	if len(ho.attempts) == 0 {
		ho.ow.removeIfIdle(ho)
		return
	}
	if ho.failingSince.IsZero() || now.Sub(ho.lastPoll) < unresponsiveAfter {
		return
	}
	if ho.leasesLapsed(now) {
		ho.endLapsed(now)
	}
}

// leasesLapsed reports whether every lease that the worker can have been given has
// ended by the slowest clock.
func (ho *workerState) leasesLapsed(now time.Time) bool {
	if !ho.settled {
		return now.After(ho.unsettledUntil())
	}
	earliest := ho.earliestClock(now)
	return earliest > ho.leaseUntilMS+lapseMargin.Milliseconds()
}

// formerLeasesLapsed reports whether attempts ordered by a former owner have ended on
// a worker that cannot be reached.
func (ow *Owner) formerLeasesLapsed(incarnation worker.Incarnation, now time.Time) bool {
	return now.After(ow.formerLeasesUntil(incarnation))
}

// formerLeasesUntil returns when such attempts have ended at the latest: when the
// former owner said so as it released the cell, also if that is later than by its own
// leases, or once leases have lapsed since the last moment at which it can have
// extended them, and those that former owners can claim at all.
func (ow *Owner) formerLeasesUntil(incarnation worker.Incarnation) time.Time {
	if ms, ok := ow.Tenure.Former.LeaseLapseMS[incarnation.String()]; ok {
		return ow.startedAt.Add(time.Duration(ms)*time.Millisecond + lapseMargin)
	}
	extended, most := ow.formerLeaseBounds()
	if ended := ow.Tenure.FormerEnded(); !ended.IsZero() && ended.Before(extended) {
		extended = ended
	}
	until := extended.Add(maxDriftDuration(ow.Limits.MaxLease))
	if ow.Tenure.Former.Bounded && most.Before(until) {
		until = most
	}
	return until.Add(lapseMargin)
}

// formerLeaseBounds returns until when former owners can have extended leases at the latest, and
// until when their leases run that keep to what confirmed their owners.
func (ow *Owner) formerLeaseBounds() (extended, lapsed time.Time) {
	te, unconfirmed := &ow.Tenure, ow.startedAt
	if te.FormerUnconfirmedSince != nil {
		unconfirmed = te.FormerUnconfirmedSince()
	}
	extended, lapsed = unconfirmed.Add(tenure.ExtendFor), unconfirmed.Add(maxDriftDuration(tenure.LeaseLimit))
	if unconfirmed.IsZero() {
		most := ow.startedAt.Add(maxDriftDuration(tenure.WitnessedLeaseLimit))
		extended, lapsed = most, most
	}
	if te.FormerLeasesEnd != nil {
		if said := te.FormerLeasesEnd(); !said.IsZero() && said.Before(lapsed) {
			lapsed = said
		}
	}
	return extended, lapsed
}

// minDriftDuration is how long a time may be by a slow clock so that it is over once it has passed by
// a fast one.
func minDriftDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - clockDrift) / (1 + clockDrift))
}

// maxDriftDuration is how long it takes at most until a time has passed by a slow clock, as measured
// by a fast one.
func maxDriftDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift) / (1 - clockDrift))
}

// sortedWorkers returns the workers in an order that does not change.
func (ow *Owner) sortedWorkers() []*workerState {
	if ow.sorted != nil {
		return ow.sorted
	}
	list := make([]*workerState, 0, len(ow.hosts))
	for _, ho := range ow.hosts {
		list = append(list, ho)
	}
	slices.SortFunc(list, func(a, b *workerState) int {
		return cmp.Or(strings.Compare(a.incarnation.ID, b.incarnation.ID), cmp.Compare(a.incarnation.StartedMS, b.incarnation.StartedMS))
	})
	ow.sorted = list
	return list
}
