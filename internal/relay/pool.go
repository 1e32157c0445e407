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
	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Timeouts and delays of relays.
const (
	// openWait is how long an order waits for a stream to open; another entry host is about
	// 3 ms away.
	openWait = 250 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the backoff before a stream to a host is
	// opened again after the previous one ended.
	initialRetryDelay = 2 * time.Second
	maxRetryDelay     = 30 * time.Second
	// noRelayRetryDelay is the largest delay while no host may relay: it is then more likely
	// that the owner's own link is saturated than that all hosts are unavailable, and most
	// workers wait for a relay.
	noRelayRetryDelay = 400 * time.Millisecond
	// stableAfter is how long a stream must have been open for the backoff to start over.
	stableAfter = 10 * time.Second
	// dropGrace is how long a worker that the owner has dropped still counts: workers register
	// again within about 2 s of the end of an outage.
	dropGrace = 3 * time.Second
)

// Pool holds the relays of an owner. Set the fields, then call [Pool.Run]; the other methods
// are safe for concurrent use.
type Pool struct {
	// Self is the name of the owner's host, Cores its processor capacity in cores.
	Self  string
	Cores float64
	// Epoch is the epoch of the owner.
	Epoch int64
	// FormerOwner and FormerOwnerProcess name the host that was replaced as the owner, and its
	// process. They are empty if that owner released the cell.
	FormerOwner, FormerOwnerProcess string
	// HTTP is the client for requests to other entry hosts. It must not limit the duration of
	// a request.
	HTTP *http.Client
	// Direct reaches workers from this host without a relay.
	Direct worker.Agent
	// ChangedFunc is called when the relays of workers may have changed.
	ChangedFunc func()
	// Metrics counts lost relays. Log receives messages on relays that become available or
	// unavailable.
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	mu       sync.Mutex
	ctx      context.Context
	assigner assigner
	// workers is the set of the owner's workers, by incarnation.
	workers map[string]bool
	// reportedDirectLimit is the limit on directly reached workers as of the last call of
	// ChangedFunc on its account.
	reportedDirectLimit int
	// dropped holds when the owner dropped workers that still count for dropGrace.
	dropped map[string]time.Time
	links   map[string]*link
}

// link is the state that the owner keeps on one relay host.
type link struct {
	name string
	// st is the stream to the host, nil if there is none. ready is closed once the stream is
	// open or has failed.
	st    *stream
	ready chan struct{}
	// began is when opening the stream began. warned is set once a warning was logged that an
	// order timed out waiting for the stream.
	began  time.Time
	warned bool
	bo     *backoff.ExponentialBackOff
}

// Run opens streams as needed until ctx ends.
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

// SetMembers applies changes to the list of entry hosts. If complete is set, listed is the
// complete list.
func (po *Pool) SetMembers(listed []registry.Member, removed []string, complete bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	known := po.assigner.members
	if complete || known == nil {
		po.assigner.members = map[string]registry.Member{}
	}
	for _, me := range listed {
		prev, ok := known[me.Name]
		po.assigner.members[me.Name] = me
		if !ok || prev.Process != me.Process {
			delete(po.assigner.unavailable, me.Name)
			po.avoidFormerOwner(me)
		}
	}
	for _, name := range removed {
		delete(po.assigner.members, name)
	}
	if len(removed) > 0 && po.ctx != nil && po.assigner.noneUsable() {
		po.retryAll()
	}
	po.notifyChanged()
}

// avoidFormerOwner excludes a host that was just replaced as the owner until it answers: an
// owner is mostly replaced because it is unresponsive, and the list of hosts still has it.
func (po *Pool) avoidFormerOwner(me registry.Member) {
	if me.Name != po.FormerOwner || me.Process != po.FormerOwnerProcess {
		return
	}
	po.assigner.markUnavailable(me.Name)
	if po.ctx != nil {
		go po.retryHost(me.Name, 0)
	}
}

// SetWorkers applies changes to the owner's workers, given by incarnation. If complete is set,
// listed is the complete set.
func (po *Pool) SetWorkers(listed, removed []string, complete bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	before := po.assigner.needsRelays(len(po.workers))
	if complete || po.workers == nil {
		po.workers = map[string]bool{}
	}
	for _, incarnation := range listed {
		po.workers[incarnation] = true
		delete(po.dropped, incarnation)
	}
	for _, incarnation := range removed {
		delete(po.workers, incarnation)
	}
	po.expireDropped()
	if po.assigner.needsRelays(len(po.workers)) != before {
		po.notifyChanged()
	}
}

// expireDropped removes workers that were dropped longer than dropGrace ago. The owner
// drops idle workers at once during an outage, and they return after it; relays must not be
// given up for that.
func (po *Pool) expireDropped() {
	for incarnation, at := range po.dropped {
		if time.Since(at) > dropGrace {
			delete(po.workers, incarnation)
			delete(po.dropped, incarnation)
		}
	}
}

// notifyChanged calls ChangedFunc without waiting for it to return.
func (po *Pool) notifyChanged() {
	if po.ChangedFunc != nil {
		go po.ChangedFunc()
	}
}

// RelayFor returns the name of the entry host through which a worker is to be reached, or ""
// if it is to be reached directly. Orders through a host that may not relay at the moment are
// not sent.
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

// Drop removes a worker from its relay. It still counts as one of the owner's workers for
// dropGrace.
func (po *Pool) Drop(incarnation string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.assigner.unassign(incarnation)
	if po.dropped == nil {
		po.dropped = map[string]time.Time{}
	}
	po.dropped[incarnation] = time.Now()
}

// readyStream returns the open stream to a host. It opens one if there is none, and waits up
// to openWait for it.
func (po *Pool) readyStream(ctx context.Context, via string) (*stream, error) {
	st, ready := po.openStream(via)
	if st == nil {
		return nil, fmt.Errorf("through relay %s, which is not in use now: %w", via, worker.ErrNotSent)
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
	return nil, fmt.Errorf("through relay %s, which does not answer: %w", via, worker.ErrNotSent)
}

// warnNotOpen logs a warning, once for each stream, that an order timed out waiting for the
// stream to open.
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

// openStream returns the stream to a host, opening one if necessary, and a channel that is
// closed once the stream is open or has failed. It returns nil if the host may not relay.
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

// ensureLink returns the link to a host, with a stream that is open or being opened, or nil if
// there is no such host.
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

// dial starts opening a link's stream.
func (po *Pool) dial(li *link, me registry.Member) {
	st := newStream(li.name, po.Self, po.Epoch, po.Log)
	ready := make(chan struct{})
	li.st, li.ready, li.began, li.warned = st, ready, time.Now(), false
	po.Log.Info("opening a stream to a relay", "relay", li.name, "addr", me.Addr, "data_centre", me.DataCentre, "workers", po.assigner.load[li.name])
	st.onLeaving = func() { po.streamLost(li, st, errRelayStopping) }
	if po.assigner.unavailable[li.name] {
		// No order waits for this stream, and it may be the owner's own link that is slow.
		st.openTimeout = idleTimeout
	}
	go po.serve(li, st, me, ready)
}

// serve runs a link's stream until it ends. It closes ready once the stream is open or has
// failed.
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

// markUsable allows a host to relay again once its stream has opened.
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

// errRelayStopping is the reason for which a stream is given up when the relay's host is about
// to stop.
var errRelayStopping = errors.New("the relay's host is about to stop")

// streamLost excludes a host from relaying until it answers again, and schedules the next
// attempt to open a stream.
func (po *Pool) streamLost(li *link, st *stream, reason error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if li.st != st || po.ctx.Err() != nil {
		return
	}
	li.st = nil
	if time.Since(li.began) > stableAfter {
		li.bo.Reset()
	}
	delay := li.bo.NextBackOff()
	if po.assigner.unavailable[li.name] {
		if po.assigner.noneUsable() {
			delay = min(delay, noRelayRetryDelay)
			po.notifyDirectLimit()
		}
		go po.retryHost(li.name, delay)
		po.Log.Info("relay still not used", "relay", li.name, "away", delay, "why", reason)
		return
	}
	po.Log.Warn("relay not used for a while", "relay", li.name, "workers", po.assigner.load[li.name], "away", delay, "why", reason)
	po.Metrics.Add(telemetry.RelaysLost, 1)
	po.assigner.markUnavailable(li.name)
	if po.assigner.noneUsable() {
		po.retryAll()
	} else {
		go po.retryHost(li.name, delay)
	}
	po.notifyChanged()
}

// notifyDirectLimit calls ChangedFunc if the limit on directly reached workers has grown.
func (po *Pool) notifyDirectLimit() {
	limit := po.assigner.directLimit(time.Now())
	if limit > po.reportedDirectLimit {
		po.notifyChanged()
	}
	po.reportedDirectLimit = limit
}

// retryAll opens streams to all unavailable hosts after noRelayRetryDelay.
func (po *Pool) retryAll() {
	po.reportedDirectLimit = po.assigner.directLimit(time.Now())
	po.Log.Warn("no host may relay", "workers", len(po.workers), "hosts", len(po.assigner.unavailable), "asked_after", noRelayRetryDelay)
	for name := range po.assigner.unavailable {
		go po.retryHost(name, noRelayRetryDelay)
	}
}

// retryHost opens a stream to an unavailable host after a delay. The host may relay again once
// it has answered; no order waits for that.
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

// Agent returns an agent that reaches each worker over the path given by its address, and
// defers launches that say so.
func (po *Pool) Agent() worker.Agent {
	direct := deferral.Wrap(po.Direct)
	return worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			if ad.Via == "" {
				return direct.LaunchFunc(ctx, ad, la)
			}
			return po.launch(ctx, ad, la)
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			if ad.Via == "" {
				return direct.HaltFunc(ctx, ad, ha)
			}
			return po.send(ctx, ad, order{Kind: kindHalt, Task: ha.Task, AttemptIndex: ha.Number - 1, Fence: ha.Fence})
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			if ad.Via == "" {
				return direct.PaceFunc(ctx, ad, pa)
			}
			return po.send(ctx, ad, order{Kind: kindPace, Task: pa.Task, AttemptIndex: pa.Number - 1, Fence: pa.Fence, Percent: pa.Percent})
		},
		PollFunc: func(ctx context.Context, ad worker.Addr, pl worker.Poll) (worker.PollResult, error) {
			if ad.Via == "" {
				return direct.PollFunc(ctx, ad, pl)
			}
			re, err := po.call(ctx, ad, order{Kind: kindPoll, Fence: pl.Fence, AckedEnd: pl.AckedEnd, LeaseUntilMS: pl.LeaseUntilMS, WaitMS: pl.Wait.Milliseconds()})
			return re.poll, err
		},
	}
}

// launch sends a launch order, and sends it again with its payload if the relay does not have
// the payload.
func (po *Pool) launch(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
	or := order{
		Kind: kindLaunch, Task: la.Task, AttemptIndex: la.Number - 1, Fence: la.Fence, PayloadText: la.Payload,
		Checkpoint: la.Checkpoint, LeaseUntilMS: la.LeaseUntilMS, Deferral: encodeDeferral(la.Deferral),
	}
	if la.Deferral != nil {
		or.WaitMS = la.Deferral.Wait.Milliseconds()
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
	return worker.Ack{ClockMS: re.answer.ClockMS, FreedMS: re.answer.FreedMS}, err
}

func (po *Pool) call(ctx context.Context, ad worker.Addr, or order) (result, error) {
	st, err := po.readyStream(ctx, ad.Via)
	if err != nil {
		return result{}, err
	}
	return st.call(ctx, ad, or)
}
