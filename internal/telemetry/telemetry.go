// Package telemetry has the metrics of an entry host, over OpenTelemetry with
// a Prometheus endpoint. All instruments stand in one table, which
// docs/OPERATIONS.md repeats; a nil [Metrics] counts nothing, so that slices
// can be tested without one.
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/pepperhatch/pepperhatch/internal/reason"
)

// Name is the name of an instrument.
type Name string

// The counters.
const (
	Answers         Name = "pepperhatch_answers"
	Refusals        Name = "pepperhatch_refusals"
	Retries         Name = "pepperhatch_retries"
	Attempts        Name = "pepperhatch_attempts"
	Spills          Name = "pepperhatch_spills"
	SessionMoves    Name = "pepperhatch_session_moves"
	TableErrors     Name = "pepperhatch_table_errors"
	Takeovers       Name = "pepperhatch_takeovers"
	LeaseExtensions Name = "pepperhatch_lease_extensions"
	JournalRows     Name = "pepperhatch_journal_rows"
	TaskEvents      Name = "pepperhatch_task_events"
	JobRequests     Name = "pepperhatch_job_requests"
	JobVerdicts     Name = "pepperhatch_job_verdicts"
	AttemptEnds     Name = "pepperhatch_attempt_ends"
	CellWrites      Name = "pepperhatch_cell_writes"
	Launches        Name = "pepperhatch_launches"
	PollFailures    Name = "pepperhatch_looks"
	PlacementRounds Name = "pepperhatch_placement_rounds"
	Stalls          Name = "pepperhatch_attempts_stalled"
	Evacuated       Name = "pepperhatch_attempts_emptied"
	JobTime         Name = "pepperhatch_job_milliseconds"
	RelaysLost      Name = "pepperhatch_relays_lost"

	WorkersCrashed Name = "pepperhatch_workers_crashed"
	SuspectStarts  Name = "pepperhatch_suspect_starts"
	TasksGivenUp   Name = "pepperhatch_tasks_given_up"
)

// The gauges.
const (
	Workers         Name = "pepperhatch_workers"
	StuckTasks      Name = "pepperhatch_stuck_tasks"
	CellCores       Name = "pepperhatch_cell_cores"
	ConfigVersion   Name = "pepperhatch_config_version"
	ConfigConfirmed Name = "pepperhatch_config_confirmed_seconds"
)

// RequestDuration is the histogram of request times.
const RequestDuration Name = "pepperhatch_request_seconds"

// Entry documents one instrument.
type Entry struct {
	// Name is the instrument's name; the endpoint adds _total to counters.
	Name Name
	// Labels are its labels.
	Labels string
	// Meaning says what it counts.
	Meaning string
	// Action says what to do about it.
	Action string
}

// Counters documents the counters.
var Counters = []Entry{
	{Answers, "class", "requests answered", "compare with refusals"},
	{Refusals, "reason, class", "requests that ended unanswered", "see the table of refusal reasons"},
	{Retries, "reason", "requests sent to another runner", "see the table of retry reasons"},
	{Attempts, "", "requests sent to runners, first ones and retries", "over 1.2 per request: look at the retry reasons"},
	{Spills, "to", "requests passed to a peer because no own slot was free", "steady growth: add runners to the data centre"},
	{SessionMoves, "why", "sessions moved to another runner or entry host", "growth without a stop or drain: look at the runners"},
	{TableErrors, "step", "failed uses of the platform's table or list", "growth: the platform is away or slow"},
	{Takeovers, "", "leases taken over from an entry host that was silent", "find out why it was"},
	{LeaseExtensions, "", "leases extended on the promises of all peers", "the table is away"},
	{JournalRows, "cell", "batches written to a cell's journal", "over 10 a second: raise --cell-interval"},
	{JobRequests, "kind, outcome, reason", "requests of callers about jobs, by how they were answered", "refusals: see the reason"},
	{JobVerdicts, "outcome, reason", "what the owner of a cell said to jobs handed in", "refusals: see the reason"},
	{AttemptEnds, "end", "attempts of tasks that ended, by how", "lapsed, lost, crashed or failed: look for the workers in the log"},
	{CellWrites, "outcome", "writes of a cell's rows", "failed: the store is away or slow"},
	{Launches, "outcome", "orders to start an attempt, by what the worker said", "no-answer or unfit: look for the workers in the log"},
	{PollFailures, "outcome", "looks at workers that failed", "growth: workers are away"},
	{PlacementRounds, "", "rounds of placement of a cell, each over all its workers", "many a second: the owner's processor is short, see CAPACITY.md"},
	{Stalls, "", "attempts that were stopped as they made no progress", "look for the workers in the log: \"attempts stand still\""},
	{Evacuated, "why", "lasting tasks that were stopped to go on elsewhere, as their worker drains or has had no entry for long (unlisted)", "unlisted: look for \"emptying a worker without an entry\" in the log"},
	{JobTime, "cause", "time of jobs that are over, in milliseconds, by what it went to", "much of room or place: too little room; of store or order: the store or the owner is slow"},
	{RelaysLost, "", "streams of an owner to other entry hosts that ended", "look for \"relay not used for a while\" in the owner's log"},
	{WorkersCrashed, "attempts", "workers whose process ended without a word, by whether some attempts stood there or none", "some: look for \"task given up\" and \"trying a task under which workers ended\" in the log"},
	{SuspectStarts, "how", "starts of tasks under which workers ended: apart from others, or alone, as one crash more gives them up", "alone: a task crashes its workers, or workers crash often"},
	{TasksGivenUp, "why", "tasks that are not tried again: failures, as often as their queue allows, or crashes of workers under them", "crashes: tell the job's owner"},
	{TaskEvents, "event", "tasks started, done, failed, evicted, throttled", "evictions: see place.eviction-budget"},
}

// Gauges documents the gauges.
var Gauges = []Entry{
	{Workers, "state", "workers of the cell on its owner, 0 elsewhere: answering, silent, or unsettled (not reached yet by this owner)", "silent or unsettled for more than a second: see \"Workers get no orders\""},
	{StuckTasks, "kind, why", "tasks of the owner's cell that have waited for 5 s, or are taken to run without their worker's word for as long, by what holds them back", "see \"Tasks are stuck\""},
	{CellCores, "part", "cores of the workers that get tasks from the cell's owner: held, and reserved by tasks", "stuck tasks beside cores that are not reserved: look at why"},
	{ConfigVersion, "", "version of the configuration in force at this host", "differs between hosts for over 2 s: see \"A change is not in force\""},
	{ConfigConfirmed, "", "time of day, in seconds since 1970, of the last call by which the store confirmed that the configuration is current", "over 3 s ago: see \"A change is not in force\""},
}

// Metrics counts. Make one with [New]; nil counts nothing.
type Metrics struct {
	counters map[Name]metric.Int64Counter
	gauges   map[Name]metric.Int64Gauge
	duration metric.Float64Histogram
}

// New returns metrics and the handler of their endpoint.
func New() (*Metrics, http.Handler, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, nil, fmt.Errorf("metrics exporter: %w", err)
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exp)).Meter("pepperhatch")
	me := &Metrics{counters: map[Name]metric.Int64Counter{}, gauges: map[Name]metric.Int64Gauge{}}
	for _, en := range Counters {
		me.counters[en.Name], err = meter.Int64Counter(string(en.Name), metric.WithDescription(en.Meaning))
		if err != nil {
			return nil, nil, fmt.Errorf("counter %s: %w", en.Name, err)
		}
	}
	for _, en := range Gauges {
		me.gauges[en.Name], err = meter.Int64Gauge(string(en.Name), metric.WithDescription(en.Meaning))
		if err != nil {
			return nil, nil, fmt.Errorf("gauge %s: %w", en.Name, err)
		}
	}
	me.duration, err = meter.Float64Histogram(string(RequestDuration),
		metric.WithDescription("time from arrival to answer or refusal"),
		metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10))
	if err != nil {
		return nil, nil, fmt.Errorf("histogram %s: %w", RequestDuration, err)
	}
	return me, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), nil
}

// Add adds n to a counter; labels are pairs of name and value.
func (me *Metrics) Add(name Name, n int64, labels ...string) {
	if me == nil {
		return
	}
	me.counters[name].Add(context.Background(), n, attributes(labels))
}

// Set sets a gauge, which is told until it is set anew; labels are pairs of name and
// value.
func (me *Metrics) Set(name Name, n int64, labels ...string) {
	if me == nil {
		return
	}
	me.gauges[name].Record(context.Background(), n, attributes(labels))
}

// attributes are those of pairs of name and value.
func attributes(labels []string) metric.MeasurementOption {
	kvs := make([]attribute.KeyValue, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		kvs = append(kvs, attribute.String(labels[i], labels[i+1]))
	}
	return metric.WithAttributes(kvs...)
}

// RecordRequest counts one request that ended, with its time.
func (me *Metrics) RecordRequest(class string, why reason.Reason, took time.Duration) {
	if me == nil {
		return
	}
	if why == reason.None {
		me.Add(Answers, 1, "class", class)
	} else {
		me.Add(Refusals, 1, "reason", string(why), "class", class)
	}
	me.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("class", class)))
}

// RecordRetry counts one request sent to another runner.
func (me *Metrics) RecordRetry(why reason.Reason) {
	me.Add(Retries, 1, "reason", string(why))
}
