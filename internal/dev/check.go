package dev

import (
	"bytes"
	"context"
	"fmt"
	"slices"
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

// sessionStats counts the events of all sessions and holds the violations found.
type sessionStats struct {
	mu         sync.Mutex
	events     int
	violations []string
}

// watchSession follows one session and checks each event.
func (de *deployment) watchSession(ctx context.Context, se *sessionStats, topic string) {
	var last uint64
	err := de.client().Watch(ctx, &pb.WatchRequest{Service: service, Topic: topic}, func(ev *pb.WatchResponse) error {
		se.mu.Lock()
		defer se.mu.Unlock()
		se.events++
		if ev.GetSeq() != last+1 || !bytes.Equal(ev.GetBody(), standin.SessionBody(topic, ev.GetSeq())) {
			se.violations = append(se.violations, fmt.Sprintf("session %s: event %d %q after %d", topic, ev.GetSeq(), ev.GetBody(), last))
		}
		last = ev.GetSeq()
		return nil
	})
	if ctx.Err() == nil {
		se.mu.Lock()
		defer se.mu.Unlock()
		se.violations = append(se.violations, fmt.Sprintf("session %s ended: %v", topic, err))
	}
}

// runOperator does what operators do: it adds a service, adds a job every few seconds,
// and drains a rack once.
func (de *deployment) runOperator(ctx context.Context) {
	each := &pb.Resources{MilliCores: 4000, MemMb: 8000}
	de.planAndConfirm(ctx, &pb.Intent{Cell: dataCentres[0], What: &pb.Intent_AddJob{AddJob: &pb.AddJob{Spec: &pb.JobSpec{
		Name: service, Class: pb.Class_CLASS_LATENCY_CRITICAL, Tasks: 4, Each: each, Kind: service,
	}}}})
	for n := 1; ctx.Err() == nil; n++ {
		de.planAndConfirm(ctx, &pb.Intent{Cell: dataCentres[n%len(dataCentres)], What: &pb.Intent_AddJob{AddJob: &pb.AddJob{Spec: &pb.JobSpec{
			Name: fmt.Sprintf("depot-plan-%d", n), Class: pb.Class_CLASS_BATCH, Tasks: 6, Kind: "depot-plan",
			Each: &pb.Resources{MilliCores: 2000, MemMb: 4000}, RunMs: 3000,
		}}}})
		if n == 2 {
			de.planAndConfirm(ctx, &pb.Intent{Cell: dataCentres[0], What: &pb.Intent_Drain{Drain: &pb.Drain{Rack: "r1"}}})
		}
		if !clock.Sleep(ctx, 2*time.Second) {
			return
		}
	}
}

// planAndConfirm plans an intent and confirms the plan.
func (de *deployment) planAndConfirm(ctx context.Context, in *pb.Intent) {
	resp, err := de.admin().Plan(ctx, connect.NewRequest(&pb.PlanRequest{Intent: in}))
	if err == nil {
		_, err = de.admin().Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{Id: resp.Msg.GetId()}))
	}
	if err != nil && ctx.Err() == nil {
		de.printf("operator: %v", err)
	}
}

// printStatus prints the state of the cells every two seconds.
func (de *deployment) printStatus(ctx context.Context) {
	for clock.Sleep(ctx, 2*time.Second) {
		resp, err := de.admin().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err != nil {
			continue
		}
		for _, ce := range resp.Msg.GetCells() {
			de.printf("%s: owner %s, journal %d, tasks %v", ce.GetName(), ce.GetOwner(), ce.GetJournal(), ce.GetTasks())
		}
	}
}

// taskStats counts task attempts at the workers.
type taskStats struct{ started, done, evicted int }

// taskCounts adds up the workers' logs.
func (de *deployment) taskCounts() taskStats {
	var ta taskStats
	for _, st := range de.workers {
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

// reportResults prints the counts, compares the answers that callers received with the
// logs of runners and workers, prints the violations found, those of jobs included, and
// reports whether there are any.
func (de *deployment) reportResults(re load.Report, se *sessionStats, ta taskStats, jobViolations []string) (bool, error) {
	if err := re.WriteText(de.set.Out); err != nil {
		return false, err
	}
	de.printf("  sessions %d with %d events", sessionCount, se.events)
	de.printf("  tasks started %d, done %d, evicted or moved %d", ta.started, ta.done, ta.evicted)
	violations := slices.Concat(se.violations, jobViolations)
	if re.Wrong > 0 {
		violations = append(violations, fmt.Sprintf("%d answers were not the request's own", re.Wrong))
	}
	violations = append(violations, de.duplicateRuns()...)
	violations = append(violations, de.placementViolations()...)
	for _, text := range violations {
		de.printf("BROKEN: %s", text)
	}
	if len(violations) == 0 {
		de.printf("no violated guarantee was found")
	}
	return len(violations) > 0, nil
}

// duplicateRuns returns the run-once requests that ran more than once. Run-once
// requests are those whose ID names a data centre; others may run twice, for instance
// when hedged.
func (de *deployment) duplicateRuns() []string {
	var violations []string
	runs := map[string]int{}
	for _, ru := range de.runners {
		for _, run := range ru.Log() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if parsed, err := claim.Parse(id); err == nil && parsed.Home != "" && n > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	return violations
}

// placementViolations returns the tasks that ran at two workers at once, and the
// workers that were assigned more than their capacity.
func (de *deployment) placementViolations() []string {
	var violations []string
	spans := map[string][]standin.TaskSpan{}
	for i, st := range de.workers {
		if n := st.Overcommits(); n > 0 {
			violations = append(violations, fmt.Sprintf("worker %d was overcommitted %d times", i, n))
		}
		for _, sp := range st.Log() {
			spans[sp.Task] = append(spans[sp.Task], sp)
		}
	}
	return append(violations, standin.SpanViolations(spans)...)
}
