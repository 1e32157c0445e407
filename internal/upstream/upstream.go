// Package upstream knows which runners may get work.
//
// Three sources speak of a runner: the platform's list, which lags and may be
// away; the runner's own word, on its answers; and the evidence of requests
// sent to it. The first to say "leaving" is believed. A runner whose requests
// fail is set aside on evidence, for longer each time, and let back in one
// request at a time; never are more than a part of a service's runners aside,
// since then the fault is likely elsewhere. A list that cannot be read
// changes nothing.
package upstream

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// State says whether a runner may get work.
type State string

// The states.
const (
	// Live runners get work.
	Live State = "live"
	// Leaving runners get no new work.
	Leaving State = "leaving"
	// Aside runners get none for a while, on evidence.
	Quarantined State = "aside"
	// Probing runners get one request at a time.
	Probing State = "probing"
)

// Evidence is what came of one request sent to a runner.
type Evidence int

// The kinds of evidence.
const (
	// Answered: a whole answer came.
	Answered Evidence = iota
	// Full: refused, because its slots were in use. It says nothing.
	Full
	// SaidLeaving: the runner takes no new work.
	ReportedLeaving
	// Refused: refused for a reason of the runner's own.
	Refused
	// Unreached: no connection.
	Unreachable
	// Lost: no whole answer.
	AnswerLost
	// Wrong: an answer that was not one.
	InvalidAnswer
	// GaveUp: the deadline passed or the caller left; it says little.
	Abandoned
)

// The policy's numbers.
const (
	failureLimit      = 3
	minQuarantineTime = time.Second
	maxQuarantineTime = 30 * time.Second
	probesRequired    = 3
	leavingHold       = 30 * time.Second
	slowFactor        = 3
	slowSamples       = 20
	latencyWeight     = 0.1
	abandonLimit      = 5
)

// Runner is a runner as it is known now.
type Runner struct {
	store.Host

	// State says whether it may get work.
	State State
	// Slow is set while its answers take several times as long as those of
	// the service's other runners.
	Slow bool
}

// record is what is kept of a runner.
type record struct {
	host             store.Host
	leavingUntil     time.Time
	failures         int
	abandoned        int
	quarantines      int
	quarantinedUntil time.Time
	probing          bool
	probesOK         int
	latency          float64
	samples          int
}

// Registry keeps runners. The zero value is empty and ready.
type Registry struct {
	// Changed is called, unlocked, after a runner's state may have changed.
	Changed func()

	mu   sync.Mutex
	recs map[string]*record
	// maxAside is the part of a service's runners in a data centre that may
	// be aside at a time.
	quarantineLimit float64
}

// defaultMaxAside holds until another is set.
const defaultQuarantineLimit = 0.5

// SetMaxAside changes the part of a service's runners in a data centre that
// may be aside at a time; zero means a half.
func (re *Registry) SetQuarantineLimit(fraction float64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.quarantineLimit = fraction
}

// SetList takes the platform's list of runners.
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
		// A new address is a new process: what was known of the old is void.
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

// Report takes the evidence of one request. Took is the time of an answer.
func (re *Registry) Report(id string, ev Evidence, took time.Duration) {
	re.mu.Lock()
	rec := re.recs[id]
	changed := false
	if rec != nil {
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
		// A hanging runner shows only so; a slow caller shows the same once.
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

// setAside takes a runner out for a while, unless too many are out already.
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

// state returns the state at a moment. A runner that said it is leaving and
// is still listed as live is tried again after a hold, as a probe.
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

// Runners returns all runners in order of id.
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

// usualLatency returns each service's median of its runners' latencies.
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
