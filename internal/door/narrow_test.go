package door

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

// Sizes of messages in bytes, headers included.
const (
	sizeRequest = 350
	sizeRow     = 250
	sizeTask    = 60
)

// pipe is one direction of a host's link: what is sent waits for what was sent
// before, and goes on its way whether somebody still waits for it or not.
type pipe struct {
	// turn is held by what passes.
	turn chan struct{}

	mu sync.Mutex
	// rate is in bytes a second.
	rate int
}

func newPipe(rate int) *pipe { return &pipe{turn: make(chan struct{}, 1), rate: rate} }

// slices is how many times a second the rate is looked at anew.
const slices = 20

// pass returns once so many bytes have passed.
func (pi *pipe) pass(n int) {
	pi.turn <- struct{}{}
	defer func() { <-pi.turn }()
	for n > 0 {
		rate := pi.now()
		part := min(n, rate/slices+1)
		time.Sleep(time.Duration(part) * time.Second / time.Duration(rate))
		n -= part
	}
}

func (pi *pipe) now() int {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	return pi.rate
}

func (pi *pipe) set(rate int) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pi.rate = rate
}

// station is an entry host behind a narrow link: owner, door and all.
type station struct {
	to   *plain
	name string
	// out and in are its link.
	out, in *pipe
	// door is that of its process now.
	door  atomic.Pointer[FrontEnd]
	owner atomic.Pointer[sched.Owner]
	end   context.CancelFunc
	lives int
}

// plain is a deployment of such hosts.
type plain struct {
	table    standin.Table
	fleet    standin.Fleet
	listed   []sched.WorkerEntry
	stations []*station
	log      *slog.Logger

	mu    sync.Mutex
	specs map[string]job.Spec
}

// carry makes a call over the host's link. Somebody who no longer waits does not
// keep it from taking effect.
func carry[T any](ctx context.Context, st *station, out int, call func(context.Context) (T, error), in func(T) int) (T, error) {
	type outcome struct {
		val T
		err error
	}
	ch := make(chan outcome, 1)
	go func() {
		st.out.pass(out)
		val, err := call(context.WithoutCancel(ctx))
		st.in.pass(in(val))
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

// table is the store over the link.
func (st *station) table() store.Table {
	cl := st.to.table.Client()
	return store.Table{
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			return carry(ctx, st, sizeRequest, func(ctx context.Context) (store.ReadReply, error) { return cl.ReadFunc(ctx, req) },
				func(re store.ReadReply) int { return sizeRequest + rowBytes(re.Rows) })
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			size := sizeRequest
			for _, pu := range txn.Puts {
				size += sizeRow + len(pu.Value)*4/3
			}
			return carry(ctx, st, size, func(ctx context.Context) (store.CommitReply, error) { return cl.CommitFunc(ctx, txn) },
				func(store.CommitReply) int { return sizeRequest })
		},
		FeedFunc: func(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
			return carry(ctx, st, sizeRequest, func(ctx context.Context) (store.FeedReply, error) { return cl.FeedFunc(ctx, req) },
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

func rowBytes(rows []store.Row) int {
	size := 0
	for _, row := range rows {
		size += sizeRow + len(row.Value)*4/3
	}
	return size
}

// agent reaches the workers over the link.
func (st *station) agent() worker.Agent {
	ag := st.to.fleet.Agent()
	ack := func(worker.Ack) int { return sizeRequest }
	return worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			return carry(ctx, st, sizeRequest+len(la.Payload), func(ctx context.Context) (worker.Ack, error) { return ag.LaunchFunc(ctx, ad, la) }, ack)
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			return carry(ctx, st, sizeRequest, func(ctx context.Context) (worker.Ack, error) { return ag.HaltFunc(ctx, ad, ha) }, ack)
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			return carry(ctx, st, sizeRequest, func(ctx context.Context) (worker.Ack, error) { return ag.PaceFunc(ctx, ad, pa) }, ack)
		},
		PollFunc: func(ctx context.Context, ad worker.Addr, lo worker.Poll) (worker.PollResult, error) {
			return carry(ctx, st, sizeRequest, func(ctx context.Context) (worker.PollResult, error) { return ag.PollFunc(ctx, ad, lo) },
				func(si worker.PollResult) int { return sizeRequest + sizeTask*(len(si.Running)+len(si.Ended)) })
		},
	}
}

// RoundTrip implements http.RoundTripper: requests between entry hosts.
func (st *station) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	var other *station
	for _, each := range st.to.stations {
		if each.name == req.URL.Host {
			other = each
		}
	}
	return carry(req.Context(), st, sizeRequest+len(body), func(ctx context.Context) (*http.Response, error) {
		other.in.pass(sizeRequest + len(body))
		rec := httptest.NewRecorder()
		other.door.Load().Handler().ServeHTTP(rec, httptest.NewRequest(req.Method, req.URL.Path, bytes.NewReader(body)).WithContext(ctx))
		other.out.pass(sizeRequest + rec.Body.Len())
		return rec.Result(), nil
	}, func(*http.Response) int { return sizeRequest })
}

// start starts a process of the host.
func (st *station) start() {
	st.lives++
	ctx, end := context.WithCancel(context.Background())
	st.end = end
	st.owner.Store(nil)
	ke := &tenure.Keeper{
		Cell: "c0", Self: st.name, Process: fmt.Sprint(st.name, "-", st.lives), Addr: st.name, Table: st.table(), Serve: st.serve, Log: st.to.log,
	}
	do := &FrontEnd{
		Cell: "c0", Table: st.table(), Keeper: ke, Peers: &http.Client{Transport: st}, Local: st.owner.Load,
		ConfigFunc: func() *queue.Config { return nil }, Log: st.to.log,
	}
	ke.AskFunc = do.ProbeHost
	st.door.Store(do)
	go ke.Run(ctx)
}

// serve runs the cell during a tenure.
func (st *station) serve(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	ow := sched.New(&sched.Owner{
		Cell: "c0", Tenure: te, Table: st.table(), Agent: st.agent(), Log: st.to.log,
		Limits: sched.Limits{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, HarmAfter: 4 * time.Second, KeepEnded: 5 * time.Minute},
	})
	defer st.owner.Store(nil)
	err := ow.Run(ctx, func() {
		st.owner.Store(ow)
		ow.SetWorkers(st.to.listed, nil, true)
		in := watch.Watch{Table: st.table(), Name: sched.IntakeTable, Under: sched.IntakePrefix("c0"), Log: st.to.log, OnRows: func(rows []store.FeedRow, _ bool) { ow.Import(rows) }}
		go in.Run(ctx)
	})
	return ow.Handover(), err
}

// newPlain returns hosts with links of a rate, and workers.
func newPlain(hosts, workers, rate int) *plain {
	pl := &plain{log: slog.New(slog.DiscardHandler), specs: map[string]job.Spec{}}
	pl.fleet.RoomFunc = func(at worker.Attempt) worker.Resources {
		id, ref, _ := job.ParseTaskID(at.Task)
		return pl.spec(id).Steps[ref.Step].Reserved()
	}
	for i := range workers {
		fw := &standin.FleetWorker{
			Addr:  worker.Addr{HostPort: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: worker.Incarnation{ID: fmt.Sprint("i-", i)}},
			Holds: worker.Resources{MilliCores: 32_000, MemMB: 128_000},
		}
		pl.fleet.Add(fw)
		pl.listed = append(pl.listed, sched.WorkerEntry{Addr: fw.Addr, Service: "routedesk", Rack: "r1", Labels: []string{"a", "r1"}, Capacity: fw.Holds})
	}
	for i := range hosts {
		st := &station{to: pl, name: fmt.Sprint("e", i), out: newPipe(rate), in: newPipe(rate)}
		pl.stations = append(pl.stations, st)
		st.start()
	}
	return pl
}

func (pl *plain) spec(id string) job.Spec {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.specs[id]
}

// submit hands a job in at a host.
func (pl *plain) submit(st *station, id string, tasks int) sched.Outcome {
	sp := job.Spec{Payload: strings.Repeat("x", 900), Steps: []job.Step{{Tasks: tasks, Each: worker.Resources{MilliCores: 1000, MemMB: 1000}, EstimateMS: 700}}}
	pl.mu.Lock()
	pl.specs[id] = sp
	pl.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return st.door.Load().Submit(ctx, id, job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 3}, sp).Outcome
}

// Rates of links in bytes a second: narrowLeast is a twentieth of what the load of the
// test takes, and less than looks at all workers, narrowMost half of it; wide is far more.
const (
	narrowLeast = 6_000
	narrowMost  = 60_000
	wide        = 100_000_000
)

// TestLinksThatAreTooNarrow plays an owner whose link is full, with hosts that are
// killed and started again, and checks that nothing runs twice, nothing of a refused
// job runs, and no accepted job is lost once links are wide again.
func TestLinksThatAreTooNarrow(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: narrowScripts}, func(rt *rapid.T) {
		rate := rapid.IntRange(narrowLeast, narrowMost).Draw(rt, "rate")
		tasks := rapid.SliceOfN(rapid.IntRange(1, 40), 8, 24).Draw(rt, "tasks")
		killed := rapid.SliceOfN(rapid.IntRange(-3, 2), 6, 6).Draw(rt, "killed")
		proptest.InBubble(t, func() { playNarrow(rt, rate, tasks, killed) })
	})
}

// narrowScripts is the number of scripts; PEPPERHATCH_SEED plays others.
const narrowScripts = 25

func playNarrow(rt *rapid.T, rate int, tasks, killed []int) {
	pl := newPlain(3, 12, wide)
	defer pl.stop()
	time.Sleep(3 * time.Second)
	pl.setRate(rate)
	outcomes := make([]sched.Outcome, len(tasks))
	var wg sync.WaitGroup
	for i, n := range tasks {
		wg.Go(func() { outcomes[i] = pl.submit(pl.stations[i%len(pl.stations)], narrowID(i), n) })
		time.Sleep(300 * time.Millisecond)
	}
	for _, which := range killed {
		if which >= 0 {
			pl.stations[which].end()
			time.Sleep(time.Second)
			pl.stations[which].start()
		}
		time.Sleep(4 * time.Second)
	}
	wg.Wait()
	pl.setRate(wide)
	time.Sleep(60 * time.Second)
	for i, outcome := range outcomes {
		pl.check(rt, narrowID(i), outcome)
	}
	for _, problem := range standin.RunProblems(pl.fleet.Runs()) {
		rt.Error(problem)
	}
}

func narrowID(i int) string { return fmt.Sprintf("%016x", i+1) }

// check checks what became of a job.
func (pl *plain) check(rt *rapid.T, id string, outcome sched.Outcome) {
	state, known, err := pl.stations[0].door.Load().State(context.Background(), id)
	switch {
	case err != nil:
		rt.Errorf("state of %s: %v", id, err)
	case outcome == sched.Accepted && state != job.Succeeded:
		rt.Errorf("job %s was accepted and is %q", id, state)
	case outcome == sched.Refused && known:
		rt.Errorf("job %s was refused and is %q", id, state)
	}
}

func (pl *plain) setRate(rate int) {
	for _, st := range pl.stations {
		st.out.set(rate)
		st.in.set(rate)
	}
}

// stop ends all processes and lets what is under way come to its end.
func (pl *plain) stop() {
	for _, st := range pl.stations {
		st.end()
	}
	time.Sleep(30 * time.Second)
}
