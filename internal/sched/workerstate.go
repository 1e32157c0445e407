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

// WorkerEntry is a worker's entry in the platform's list of workers.
type WorkerEntry struct {
	// Addr is the address of the worker and the incarnation of its process.
	worker.Addr

	// Undecodable is set if the entry could not be decoded. A worker that is already known
	// keeps its last state; an unknown one is not added.
	Undecodable bool
	// Service is the service that the worker belongs to, DataCentre its zone.
	Service    string
	DataCentre string
	// Labels are the labels that steps may require; the last one is the rack.
	Labels []string
	// Rack is the rack of the worker's machine.
	Rack string
	// Capacity is all the resources of the worker.
	Capacity worker.Resources
	// Draining workers get no new attempts and may leave once Remaining has passed.
	Draining  bool
	Remaining time.Duration
}

// workerState is the owner's state of one incarnation of a worker of the cell.
type workerState struct {
	WorkerEntry

	ow *Owner
	// path is the current path to the worker, direct or through a relay. Goroutines that send
	// orders read it concurrently.
	path        atomic.Pointer[path]
	incarnation worker.Incarnation
	// firstSeen is when the worker was added, formerIncarnations are those that former owners'
	// rows name for attempts which may run here. inheritedUntil is when the leases of attempts
	// ordered from an earlier incarnation have lapsed at the latest.
	firstSeen          time.Time
	formerIncarnations []worker.Incarnation
	inheritedUntil     time.Time
	// leavesAt is the earliest time at which a draining worker may leave.
	leavesAt time.Time
	// unlisted is set while the list has no entry of the worker, unlistedAt is when its
	// removal was seen. evacuationLogged is set once the evacuation of the unlisted worker was
	// logged.
	unlisted         bool
	unlistedAt       time.Time
	evacuationLogged bool
	// dead is set once the worker's process is known to have ended.
	dead bool
	// stopPolling ends the worker's poll loop.
	stopPolling context.CancelFunc
	// settled is set once the worker has answered a poll with this owner's fencing token, or
	// with settleFence if that is higher, so that all it runs is known.
	settled     bool
	settleFence int64
	// clockMS is the worker's clock, in milliseconds, as read at clockAt. leaseUntilMS is the
	// latest lease end that the worker may have been sent, by that clock.
	clockMS      int64
	clockAt      time.Time
	leaseUntilMS int64
	// lastPoll is when the last successful poll was answered. failingSince is when polls began
	// to fail, or zero.
	lastPoll     time.Time
	failingSince time.Time
	// unresponsive is set if polls fail because the first failed one timed out, rather than
	// because the connection broke off.
	unresponsive bool
	// noContactSince is when the worker became unresponsive or unsettled, or zero.
	noContactSince time.Time
	// endsHandled is the number of the last end handled, endsAcked that of the last durable
	// one.
	endsHandled, endsAcked int64
	// lastPollHadEnds is set if the last successful poll listed ended attempts. ackWithheld is
	// set if the next poll could have acknowledged some of them and does not.
	lastPollHadEnds, ackWithheld bool
	// undurableEnds counts the ends that are not written yet.
	undurableEnds int
	// pollWake starts the next poll after a successful one, pathChanged the next poll after a
	// failed one.
	pollWake    chan struct{}
	pathChanged chan struct{}
	// attempts are the attempts that run here, or may run here.
	attempts map[*attempt]bool
	// services are the attempts with a latency target.
	services []*attempt
	// reserved is the capacity reserved by the attempts. expectedUse is the processor time
	// that they are likely to use, in thousandths of a core.
	reserved    worker.Resources
	expectedUse int64
	// finiteReserved is the part of reserved that belongs to tasks which end by themselves.
	finiteReserved worker.Resources
	// restartReserved is the capacity reserved for interrupted long-running tasks.
	restartReserved worker.Resources
	// restartReady is set if some of these tasks may start now.
	restartReady bool
	// reservedInRound is the last placement round in which the worker's capacity was reserved
	// for a long-running task that never ran.
	reservedInRound int
	// trial is the suspect task that runs isolated here, or is about to.
	trial *trial
	// quarantinedUntil is the time until which the worker gets no new attempts. failures
	// counts the attempts that failed here since the last success, failedJobs has their jobs.
	// failureQuarantineUntil is the end of the quarantine for them, failureQuarantines the
	// number of these quarantines in a row.
	quarantinedUntil       time.Time
	failureQuarantineUntil time.Time
	failureQuarantines     int
	failures               int
	failedJobs             map[string]bool
	fillers                fillerStats
}

// SetWorkers applies entries of the platform's list of workers and removes those with the ids
// in removed. If whole is set, listed is the complete list.
func (ow *Owner) SetWorkers(listed []WorkerEntry, removed []string, whole bool) {
	ow.post(func() { ow.setWorkers(listed, removed, whole) })
}

func (ow *Owner) setWorkers(listed []WorkerEntry, removed []string, whole bool) {
	for _, li := range listed {
		if li.Undecodable {
			ow.retainWorker(li.Incarnation.ID)
			continue
		}
		ow.updateWorker(li)
	}
	for _, id := range removed {
		ow.unlistWorker(id)
	}
	if whole {
		listedIDs := map[string]bool{}
		for _, li := range listed {
			listedIDs[li.Incarnation.ID] = true
		}
		for _, ho := range ow.sortedWorkers() {
			if !listedIDs[ho.incarnation.ID] {
				ho.markUnlisted()
			}
		}
	}
	ow.placementDue = true
}

// retainWorker marks a known worker as listed though its entry could not be decoded.
func (ow *Owner) retainWorker(id string) {
	if ho := ow.soleIncarnation(id); ho != nil {
		ho.unlisted, ho.evacuationLogged = false, false
	}
}

// updateWorker adds or updates a worker from its entry.
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

func (ho *workerState) update(li WorkerEntry) {
	if ho.Draining != li.Draining || ho.unlisted {
		ho.ow.Log.Info("worker changed", "worker", ho.incarnation, "draining", li.Draining, "listed", true)
	}
	if li.Draining && !ho.Draining {
		ho.leavesAt = time.Now().Add(li.Remaining)
	}
	ho.WorkerEntry, ho.unlisted, ho.evacuationLogged = li, false, false
}

// addWorker adds a worker and starts to poll it.
func (ow *Owner) addWorker(li WorkerEntry) *workerState {
	ow.Log.Info("worker seen", "worker", li.Incarnation, "addr", li.HostPort, "service", li.Service, "rack", li.Rack,
		"millicores", li.Capacity.MilliCores, "mem_mb", li.Capacity.MemMB, "draining", li.Draining)
	ctx, stopPolling := context.WithCancel(ow.ctx)
	ho := &workerState{
		WorkerEntry: li, ow: ow, incarnation: li.Incarnation, stopPolling: stopPolling, pollWake: make(chan struct{}, 1), pathChanged: make(chan struct{}, 1),
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

// unlistWorker marks all incarnations of a worker as unlisted.
func (ow *Owner) unlistWorker(id string) {
	for _, ho := range slices.Clone(ow.byID[id]) {
		ho.markUnlisted()
	}
}

// markUnlisted records that the list has no entry of the worker any more. The worker stays
// known as long as it may run an attempt.
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

// removeIfIdle removes an unlisted worker that has no attempts. A dead worker stays known
// while it is listed, so that its entry does not add it again.
func (ow *Owner) removeIfIdle(ho *workerState) {
	if !ho.unlisted || len(ho.attempts) > 0 {
		return
	}
	ho.deregister()
}

// deregister removes the worker from the owner's state, as if it had never been seen.
func (ho *workerState) deregister() {
	ow := ho.ow
	ho.disconnect()
	delete(ow.hosts, ho.incarnation)
	removeFromIndex(ow.byID, ho.incarnation.ID, ho)
	ow.sorted = nil
}

// removeFromIndex removes a worker from the slice under a key, and the key once its slice is
// empty.
func removeFromIndex(lists map[string][]*workerState, key string, ho *workerState) {
	lists[key] = slices.DeleteFunc(lists[key], func(other *workerState) bool { return other == ho })
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// disconnect stops the polls of the worker and frees its path.
func (ho *workerState) disconnect() {
	ow := ho.ow
	ho.stopPolling()
	if ow.DroppedFunc != nil {
		ow.DroppedFunc(ho.incarnation)
		// The path was chosen by the incarnation in the entry, which may differ.
		if ho.Incarnation != ho.incarnation {
			ow.DroppedFunc(ho.Incarnation)
		}
	}
	removeFromIndex(ow.byAddr, ho.HostPort, ho)
}

// removeAttempt removes an attempt and its resources from the worker.
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

// addAttempt adds an attempt and its resources to the worker.
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

// available reports whether the worker may get new attempts, not counting the restriction to
// an isolated task.
func (ho *workerState) available(now time.Time) bool {
	reason := ho.unavailableReason(now)
	return reason == "" || reason == unavailableTrial
}

// Reasons of unavailableReason that do not hold for every task.
const (
	// unavailableTrial: a suspect task runs isolated there.
	unavailableTrial = "trial"
	// unavailableFailing: attempts fail there. It gets only tasks that fit nowhere else.
	unavailableFailing = "failing"
)

// unavailableReason returns why the worker may not get new attempts, or "" if it may.
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

// earliestClock returns a lower bound of the worker's clock at a time, in milliseconds, or 0
// if the clock was never read.
func (ho *workerState) earliestClock(now time.Time) int64 {
	if ho.clockAt.IsZero() {
		return 0
	}
	passed := float64(now.Sub(ho.clockAt).Milliseconds())
	return ho.clockMS + int64(passed*(1-clockDrift))
}

// nextLeaseEnd returns the lease end to send to the worker now, by its clock in milliseconds.
// It returns 0 if the clock is not known, the tenure was not confirmed recently enough, or the
// row of unresponsive workers (SilentTable), which the next owner may read, says that the
// worker gets no lease.
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

// leaseDuration returns how long a lease may be if the tenure was last confirmed age ago. No
// lease outlives the period that the confirmation covers. Otherwise the next owner would have
// to wait for a whole lease after the last moment at which the former one could extend it.
func leaseDuration(age, maxLease time.Duration) time.Duration {
	return max(min(maxLease, tenure.LeaseLimit-age), 0)
}

// markSettled records that the worker accepts this owner's fencing token. A former owner may
// have extended the worker's leases until now, so they count as extended by a full lease even
// if this owner never extends them.
func (ho *workerState) markSettled() {
	ho.settled = true
	ho.leaseUntilMS = max(ho.leaseUntilMS, ho.clockMS+ho.ow.Limits.MaxLease.Milliseconds())
}

// recordClock records a reading of the worker's clock. Readings behind the lower bound are
// ignored, and logged if they are far behind.
func (ho *workerState) recordClock(clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	if earliest := ho.earliestClock(at); clockMS >= earliest {
		ho.clockMS, ho.clockAt = clockMS, at
	}
	if regression := time.Duration(ho.clockMS-clockMS) * time.Millisecond; regression > maxClockRegression {
		ho.ow.Log.Warn("worker's clock went back", "worker", ho.incarnation, "by", regression, "clock_ms", clockMS, "attempts", len(ho.attempts))
	}
}

// maxClockRegression is how far a reading may be behind the last one without a warning:
// answers on different connections can arrive out of order.
const maxClockRegression = 3 * time.Second

// tick handles what changes with time alone: the end of trials, idle unlisted workers and
// lapsed leases.
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

// leasesLapsed reports whether every lease that the worker may have been given has lapsed by
// the slowest clock.
func (ho *workerState) leasesLapsed(now time.Time) bool {
	if !ho.settled {
		return now.After(ho.unsettledUntil())
	}
	earliest := ho.earliestClock(now)
	return earliest > ho.leaseUntilMS+lapseMargin.Milliseconds()
}

// formerLeasesLapsed reports whether all attempts that former owners ordered from an
// unreachable worker have ended.
func (ow *Owner) formerLeasesLapsed(incarnation worker.Incarnation, now time.Time) bool {
	return now.After(ow.formerLeasesUntil(incarnation))
}

// formerLeasesUntil returns when these attempts have ended at the latest: when the former owner
// stated as it released the cell, even if that is later than its own leases, or else a lease
// after the last moment at which a former owner can have extended one, but not later than the
// bound on all leases that former owners can claim.
func (ow *Owner) formerLeasesUntil(incarnation worker.Incarnation) time.Time {
	if ms, ok := ow.Tenure.Former.LeaseLapseMS[incarnation.String()]; ok {
		return ow.startedAt.Add(time.Duration(ms)*time.Millisecond + lapseMargin)
	}
	extended, lapsed := ow.formerLeaseBounds()
	if ended := ow.Tenure.FormerEnded(); !ended.IsZero() && ended.Before(extended) {
		extended = ended
	}
	until := extended.Add(maxDriftDuration(ow.Limits.MaxLease))
	if ow.Tenure.Former.Bounded && lapsed.Before(until) {
		until = lapsed
	}
	return until.Add(lapseMargin)
}

// formerLeaseBounds returns the latest time at which former owners can have extended leases,
// and the latest end of those leases that stay within the confirmation of their owners.
func (ow *Owner) formerLeaseBounds() (extended, lapsed time.Time) {
	te, unconfirmed := &ow.Tenure, ow.startedAt
	if te.FormerUnconfirmedSince != nil {
		unconfirmed = te.FormerUnconfirmedSince()
	}
	extended, lapsed = unconfirmed.Add(tenure.ExtendFor), unconfirmed.Add(maxDriftDuration(tenure.LeaseLimit))
	if unconfirmed.IsZero() {
		latest := ow.startedAt.Add(maxDriftDuration(tenure.WitnessedLeaseLimit))
		extended, lapsed = latest, latest
	}
	if te.FormerLeasesEnd != nil {
		if stated := te.FormerLeasesEnd(); !stated.IsZero() && stated.Before(lapsed) {
			lapsed = stated
		}
	}
	return extended, lapsed
}

// minDriftDuration returns how long a period may be by a slow clock so that it is surely over
// once d has passed by a fast one.
func minDriftDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - clockDrift) / (1 + clockDrift))
}

// maxDriftDuration returns how long d by a slow clock can take as measured by a fast one.
func maxDriftDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift) / (1 - clockDrift))
}

// sortedWorkers returns the workers in a stable order, by id and start.
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
