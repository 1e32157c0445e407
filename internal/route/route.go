// Package route serves a request from its arrival to its final result: it
// selects the runner and the time, retries and hedges attempts, and reports
// what is known about the request at the end.
//
// Each runner has one primary entry host in its data centre (see package
// spread), which alone sends it requests and therefore knows its load exactly.
// A request waits in the [Pool] of its entry host and is assigned to a runner
// only when a slot is free; if a peer has free slots and this host has none,
// the peer serves it. A request ends as answered, not run or unknown. It ends
// as not run only if no attempt can have run; a request marked run-once is
// retried only after such an attempt.
//
// A request that cannot be served in time is refused as soon as that is known,
// with a delay after which to retry.
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

// Outcome is what is known about a request at its end.
type Outcome string

// Possible outcomes.
const (
	// Answered: the answer is complete and belongs to the request.
	Answered Outcome = "answered"
	// NotRun: no runner executed the request.
	NotRun Outcome = "not-run"
	// Unknown: a runner may have executed the request.
	Unknown Outcome = "unknown"
)

// Request is a request to serve.
type Request struct {
	runner.Request

	// Once marks a request that must run at most once.
	Once bool
	// Local prevents the request from being forwarded to a peer.
	Local bool
}

// Result is the final result of a request.
type Result struct {
	// Outcome is what is known about the request.
	Outcome Outcome `json:"outcome"`
	// Reason says why it was not answered.
	Reason reason.Reason `json:"reason,omitempty"`
	// RetryAfter is the delay after which to retry; zero means that a retry
	// cannot succeed.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Body is the answer.
	Body []byte `json:"body,omitempty"`
	// Runner is the id of the runner that answered.
	Runner string `json:"runner,omitempty"`
	// Attempts is the number of times the request was sent to a runner.
	Attempts int `json:"attempts"`
}

// NotRunResult returns the result of a request refused before any attempt.
func NotRunResult(why reason.Reason, retryAfter time.Duration) Result {
	return Result{Outcome: NotRun, Reason: why, RetryAfter: retryAfter}
}

// maxAttempts limits the runners tried for one request.
const maxAttempts = 6

// fullCooldown is how long a slot stays unused after its runner refused a
// request because it was full.
const fullCooldown = 10 * time.Millisecond

// Router serves the requests of all services. Set the exported fields before
// use; it must not be copied.
type Router struct {
	// Runners sends requests to runners.
	Runners runner.Client
	// Registry receives the result of each attempt as evidence on the runner;
	// it may be nil.
	Registry *upstream.Registry
	// Forward passes a request to a peer that is to serve it.
	Forward func(ctx context.Context, peer string, req Request) Result
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Budget limits retries and hedged attempts.
	Budget Budget
	// NoHedge disables hedging.
	NoHedge bool
	// NewPool creates the pool of a service; nil means [NewPool].
	NewPool func(Policy) *Pool

	mu     sync.Mutex
	policy Policy
	pools  map[string]*Pool
}

// Pool returns the pool of a service, or nil if the service is not known.
func (ro *Router) Pool(service string) *Pool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.pools[service]
}

// SetPolicy replaces the policy of all pools.
func (ro *Router) SetPolicy(pol Policy) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.policy = pol
	for _, po := range ro.pools {
		po.SetPolicy(pol)
	}
}

// SetMembers replaces the runners of all services. A service that is missing
// keeps an empty pool, so that it stays known.
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

// SetPeers sets the load of each service reported by each peer in this data
// centre and in others, by peer name and service.
func (ro *Router) SetPeers(sameDC, otherDCs map[string]map[string]Load) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for service, po := range ro.pools {
		po.SetPeers(loadsOf(sameDC, service), loadsOf(otherDCs, service))
	}
}

// loadsOf returns the load of one service at each peer that has the service.
func loadsOf(peers map[string]map[string]Load, service string) map[string]Load {
	loads := map[string]Load{}
	for peer, all := range peers {
		if lo, ok := all[service]; ok {
			loads[peer] = lo
		}
	}
	return loads
}

// Loads returns the load of each service.
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

// execution is the state of one request being served.
type execution struct {
	ro      *Router
	po      *Pool
	req     Request
	slotReq SlotRequest
	cancel  context.CancelFunc
	// hedgeRunning is set if the slower attempt of a hedged request is still
	// running when the request ends. The context is then cancelled only after
	// that attempt has ended, so that its slot counts as busy until then.
	hedgeRunning bool
	// sent counts attempts at runners, forwarded counts peers asked.
	sent      int
	forwarded int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// attempt is the result of one attempt.
type attempt struct {
	Result

	// retryReason is the reason counted for a retry; [reason.None] forbids a
	// retry.
	retryReason reason.Reason
	// unbudgeted attempts cost nothing of the retry budget: immediate refusals
	// by a runner that is full or leaving, or by a peer.
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
		ex.ro.Metrics.RecordRetry(at.retryReason)
	}
}

// isFinal reports whether the request ends with this attempt, and with which
// result.
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

// finish completes the last result with what is known of all attempts.
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

// forward has a peer serve the request. After two peers the request stays
// local, so that it is not passed around endlessly.
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
// takes longer than 99.9 percent of answers, a request that may run twice is
// also sent to a second runner, provided that one is free and the retry budget
// allows it. The first answer counts.
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
	ex.ro.Metrics.RecordRetry(reason.RetryHedge)
	launch(second)
	return ex.firstAnswer(<-results, results)
}

// firstAnswer returns the first of two attempts to end if it was answered, and
// otherwise waits for the second. If that was not answered either, an attempt
// that may have run takes precedence over one that did not.
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

// recordAttempt counts an attempt at a runner, which later attempts avoid.
func (ex *execution) recordAttempt(gr *Grant) {
	ex.sent++
	ex.ro.Metrics.Add(telemetry.Attempts, 1)
	if ex.slotReq.Avoid == nil {
		ex.slotReq.Avoid = map[string]bool{}
	}
	ex.slotReq.Avoid[gr.Runner.ID] = true
}

// send makes one attempt and releases its slot afterwards.
func (ex *execution) send(ctx context.Context, gr *Grant) attempt {
	begun := time.Now()
	ans, err := ex.ro.Runners.RunFunc(ctx, gr.Runner.Addr, ex.req.Request)
	took := time.Since(begun)
	at, ev := classify(ctx, err)
	ex.ro.report(gr.Runner, ev, took)
	if ans.Leaving && ev != upstream.ReportedLeaving {
		ex.ro.report(gr.Runner, upstream.ReportedLeaving, 0)
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

func (ro *Router) report(ru Member, ev upstream.Evidence, took time.Duration) {
	if ro.Registry != nil {
		ro.Registry.Report(ru.ID, ru.Addr, ev, took)
	}
}

// classify derives the outcome of an attempt and the evidence on its runner
// from the error of the client.
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
