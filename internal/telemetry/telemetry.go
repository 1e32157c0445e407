// Package telemetry has the metrics of an entry host, over OpenTelemetry with a
// Prometheus endpoint. All instruments are in one table, from which docs/OPERATIONS.md
// is generated. A nil [Metrics] counts nothing, so that packages can be tested without
// one.
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
	OwnerEvents     Name = "pepperhatch_owner_events"
	WorkersRated    Name = "pepperhatch_workers_rated"
	JobsWritten     Name = "pepperhatch_jobs_written"
	UndecodableRows Name = "pepperhatch_undecodable_rows"
	LoopVisits      Name = "pepperhatch_owner_visits"
	LoopTime        Name = "pepperhatch_owner_loop_microseconds"

	InterruptedTime   Name = "pepperhatch_interrupted_milliseconds"
	InterruptedMissed Name = "pepperhatch_interrupted_missed"

	WorkersCrashed  Name = "pepperhatch_workers_crashed"
	AnsweredByOther Name = "pepperhatch_calls_answered_by_other_incarnation"
	AwaitedOrders   Name = "pepperhatch_awaited_orders"
	SuspectStarts   Name = "pepperhatch_suspect_starts"
	TasksGivenUp    Name = "pepperhatch_tasks_given_up"
	QueuedStarts    Name = "pepperhatch_queued_starts"
	SlowMoves       Name = "pepperhatch_slow_worker_moves"

	CopiesStarted Name = "pepperhatch_copies_started"
	CopyFirstEnds Name = "pepperhatch_copy_first_ends"
	CopiesStopped Name = "pepperhatch_copies_stopped"
	CopyWaste     Name = "pepperhatch_copy_wasted_core_milliseconds"

	AdmissionDecisions Name = "pepperhatch_admission_decisions"

	PortRefusals      Name = "pepperhatch_port_refusals"
	ConnectionsClosed Name = "pepperhatch_connections_closed"
)

// The gauges.
const (
	Workers         Name = "pepperhatch_workers"
	StuckTasks      Name = "pepperhatch_stuck_tasks"
	CellLoadAge     Name = "pepperhatch_cell_load_age_seconds"
	CellCores       Name = "pepperhatch_cell_cores"
	FillerIdleCores Name = "pepperhatch_filler_idle_cores"
	HeadroomCores   Name = "pepperhatch_headroom_cores"
	HeadroomWorkers Name = "pepperhatch_headroom_workers"

	DataCentreCores   Name = "pepperhatch_data_centre_cores"
	DataCentreWorkers Name = "pepperhatch_data_centre_workers"

	SlowWorkers     Name = "pepperhatch_slow_workers"
	ConfigVersion   Name = "pepperhatch_config_version"
	Evacuations     Name = "pepperhatch_evacuated_data_centres"
	EvacuatedTasks  Name = "pepperhatch_evacuated_tasks"
	ConfigConfirmed Name = "pepperhatch_config_confirmed_seconds"
	Connections     Name = "pepperhatch_connections"
	RequestBytes    Name = "pepperhatch_request_bytes"
	AdmissionTurns  Name = "pepperhatch_admission_turns"
)

// The histograms, in seconds.
const (
	RequestDuration Name = "pepperhatch_request_seconds"
	EventWait       Name = "pepperhatch_owner_event_wait_seconds"
	BackgroundDelay Name = "pepperhatch_owner_background_delay_seconds"
	ChangeWait      Name = "pepperhatch_owner_change_wait_seconds"

	VisibleCapacityWait Name = "pepperhatch_visible_capacity_wait_seconds"
	CapacityTransit     Name = "pepperhatch_capacity_transit_seconds"
	AdmissionWait       Name = "pepperhatch_admission_wait_seconds"
	OverTargetTime      Name = "pepperhatch_over_target_seconds"
)

// Entry documents one instrument.
type Entry struct {
	// Name is the instrument's name; the endpoint adds _total to counters.
	Name Name
	// Labels are the names of its labels, separated by commas.
	Labels string
	// Meaning describes what the instrument counts or shows.
	Meaning string
	// Action describes what to do about it.
	Action string
}

// Counters documents the counters.
var Counters = []Entry{
	{Answers, "class", "requests answered", "compare with refusals"},
	{Refusals, "reason, class", "requests that ended unanswered", "see the table of refusal reasons"},
	{Retries, "reason", "requests sent to another runner", "see the table of retry reasons"},
	{Attempts, "", "requests sent to runners, first ones and retries", "over 1.2 per request: look at the retry reasons"},
	{Spills, "to", "requests passed to a peer because no local slot was free", "steady growth: add runners to the data centre"},
	{SessionMoves, "why", "sessions moved to another runner or entry host", "growth without a stop or drain: look at the runners"},
	{TableErrors, "step", "failed calls to the platform's table or host list", "growth: the platform is unavailable or slow"},
	{Takeovers, "", "leases taken over from an unresponsive entry host", "find out why the host was unresponsive"},
	{LeaseExtensions, "", "leases extended on the promises of all peers", "the table is unavailable"},
	{JournalRows, "cell", "batches written to a cell's journal", "over 10 a second: raise --cell-interval"},
	{JobRequests, "kind, outcome, reason", "callers' requests about jobs, by outcome", "refusals: see the reason"},
	{JobVerdicts, "outcome, reason", "submitted jobs, by the decision of the cell's owner", "refusals: see the reason"},
	{AttemptEnds, "end", "attempts of tasks that ended, by the kind of end", "lapsed, lost, crashed, presumed-crash or failed: look for the workers in the log"},
	{CellWrites, "outcome", "writes of a cell's rows", "failed: the store is unavailable or slow; refused: it can't take them, look for \"store refuses a write\" in the log"},
	{Launches, "outcome", "orders to start an attempt, by the worker's answer", "no-answer or unfit: look for the workers in the log"},
	{PollFailures, "outcome", "failed polls of workers", "growth: workers are unavailable"},
	{PlacementRounds, "", "rounds of placement of a cell, each over all its workers", "many a second: the owner is short of processor time, see CAPACITY.md"},
	{Stalls, "", "attempts that were stopped because they made no progress", "look for the workers in the log: \"attempts stand still\""},
	{Evacuated, "why", "long-running tasks that were stopped to continue elsewhere, because their worker drains, has been without an entry for too long (unlisted), or its data centre is evacuated (evacuated)", "unlisted: look for \"emptying a worker without an entry\" in the log"},
	{JobTime, "cause", "time of finished jobs, in milliseconds, by cause", "mostly room or place: too little free capacity; mostly store or order: the store or the owner is slow"},
	{OwnerEvents, "", "events that the owner of a cell handled: answers of workers and of the store, submitted jobs, timers", "compare with `pepperhatch_owner_event_wait_seconds`"},
	{WorkersRated, "", "workers that were rated for tasks of a step in rounds of placement", "many per started attempt: much work waits for room"},
	{JobsWritten, "", "jobs whose changes the owner of a cell wrote, several of them in each write", "compare with `pepperhatch_cell_writes`"},
	{UndecodableRows, "list", "versions of rows that this host could not decode, by the list that they are in", "look for \"row cannot be decoded\" in the log, which names the row and what follows"},
	{LoopVisits, "", "workers, attempts and jobs that the loop of the owner of a cell looked at, other than those that an event concerned", "many per event: the owner's work grows with the size of the cell"},
	{LoopTime, "part", "time of the loop of the owner of a cell, in microseconds, by part of its work: waiting for events (idle), polls, launches, submissions, writes, ticks, background work, placement, encoding of rows, other", "the rate of idle under 200,000 a second: see \"The owner is behind\""},
	{InterruptedTime, "workers", "time that interrupted long-running tasks which may start have waited, in milliseconds, by whether at least two workers, one or none had the capacity by their own account", "a large part with two: the owner starts them late"},
	{InterruptedMissed, "", "simulated checks, 1.5 s apart with each of 15 phases, that were the third in a row to find an interrupted long-running task not running while two workers had the capacity", "growth: look for \"capacity for interrupted tasks\" in the log"},
	{RelaysLost, "", "streams from an owner to other entry hosts that ended", "look for \"relay not used for a while\" in the owner's log"},
	{WorkersCrashed, "attempts", "workers whose process ended without a report, by whether attempts were present at the worker (some) or not (none)", "some: look for \"task given up\" and \"trying a task under which workers ended\" in the log"},
	{AnsweredByOther, "call", "calls to a worker (launch, halt, pace, poll) that another incarnation of it answered than the one addressed, and may have carried out", "growth without restarts of workers: look for \"call answered by another incarnation\" in the log"},
	{AwaitedOrders, "outcome", "tasks to be started again while earlier start orders may still be carried out: started on the same worker (same-worker), or free to start on others as the worker does not have the attempts when asked later (absent) or a whole lease has passed since (expired)", "absent, expired: workers leave orders without an answer and then do not answer, or have no room; look for \"start orders may still be carried out\" in the log"},
	{SuspectStarts, "how", "starts of tasks whose workers ended: spread (apart), or isolated (alone), because after one more crash the task is given up", "alone: a task crashes its workers, or workers crash often"},
	{TasksGivenUp, "why", "tasks that are not retried, for as many failures as their queue allows or for crashes of their workers", "crashes: notify the job's owner"},
	{QueuedStarts, "outcome", "interrupted tasks that were placed on the capacity of attempts being stopped: started there, or abandoned to be placed anew", "abandoned: workers stop attempts late or not at all, look for \"halt not done\" in the log"},
	{SlowMoves, "kind", "tasks that were stopped on a slow worker to end sooner elsewhere: fillers (filler) and others that end by themselves (task)", "growth without slow machines: compare with `--without move-off-slow`"},
	{CopiesStarted, "for", "second attempts of late tasks, by what they are expected to do for their job: meet its target (in-time), be of value (of-value), end sooner, or neither (too-late)", "many: workers are slow or silent, look for \"copy of a late task\" in the log"},
	{CopyFirstEnds, "attempt", "tasks that were done while two attempts ran, by the attempt that was first", "mostly original: copies do not pay, switch off the mechanism `copies`"},
	{CopiesStopped, "attempt", "attempts that were stopped because the other one had completed the task", "compare with `pepperhatch_copies_started`"},
	{CopyWaste, "", "core time of attempts of tasks that another attempt had completed, in milliseconds", "much beside the cores in use: switch off the mechanism `copies`"},
	{AdmissionDecisions, "outcome, why", "decisions on submitted jobs by the capacity that there is for them: admitted because they have no limit (no-limit), the capacity is not known yet (unknown), some is free (free), the forecast is in time (in-time), their caller came in its turn (turn) or large jobs were refused too often (size); refused as too late (too-late) or before their turn (early)", "refused: more demand than capacity, look for \"decision on capacity\" in the log"},
	{PortRefusals, "port, reason", "requests that were refused by a limit of the port, before their body was read unless it has no announced length: too many connections (connections) or requests (in-flight), no memory (bytes), or too large (too-large)", "see \"Clients that don't behave\""},
	{ConnectionsClosed, "port, reason", "connections that were closed for others: their request had stopped arriving (stopped) or arrived slowly (slow), or they had none (idle)", "stopped or slow: see \"Clients that don't behave\"; idle alone: many callers"},
	{TaskEvents, "event", "tasks started, done, failed, evicted, throttled", "evictions: see place.eviction-budget"},
}

// Gauges documents the gauges.
var Gauges = []Entry{
	{Workers, "state", "workers of the cell on its owner, 0 elsewhere: answering, unresponsive (silent), or not reached yet by this owner (unsettled)", "silent or unsettled for more than a second: see \"Workers get no orders\""},
	{StuckTasks, "kind, why", "tasks of the owner's cell that have waited for 5 s, or are assumed to run without a report of their worker for as long, by cause", "see \"Tasks are stuck\""},
	{CellLoadAge, "", "time, in seconds, for which this host has owned the cell without having read its jobs, 0 otherwise", "over 5: the store doesn't answer this host's reads; the owner leaves the cell to another host when it has read nothing for 16 s although the store confirms its tenure, look for \"cell still not loaded\" in the log"},
	{CellCores, "part", "cores of the workers that get tasks from the cell's owner: their capacity, and what tasks reserve", "stuck tasks although cores are not reserved: look at the label why"},
	{FillerIdleCores, "obstacle", "cores that no task is expected to use while fillers wait, by the least obstacle that each worker has for any waiting image: none (a filler is about to start), a service over its target for long (held), a service too close to its target (target), too little idle (little), memory", "mostly target: fillers of these images disturb the services that are left; mostly little: services and fillers use what there is"},
	{HeadroomCores, "part", "cores of short work, which reserves processors and ends by itself: its mean demand, the need with a margin for its variance, and what the workers that get no new long-running task have for it (covered)", "covered below need while long-running tasks wait: it takes until some of them end, or short work needs over half of the capacity"},
	{HeadroomWorkers, "", "workers that get no new long-running task, as their capacity is kept for short work", "long-running tasks wait for it: look for \"headroom for short work\" in the log"},
	{DataCentreCores, "data_centre, service, part", "cores of the workers in the list, by data centre and service: total, of workers that accept new tasks (usable), reserved by long-running tasks, reserved by tasks that end by themselves (finite), and of usable workers what no task is expected to use (idle)", "usable far below total: look at the workers there; finite low in one data centre and high in another: demand has moved"},
	{DataCentreWorkers, "data_centre, service, state", "workers in the list (listed), and those of them that accept new tasks (available), by data centre and service", "none available in a data centre: see \"A data centre is cut off\""},
	{SlowWorkers, "", "workers of the owner's cell that count as slow, 0 elsewhere", "look for \"worker counts as slow\" in the log; the same workers for minutes: look at their machines"},
	{Connections, "port, state", "open connections when the metrics were read: without a request (idle), with a part of one (receiving), or with a request that is served (serving)", "many receiving: see \"Clients that don't behave\""},
	{RequestBytes, "share", "bytes reserved for requests with a body when the metrics were read: callers' small ones only (small) and all of callers (general), and for other hosts (peers)", "near an eighth of the memory that is left beside 32 MB: see \"Clients that don't behave\""},
	{AdmissionTurns, "", "turns that the cell's owner keeps for the callers of refused jobs", "1,024 is the limit: callers beyond it are asked to return after 10 s and have no turn"},
	{ConfigVersion, "", "version of the configuration in force at this host", "differs between hosts for over 2 s: see \"A change is not in force\""},
	{Evacuations, "", "data centres whose evacuation is in force at this host", "differs between hosts for over 5 s: see \"Evacuating a data centre\""},
	{EvacuatedTasks, "data_centre, kind", "tasks that run, or may run, on workers of an evacuated data centre, on the owner of the cell: long-running ones, which move while there is capacity elsewhere, and others, which end there", "long-running ones that stay: see \"Evacuating a data centre\""},
	{ConfigConfirmed, "", "Unix time, in seconds, of the last call by which the store confirmed that the configuration is current", "over 3 s ago: see \"A change is not in force\""},
}

// Histograms documents the histograms.
var Histograms = []Entry{
	{RequestDuration, "class", "histogram of the time from arrival to answer or refusal", "the p99 of latency-critical is what callers feel"},
	{EventWait, "", "histogram of the longest time that an event waited for the owner of a cell, of each 0.1 s", "over 0.025: see \"The owner is behind\""},
	{ChangeWait, "", "histogram of the longest time that the change of a job waited until it was written, of each 0.1 s", "over 0.1: see \"The owner is behind\""},
	{BackgroundDelay, "work", "histogram of how late the owner of a cell ran its background work: reports, learning, and improvements of what already runs, which give way while events wait", "over 1: the owner is short of processor time, see \"The owner is behind\""},
	{VisibleCapacityWait, "workers", "histogram of the longest time that an interrupted long-running task waited while at least one or two workers had the capacity for it by their own account, from when it may start until its worker confirms the start", "over 1 for two: look for \"capacity for interrupted tasks\" in the log"},
	{CapacityTransit, "", "histogram of the time from when a worker had the capacity for an interrupted long-running task until it started the task, by the worker's clock; where no poll was waiting for the end that freed the capacity, half of the time without a poll", "times the starts a second this is the capacity that users see unused at any time: over 0.05, compare `transit` and `unpolled` in \"capacity for interrupted tasks\""},
	{OverTargetTime, "outcome", "histogram of the longest time for which a service may have exceeded its latency target beside running fillers: from when it was last known to be below until its fillers were held (held) or it was known to be below again (below)", "held close to the bound, harm_ms: look for \"fillers held\" in the log"},
	{AdmissionWait, "", "histogram of the forecast time until the work ahead of a submitted job has drained", "compare with the time limits of the queues"},
}

// Metrics has the instruments. Create it with [New]; nil counts nothing.
type Metrics struct {
	counters   map[Name]metric.Int64Counter
	gauges     map[Name]metric.Int64Gauge
	histograms map[Name]metric.Float64Histogram
}

// New returns metrics and the handler of their endpoint.
func New() (*Metrics, http.Handler, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, nil, fmt.Errorf("metrics exporter: %w", err)
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exp)).Meter("pepperhatch")
	me := &Metrics{counters: map[Name]metric.Int64Counter{}, gauges: map[Name]metric.Int64Gauge{}, histograms: map[Name]metric.Float64Histogram{}}
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
	for _, en := range Histograms {
		me.histograms[en.Name], err = meter.Float64Histogram(string(en.Name), metric.WithDescription(en.Meaning),
			metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 3, 4, 5, 10))
		if err != nil {
			return nil, nil, fmt.Errorf("histogram %s: %w", en.Name, err)
		}
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

// Set sets a gauge, which keeps its value until the next call; labels are pairs of name
// and value.
func (me *Metrics) Set(name Name, n int64, labels ...string) {
	if me == nil {
		return
	}
	me.gauges[name].Record(context.Background(), n, attributes(labels))
}

// Observe adds a time to a histogram; labels are pairs of name and value.
func (me *Metrics) Observe(name Name, took time.Duration, labels ...string) {
	if me == nil {
		return
	}
	me.histograms[name].Record(context.Background(), took.Seconds(), attributes(labels))
}

// attributes returns the attributes for pairs of name and value.
func attributes(labels []string) metric.MeasurementOption {
	kvs := make([]attribute.KeyValue, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		kvs = append(kvs, attribute.String(labels[i], labels[i+1]))
	}
	return metric.WithAttributes(kvs...)
}

// RecordRequest counts one request that ended, and records its time. The reason is
// [reason.None] for an answered request.
func (me *Metrics) RecordRequest(class string, why reason.Reason, took time.Duration) {
	if me == nil {
		return
	}
	if why == reason.None {
		me.Add(Answers, 1, "class", class)
	} else {
		me.Add(Refusals, 1, "reason", string(why), "class", class)
	}
	me.Observe(RequestDuration, took, "class", class)
}

// RecordRetry counts one request sent to another runner.
func (me *Metrics) RecordRetry(why reason.Reason) {
	me.Add(Retries, 1, "reason", string(why))
}
