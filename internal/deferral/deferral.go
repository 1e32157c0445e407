// Package deferral sends launches to workers as soon as resources are freed there.
//
// A task that is to start in the resources of others cannot be launched before these have ended,
// as the worker would refuse it. If the owner of the cell waited for their ends itself, the
// resources would stay unused while the end passes through the relay, its stream and the owner's
// queue of events, and the launch all the way back. So the owner sends the launch in advance, and
// the client that polls the worker sends it on once a poll lists the ends.
//
// The client decides nothing: the start is durable, and the launch carries the owner's fencing
// token. It is sent at most once, and not at all after the call has ended. It must go through the
// client that polls the worker, since that knows no other ends.
package deferral

import (
	"context"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// probeInterval is the pause after which the client polls a worker for which launches wait, if no
// other poll is in progress. The owner waits with its next poll until the ends that the last one
// listed are durable.
const probeInterval = 20 * time.Millisecond

// probeTimeout bounds such a poll.
const probeTimeout = 200 * time.Millisecond

// retention is how long ends and sent launches are remembered, since a launch may be deferred
// after the poll that listed an end: longer than a launch takes to arrive and wait.
const retention = 3 * time.Second

// Wrap returns an agent that defers launches which say so, and sends everything else to ag at
// once.
func Wrap(ag worker.Agent) worker.Agent {
	cl := &client{next: ag, workers: map[worker.Incarnation]*queue{}}
	return worker.Agent{LaunchFunc: cl.launch, HaltFunc: cl.halt, PaceFunc: ag.PaceFunc, PollFunc: cl.poll}
}

// client holds the deferred launches of one agent.
type client struct {
	next worker.Agent

	mu      sync.Mutex
	workers map[worker.Incarnation]*queue
	// expiredAt is when entries were last removed.
	expiredAt time.Time
}

func (cl *client) launch(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
	if la.Deferral == nil {
		return cl.next.LaunchFunc(ctx, ad, la)
	}
	freedMS, err := cl.wait(ctx, ad, la)
	if err != nil {
		return worker.Ack{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, la.Deferral.Timeout)
	defer cancel()
	la.Deferral = nil
	ack, err := cl.next.LaunchFunc(ctx, ad, la)
	ack.FreedMS = freedMS
	return ack, err
}

// wait waits until the launch is to be sent, or returns why it is not. It returns the time of the
// worker's clock since which the worker had the resources.
func (cl *client) wait(ctx context.Context, ad worker.Addr, la worker.Launch) (freedMS int64, err error) {
	deadline := time.Now().Add(la.Deferral.Wait)
	en := cl.add(ctx, ad, la)
	ti := time.NewTimer(la.Deferral.Wait)
	defer ti.Stop()
	select {
	case err = <-en.result:
		freedMS = en.freedMS
	case <-ti.C:
		err = worker.ErrNotFreed
	case <-ctx.Done():
		err = ctx.Err()
	}
	// A process that stood still may find both the end and the deadline.
	if err == nil && time.Now().After(deadline) {
		err = worker.ErrNotFreed
	}
	if err != nil {
		cl.remove(ad, en)
	}
	return freedMS, err
}

// add adds a launch to the queue of its worker, and sends it at once if the resources have been
// freed already.
func (cl *client) add(ctx context.Context, ad worker.Addr, la worker.Launch) *entry {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	qu := cl.queue(ad.Incarnation)
	en := &entry{attempt: la.Attempt, deferral: la.Deferral, addedAt: time.Now(), result: make(chan error, 1)}
	en.probe = func() { cl.probe(ctx, ad, la.Fence) }
	qu.entries = append(qu.entries, en)
	qu.sendReady()
	qu.scheduleProbe()
	return en
}

// probe polls a worker for ends, unless another poll has begun or no launch waits any more. It
// acknowledges none and extends no leases.
func (cl *client) probe(ctx context.Context, ad worker.Addr, fence int64) {
	if !cl.beginProbe(ad) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// If it fails, the next poll may not, and the owner judges the worker by its own polls.
	_, _ = cl.poll(ctx, ad, worker.Poll{Fence: fence})
}

// remove removes a launch that is not sent.
func (cl *client) remove(ad worker.Addr, en *entry) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.queue(ad.Incarnation).remove(en)
}

// halt withdraws the launch of the attempt if it is deferred. The order is sent to the worker in
// any case, which then refuses a launch that was sent on another path.
func (cl *client) halt(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
	cl.withdraw(ad, ha.Attempt)
	return cl.next.HaltFunc(ctx, ad, ha)
}

func (cl *client) withdraw(ad worker.Addr, at worker.Attempt) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	qu := cl.queue(ad.Incarnation)
	for _, en := range qu.entries {
		if en.attempt == at && !en.sent {
			qu.remove(en)
			en.result <- worker.ErrWithdrawn
			return
		}
	}
}

func (cl *client) poll(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
	sent := time.Now()
	cl.beginPoll(ad)
	res, err := cl.next.PollFunc(ctx, ad, po)
	if err != nil {
		res = worker.PollResult{}
	}
	cl.endPoll(ad, res, time.Since(sent))
	return res, err
}

func (cl *client) beginProbe(ad worker.Addr) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	qu := cl.queue(ad.Incarnation)
	qu.probing = false
	return qu.polls == 0 && qu.firstWaiting() != nil
}

func (cl *client) beginPoll(ad worker.Addr) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.queue(ad.Incarnation).polls++
}

// endPoll records the result of a poll, which is empty if the poll failed, and sends the launches
// for which the ends that it lists suffice. It was answered after the given time.
func (cl *client) endPoll(ad worker.Addr, res worker.PollResult, took time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now, qu := time.Now(), cl.queue(ad.Incarnation)
	qu.polls--
	qu.recordEnds(res, took, now)
	qu.sendReady()
	qu.scheduleProbe()
	cl.expire(now)
}

// queue returns the queue of a worker. The caller holds the lock.
func (cl *client) queue(in worker.Incarnation) *queue {
	qu := cl.workers[in]
	if qu == nil {
		qu = &queue{endedAt: map[worker.Attempt]time.Time{}}
		cl.workers[in] = qu
	}
	return qu
}

// expire removes what is older than retention, and the queues that are left empty. The caller
// holds the lock.
func (cl *client) expire(now time.Time) {
	if now.Sub(cl.expiredAt) < retention {
		return
	}
	cl.expiredAt = now
	for in, qu := range cl.workers {
		if qu.expire(now); qu.empty() {
			delete(cl.workers, in)
		}
	}
}
