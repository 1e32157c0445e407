// Package route takes a request from its arrival to its final word: which
// runner, when, how often, and what is known at the end.
//
// Each runner has one primary entry host in its data centre, which alone
// sends it work and so knows its load exactly ([Subsets]). A request waits in
// the [Pool] of its entry host and is bound to a runner only when a slot is
// free; when a peer has free slots and this host has none, the peer serves
// it. A request ends as answered, not run or unknown. Not run is said only if
// every attempt certainly did not run; a request marked run-once is tried
// again only after such an attempt.
//
// The package holds nothing back: what is given up is told at once, with when
// to come back.
package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// Outcome says what is known of a request at its end.
type Outcome string

// The outcomes.
const (
	// Answered: the answer is whole and the request's own.
	Answered Outcome = "answered"
	// NotRun: no runner ran the request.
	NotRun Outcome = "not-run"
	// Unknown: a runner may have run it.
	Unknown Outcome = "unknown"
)

// Request is one request to serve.
type Request struct {
	runner.Request

	// Once marks a request that must run at most once.
	Once bool
	// Local keeps it from being passed to a peer.
	Local bool
}

// Result is the final word on a request.
type Result struct {
	// Outcome says what is known.
	Outcome Outcome `json:"outcome"`
	// Reason says why it was not answered.
	Reason reason.Reason `json:"reason,omitempty"`
	// RetryAfter says when to come back; zero: do not.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Body is the answer.
	Body []byte `json:"body,omitempty"`
	// Runner answered.
	Runner string `json:"runner,omitempty"`
	// Attempts counts the runners that were sent the request.
	Attempts int `json:"attempts"`
}

// NotRunResult is the result of a request refused before any attempt.
func NotRunResult(why reason.Reason, retryAfter time.Duration) Result {
	return Result{Outcome: NotRun, Reason: why, RetryAfter: retryAfter}
}

// maxAttempts bounds the runners tried for one request.
const maxAttempts = 6

// fullHold is how long a slot is left alone after its runner said that it
// was full.
const fullCooldown = 10 * time.Millisecond

// Router serves requests. Set the fields before use; make no copies.
type Router struct {
	// Runners talks to runners.
	Runners runner.Client
	// Registry gets the evidence.
	Registry *upstream.Registry
	// Forward passes a request to a peer, to be served there.
	Forward func(ctx context.Context, peer string, req Request) Result
	// Metrics counts; nil does not.
	Metrics *telemetry.Metrics
	// Budget bounds retries.
	Budget Budget
	// NoHedge turns hedging off.
	NoHedge bool
	// NewPool makes a service's pool; nil takes [NewPool].
	NewPool func(Policy) *Pool

	mu     sync.Mutex
	policy Policy
	pools  map[string]*Pool
}

// Pool returns the pool of a service, or nil.
func (ro *Router) Pool(service string) *Pool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.pools[service]
}

// SetPolicy changes the numbers of all pools.
func (ro *Router) SetPolicy(pol Policy) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.policy = pol
	for _, po := range ro.pools {
		po.SetPolicy(pol)
	}
}

// SetMembers replaces the runners of all services. A service that is left
// out keeps an empty pool, so that its name stays known.
func (ro *Router) SetMembers(members map[string][]Member) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.pools == nil {
		ro.pools = map[string]*Pool{}
	}
	for service := range members {
		if ro.pools[service] == nil {
			ro.pools[service] = ro.newPool()
		}
	}
	for service, po := range ro.pools {
		po.SetMembers(members[service])
	}
}

func (ro *Router) newPool() *Pool {
	if ro.NewPool != nil {
		return ro.NewPool(ro.policy)
	}
	return NewPool(ro.policy)
}

// SetPeers tells what each peer said of its load, per service; near are in
// this data centre, far elsewhere.
func (ro *Router) SetPeers(sameDC, otherDCs map[string]map[string]Load) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for service, po := range ro.pools {
		po.SetPeers(loadsOf(sameDC, service), loadsOf(otherDCs, service))
	}
}

// loadsOf returns the load of one service at each peer that has it.
func loadsOf(peers map[string]map[string]Load, service string) map[string]Load {
	loads := map[string]Load{}
	for peer, all := range peers {
		if lo, ok := all[service]; ok {
			loads[peer] = lo
		}
	}
	return loads
}

// Loads returns the load of every service.
func (ro *Router) Loads() map[string]Load {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	loads := make(map[string]Load, len(ro.pools))
	for service, po := range ro.pools {
		loads[service] = po.Load()
	}
	return loads
}

// Do serves one request.
func (ro *Router) Do(ctx context.Context, req Request) Result {
	po := ro.Pool(req.Service)
	if po == nil {
		return NotRunResult(reason.NoRunner, minRetryAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	ro.Budget.Deposit()
	ex := &execution{ro: ro, po: po, req: req, cancel: cancel, slotReq: SlotRequest{
		Class: req.Class, Method: req.Method, Deadline: req.Deadline, Local: req.Local,
	}}
	res := ex.serve(ctx)
	if !ex.hedgeRunning {
		cancel()
	}
	return res
}

// trial is one request on its way.
type execution struct {
	ro      *Router
	po      *Pool
	req     Request
	slotReq SlotRequest
	cancel  context.CancelFunc
	// outlived is set if a slower attempt goes on after the request's end,
	// so that its slot is counted for as long as it is in use.
	hedgeRunning bool
	// sent counts runners sent the request, passed counts peers asked.
	sent      int
	forwarded int
	// maybe is set once an attempt may have run.
	mayHaveRun bool
}

// attempt is what came of one attempt.
type attempt struct {
	Result

	// retry is the reason to count if it is tried again; empty forbids it.
	retryReason reason.Reason
	// free attempts cost nothing of the budget: a refusal at once by a
	// runner that is full or leaving.
	unbudgeted bool
}

func (ex *execution) serve(ctx context.Context) Result {
	for {
		gr, peer, refusal := ex.po.Acquire(ctx, ex.slotReq)
		if refusal.Reason != reason.None {
			return ex.finish(NotRunResult(refusal.Reason, refusal.RetryAfter))
		}
		var at attempt
		if peer != "" {
			at = ex.forward(ctx, peer)
		} else {
			at = ex.run(ctx, gr)
		}
		if at.Outcome == Answered {
			return ex.finish(at.Result)
		}
		ex.mayHaveRun = ex.mayHaveRun || at.Outcome == Unknown
		if final, isFinal := ex.isFinal(ctx, at); isFinal {
			return final
		}
		ex.ro.Metrics.Retried(at.retryReason)
	}
}

// stop says whether the request ends with this attempt.
func (ex *execution) isFinal(ctx context.Context, at attempt) (Result, bool) {
	switch {
	case at.retryReason == reason.None, ex.req.Once && ex.mayHaveRun, ctx.Err() != nil:
		return ex.finish(at.Result), true
	case ex.sent >= maxAttempts:
		at.Reason = reason.AllRefused
		return ex.finish(at.Result), true
	case !at.unbudgeted && !ex.ro.Budget.TryWithdraw():
		at.Reason = reason.RetryBudget
		return ex.finish(at.Result), true
	}
	return Result{}, false
}

// end makes the final word of the last result.
func (ex *execution) finish(res Result) Result {
	res.Attempts = ex.sent
	if res.Outcome == NotRun && ex.mayHaveRun {
		res.Outcome = Unknown
	}
	if res.Outcome != Answered && res.RetryAfter == 0 {
		res.RetryAfter = minRetryAfter
	}
	return res
}

// pass has a peer serve the request. A peer that refuses is asked no more
// than twice, so that requests do not wander.
func (ex *execution) forward(ctx context.Context, peer string) attempt {
	ex.ro.Metrics.Add(telemetry.Spills, 1, "to", peer)
	res := ex.ro.Forward(ctx, peer, ex.req)
	ex.sent += res.Attempts
	ex.forwarded++
	if ex.forwarded >= 2 {
		ex.slotReq.Local = true
	}
	at := attempt{Result: res, retryReason: reason.RetryPeer, unbudgeted: res.Outcome == NotRun}
	if res.Reason == reason.Expired || res.Reason == reason.TooLate {
		at.retryReason = reason.None
	}
	return at
}

// run sends the request to the runner whose slot was granted. If the answer
// takes longer than nearly all do, a request that may run twice is sent to a
// second runner, if one is free and the budget for retries allows, and the
// first answer counts.
func (ex *execution) run(ctx context.Context, gr *Grant) attempt {
	after := ex.po.hedgeDelay(ex.req.Method)
	if ex.ro.NoHedge || ex.req.Once || after == 0 {
		ex.recordAttempt(gr)
		return ex.send(ctx, gr)
	}
	results := make(chan attempt, 2)
	launch := func(gr *Grant) {
		ex.recordAttempt(gr)
		go func() { results <- ex.send(ctx, gr) }()
	}
	launch(gr)
	ti := time.NewTimer(after)
	defer ti.Stop()
	select {
	case at := <-results:
		return at
	case <-ti.C:
	}
	second := ex.po.TryAcquire(ex.slotReq)
	if second == nil {
		return <-results
	}
	if !ex.ro.Budget.TryWithdraw() {
		second.Release(ex.req.Method, upstream.Full, 0)
		return <-results
	}
	ex.ro.Metrics.Retried(reason.RetryHedge)
	launch(second)
	return ex.firstAnswer(<-results, results)
}

// better returns the first attempt if it was answered, or else waits for the
// second. An attempt that may have run outweighs one that did not.
func (ex *execution) firstAnswer(first attempt, rest <-chan attempt) attempt {
	if first.Outcome == Answered {
		ex.hedgeRunning = true
		go func() {
			<-rest
			ex.cancel()
		}()
		return first
	}
	second := <-rest
	if second.Outcome == NotRun && first.Outcome == Unknown {
		return first
	}
	return second
}

// sending notes that a runner is sent the request.
func (ex *execution) recordAttempt(gr *Grant) {
	ex.sent++
	ex.ro.Metrics.Add(telemetry.Attempts, 1)
	if ex.slotReq.Avoid == nil {
		ex.slotReq.Avoid = map[string]bool{}
	}
	ex.slotReq.Avoid[gr.Runner.ID] = true
}

// send makes one attempt, and gives the slot back when it has ended.
func (ex *execution) send(ctx context.Context, gr *Grant) attempt {
	begun := time.Now()
	ans, err := ex.ro.Runners.RunFunc(ctx, gr.Runner.Addr, ex.req.Request)
	took := time.Since(begun)
	at, ev := classify(ctx, err)
	ex.ro.report(gr.Runner.ID, ev, took)
	if ans.Leaving && ev != upstream.ReportedLeaving {
		ex.ro.report(gr.Runner.ID, upstream.ReportedLeaving, 0)
	}
	if ev == upstream.Full {
		time.AfterFunc(fullCooldown, func() { gr.Release(ex.req.Method, ev, took) })
	} else {
		gr.Release(ex.req.Method, ev, took)
	}
	at.Body = ans.Body
	at.Runner = gr.Runner.ID
	return at
}

func (ro *Router) report(id string, ev upstream.Evidence, took time.Duration) {
	if ro.Registry != nil {
		ro.Registry.Report(id, ev, took)
	}
}

// judge turns what the client returned into the outcome of the attempt and
// the evidence on the runner.
func classify(ctx context.Context, err error) (attempt, upstream.Evidence) {
	if err == nil {
		return attempt{Result: Result{Outcome: Answered}}, upstream.Answered
	}
	var notRun *runner.NotRunError
	if errors.As(err, &notRun) {
		return classifyNotRun(ctx, notRun)
	}
	lost := attempt{Result: Result{Outcome: Unknown, Reason: reason.AnswerLost}, retryReason: reason.RetryLost}
	switch {
	case errors.Is(err, runner.ErrIDMismatch), errors.Is(err, runner.ErrNoStatus), errors.Is(err, runner.ErrNoFraming):
		lost.retryReason = reason.RetryForeign
		return lost, upstream.InvalidAnswer
	case ctx.Err() != nil:
		return lost, upstream.Abandoned
	}
	return lost, upstream.AnswerLost
}

func classifyNotRun(ctx context.Context, err *runner.NotRunError) (attempt, upstream.Evidence) {
	at := attempt{Result: Result{Outcome: NotRun, Reason: reason.AllRefused}}
	switch err.Reason {
	case runner.ReasonFull:
		at.retryReason, at.unbudgeted = reason.RetryFull, true
		return at, upstream.Full
	case runner.ReasonLeaving:
		at.retryReason, at.unbudgeted = reason.RetryLeaving, true
		return at, upstream.ReportedLeaving
	case "":
		at.retryReason = reason.RetryConnect
		if ctx.Err() != nil {
			at.Reason = reason.Expired
			return at, upstream.Abandoned
		}
		return at, upstream.Unreachable
	}
	at.retryReason = reason.RetryRefused
	return at, upstream.Refused
}
