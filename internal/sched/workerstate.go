package sched

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/answers"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/transit"
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
	// ColdRemaining is how much longer the worker is slow because it got no work for a while.
	ColdRemaining time.Duration
}

// workerState is the owner's state of one incarnation of a worker of the cell.
type workerState struct {
	WorkerEntry

	ow *Owner
	// path is the current path to the worker; goroutines that send orders read it concurrently.
	// incarnation is that of the entry, or with the start time that an answer has reported.
	path        atomic.Pointer[path]
	incarnation worker.Incarnation
	// firstSeen is when the worker was added.
	firstSeen time.Time
	// leavesAt is the earliest time at which a draining worker may leave, by all its entries.
	leavesAt time.Time
	// coldUntil is until when the worker is slow, as it got no work for a while; zero if it is not.
	coldUntil time.Time
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
	// restartSeenAt is when another incarnation was listed, or sent an acknowledgement, since this
	// one last answered a poll, or zero.
	restartSeenAt time.Time
	// lastAnsweredAt is when the last successful poll was answered. failingSince is when polls
	// began to fail, or zero.
	lastAnsweredAt time.Time
	failingSince   time.Time
	// answers has the last answer and the last order without one, dataCentre those of its data
	// centre, nil if not looked up yet.
	answers    answers.Record
	dataCentre *answers.Record
	// unresponsive is set if polls fail because the first failed one timed out, rather than
	// because the connection broke off.
	unresponsive bool
	// noContactSince is when the worker became unresponsive or unsettled, or zero.
	noContactSince time.Time
	// endsHandled is the number of the last end handled; up to endsAcked all are durable.
	endsHandled, endsAcked int64
	// lastPollHadEnds is set if the last successful poll listed ended attempts. ackWithheld is
	// set if the poll sent after it did not acknowledge them.
	lastPollHadEnds, ackWithheld bool
	// undurableEnds counts the handled ends that are not written yet.
	undurableEnds int
	// nextPolls passes the next poll to the poll loop after a successful one, which waits for it
	// while pollAwaited is set. pollSoon is set if the next one must not wait for ends to become
	// durable. pathChanged makes it send the next one early after a failed one.
	nextPolls   chan worker.Poll
	pollAwaited bool
	pollSoon    bool
	pathChanged chan struct{}
	// attempts are the attempts that run here, or may run here.
	attempts map[*attempt]bool
	// attemptsByName has the same attempts by the names under which the worker lists them.
	attemptsByName map[worker.Attempt]*attempt
	// pollsHandled counts the successful polls.
	pollsHandled int64
	// listedCount counts the attempts that the poll being handled lists as running.
	listedCount int
	// services are the attempts with a latency target. overTarget is set if one of them may
	// exceed it, and holdDueAt is from when the fillers must be held then.
	services   []*attempt
	overTarget bool
	holdDueAt  time.Time
	// reserved is the capacity reserved by the attempts. expectedUse is the processor time that
	// they are likely to use, in thousandths of a core, and fillerUse the part of fillers.
	reserved    worker.Resources
	expectedUse int64
	fillerUse   int64
	// fillerCount counts the fillers among the attempts.
	fillerCount int
	// finiteReserved is the part of reserved that belongs to tasks which end by themselves.
	finiteReserved worker.Resources
	// queued are the attempts placed here whose start orders wait for others to be stopped, in
	// order of placement; queuedReserved is the part of reserved that belongs to them.
	queued         []*attempt
	queuedReserved worker.Resources
	// launchesDeferred counts the launches that were deferred for the worker.
	launchesDeferred int64
	// freed has the latest ends, for the measurement of capacity in transit.
	freed transit.Ends
	// restartReserved is the capacity reserved for interrupted long-running tasks.
	restartReserved worker.Resources
	// restartReady is set if some of these tasks may start now; the worker is then earmarked.
	restartReady bool
	// capacityGroup is the number under which its capacity is summed up, 0 if it is not known.
	capacityGroup int
	// earmarkedInRound is the last placement round in which the worker was earmarked for a
	// long-running task that never ran.
	earmarkedInRound int
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
	// speed has what was observed of the speed of the worker's process.
	speed workerSpeed
}

// SetWorkers applies entries of the platform's list of workers, and marks the workers with the
// ids in removed as unlisted. If complete is set, entries is the whole list, and all other
// workers are marked as unlisted too.
func (ow *Owner) SetWorkers(entries []WorkerEntry, removed []string, complete bool) {
	ow.post(func() { ow.setWorkers(entries, removed, complete) })
}

func (ow *Owner) setWorkers(entries []WorkerEntry, removed []string, complete bool) {
	for _, we := range entries {
		if we.Undecodable {
			ow.retainWorker(we.Incarnation.ID)
			continue
		}
		ow.updateWorker(we)
	}
	for _, id := range removed {
		ow.unlistWorker(id)
	}
	if complete {
		listedIDs := map[string]bool{}
		for _, we := range entries {
			listedIDs[we.Incarnation.ID] = true
		}
		for wk := range ow.allWorkers() {
			if !listedIDs[wk.incarnation.ID] {
				wk.markUnlisted()
			}
		}
	}
	ow.placementDue = true
}

// retainWorker marks a known worker as listed though its entry could not be decoded.
func (ow *Owner) retainWorker(id string) {
	if wk := ow.soleIncarnation(id); wk != nil {
		wk.unlisted, wk.evacuationLogged = false, false
	}
}

// updateWorker adds or updates a worker from its entry.
func (ow *Owner) updateWorker(we WorkerEntry) {
	wk := ow.workerOfEntry(we)
	if wk == nil {
		ow.pollOthers(we)
		wk = ow.addWorker(we)
		wk.unlistOthers()
		return
	}
	wk.update(we)
	if !wk.dead {
		wk.unlistOthers()
	}
}

func (wk *workerState) update(we WorkerEntry) {
	if wk.Draining != we.Draining || wk.unlisted {
		wk.ow.Log.Info("worker changed", "worker", wk.incarnation, "draining", we.Draining, "listed", true)
	}
	if leavesAt := time.Now().Add(we.Remaining); we.Draining && (!wk.Draining || leavesAt.Before(wk.leavesAt)) {
		wk.leavesAt = leavesAt
	}
	wk.WorkerEntry, wk.unlisted, wk.evacuationLogged, wk.capacityGroup, wk.dataCentre = we, false, false, 0, nil
	wk.setCold()
}

// addWorker adds a worker and starts to poll it.
func (ow *Owner) addWorker(we WorkerEntry) *workerState {
	ow.Log.Info("worker seen", "worker", we.Incarnation, "addr", we.HostPort, "service", we.Service, "rack", we.Rack,
		"millicores", we.Capacity.MilliCores, "mem_mb", we.Capacity.MemMB, "draining", we.Draining)
	ctx, stopPolling := context.WithCancel(ow.ctx)
	wk := &workerState{
		WorkerEntry: we, ow: ow, incarnation: we.Incarnation, stopPolling: stopPolling, nextPolls: make(chan worker.Poll, 1), pathChanged: make(chan struct{}, 1),
		firstSeen: time.Now(), attempts: map[*attempt]bool{}, failedJobs: map[string]bool{},
	}
	wk.leavesAt = time.Now().Add(we.Remaining)
	wk.setCold()
	wk.path.Store(ow.newPath(we))
	ow.workers[we.Incarnation] = wk
	ow.sortedWorkerCache = nil
	ow.workersByAddr[we.HostPort] = append(ow.workersByAddr[we.HostPort], wk)
	ow.workersByID[we.Incarnation.ID] = append(ow.workersByID[we.Incarnation.ID], wk)
	ow.adopt(wk)
	go wk.pollLoop(ctx)
	return wk
}

// unlistWorker marks all incarnations of a worker as unlisted.
func (ow *Owner) unlistWorker(id string) {
	for _, wk := range slices.Clone(ow.workersByID[id]) {
		wk.markUnlisted()
	}
}

// markUnlisted records that the list has no entry of the worker any more. The worker stays
// known as long as it may run an attempt.
func (wk *workerState) markUnlisted() {
	if wk.unlisted {
		return
	}
	ow, now := wk.ow, time.Now()
	wk.unlisted, wk.unlistedAt = true, now
	ow.Log.Info("worker no longer listed", "worker", wk.incarnation, "attempts", len(wk.attempts), "draining", wk.Draining,
		"list_age", ow.listAge(now), "store_trouble", ow.storeUnhealthy(now))
	ow.removeIfIdle(wk)
}

// removeIfIdle removes an unlisted worker that has no attempts. A dead worker stays known
// while it is listed, so that its entry does not add it again.
func (ow *Owner) removeIfIdle(wk *workerState) {
	if !wk.unlisted || len(wk.attempts) > 0 {
		return
	}
	wk.deregister()
}

// deregister removes the worker from the owner's state, as if it had never been seen.
func (wk *workerState) deregister() {
	ow := wk.ow
	wk.disconnect()
	delete(ow.workers, wk.incarnation)
	delete(ow.slowWorkers, wk)
	delete(ow.restartLeases, wk.incarnation)
	removeFromIndex(ow.workersByID, wk.incarnation.ID, wk)
	ow.sortedWorkerCache = nil
}

// removeFromIndex removes a worker from the slice under a key, and the key once its slice is
// empty.
func removeFromIndex(lists map[string][]*workerState, key string, wk *workerState) {
	lists[key] = slices.DeleteFunc(lists[key], func(other *workerState) bool { return other == wk })
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// disconnect stops the polls of the worker and frees its path.
func (wk *workerState) disconnect() {
	ow := wk.ow
	wk.stopPolling()
	if ow.DroppedFunc != nil {
		ow.DroppedFunc(wk.incarnation)
		// ViaFunc chose the path for the incarnation in the entry, which may differ.
		if wk.Incarnation != wk.incarnation {
			ow.DroppedFunc(wk.Incarnation)
		}
	}
	removeFromIndex(ow.workersByAddr, wk.HostPort, wk)
}

// available reports whether the worker may get new attempts, not counting the restriction to
// an isolated task.
func (wk *workerState) available(now time.Time) bool {
	reason := wk.unavailableReason(now)
	return reason == "" || reason == unavailableTrial
}

// unavailableEvacuated: the data centre of the worker is evacuated. It holds for every task, so
// it takes precedence over the reasons that do not.
const unavailableEvacuated = "evacuated"

// Reasons of unavailableReason that do not hold for every task.
const (
	// unavailableTrial: a suspect task runs isolated there.
	unavailableTrial = "trial"
	// unavailableFailing: attempts fail there. It gets only tasks that fit nowhere else.
	unavailableFailing = "failing"
)

// unavailableReason returns why the worker may not get new attempts, or "" if it may.
func (wk *workerState) unavailableReason(now time.Time) string {
	switch {
	case wk.dead:
		return "dead"
	case wk.unlisted:
		return "unlisted"
	case wk.Draining:
		return "draining"
	case wk.isEvacuated():
		return unavailableEvacuated
	case !wk.settled:
		return "unsettled"
	case !wk.failingSince.IsZero() || wk.leaseRecorded():
		return "unanswered"
	case !now.After(wk.quarantinedUntil):
		return "aside"
	case wk.quarantinedForFailures(now):
		return unavailableFailing
	case wk.trial != nil:
		return unavailableTrial
	}
	return ""
}

// earliestClock returns a lower bound of the worker's clock at a time, in milliseconds, or 0
// if the clock was never read.
func (wk *workerState) earliestClock(now time.Time) int64 {
	if wk.clockAt.IsZero() {
		return 0
	}
	passed := float64(now.Sub(wk.clockAt).Milliseconds())
	return wk.clockMS + int64(passed*(1-clockDrift))
}

// nextLeaseEnd returns the lease end to send to the worker now, by its clock in milliseconds.
// It returns 0 if the clock is not known or may be that of an ended process, the tenure was not
// confirmed recently enough, or the worker is named in the row of [LeaseExpiryTable], from which
// the next owner may read that its leases are not extended.
func (wk *workerState) nextLeaseEnd(now time.Time) int64 {
	te := &wk.ow.Tenure
	age := now.Sub(te.LastConfirmed())
	if wk.leaseRecorded() || wk.clockAt.IsZero() || !wk.restartSeenAt.IsZero() || age > minDriftDuration(tenure.ExtendFor) || (te.MayExtend != nil && !te.MayExtend()) {
		return 0
	}
	earliest := wk.earliestClock(now)
	until := earliest + leaseDuration(age, wk.ow.Limits.MaxLease).Milliseconds()
	wk.leaseUntilMS = max(wk.leaseUntilMS, until)
	return until
}

// leaseDuration returns how long a lease may be if the tenure was last confirmed age ago. No
// lease outlives the period that the confirmation covers. Otherwise the next owner would have
// to wait for a whole lease after the last moment at which the former one could extend it.
func leaseDuration(age, maxLease time.Duration) time.Duration {
	return max(min(maxLease, tenure.LeaseLimit-age), 0)
}

// markSettled records that the worker accepts this owner's fencing token. Until now a former
// owner may have extended its leases, and so may calls to an earlier incarnation. Therefore
// they count as extended by a full lease even if this owner never extends them.
func (wk *workerState) markSettled() {
	wk.settled = true
	wk.settleFormer()
	wk.leaseUntilMS = max(wk.leaseUntilMS, wk.clockMS+wk.ow.Limits.MaxLease.Milliseconds())
	wk.ow.boundRestartLeases(wk.incarnation, wk.ow.wholeLeaseAfter(time.Now()))
}

// recordClock records a reading of the worker's clock. Readings behind the lower bound are
// ignored, and logged if they are far behind.
func (wk *workerState) recordClock(clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	if earliest := wk.earliestClock(at); clockMS >= earliest {
		wk.clockMS, wk.clockAt = clockMS, at
	}
	if regression := time.Duration(wk.clockMS-clockMS) * time.Millisecond; regression > maxClockRegression {
		wk.ow.Log.Warn("worker's clock went back", "worker", wk.incarnation, "by", regression, "clock_ms", clockMS, "attempts", len(wk.attempts))
	}
}

// isOwnClock reports whether a reading in the answer to a call, which was sent and answered at the
// given times, can be from the clock of this incarnation.
func (wk *workerState) isOwnClock(clockMS int64, sent, got time.Time) bool {
	if clockMS == 0 || wk.clockAt.IsZero() {
		return true
	}
	if sent.Before(wk.clockAt) {
		sent = wk.clockAt.Add(-maxDriftDuration(wk.clockAt.Sub(sent)))
	}
	earliest := wk.earliestClock(sent) - lapseMargin.Milliseconds()
	latest := wk.clockMS + got.Sub(wk.clockAt).Milliseconds() + maxClockDelay.Milliseconds()
	return earliest <= clockMS && clockMS <= latest
}

// maxClockDelay is how late an answer may have been read from which the worker's clock is known.
const maxClockDelay = 30 * time.Second

// maxClockRegression is how far a reading may be behind the last one without a warning:
// answers on different connections can arrive out of order.
const maxClockRegression = 3 * time.Second

// tick handles what changes with time alone: the end of trials, holds, idle unlisted workers and
// lapsed leases.
func (wk *workerState) tick(now time.Time) {
	wk.tickTrial(now)
	wk.tickQueued(now)
	wk.tickHold(now)
	if len(wk.attempts) == 0 {
		wk.ow.removeIfIdle(wk)
		return
	}
	if wk.failingSince.IsZero() || now.Sub(wk.lastAnsweredAt) < unresponsiveAfter {
		return
	}
	wk.endLapsed(now)
}

// minDriftDuration returns the longest period by a slow clock that is certainly over once d
// has passed by a fast one.
func minDriftDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - clockDrift) / (1 + clockDrift))
}

// maxDriftDuration returns how long d by a slow clock can take as measured by a fast one.
func maxDriftDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift) / (1 - clockDrift))
}
