package dev

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/load"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// seen is what was seen of sessions.
type seen struct {
	mu     sync.Mutex
	events int
	broken []string
}

// watch follows one session and checks each event.
func (wo *world) watch(ctx context.Context, se *seen, topic string) {
	var last uint64
	err := wo.client().Watch(ctx, &pb.WatchRequest{Service: service, Topic: topic}, func(ev *pb.WatchResponse) error {
		se.mu.Lock()
		defer se.mu.Unlock()
		se.events++
		if ev.GetSeq() != last+1 || !bytes.Equal(ev.GetBody(), standin.SessionBody(topic, ev.GetSeq())) {
			se.broken = append(se.broken, fmt.Sprintf("session %s: event %d %q after %d", topic, ev.GetSeq(), ev.GetBody(), last))
		}
		last = ev.GetSeq()
		return nil
	})
	if ctx.Err() == nil {
		se.mu.Lock()
		defer se.mu.Unlock()
		se.broken = append(se.broken, fmt.Sprintf("session %s ended: %v", topic, err))
	}
}

// operate does what operators do: a service, a job every few seconds, a drain.
func (wo *world) operate(ctx context.Context) {
	each := &pb.Resources{MilliCores: 4000, MemMb: 8000}
	wo.confirmed(ctx, &pb.Intent{Cell: dcs[0], What: &pb.Intent_AddJob{AddJob: &pb.AddJob{Spec: &pb.JobSpec{
		Name: service, Class: pb.Class_CLASS_LATENCY_CRITICAL, Tasks: 4, Each: each, Kind: service,
	}}}})
	for n := 1; ctx.Err() == nil; n++ {
		wo.confirmed(ctx, &pb.Intent{Cell: dcs[n%len(dcs)], What: &pb.Intent_AddJob{AddJob: &pb.AddJob{Spec: &pb.JobSpec{
			Name: fmt.Sprintf("depot-plan-%d", n), Class: pb.Class_CLASS_BATCH, Tasks: 6, Kind: "depot-plan",
			Each: &pb.Resources{MilliCores: 2000, MemMb: 4000}, RunMs: 3000,
		}}}})
		if n == 2 {
			wo.confirmed(ctx, &pb.Intent{Cell: dcs[0], What: &pb.Intent_Drain{Drain: &pb.Drain{Rack: "r1"}}})
		}
		if !clock.Sleep(ctx, 2*time.Second) {
			return
		}
	}
}

// confirmed plans an intent and confirms it.
func (wo *world) confirmed(ctx context.Context, in *pb.Intent) {
	resp, err := wo.admin().Plan(ctx, connect.NewRequest(&pb.PlanRequest{Intent: in}))
	if err == nil {
		_, err = wo.admin().Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{Id: resp.Msg.GetId()}))
	}
	if err != nil && ctx.Err() == nil {
		wo.printf("operator: %v", err)
	}
}

// show prints the state every two seconds.
func (wo *world) show(ctx context.Context) {
	for clock.Sleep(ctx, 2*time.Second) {
		resp, err := wo.admin().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err != nil {
			continue
		}
		for _, ce := range resp.Msg.GetCells() {
			wo.printf("%s: owner %s, journal %d, tasks %v", ce.GetName(), ce.GetOwner(), ce.GetJournal(), ce.GetTasks())
		}
	}
}

// tasks is what became of tasks.
type tasks struct{ started, done, evicted int }

// taskCounts adds up the workers' logs.
func (wo *world) taskCounts() tasks {
	var ta tasks
	for _, st := range wo.workers {
		for _, sp := range st.Log() {
			ta.started++
			switch sp.State {
			case worker.StateDone:
				ta.done++
			case worker.StateStopped:
				ta.evicted++
			}
		}
	}
	return ta
}

// conclude prints the counts, and compares what callers and the cell were
// told with the logs of runners and workers.
func (wo *world) conclude(re load.Report, se *seen, ta tasks) (bool, error) {
	if err := re.WriteText(wo.set.Out); err != nil {
		return false, err
	}
	wo.printf("  sessions %d with %d events", sessions, se.events)
	wo.printf("  tasks started %d, done %d, evicted or moved %d", ta.started, ta.done, ta.evicted)
	broken := se.broken
	if re.Wrong > 0 {
		broken = append(broken, fmt.Sprintf("%d answers were not the request's own", re.Wrong))
	}
	broken = append(broken, wo.runTwice()...)
	broken = append(broken, wo.overlaps()...)
	for _, text := range broken {
		wo.printf("BROKEN: %s", text)
	}
	if len(broken) == 0 {
		wo.printf("no promise was seen broken")
	}
	return len(broken) > 0, nil
}

// runTwice looks for run-once requests that ran twice. They are those whose id
// names a data centre; others may run twice, for instance when hedged.
func (wo *world) runTwice() []string {
	var broken []string
	runs := map[string]int{}
	for _, ru := range wo.runners {
		for _, run := range ru.Log() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if parsed, err := claim.Parse(id); err == nil && parsed.Home != "" && n > 1 {
			broken = append(broken, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	return broken
}

// overlaps looks for tasks that ran in two places at once, and for workers
// given more than they hold.
func (wo *world) overlaps() []string {
	var broken []string
	spans := map[string][]standin.TaskSpan{}
	for i, st := range wo.workers {
		if n := st.Overcommits(); n > 0 {
			broken = append(broken, fmt.Sprintf("worker %d was overfull %d times", i, n))
		}
		for _, sp := range st.Log() {
			spans[sp.Task] = append(spans[sp.Task], sp)
		}
	}
	return append(broken, standin.SpanViolations(spans)...)
}
