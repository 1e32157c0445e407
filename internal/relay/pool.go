package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of relays.
const (
	// openWait is how long an order waits for a stream to open: it is to another
	// entry host, some 3 ms away.
	openWait = 250 * time.Millisecond
	// initialRetryDelay and maxRetryDelay are how long no stream is opened to a host after one
	// ended, longer each time.
	initialRetryDelay = 2 * time.Second
	maxRetryDelay     = 30 * time.Second
	// noRelayRetryDelay takes the place of both while no host may relay: then the owner's own
	// link is more likely full than all hosts away, and most workers wait.
	noRelayRetryDelay = 400 * time.Millisecond
	// stableAfter is how long a stream must have been open for the next pause to
	// be the first again.
	stableAfter = 10 * time.Second
	// dropGrace is how long a worker counts that the owner forgot: the users' machines
	// enter themselves again within some 2 s of the end of an outage.
	dropGrace = 3 * time.Second
)

// Pool is an owner's relays. Set the fields, then call [Pool.Run]; the other
// methods may be called from any goroutine.
type Pool struct {
	// Self names the owner's host, Cores is the processor that it has, in cores.
	Self  string
	Cores float64
	// Epoch is the owner's.
	Epoch int64
	// FormerOwner and FormerOwnerProcess name the host that was replaced as an owner, and its
	// process; they are empty if it gave the cell up.
	FormerOwner, FormerOwnerProcess string
	// HTTP is the client for other entry hosts, which must not limit the time of a
	// request.
	HTTP *http.Client
	// Direct reaches workers from this host.
	Direct worker.Agent
	// ChangedFunc is called when workers may have another relay than before.
	ChangedFunc func()
	// Metrics counts, Log gets relays that come and go.
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	mu       sync.Mutex
	ctx      context.Context
	assigner assigner
	// workers are those that the owner has, by incarnation.
	workers map[string]bool
	// reportedDirectLimit is how many workers might be streamWorker directly when that was last told.
	reportedDirectLimit int
	// dropped has when the owner forgot workers that count for a little longer.
	dropped map[string]time.Time
	links   map[string]*link
}

// link is the owner's relation to one host.
type link struct {
	name string
	// st is its stream, ready is closed once that is open or has failed.
	st    *stream
	ready chan struct{}
	// began is when it was begun to open, told is set once a line has said that
	// orders waited for that in vain.
	began  time.Time
	warned bool
	bo     *backoff.ExponentialBackOff
}

// Run keeps streams until ctx ends.
func (po *Pool) Run(ctx context.Context) {
	po.mu.Lock()
	po.ctx = ctx
	po.assigner.self, po.assigner.cores = po.Self, po.Cores
	for name := range po.assigner.unavailable {
		go po.retryHost(name, 0)
	}
	po.mu.Unlock()
	<-ctx.Done()
}

// SetMembers takes in rows of the list of entry hosts. If whole is set they are
// all there are.
func (po *Pool) SetMembers(listed []registry.Member, gone []string, whole bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	known := po.assigner.members
	if whole || known == nil {
		po.assigner.members = map[string]registry.Member{}
	}
	for _, me := range listed {
		was, ok := known[me.Name]
		po.assigner.members[me.Name] = me
		if !ok || was.Process != me.Process {
			delete(po.assigner.unavailable, me.Name)
			po.avoidFormerOwner(me)
		}
	}
	for _, name := range gone {
		delete(po.assigner.members, name)
	}
	if len(gone) > 0 && po.ctx != nil && po.assigner.noneUsable() {
		po.retryAll()
	}
	po.notifyChanged()
}

// suspect keeps a host from being used until it answers, if it was just replaced as
// an owner: mostly for its silence, and the list still has it.
func (po *Pool) avoidFormerOwner(me registry.Member) {
	if me.Name != po.FormerOwner || me.Process != po.FormerOwnerProcess {
		return
	}
	po.assigner.markUnavailable(me.Name)
	if po.ctx != nil {
		go po.retryHost(me.Name, 0)
	}
}

// SetWorkers takes in the incarnations of workers that the owner has, and of those
// that it has no longer. If whole is set the listed ones are all there are.
func (po *Pool) SetWorkers(listed, gone []string, whole bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	was := po.assigner.needsRelays(len(po.workers))
	if whole || po.workers == nil {
		po.workers = map[string]bool{}
	}
	for _, incarnation := range listed {
		po.workers[incarnation] = true
		delete(po.dropped, incarnation)
	}
	for _, incarnation := range gone {
		delete(po.workers, incarnation)
	}
	po.expireDropped()
	if po.assigner.needsRelays(len(po.workers)) != was {
		po.notifyChanged()
	}
}

// forget leaves out workers that the owner forgot for good. Those that had nothing to do
// are forgotten at once and are back after an outage; relays are not given up for that.
func (po *Pool) expireDropped() {
	for incarnation, at := range po.dropped {
		if time.Since(at) > dropGrace {
			delete(po.workers, incarnation)
			delete(po.dropped, incarnation)
		}
	}
}

// changed tells of a change without waiting for it to be taken in.
func (po *Pool) notifyChanged() {
	if po.ChangedFunc != nil {
		go po.ChangedFunc()
	}
}

// RelayFor names the entry host through which a worker is to be streamWorker, or is empty
// if it is to be streamWorker directly. Orders through a host that may not relay now are not
// sent.
func (po *Pool) RelayFor(incarnation, dataCentre string) string {
	po.mu.Lock()
	defer po.mu.Unlock()
	delete(po.dropped, incarnation)
	if po.ctx == nil || !po.assigner.needsRelays(len(po.workers)) {
		po.assigner.unassign(incarnation)
		return ""
	}
	return po.assigner.assign(incarnation, dataCentre)
}

// Drop forgets a worker.
func (po *Pool) Drop(incarnation string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.assigner.unassign(incarnation)
	if po.dropped == nil {
		po.dropped = map[string]time.Time{}
	}
	po.dropped[incarnation] = time.Now()
}

// stream returns the open stream to a host, and opens one if there is none.
func (po *Pool) readyStream(ctx context.Context, via string) (*stream, error) {
	st, ready := po.openStream(via)
	if st == nil {
		return nil, fmt.Errorf("through %s, which is not used now: %w", via, worker.ErrNotSent)
	}
	ti := time.NewTimer(openWait)
	defer ti.Stop()
	select {
	case <-ready:
		return st, nil
	case <-ti.C:
		po.warnNotOpen(via)
	case <-ctx.Done():
	}
	return nil, fmt.Errorf("through %s, which does not answer: %w", via, worker.ErrNotSent)
}

// warnNotOpen tells once of a stream that an order has waited for in vain.
func (po *Pool) warnNotOpen(via string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	li := po.links[via]
	if li.warned || li.st == nil {
		return
	}
	li.warned = true
	po.Log.Warn("relay does not answer", "relay", via, "workers", po.assigner.load[via], "for", time.Since(li.began))
}

// opening returns the stream to a host, and what is closed once that is open or has
// failed. It returns nil if the host is not to be used.
func (po *Pool) openStream(via string) (*stream, <-chan struct{}) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.assigner.unavailable[via] {
		return nil, nil
	}
	li := po.ensureLink(via)
	if li == nil {
		return nil, nil
	}
	return li.st, li.ready
}

// open returns the link to a host, with a stream, or nil if there is no such host.
func (po *Pool) ensureLink(via string) *link {
	me, ok := po.assigner.members[via]
	if !ok || po.ctx == nil || po.ctx.Err() != nil {
		return nil
	}
	li := po.links[via]
	if li == nil {
		bo := backoff.NewExponentialBackOff()
		bo.InitialInterval, bo.MaxInterval = initialRetryDelay, maxRetryDelay
		li = &link{name: via, bo: bo}
		if po.links == nil {
			po.links = map[string]*link{}
		}
		po.links[via] = li
	}
	if li.st == nil {
		po.dial(li, me)
	}
	return li
}

// dial begins to open a link's stream.
func (po *Pool) dial(li *link, me registry.Member) {
	st := newStream(li.name, po.Self, po.Epoch, po.Log)
	ready := make(chan struct{})
	li.st, li.ready, li.began, li.warned = st, ready, time.Now(), false
	po.Log.Info("opening a stream to a relay", "relay", li.name, "addr", me.Addr, "data_centre", me.DataCentre, "workers", po.assigner.load[li.name])
	st.onLeaving = func() { po.streamLost(li, st, errRelayStopping) }
	if po.assigner.unavailable[li.name] {
		// No order waits for it, and it may be the owner's link that is slow.
		st.openTimeout = idleTimeout
	}
	go po.serve(li, st, me, ready)
}

// serve serves a link's stream until that ends. It closes ready once the stream is
// open or has failed.
func (po *Pool) serve(li *link, st *stream, me registry.Member, ready chan<- struct{}) {
	began, answered := time.Now(), false
	err := st.run(po.ctx, po.HTTP, me.Addr, func() {
		answered = true
		po.Log.Info("relay answers", "relay", me.Name, "data_centre", me.DataCentre, "cores", me.Cores, "took", time.Since(began))
		po.markUsable(li, st)
		close(ready)
	})
	po.streamLost(li, st, err)
	if !answered {
		close(ready)
	}
}

// answered lets a host be used whose stream has opened.
func (po *Pool) markUsable(li *link, st *stream) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if li.st != st || !po.assigner.unavailable[li.name] {
		return
	}
	delete(po.assigner.unavailable, li.name)
	po.assigner.noRelaySince = time.Time{}
	po.notifyChanged()
}

// errRelayStopping: the relay's host is about to stop.
var errRelayStopping = errors.New("relay's host stops")

// lose takes a host out of use until it answers again.
func (po *Pool) streamLost(li *link, st *stream, why error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if li.st != st || po.ctx.Err() != nil {
		return
	}
	li.st = nil
	if time.Since(li.began) > stableAfter {
		li.bo.Reset()
	}
	away := li.bo.NextBackOff()
	if po.assigner.unavailable[li.name] {
		if po.assigner.noneUsable() {
			away = min(away, noRelayRetryDelay)
			po.notifyDirectLimit()
		}
		go po.retryHost(li.name, away)
		po.Log.Info("relay still not used", "relay", li.name, "away", away, "why", why)
		return
	}
	po.Log.Warn("relay not used for a while", "relay", li.name, "workers", po.assigner.load[li.name], "away", away, "why", why)
	po.Metrics.Add(telemetry.RelaysLost, 1)
	po.assigner.markUnavailable(li.name)
	if po.assigner.noneUsable() {
		po.retryAll()
	} else {
		go po.retryHost(li.name, away)
	}
	po.notifyChanged()
}

// widen tells of a change if more workers may be streamWorker directly than before.
func (po *Pool) notifyDirectLimit() {
	most := po.assigner.directLimit(time.Now())
	if most > po.reportedDirectLimit {
		po.notifyChanged()
	}
	po.reportedDirectLimit = most
}

// regainAll has streams opened to all hosts that were lost.
func (po *Pool) retryAll() {
	po.reportedDirectLimit = po.assigner.directLimit(time.Now())
	po.Log.Warn("no host may relay", "workers", len(po.workers), "hosts", len(po.assigner.unavailable), "asked_after", noRelayRetryDelay)
	for name := range po.assigner.unavailable {
		go po.retryHost(name, noRelayRetryDelay)
	}
}

// regain opens the stream to a host that is not used, so that it is used again once it
// has answered, and no worker waits for that.
func (po *Pool) retryHost(name string, after time.Duration) {
	if !clock.Sleep(po.ctx, after) {
		return
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.assigner.unavailable[name] {
		po.ensureLink(name)
	}
}

// Agent reaches workers the way that their addresses say.
func (po *Pool) Agent() worker.Agent {
	return worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			if ad.Via == "" {
				return po.Direct.LaunchFunc(ctx, ad, la)
			}
			return po.launch(ctx, ad, la)
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			if ad.Via == "" {
				return po.Direct.HaltFunc(ctx, ad, ha)
			}
			return po.send(ctx, ad, order{Kind: kindHalt, Task: ha.Task, AttemptIndex: ha.Number - 1, Fence: ha.Fence})
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			if ad.Via == "" {
				return po.Direct.PaceFunc(ctx, ad, pa)
			}
			return po.send(ctx, ad, order{Kind: kindPace, Task: pa.Task, AttemptIndex: pa.Number - 1, Fence: pa.Fence, Percent: pa.Percent})
		},
		LookFunc: func(ctx context.Context, ad worker.Addr, lo worker.Look) (worker.Sight, error) {
			if ad.Via == "" {
				return po.Direct.LookFunc(ctx, ad, lo)
			}
			re, err := po.call(ctx, ad, order{Kind: kindPoll, Fence: lo.Fence, AckedEnd: lo.Seen, LeaseUntilMS: lo.LeaseUntilMS, WaitMS: lo.Wait.Milliseconds()})
			return re.si, err
		},
	}
}

// launch sends a launch, once more with its payload if the relay does not have
// that.
func (po *Pool) launch(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
	or := order{
		Kind: kindLaunch, Task: la.Task, AttemptIndex: la.Number - 1, Fence: la.Fence, PayloadText: la.Payload,
		Checkpoint: la.Checkpoint, LeaseUntilMS: la.LeaseUntilMS,
	}
	ack, err := po.send(ctx, ad, or)
	if !errors.Is(err, errNoPayload) {
		return ack, err
	}
	if st, serr := po.readyStream(ctx, ad.Via); serr == nil {
		st.resetPayloads()
	}
	ack, err = po.send(ctx, ad, or)
	if errors.Is(err, errNoPayload) {
		err = worker.ErrNotSent
	}
	return ack, err
}

func (po *Pool) send(ctx context.Context, ad worker.Addr, or order) (worker.Ack, error) {
	re, err := po.call(ctx, ad, or)
	return worker.Ack{ClockMS: re.an.ClockMS}, err
}

func (po *Pool) call(ctx context.Context, ad worker.Addr, or order) (result, error) {
	st, err := po.readyStream(ctx, ad.Via)
	if err != nil {
		return result{}, err
	}
	return st.call(ctx, ad, or)
}
