// Package load is an open-loop load generator: requests arrive as a Poisson process
// with a steady rate, however many are still in flight, and latency counts from the
// scheduled time of a request. So a slow system does not reduce the load or hide its
// delays (coordinated omission). The process must have capacity for all requests in
// flight.
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

// Settings describes a load.
type Settings struct {
	// Rate is in requests per second, Duration how long they are sent.
	Rate     float64
	Duration time.Duration
	// Service and Method are those of all requests.
	Service string
	Method  string
	// BatchFraction and RunOnceFraction are the fractions, 0 to 1, of requests of class
	// batch and of run-once requests.
	BatchFraction   float64
	RunOnceFraction float64
	// Deadline is that of each request; with zero the entry hosts choose.
	Deadline time.Duration
	// BodyBytes is the body size of each request.
	BodyBytes int
	// Home is the data centre that tracks run-once IDs; may be empty.
	Home string
	// Check compares answers with the expected ones of stand-in runners.
	Check bool
	// Progress receives a line per second if it is not nil.
	Progress io.Writer
}

// Report is the result of a load.
type Report struct {
	// Sent counts requests, Seconds is for how long they were sent.
	Sent    int64   `json:"sent"`
	Seconds float64 `json:"seconds"`
	// Outcomes counts requests by outcome, Reasons those that failed by reason.
	Outcomes map[string]int64 `json:"outcomes"`
	Reasons  map[string]int64 `json:"reasons"`
	// Wrong counts answers that did not match their request.
	Wrong int64 `json:"wrong"`
	// Attempts is the mean number of runners to which an answered request was sent.
	Attempts float64 `json:"attempts"`
	// Classes holds the latencies of answered requests by class.
	Classes map[string]Latencies `json:"classes"`
}

// Latencies holds latency percentiles in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Keys of [Report.Outcomes].
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
)

// Range and precision, in significant digits, of the latency histograms.
const (
	maxLatencyUS    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// collector accumulates results.
type collector struct {
	mu       sync.Mutex
	report   Report
	attempts int64
	hists    map[string]*hdrhistogram.Histogram
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, cl *caller.Client, set Settings) Report {
	co := &collector{
		report: Report{Outcomes: map[string]int64{}, Reasons: map[string]int64{}, Classes: map[string]Latencies{}},
		hists:  map[string]*hdrhistogram.Histogram{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if set.Progress != nil {
		go co.progress(ctx, set.Progress)
	}
	start := time.Now()
	var wg sync.WaitGroup
	for due := start; due.Sub(start) < set.Duration; {
		if d := time.Until(due); d > 0 && !clock.Sleep(ctx, d) {
			break
		}
		req, when := newRequest(set), due
		wg.Go(func() { co.sendOne(ctx, cl, set, req, when) })
		due = due.Add(time.Duration(rand.ExpFloat64() / set.Rate * float64(time.Second)))
	}
	sendTime := time.Since(start)
	wg.Wait()
	return co.finalReport(sendTime)
}

// newRequest returns a request with a random body and class.
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

// sendOne sends a request and records its result.
func (co *collector) sendOne(ctx context.Context, cl *caller.Client, set Settings, req *pb.CallRequest, due time.Time) {
	resp, err := cl.Call(ctx, req)
	latency := time.Since(due)
	co.mu.Lock()
	defer co.mu.Unlock()
	co.report.Sent++
	if err != nil {
		fa := caller.FailureOf(err)
		co.report.Reasons[fa.GetReason()]++
		if fa.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
			co.report.Outcomes[NotRun]++
		} else {
			co.report.Outcomes[Unknown]++
		}
		return
	}
	co.report.Outcomes[Answered]++
	co.attempts += int64(resp.GetAttempts())
	if set.Check && string(resp.GetBody()) != string(standin.Answer(req.GetId(), req.GetBody())) {
		co.report.Wrong++
	}
	name := "latency-critical"
	if req.GetClass() == pb.Class_CLASS_BATCH {
		name = "batch"
	}
	if co.hists[name] == nil {
		co.hists[name] = hdrhistogram.New(1, maxLatencyUS, histogramDigits)
	}
	_ = co.hists[name].RecordValue(min(maxLatencyUS, latency.Microseconds()))
}

// progress writes the counts every second until ctx ends.
func (co *collector) progress(ctx context.Context, w io.Writer) {
	for start := time.Now(); clock.Sleep(ctx, time.Second); {
		co.mu.Lock()
		_, _ = fmt.Fprintf(w, "%4.0fs sent %d answered %d not run %d unknown %d\n", time.Since(start).Seconds(),
			co.report.Sent, co.report.Outcomes[Answered], co.report.Outcomes[NotRun], co.report.Outcomes[Unknown])
		co.mu.Unlock()
	}
}

// finalReport returns the report with mean attempts and percentiles.
func (co *collector) finalReport(sendTime time.Duration) Report {
	co.mu.Lock()
	defer co.mu.Unlock()
	re := co.report
	re.Seconds = sendTime.Seconds()
	if n := re.Outcomes[Answered]; n > 0 {
		re.Attempts = float64(co.attempts) / float64(n)
	}
	for name, hist := range co.hists {
		ms := func(q float64) float64 { return float64(hist.ValueAtQuantile(q)) / 1000 }
		re.Classes[name] = Latencies{Count: hist.TotalCount(), P50: ms(50), P99: ms(99), P999: ms(99.9), Max: ms(100)}
	}
	return re
}

// WriteJSON writes the report as JSON.
func (re Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(re)
}

// WriteText writes the report as text.
func (re Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d in %.1f s; attempts per answer %.3f; wrong answers %d\n", re.Sent, re.Seconds, re.Attempts, re.Wrong)
	for _, name := range []string{Answered, NotRun, Unknown} {
		_, _ = fmt.Fprintf(w, "  %-10s %8d\n", name, re.Outcomes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(re.Reasons)) {
		_, _ = fmt.Fprintf(w, "  because of %-22s %8d\n", name, re.Reasons[name])
	}
	for _, name := range slices.Sorted(maps.Keys(re.Classes)) {
		la := re.Classes[name]
		_, _ = fmt.Fprintf(w, "  %-17s %8d  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms  max %.1f ms\n",
			name, la.Count, la.P50, la.P99, la.P999, la.Max)
	}
	return err
}
