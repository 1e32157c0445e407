// Package load sends requests at a steady rate and says how they fared. The
// arrivals are open: a request is sent when its time has come, however many
// are still under way, and its time counts from when it was due, so that a
// slow system cannot hide by slowing the load.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// Settings describe a load.
type Settings struct {
	// Rate is requests a second, For how long they are sent.
	Rate     float64
	Duration time.Duration
	// Service and Method are what is asked for.
	Service string
	Method  string
	// Batch and Once are the parts of requests that are batch, and marked
	// run-once.
	BatchFraction   float64
	RunOnceFraction float64
	// Deadline is each request's; zero leaves it to the system.
	Deadline time.Duration
	// BodyBytes is the size of each request.
	BodyBytes int
	// Home is the data centre that vouches for run-once ids; may be empty.
	Home string
	// Check compares answers with those of the stand-in runners.
	Check bool
	// Progress gets a line a second; nil gets none.
	Progress io.Writer
}

// Report says how a load fared.
type Report struct {
	// Sent counts requests, Seconds is how long they were sent.
	Sent    int64   `json:"sent"`
	Seconds float64 `json:"seconds"`
	// Outcomes and Reasons count requests.
	Outcomes map[string]int64 `json:"outcomes"`
	Reasons  map[string]int64 `json:"reasons"`
	// Wrong counts answers that were not the request's own.
	Wrong int64 `json:"wrong"`
	// Attempts is the mean number of runners sent an answered request.
	Attempts float64 `json:"attempts"`
	// Classes has the times of answered requests by class.
	Classes map[string]Times `json:"classes"`
}

// Times are percentiles in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Names of outcomes in a report.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
)

const (
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

// gather adds up results.
type gather struct {
	mu       sync.Mutex
	report   Report
	attempts int64
	hists    map[string]*hdrhistogram.Histogram
}

// Run sends the load and waits for the last answer.
func Run(ctx context.Context, cl *caller.Client, set Settings) Report {
	ga := &gather{
		report: Report{Outcomes: map[string]int64{}, Reasons: map[string]int64{}, Classes: map[string]Times{}},
		hists:  map[string]*hdrhistogram.Histogram{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if set.Progress != nil {
		go ga.progress(ctx, set.Progress)
	}
	begun := time.Now()
	var wg sync.WaitGroup
	for due := begun; due.Sub(begun) < set.Duration; {
		if d := time.Until(due); d > 0 && !clock.Sleep(ctx, d) {
			break
		}
		req, when := newRequest(set), due
		wg.Go(func() { ga.one(ctx, cl, set, req, when) })
		due = due.Add(time.Duration(rand.ExpFloat64() / set.Rate * float64(time.Second)))
	}
	sending := time.Since(begun)
	wg.Wait()
	return ga.final(sending)
}

func newRequest(set Settings) *pb.CallRequest {
	req := &pb.CallRequest{
		Id: claim.NewID(""), Service: set.Service, Method: set.Method,
		Class: pb.Class_CLASS_LATENCY_CRITICAL, DeadlineMs: uint32(set.Deadline.Milliseconds()),
		Body: make([]byte, set.BodyBytes),
	}
	for i := range req.GetBody() {
		req.Body[i] = byte('a' + rand.IntN(26))
	}
	if rand.Float64() < set.BatchFraction {
		req.Class = pb.Class_CLASS_BATCH
	}
	if rand.Float64() < set.RunOnceFraction {
		req.RunOnce = true
		req.Id = claim.NewID(set.Home)
	}
	return req
}

func (ga *gather) one(ctx context.Context, cl *caller.Client, set Settings, req *pb.CallRequest, due time.Time) {
	resp, err := cl.Call(ctx, req)
	took := time.Since(due)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.report.Sent++
	if err != nil {
		fa := caller.FailureOf(err)
		ga.report.Reasons[fa.GetReason()]++
		if fa.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
			ga.report.Outcomes[NotRun]++
		} else {
			ga.report.Outcomes[Unknown]++
		}
		return
	}
	ga.report.Outcomes[Answered]++
	ga.attempts += int64(resp.GetAttempts())
	if set.Check && string(resp.GetBody()) != string(standin.Answer(req.GetId(), req.GetBody())) {
		ga.report.Wrong++
	}
	name := "latency-critical"
	if req.GetClass() == pb.Class_CLASS_BATCH {
		name = "batch"
	}
	if ga.hists[name] == nil {
		ga.hists[name] = hdrhistogram.New(1, histMax, histDigits)
	}
	_ = ga.hists[name].RecordValue(min(histMax, took.Microseconds()))
}

func (ga *gather) progress(ctx context.Context, w io.Writer) {
	for begun := time.Now(); clock.Sleep(ctx, time.Second); {
		ga.mu.Lock()
		_, _ = fmt.Fprintf(w, "%4.0fs sent %d answered %d not run %d unknown %d\n", time.Since(begun).Seconds(),
			ga.report.Sent, ga.report.Outcomes[Answered], ga.report.Outcomes[NotRun], ga.report.Outcomes[Unknown])
		ga.mu.Unlock()
	}
}

func (ga *gather) final(sending time.Duration) Report {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	re := ga.report
	re.Seconds = sending.Seconds()
	if n := re.Outcomes[Answered]; n > 0 {
		re.Attempts = float64(ga.attempts) / float64(n)
	}
	for name, hist := range ga.hists {
		at := func(q float64) float64 { return float64(hist.ValueAtQuantile(q)) / 1000 }
		re.Classes[name] = Times{Count: hist.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: at(100)}
	}
	return re
}

// WriteJSON writes the report as JSON.
func (re Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(re)
}

// WriteText writes the report for people.
func (re Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d in %.1f s; attempts per answer %.3f; wrong answers %d\n", re.Sent, re.Seconds, re.Attempts, re.Wrong)
	for _, name := range []string{Answered, NotRun, Unknown} {
		_, _ = fmt.Fprintf(w, "  %-10s %8d\n", name, re.Outcomes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(re.Reasons)) {
		_, _ = fmt.Fprintf(w, "  because of %-22s %8d\n", name, re.Reasons[name])
	}
	for _, name := range slices.Sorted(maps.Keys(re.Classes)) {
		ti := re.Classes[name]
		_, _ = fmt.Fprintf(w, "  %-17s %8d  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms  max %.1f ms\n",
			name, ti.Count, ti.P50, ti.P99, ti.P999, ti.Max)
	}
	return err
}
