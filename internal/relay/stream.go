package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// payloadRetention is how long after its last use on a stream the owner assumes that the relay
// still has a payload.
const payloadRetention = 20 * time.Second

// errStreamEnded is returned for orders in progress when the stream ends; they have no answer.
var errStreamEnded = errors.New("stream to the relay has ended")

// stream is the owner's side of one stream. Create it with [newStream], then call
// [stream.run].
type stream struct {
	// via is the name of the relay. owner and epoch identify the owner that opens the stream.
	via   string
	owner string
	epoch int64
	log   *slog.Logger
	out   *outbox[queuedOrder]
	// openTimeout bounds the time until the stream is open.
	openTimeout time.Duration
	// onLeaving is called when the relay's host is about to stop.
	onLeaving func()

	mu       sync.Mutex
	ended    bool
	lastN    int64
	pending  map[int64]chan<- result
	workers  map[worker.Addr]*workerRef
	decoders map[int]*diffDecoder
	// payloads are those that the relay is assumed to have, by hash. payloadCount is the
	// number of payloads sent so far.
	payloads     map[uint64]payloadRef
	payloadCount int
}

// workerRef is the number of a worker on a stream, and the fencing token of the last order to
// the worker.
type workerRef struct {
	number int
	fence  int64
}

// payloadRef is the number of a payload on a stream, and when it was last used there.
type payloadRef struct {
	number int
	last   time.Time
}

// queuedOrder is an order that waits to be written. What is sent to the relay only once is left out
// when it is written, so that an order that is dropped before leaves no gap.
type queuedOrder struct {
	order

	addr     worker.Addr
	deadline time.Time
}

// result is the outcome of an order.
type result struct {
	answer answer
	poll   worker.PollResult
	// err is set if there is no answer.
	err error
}

// newStream returns a stream to the relay via for the owner of an epoch.
func newStream(via, owner string, epoch int64, log *slog.Logger) *stream {
	return &stream{
		via: via, owner: owner, epoch: epoch, log: log, out: newOutbox[queuedOrder](), openTimeout: openTimeout,
		pending: map[int64]chan<- result{}, workers: map[worker.Addr]*workerRef{}, decoders: map[int]*diffDecoder{}, payloads: map[uint64]payloadRef{},
	}
}

// run opens the stream at addr, calls opened, and serves the stream until it ends.
func (st *stream) run(ctx context.Context, hc *http.Client, addr string, opened func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer st.failPending()
	// The watchdog ends the stream if it does not open, or if no frame arrives, in time.
	watchdog := time.AfterFunc(st.openTimeout, cancel)
	defer watchdog.Stop()
	body, in := io.Pipe()
	// The client returns only once the request body has ended, so the end of the context has
	// to close the body: otherwise a stream to a host that never answers would not end. After
	// the client has returned, its goroutine that writes the request still waits for the end
	// of the body.
	closing := context.AfterFunc(ctx, func() { _ = in.Close() })
	defer func() { _ = in.Close() }()
	defer closing()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, body)
	if err != nil {
		return fmt.Errorf("create request to relay %s: %w", st.via, err)
	}
	req.Header.Set(headerOwner, st.owner)
	req.Header.Set(headerEpoch, strconv.FormatInt(st.epoch, 10))
	go st.write(ctx, cancel, in)
	resp, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("open stream to relay %s: %w", st.via, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("open stream to relay %s: unexpected status %d", st.via, resp.StatusCode)
	}
	watchdog.Reset(idleTimeout)
	opened()
	return st.read(resp.Body, watchdog)
}

func (st *stream) write(ctx context.Context, cancel context.CancelFunc, in *io.PipeWriter) {
	defer cancel()
	enc := json.NewEncoder(in)
	err := st.out.sendLoop(ctx.Done(), func(list []queuedOrder) error { return enc.Encode(orderFrame{Orders: st.toWrite(list)}) })
	if err != nil && ctx.Err() == nil {
		st.log.Info("cannot write to the stream to a relay", "relay", st.via, "err", err)
	}
}

func (st *stream) read(body io.Reader, watchdog *time.Timer) error {
	frames := &wire.FrameReader{Reader: body, MaxBytes: maxFrameBytes}
	dec := json.NewDecoder(frames)
	for {
		var fr answerFrame
		if err := dec.Decode(&fr); err != nil {
			return fmt.Errorf("read frame from relay %s: %w", st.via, err)
		}
		frames.Next()
		watchdog.Reset(idleTimeout)
		for _, an := range fr.Answers {
			st.deliver(an)
		}
		if fr.Leaving {
			st.onLeaving()
		}
	}
}

// deliver passes an answer to the caller that waits for it. Poll results are decoded even if
// no caller waits any more, as later ones are relative to them.
func (st *stream) deliver(an answer) {
	st.mu.Lock()
	defer st.mu.Unlock()
	re := result{answer: an}
	if an.Diff != nil {
		de := st.decoders[an.Worker]
		if de == nil {
			de = &diffDecoder{}
			st.decoders[an.Worker] = de
		}
		re.poll = de.decode(an.Diff, an.ClockMS)
	}
	if ch := st.pending[an.N]; ch != nil {
		delete(st.pending, an.N)
		ch <- re
	}
}

// failPending completes all orders in progress with an error.
func (st *stream) failPending() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	for n, ch := range st.pending {
		delete(st.pending, n)
		ch <- result{err: fmt.Errorf("through relay %s: %w", st.via, errStreamEnded)}
	}
}

// call sends an order and waits for its answer. It returns [worker.ErrNotSent] if the order
// certainly does not reach the worker.
func (st *stream) call(ctx context.Context, ad worker.Addr, or order) (result, error) {
	// A relay that keeps its stream open may lose an order all the same.
	ctx, cancel := context.WithTimeout(ctx, maxOrderTimeout)
	defer cancel()
	ch := make(chan result, 1)
	n, err := st.send(ctx, ad, or, ch)
	if err != nil {
		return result{}, err
	}
	select {
	case re := <-ch:
		if re.err != nil {
			return re, re.err
		}
		return re, re.answer.asError(st.via, ad.Incarnation)
	case <-ctx.Done():
		st.dropPending(n)
		return result{}, fmt.Errorf("through relay %s: %w", st.via, ctx.Err())
	}
}

// send numbers an order and queues it; its result is sent on ch. It returns the number.
func (st *stream) send(ctx context.Context, ad worker.Addr, or order, ch chan<- result) (int64, error) {
	deadline, _ := ctx.Deadline()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return 0, fmt.Errorf("through relay %s: %w", st.via, worker.ErrNotSent)
	}
	st.lastN++
	or.N = st.lastN
	if !st.out.put(queuedOrder{order: or, addr: ad, deadline: deadline}) {
		return 0, fmt.Errorf("through relay %s, whose queue of orders is full: %w", st.via, worker.ErrNotSent)
	}
	st.pending[or.N] = ch
	return or.N, nil
}

// toWrite returns the orders of a frame: those for whose answers a caller still waits. By the time
// that an order which was given up reached its worker, another process could run there.
func (st *stream) toWrite(list []queuedOrder) orderList {
	st.mu.Lock()
	defer st.mu.Unlock()
	orders := make(orderList, 0, len(list))
	for _, qo := range list {
		if st.pending[qo.N] == nil {
			continue
		}
		or := qo.withTimeout(time.Until(qo.deadline))
		st.setWorker(qo.addr, &or)
		if or.Kind == kindLaunch {
			st.setPayload(&or)
		}
		orders = append(orders, or)
	}
	return orders
}

// setWorker sets the worker of an order, and leaves out its fencing token if that is the same
// as in the previous order to the worker.
func (st *stream) setWorker(ad worker.Addr, or *order) {
	wr := st.workers[ad]
	if wr == nil {
		wr = &workerRef{number: len(st.workers) + 1}
		st.workers[ad] = wr
		or.HostPort, or.Incarnation, or.DataCentre = ad.HostPort, ad.Incarnation, ad.DataCentre
	}
	or.Worker = wr.number
	if or.Fence == wr.fence {
		or.Fence = 0
		return
	}
	wr.fence = or.Fence
}

// setPayload sets the number of a launch's payload, and leaves out its text if the relay has
// it.
func (st *stream) setPayload(or *order) {
	if or.PayloadText == "" {
		return
	}
	now, hash := time.Now(), xxhash.Sum64String(or.PayloadText)
	if len(st.payloads) >= maxPayloads/2 {
		st.expirePayloads(now)
	}
	pr, ok := st.payloads[hash]
	if ok && now.Sub(pr.last) < payloadRetention {
		or.PayloadText = ""
	} else {
		st.payloadCount++
		pr.number = st.payloadCount
	}
	pr.last = now
	st.payloads[hash] = pr
	or.PayloadID = pr.number
}

// expirePayloads removes payloads that were not used for payloadRetention, or all if too many
// are left.
func (st *stream) expirePayloads(now time.Time) {
	for hash, pr := range st.payloads {
		if now.Sub(pr.last) >= payloadRetention {
			delete(st.payloads, hash)
		}
	}
	if len(st.payloads) >= maxPayloads/2 {
		clear(st.payloads)
	}
}

// resetPayloads removes all payloads, after the relay has reported that one is missing.
func (st *stream) resetPayloads() {
	st.mu.Lock()
	defer st.mu.Unlock()
	clear(st.payloads)
}

// dropPending removes an order for whose answer no caller waits any more.
func (st *stream) dropPending(n int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.pending, n)
}
