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

// host is a worker of the cell.
type host struct {
	WorkerEntry

	ow *Owner
	// way is how it is reached now. Orders on their way read it from any
	// goroutine.
	way         atomic.Pointer[way]
	incarnation worker.Incarnation
	// entered is when it was first seen. lives are other lives of the worker whose
	// attempts it may run, of rows of former owners, and movedUntil is when leases of
	// attempts lapse at the latest that were ordered from a life before it.
	entered    time.Time
	lives      []worker.Incarnation
	movedUntil time.Time
	// leaves is when a draining worker may leave, at the earliest.
	leaves time.Time
	// gone is set once the list no longer has it, goneAt is when that was seen; emptied
	// is set once it was told that it is emptied for that.
	gone    bool
	goneAt  time.Time
	emptied bool
	// dead is set once its process is known to have ended.
	dead bool
	// stop ends its loop of looks.
	stop context.CancelFunc
	// settled is set once it obeys this owner's fencing token, or settleFence if that is
	// higher, and what it ran before is known.
	settled     bool
	settleFence int64
	// clockMS is its clock as read at clockAt; leaseUntilMS is the latest end
	// of leases that it was told, by that clock.
	clockMS      int64
	clockAt      time.Time
	leaseUntilMS int64
	// seen is when a look last succeeded, failing since when looks fail.
	seen    time.Time
	failing time.Time
	// silent is set if looks fail since one that had no answer in time, and not since the
	// connection broke off.
	silent bool
	// quiet is since when it is silent or unsettled, or zero.
	quiet time.Time
	// handled is the last end taken in, acked the last one that is durable.
	handled, acked int64
	// endsListed is set if the last look that succeeded listed any, withheld if the last
	// look could have acknowledged some and did not.
	endsListed, withheld bool
	// undurable counts ends that are not durable yet.
	undurable int
	// release lets the next look go ahead, rerouted that after one that failed.
	release  chan struct{}
	rerouted chan struct{}
	// attempts are those that run here, or may.
	attempts map[*attempt]bool
	// services are those of them that serve within a target.
	services []*attempt
	// reserved is what they take of its room, inUse the processor time that they
	// are likely to use, in thousandths of a core.
	reserved worker.Resources
	inUse    int64
	// passing is the part of reserved that tasks take that end by themselves.
	passing worker.Resources
	// promised is what of its room is promised to lasting tasks that are to begin again.
	promised worker.Resources
	// awaited is set if some of them wait for it now.
	awaited bool
	// keptIn is the last round of placement in which its room was kept.
	keptIn int
	// trial is the task that is tried alone here, or is to be.
	trial *trial
	// asideUntil is until when it gets nothing new. failures counts attempts
	// that failed here since one was done, of failedJobs; failingUntil is until when it
	// is set aside for them, asides how often it was.
	asideUntil   time.Time
	failingUntil time.Time
	asides       int
	failures     int
	failedJobs   map[string]bool
	// fill follows the fillers.
	fill fillers
}

// SetWorkers takes in rows of the platform's list of workers. If whole is set
// they are all there are.
func (ow *Owner) SetWorkers(listed []WorkerEntry, gone []string, whole bool) {
	ow.post(func() { ow.setWorkers(listed, gone, whole) })
}

func (ow *Owner) setWorkers(listed []WorkerEntry, gone []string, whole bool) {
	for _, li := range listed {
		if li.Undecodable {
			ow.keepWorker(li.Incarnation.ID)
			continue
		}
		ow.seeWorker(li)
	}
	for _, id := range gone {
		ow.loseWorker(id)
	}
	if whole {
		named := map[string]bool{}
		for _, li := range listed {
			named[li.Incarnation.ID] = true
		}
		for _, ho := range ow.sortedHosts() {
			if !named[ho.incarnation.ID] {
				ho.lose()
			}
		}
	}
	ow.due = true
}

// keepWorker takes a worker as listed of which no more is known.
func (ow *Owner) keepWorker(id string) {
	if ho := ow.onlyLife(id); ho != nil {
		ho.gone, ho.emptied = false, false
	}
}

// seeWorker enters or updates a worker.
func (ow *Owner) seeWorker(li WorkerEntry) {
	ho := ow.listedHost(li)
	if ho == nil {
		ow.askOthers(li)
		ho = ow.enter(li)
		ho.replaceOthers()
		return
	}
	ho.update(li)
	if !ho.dead {
		ho.replaceOthers()
	}
}

// update takes in what the worker's entry says now.
func (ho *host) update(li WorkerEntry) {
	if ho.Draining != li.Draining || ho.gone {
		ho.ow.Log.Info("worker changed", "worker", ho.incarnation, "draining", li.Draining, "listed", true)
	}
	if li.Draining && !ho.Draining {
		ho.leaves = time.Now().Add(li.Remaining)
	}
	ho.WorkerEntry, ho.gone, ho.emptied = li, false, false
}

// enter enters a worker that was not known.
func (ow *Owner) enter(li WorkerEntry) *host {
	ow.Log.Info("worker seen", "worker", li.Incarnation, "addr", li.HostPort, "service", li.Service, "rack", li.Rack,
		"millicores", li.Capacity.MilliCores, "mem_mb", li.Capacity.MemMB, "draining", li.Draining)
	ctx, stop := context.WithCancel(ow.ctx)
	ho := &host{
		WorkerEntry: li, ow: ow, incarnation: li.Incarnation, stop: stop, release: make(chan struct{}, 1), rerouted: make(chan struct{}, 1),
		entered: time.Now(), attempts: map[*attempt]bool{}, failedJobs: map[string]bool{},
	}
	ho.leaves = time.Now().Add(li.Remaining)
	ho.way.Store(ow.firstWay(li))
	ow.hosts[li.Incarnation] = ho
	ow.sorted = nil
	ow.byAddr[li.HostPort] = append(ow.byAddr[li.HostPort], ho)
	ow.byID[li.Incarnation.ID] = append(ow.byID[li.Incarnation.ID], ho)
	ow.adopt(ho)
	go ho.looks(ctx)
	return ho
}

// loseWorker notes that the list no longer has a worker.
func (ow *Owner) loseWorker(id string) {
	for _, ho := range slices.Clone(ow.byID[id]) {
		ho.lose()
	}
}

// lose notes that the list no longer has the worker. It stays as long as it may run
// something.
func (ho *host) lose() {
	if ho.gone {
		return
	}
	ow, now := ho.ow, time.Now()
	ho.gone, ho.goneAt = true, now
	ow.Log.Info("worker no longer listed", "worker", ho.incarnation, "attempts", len(ho.attempts), "draining", ho.Draining,
		"list_age", ow.listAge(now), "store_trouble", ow.storeTrouble(now))
	ow.dropIdle(ho)
}

// dropIdle forgets a worker that is gone and runs nothing. One that is dead stays known
// while it is listed, so that it is not met again.
func (ow *Owner) dropIdle(ho *host) {
	if !ho.gone || len(ho.attempts) > 0 {
		return
	}
	ho.forget()
}

// forget takes the worker for one that was never seen.
func (ho *host) forget() {
	ow := ho.ow
	ho.leave()
	delete(ow.hosts, ho.incarnation)
	remove(ow.byID, ho.incarnation.ID, ho)
	ow.sorted = nil
}

// remove takes a worker off a list, and the list off its map once it is empty.
func remove(lists map[string][]*host, key string, ho *host) {
	lists[key] = slices.DeleteFunc(lists[key], func(other *host) bool { return other == ho })
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// leave ends the looks at the worker and frees the way to it.
func (ho *host) leave() {
	ow := ho.ow
	ho.stop()
	if ow.DroppedFunc != nil {
		ow.DroppedFunc(ho.incarnation)
		// Its way was chosen by what its entry told.
		if ho.Incarnation != ho.incarnation {
			ow.DroppedFunc(ho.Incarnation)
		}
	}
	remove(ow.byAddr, ho.HostPort, ho)
}

// drop takes an attempt off the worker.
func (ho *host) drop(at *attempt) {
	if !ho.attempts[at] {
		return
	}
	delete(ho.attempts, at)
	ho.endTrial(at)
	ho.ow.land(at)
	ho.noteEnded(at, time.Now())
	ho.services = slices.DeleteFunc(ho.services, func(other *attempt) bool { return other == at })
	ho.reserved = ho.reserved.Without(at.step().Reserved())
	ho.inUse -= likelyUse(at.step())
	if !at.step().Endless {
		ho.passing = ho.passing.Without(at.step().Reserved())
	}
}

// put enters an attempt.
func (ho *host) put(at *attempt) {
	ho.attempts[at] = true
	ho.reserved = ho.reserved.With(at.step().Reserved())
	ho.inUse += likelyUse(at.step())
	if !at.step().Endless {
		ho.passing = ho.passing.With(at.step().Reserved())
	}
	if at.step().HasTarget() {
		ho.services = append(ho.services, at)
		at.replica.Track = at.en.track(at.ref.Step)
	}
	if at.task().Alone() {
		ho.trial = &trial{en: at.en, ref: at.ref, at: at}
	}
	ho.fill.change()
	at.en.attempts[at.ref] = at
}

// well reports whether the worker may be given something new, but for a task that is tried
// alone there.
func (ho *host) well(now time.Time) bool {
	why := ho.bar(now)
	return why == "" || why == barTrial
}

// barTrial is why a worker gets nothing new while a task is tried alone there, barFailing
// why it gets nothing but what finds room nowhere else.
const (
	barTrial   = "trial"
	barFailing = "failing"
)

// bar returns why the worker may not be given anything new, or nothing if it may.
func (ho *host) bar(now time.Time) string {
	switch {
	case ho.dead:
		return "dead"
	case ho.gone:
		return "unlisted"
	case ho.Draining:
		return "draining"
	case !ho.settled:
		return "unsettled"
	case !ho.failing.IsZero() || ho.isNoted():
		return "unanswered"
	case !now.After(ho.asideUntil):
		return "aside"
	case ho.fails(now):
		return barFailing
	case ho.trial != nil:
		return barTrial
	}
	return ""
}

// clockNow is the worker's clock now, at the earliest.
func (ho *host) clockNow(now time.Time) int64 {
	if ho.clockAt.IsZero() {
		return 0
	}
	passed := float64(now.Sub(ho.clockAt).Milliseconds())
	return ho.clockMS + int64(passed*(1-clockDrift))
}

// leaseNow returns the end of leases to tell the worker now, or 0 if its clock
// is not known, the tenure was not confirmed for too long, or the next owner may read that
// it gets none.
func (ho *host) leaseNow(now time.Time) int64 {
	te := &ho.ow.Tenure
	age := now.Sub(te.LastBacked())
	if ho.isNoted() || ho.clockAt.IsZero() || age > quickest(tenure.ExtendFor) || (te.Extending != nil && !te.Extending()) {
		return 0
	}
	earliest := ho.clockNow(now)
	until := earliest + leaseFor(age, ho.ow.Limits.MaxLease).Milliseconds()
	ho.leaseUntilMS = max(ho.leaseUntilMS, until)
	return until
}

// leaseFor is how long a lease may be that is told so long after the tenure was last
// confirmed. No lease outlives what its owner may claim: else the next one has to wait for
// a whole lease after the last moment at which the former could have told one.
func leaseFor(age, most time.Duration) time.Duration {
	return max(min(most, tenure.LeasesFor-age), 0)
}

// settle notes that the worker obeys this owner, and that a former one may have extended
// its leases until just now: also if this one never does.
func (ho *host) settle() {
	ho.settled = true
	ho.leaseUntilMS = max(ho.leaseUntilMS, ho.clockMS+ho.ow.Limits.MaxLease.Milliseconds())
}

// read notes what the worker's clock read.
func (ho *host) read(clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	if earliest := ho.clockNow(at); clockMS >= earliest {
		ho.clockMS, ho.clockAt = clockMS, at
	}
	if back := time.Duration(ho.clockMS-clockMS) * time.Millisecond; back > clockBackMost {
		ho.ow.Log.Warn("worker's clock went back", "worker", ho.incarnation, "by", back, "clock_ms", clockMS, "attempts", len(ho.attempts))
	}
}

// clockBackMost is how far the reading of a worker's clock may be behind the last one, as
// answers on different connections pass each other.
const clockBackMost = 3 * time.Second

// tick looks at what time alone changes.
func (ho *host) tick(now time.Time) {
	ho.tickTrial(now)
	if len(ho.attempts) == 0 {
		ho.ow.dropIdle(ho)
		return
	}
	if ho.failing.IsZero() || now.Sub(ho.seen) < silentAfter {
		return
	}
	if ho.lapsed(now) {
		ho.endSilent(now)
	}
}

// lapsed reports whether every lease that the worker can have been given has
// ended by the slowest clock.
func (ho *host) lapsed(now time.Time) bool {
	if !ho.settled {
		return now.After(ho.unsettledUntil())
	}
	earliest := ho.clockNow(now)
	return earliest > ho.leaseUntilMS+lapseMargin.Milliseconds()
}

// orphansOver reports whether attempts ordered by a former owner have ended on
// a worker that cannot be reached.
func (ow *Owner) orphansOver(incarnation worker.Incarnation, now time.Time) bool {
	return now.After(ow.orphansUntil(incarnation))
}

// orphansUntil returns when such attempts have ended at the latest: when the
// former owner said so as it released the cell, also if that is later than by its own
// leases, or once leases have lapsed since the last moment at which it can have
// extended them, and those that former owners can claim at all.
func (ow *Owner) orphansUntil(incarnation worker.Incarnation) time.Time {
	if ms, ok := ow.Tenure.Former.SilentMS[incarnation.String()]; ok {
		return ow.opened.Add(time.Duration(ms)*time.Millisecond + lapseMargin)
	}
	extended, most := ow.formerBounds()
	if ended := ow.Tenure.FormerEnded(); !ended.IsZero() && ended.Before(extended) {
		extended = ended
	}
	until := extended.Add(slowest(ow.Limits.MaxLease))
	if ow.Tenure.Former.Bounded && most.Before(until) {
		until = most
	}
	return until.Add(lapseMargin)
}

// formerBounds returns until when former owners can have extended leases at the latest, and
// until when their leases run that keep to what confirmed their owners.
func (ow *Owner) formerBounds() (extended, lapsed time.Time) {
	te, unconfirmed := &ow.Tenure, ow.opened
	if te.FormerUnconfirmed != nil {
		unconfirmed = te.FormerUnconfirmed()
	}
	extended, lapsed = unconfirmed.Add(tenure.ExtendFor), unconfirmed.Add(slowest(tenure.LeasesFor))
	if unconfirmed.IsZero() {
		most := ow.opened.Add(slowest(tenure.VouchedFor))
		extended, lapsed = most, most
	}
	if te.FormerLapse != nil {
		if said := te.FormerLapse(); !said.IsZero() && said.Before(lapsed) {
			lapsed = said
		}
	}
	return extended, lapsed
}

// quickest is how long a time may be by a slow clock so that it is over once it has passed by
// a fast one.
func quickest(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - clockDrift) / (1 + clockDrift))
}

// slowest is how long it takes at most until a time has passed by a slow clock, as measured
// by a fast one.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift) / (1 - clockDrift))
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
	slices.SortFunc(list, func(a, b *host) int {
		return cmp.Or(strings.Compare(a.incarnation.ID, b.incarnation.ID), cmp.Compare(a.incarnation.Born, b.incarnation.Born))
	})
	ow.sorted = list
	return list
}
