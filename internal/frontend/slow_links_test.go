package frontend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/watch"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Sizes of messages in bytes, headers included: of a request or an answer without a body,
// a row of the store, and an attempt in the answer to a poll.
const (
	sizeRequest = 350
	sizeRow     = 250
	sizeTask    = 60
)

// linkDirection is one direction of a host's link. Messages are transferred one after the
// other, even those whose sender has stopped waiting.
type linkDirection struct {
	// slot holds one element while a message is transferred.
	slot chan struct{}

	mu sync.Mutex
	// rate is in bytes per second.
	rate int
}

func newLinkDirection(rate int) *linkDirection {
	return &linkDirection{slot: make(chan struct{}, 1), rate: rate}
}

// rateUpdatesPerSecond is how often a transfer reads the current rate.
const rateUpdatesPerSecond = 20

// transfer returns once n bytes have been transferred.
func (ld *linkDirection) transfer(n int) {
	ld.slot <- struct{}{}
	defer func() { <-ld.slot }()
	for n > 0 {
		rate := ld.currentRate()
		part := min(n, rate/rateUpdatesPerSecond+1)
		time.Sleep(time.Duration(part) * time.Second / time.Duration(rate))
		n -= part
	}
}

func (ld *linkDirection) currentRate() int {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.rate
}

func (ld *linkDirection) setRate(rate int) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.rate = rate
}

// clusterHost is an entry host, with front end and owner, behind a link of limited rate.
type clusterHost struct {
	cluster *testCluster
	name    string
	// out and in are the directions of its link.
	out, in *linkDirection
	// frontEnd is the front end of the current process.
	frontEnd     atomic.Pointer[FrontEnd]
	owner        atomic.Pointer[sched.Owner]
	end          context.CancelFunc
	incarnations int
	// submitDelay is how long the host takes to handle a submission from another host.
	submitDelay time.Duration
}

// testCluster is a deployment of hosts with a store and workers.
type testCluster struct {
	table   standin.Table
	fleet   standin.Fleet
	workers []sched.WorkerEntry
	hosts   []*clusterHost
	log     *slog.Logger

	mu    sync.Mutex
	specs map[string]job.Spec
}

// overLink makes a call over the host's link. The call takes effect even if its caller
// has stopped waiting.
func overLink[T any](ctx context.Context, ho *clusterHost, out int, call func(context.Context) (T, error), in func(T) int) (T, error) {
	type outcome struct {
		val T
		err error
	}
	ch := make(chan outcome, 1)
	go func() {
		ho.out.transfer(out)
		val, err := call(context.WithoutCancel(ctx))
		ho.in.transfer(in(val))
		ch <- outcome{val, err}
	}()
	select {
	case oc := <-ch:
		return oc.val, oc.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// table returns a client of the store over the link.
func (ho *clusterHost) table() store.Table {
	cl := ho.cluster.table.Client()
	return store.Table{
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			return overLink(ctx, ho, sizeRequest, func(ctx context.Context) (store.ReadReply, error) { return cl.ReadFunc(ctx, req) },
				func(re store.ReadReply) int { return sizeRequest + rowBytes(re.Rows) })
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			size := sizeRequest
			for _, pu := range txn.Puts {
				size += sizeRow + len(pu.Value)*4/3
			}
			return overLink(ctx, ho, size, func(ctx context.Context) (store.CommitReply, error) { return cl.CommitFunc(ctx, txn) },
				func(store.CommitReply) int { return sizeRequest })
		},
		FeedFunc: func(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
			return overLink(ctx, ho, sizeRequest, func(ctx context.Context) (store.FeedReply, error) { return cl.FeedFunc(ctx, req) },
				func(re store.FeedReply) int {
					size := sizeRequest
					for _, row := range re.Rows {
						size += sizeRow + len(row.Value)*4/3
					}
					return size
				})
		},
	}
}

// rowBytes returns the size of rows in an answer; values are sent as base64.
func rowBytes(rows []store.Row) int {
	size := 0
	for _, row := range rows {
		size += sizeRow + len(row.Value)*4/3
	}
	return size
}

// agent returns a client of the workers over the link.
func (ho *clusterHost) agent() worker.Agent {
	ag := deferral.Wrap(ho.cluster.fleet.Agent())
	ack := func(worker.Ack) int { return sizeRequest }
	return worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			return overLink(ctx, ho, sizeRequest+len(la.Payload), func(ctx context.Context) (worker.Ack, error) { return ag.LaunchFunc(ctx, ad, la) }, ack)
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			return overLink(ctx, ho, sizeRequest, func(ctx context.Context) (worker.Ack, error) { return ag.HaltFunc(ctx, ad, ha) }, ack)
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			return overLink(ctx, ho, sizeRequest, func(ctx context.Context) (worker.Ack, error) { return ag.PaceFunc(ctx, ad, pa) }, ack)
		},
		PollFunc: func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			return overLink(ctx, ho, sizeRequest, func(ctx context.Context) (worker.PollResult, error) { return ag.PollFunc(ctx, ad, po) },
				func(res worker.PollResult) int { return sizeRequest + sizeTask*(len(res.Running)+len(res.Ended)) })
		},
	}
}

// RoundTrip implements http.RoundTripper for requests to other entry hosts.
func (ho *clusterHost) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	var other *clusterHost
	for _, each := range ho.cluster.hosts {
		if each.name == req.URL.Host {
			other = each
		}
	}
	return overLink(req.Context(), ho, sizeRequest+len(body), func(ctx context.Context) (*http.Response, error) {
		other.in.transfer(sizeRequest + len(body))
		if req.URL.Path == pathSubmit {
			time.Sleep(other.submitDelay)
		}
		rec := httptest.NewRecorder()
		other.frontEnd.Load().Handler().ServeHTTP(rec, httptest.NewRequest(req.Method, req.URL.Path, bytes.NewReader(body)).WithContext(ctx))
		other.out.transfer(sizeRequest + rec.Body.Len())
		return rec.Result(), nil
	}, func(*http.Response) int { return sizeRequest })
}

// start starts a new process of the host.
func (ho *clusterHost) start() {
	ho.incarnations++
	ctx, end := context.WithCancel(context.Background())
	ho.end = end
	ho.owner.Store(nil)
	ke := &tenure.Keeper{
		Cell: "c0", Self: ho.name, Process: fmt.Sprint(ho.name, "-", ho.incarnations), Addr: ho.name, Table: ho.table(), Serve: ho.serve, Log: ho.cluster.log,
	}
	fe := &FrontEnd{
		Cell: "c0", Table: ho.table(), Keeper: ke, Peers: &http.Client{Transport: ho}, Local: ho.owner.Load,
		ConfigFunc: func() *queue.Config { return nil }, Log: ho.cluster.log,
	}
	ke.AskFunc = fe.ProbeHost
	ho.frontEnd.Store(fe)
	go ke.Run(ctx)
}

// serve runs the owner of the cell during a tenure.
func (ho *clusterHost) serve(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	ow := sched.New(&sched.Owner{
		Cell: "c0", Tenure: te, Table: ho.table(), Agent: ho.agent(), Log: ho.cluster.log,
		Limits: sched.Limits{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, HarmAfter: 4 * time.Second, KeepEnded: 5 * time.Minute},
	})
	defer ho.owner.Store(nil)
	err := ow.Run(ctx, func() {
		ho.owner.Store(ow)
		ow.SetWorkers(ho.cluster.workers, nil, true)
		in := watch.Watch{Table: ho.table(), TableName: sched.IntakeTable, Prefix: sched.IntakePrefix("c0"), Log: ho.cluster.log, OnRows: func(rows []store.FeedRow, _ bool) { ow.Import(rows) }}
		go in.Run(ctx)
	})
	return ow.Handover(), err
}

// newTestCluster returns a cluster whose hosts have links of the given rate.
func newTestCluster(hosts, workers, rate int) *testCluster {
	cl := &testCluster{log: slog.New(slog.DiscardHandler), specs: map[string]job.Spec{}}
	cl.fleet.ResourcesFunc = func(at worker.Attempt) worker.Resources {
		id, ref, _ := job.ParseTaskID(at.Task)
		return cl.spec(id).Steps[ref.Step].Reserved()
	}
	for i := range workers {
		fw := &standin.FleetWorker{
			Addr:     worker.Addr{HostPort: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: worker.Incarnation{ID: fmt.Sprint("i-", i)}},
			Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000},
		}
		cl.fleet.Add(fw)
		cl.workers = append(cl.workers, sched.WorkerEntry{Addr: fw.Addr, Service: "routedesk", Rack: "r1", Labels: []string{"a", "r1"}, Capacity: fw.Capacity})
	}
	for i := range hosts {
		ho := &clusterHost{cluster: cl, name: fmt.Sprint("e", i), out: newLinkDirection(rate), in: newLinkDirection(rate)}
		cl.hosts = append(cl.hosts, ho)
		ho.start()
	}
	return cl
}

func (cl *testCluster) spec(id string) job.Spec {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.specs[id]
}

// submit submits a job at a host.
func (cl *testCluster) submit(ho *clusterHost, id string, tasks int) sched.Outcome {
	return cl.submitOnce(ho, id, tasks).Outcome
}

func (cl *testCluster) submitOnce(ho *clusterHost, id string, tasks int) sched.Verdict {
	sp := job.Spec{Payload: strings.Repeat("x", 900), Steps: []job.Step{{Tasks: tasks, Each: worker.Resources{MilliCores: 1000, MemMB: 1000}, EstimateMS: 700}}}
	cl.mu.Lock()
	cl.specs[id] = sp
	cl.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return ho.frontEnd.Load().Submit(ctx, id, job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 3}, sp)
}

// Rates of links in bytes per second. The load of the test needs twice maxNarrowRate and
// 20 times minNarrowRate, at which not even polls of all workers fit; wideRate is far more.
const (
	minNarrowRate = 6_000
	maxNarrowRate = 60_000
	wideRate      = 100_000_000
)

// TestSaturatedLinks runs jobs while the links of all hosts are saturated and hosts are
// killed and restarted. No task may run twice, no task of a refused job may run, and no
// accepted job may be lost once the links have capacity again.
func TestSaturatedLinks(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: narrowLinkScenarios}, func(rt *rapid.T) {
		rate := rapid.IntRange(minNarrowRate, maxNarrowRate).Draw(rt, "rate")
		tasks := rapid.SliceOfN(rapid.IntRange(1, 40), 8, 24).Draw(rt, "tasks")
		killed := rapid.SliceOfN(rapid.IntRange(-3, 2), 6, 6).Draw(rt, "killed")
		proptest.InBubble(t, func() { runScenario(rt, rate, tasks, killed) })
	})
}

// narrowLinkScenarios is the number of generated scenarios; PEPPERHATCH_SEED selects others.
const narrowLinkScenarios = 25

// runScenario runs one scenario: the numbers of tasks of the jobs, and which host is killed
// next, where a negative number means none.
func runScenario(rt *rapid.T, rate int, tasks, killed []int) {
	cl := newTestCluster(3, 12, wideRate)
	defer cl.stop()
	time.Sleep(3 * time.Second)
	cl.setRate(rate)
	outcomes := make([]sched.Outcome, len(tasks))
	var wg sync.WaitGroup
	for i, n := range tasks {
		wg.Go(func() { outcomes[i] = cl.submit(cl.hosts[i%len(cl.hosts)], jobID(i), n) })
		time.Sleep(300 * time.Millisecond)
	}
	for _, which := range killed {
		if which >= 0 {
			cl.hosts[which].end()
			time.Sleep(time.Second)
			cl.hosts[which].start()
		}
		time.Sleep(4 * time.Second)
	}
	wg.Wait()
	cl.setRate(wideRate)
	time.Sleep(60 * time.Second)
	for i, outcome := range outcomes {
		cl.check(rt, jobID(i), outcome)
	}
	for _, problem := range standin.RunViolations(cl.fleet.Runs()) {
		rt.Error(problem)
	}
}

func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// check reports a job whose state contradicts the outcome of its submission.
func (cl *testCluster) check(rt *rapid.T, id string, outcome sched.Outcome) {
	state, known, err := cl.hosts[0].frontEnd.Load().State(context.Background(), id)
	switch {
	case err != nil:
		rt.Errorf("state of %s: %v", id, err)
	case outcome == sched.Accepted && state != job.Succeeded:
		rt.Errorf("job %s was accepted and is %q", id, state)
	case outcome == sched.Refused && known:
		rt.Errorf("job %s was refused and is %q", id, state)
	}
}

func (cl *testCluster) setRate(rate int) {
	for _, ho := range cl.hosts {
		ho.out.setRate(rate)
		ho.in.setRate(rate)
	}
}

// stop ends all processes and waits for calls in progress to end.
func (cl *testCluster) stop() {
	for _, ho := range cl.hosts {
		ho.end()
	}
	time.Sleep(30 * time.Second)
}
