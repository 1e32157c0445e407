// Package upstream decides which runners may get requests.
//
// It combines three sources: the platform's list, which is delayed and may be
// unavailable; the runner's own statement in its answers that it is leaving;
// and the results of requests sent to it. A runner is leaving as soon as the
// list or the runner says so. A runner whose requests fail is quarantined,
// twice as long each time, and then gets one request at a time until enough
// have succeeded. At most a fraction of a service's runners in a data centre is
// quarantined at a time: if more fail, the cause is probably not the runners.
// The list keeps its last content while the platform cannot be read.
package upstream

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// State says whether a runner may get requests.
type State string

// Possible states.
const (
	// Live runners get requests.
	Live State = "live"
	// Leaving runners get no new requests.
	Leaving State = "leaving"
	// Quarantined runners get no requests for a limited time because their
	// requests failed.
	Quarantined State = "aside"
	// Probing runners get one request at a time, after a quarantine or after
	// reporting that they are leaving, until probesRequired have succeeded.
	Probing State = "probing"
)

// Evidence is the result of one request sent to a runner.
type Evidence int

// Possible results.
const (
	// Answered: a complete answer arrived.
	Answered Evidence = iota
	// Full: refused because all slots are in use; no sign of a fault.
	Full
	// ReportedLeaving: the runner takes no new requests.
	ReportedLeaving
	// Refused: refused for another reason given by the runner.
	Refused
	// Unreachable: the connection could not be made.
	Unreachable
	// AnswerLost: no complete answer arrived.
	AnswerLost
	// InvalidAnswer: the answer violates the protocol or belongs to another
	// request.
	InvalidAnswer
	// Abandoned: the deadline passed or the caller left; weak evidence, as the
	// cause may be the caller.
	Abandoned
)

// Parameters of quarantine and of the detection of slow runners.
const (
	// failureLimit is the number of failed requests since the last answer after
	// which a runner is quarantined.
	failureLimit      = 3
	minQuarantineTime = time.Second
	maxQuarantineTime = 30 * time.Second
	// probesRequired is the number of answers that end probing.
	probesRequired = 3
	// leavingHold is how long a runner counts as leaving after it has reported
	// that.
	leavingHold = 30 * time.Second
	slowFactor  = 3
	// slowSamples is the number of answers needed before a runner can count as
	// slow.
	slowSamples = 20
	// latencyWeight is the weight of one answer in the moving average.
	latencyWeight = 0.1
	// abandonLimit is the number of abandoned requests since the last answer
	// after which a runner is quarantined.
	abandonLimit = 5
)

// Runner is a runner with its current state.
type Runner struct {
	store.Host

	// State says whether it may get requests.
	State State
	// Slow is set while its answers take more than slowFactor times the median
	// latency of the service's runners.
	Slow bool
}

// record is the state kept for a runner.
type record struct {
	host         store.Host
	leavingUntil time.Time
	// failures and abandoned count requests since the last answer or
	// quarantine.
	failures  int
	abandoned int
	// quarantines counts the quarantines since probing last ended.
	quarantines      int
	quarantinedUntil time.Time
	// probing is set from the start of a quarantine, or from a report that the
	// runner is leaving, until probesOK has reached probesRequired.
	probing  bool
	probesOK int
	// latency is the moving average of the service times, in seconds.
	latency float64
	samples int
}

// Registry tracks the state of runners. The zero value is empty and ready for
// use; it is safe for concurrent use.
type Registry struct {
	// Changed is called without the lock held after a runner's state may have
	// changed.
	Changed func()

	mu   sync.Mutex
	recs map[string]*record
	// quarantineLimit is the fraction of a service's runners in a data centre
	// that may be quarantined at a time; zero means the default.
	quarantineLimit float64
}

// defaultQuarantineLimit applies until SetQuarantineLimit is called.
const defaultQuarantineLimit = 0.5

// SetQuarantineLimit sets the fraction of a service's runners in a data centre
// that may be quarantined at a time; zero means a half.
func (re *Registry) SetQuarantineLimit(fraction float64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.quarantineLimit = fraction
}

// SetList replaces the list of runners; hosts of other kinds are ignored.
func (re *Registry) SetList(hosts []store.Host) {
	re.mu.Lock()
	if re.recs == nil {
		re.recs = map[string]*record{}
	}
	listed := map[string]bool{}
	for _, ho := range hosts {
		if ho.Kind != store.KindRunner {
			continue
		}
		listed[ho.ID] = true
		rec := re.recs[ho.ID]
		// A new address is a new process: the record of the old one no longer
		// applies.
		if rec == nil || rec.host.Addr != ho.Addr {
			rec = &record{}
			re.recs[ho.ID] = rec
		}
		rec.host = ho
	}
	for id := range re.recs {
		if !listed[id] {
			delete(re.recs, id)
		}
	}
	re.mu.Unlock()
	re.changed()
}

func (re *Registry) changed() {
	if re.Changed != nil {
		re.Changed()
	}
}

// Report records the result of one request that was sent to the runner's process
// at addr; took is the service time of an answer. Unknown ids are ignored, and so
// are results of a process that another one has replaced.
func (re *Registry) Report(id, addr string, ev Evidence, took time.Duration) {
	re.mu.Lock()
	rec := re.recs[id]
	changed := false
	if rec != nil && rec.host.Addr == addr {
		before := rec.state(time.Now())
		re.evaluate(rec, ev, took)
		changed = rec.state(time.Now()) != before
	}
	re.mu.Unlock()
	if changed {
		re.changed()
	}
}

func (re *Registry) evaluate(rec *record, ev Evidence, took time.Duration) {
	now := time.Now()
	switch ev {
	case Answered:
		rec.recordAnswer(took)
	case Full:
	case ReportedLeaving:
		rec.leavingUntil = now.Add(leavingHold)
		rec.probing = true
		rec.probesOK = 0
	case Abandoned:
		// A runner that hangs shows only in repeated abandoned requests; a
		// single one may be due to the caller.
		rec.abandoned++
		if rec.abandoned >= abandonLimit || rec.probing {
			re.quarantine(rec, now)
		}
	case Refused, Unreachable, AnswerLost, InvalidAnswer:
		rec.failures++
		if rec.failures >= failureLimit || rec.probing {
			re.quarantine(rec, now)
		}
	}
}

func (rec *record) recordAnswer(took time.Duration) {
	rec.failures = 0
	rec.abandoned = 0
	rec.samples++
	if rec.samples == 1 {
		rec.latency = took.Seconds()
	}
	rec.latency += latencyWeight * (took.Seconds() - rec.latency)
	if !rec.probing {
		return
	}
	rec.probesOK++
	if rec.probesOK >= probesRequired {
		rec.probing = false
		rec.quarantines = 0
	}
}

// quarantine excludes a runner for a limited time, unless the quarantine limit
// has been reached. A runner that is probing counts towards the limit already.
func (re *Registry) quarantine(rec *record, now time.Time) {
	if !rec.probing && !re.mayQuarantine(rec, now) {
		return
	}
	duration := minQuarantineTime << min(rec.quarantines, 10)
	rec.quarantinedUntil = now.Add(min(duration, maxQuarantineTime))
	rec.quarantines++
	rec.probing = true
	rec.probesOK = 0
	rec.failures = 0
	rec.abandoned = 0
}

// mayQuarantine reports whether the limit allows one more runner of the service
// in the data centre to be quarantined. Runners that are leaving count too.
func (re *Registry) mayQuarantine(rec *record, now time.Time) bool {
	all, unavailable := 0, 0
	for _, other := range re.recs {
		if other.host.Service != rec.host.Service || other.host.DC != rec.host.DC {
			continue
		}
		all++
		if other.probing || other.state(now) == Leaving {
			unavailable++
		}
	}
	limit := re.quarantineLimit
	if limit == 0 {
		limit = defaultQuarantineLimit
	}
	return float64(unavailable+1) <= limit*float64(all)
}

// state returns the state at a given time. A runner that reported that it is
// leaving and is still listed as live is probed after leavingHold.
func (rec *record) state(now time.Time) State {
	switch {
	case rec.host.State == store.HostLeaving, now.Before(rec.leavingUntil):
		return Leaving
	case now.Before(rec.quarantinedUntil):
		return Quarantined
	case rec.probing:
		return Probing
	}
	return Live
}

// Runners returns all runners ordered by id.
func (re *Registry) Runners() []Runner {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := time.Now()
	median := re.medianLatency()
	runners := make([]Runner, 0, len(re.recs))
	for _, rec := range re.recs {
		slow := rec.samples >= slowSamples && rec.latency > slowFactor*median[rec.host.Service]
		runners = append(runners, Runner{Host: rec.host, State: rec.state(now), Slow: slow})
	}
	slices.SortFunc(runners, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	return runners
}

// medianLatency returns the median of the runners' latencies, in seconds, for
// each service.
func (re *Registry) medianLatency() map[string]float64 {
	all := map[string][]float64{}
	for _, rec := range re.recs {
		if rec.samples >= slowSamples {
			all[rec.host.Service] = append(all[rec.host.Service], rec.latency)
		}
	}
	median := map[string]float64{}
	for service, lats := range all {
		slices.Sort(lats)
		median[service] = lats[(len(lats)-1)/2]
	}
	return median
}
