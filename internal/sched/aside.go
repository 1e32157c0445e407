package sched

import "time"

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
