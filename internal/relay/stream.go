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

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// payloadRetention is how long an owner takes a relay to have a payload that it last
// named so long ago.
const payloadRetention = 20 * time.Second

// errStreamEnded: what was under way has no answer.
var errStreamEnded = errors.New("stream to the relay has ended")

// stream is the owner's side of one stream. Make one with [newStream], then call
// [stream.run].
type stream struct {
	// via names the relay, for errors; owner and epoch say who opens it.
	via   string
	owner string
	epoch int64
	log   *slog.Logger
	out   *outbox[order]
	// openTimeout is how long it may take to open.
	openTimeout time.Duration
	// onLeaving is called when the relay's host is about to stop.
	onLeaving func()

	mu       sync.Mutex
	ended    bool
	next     int64
	pending  map[int64]chan<- result
	workers  map[worker.Addr]*workerRef
	decoders map[int]*diffDecoder
	// payloads are those that the relay should have, by their hash; named counts
	// those there ever were.
	payloads     map[uint64]payloadRef
	payloadCount int
}

// workerRef is a worker as a stream knows it: its number, and the fencing token of the
// last order to it.
type workerRef struct {
	number int
	fence  int64
}

// named is a payload's number on a stream, and when it was last named there.
type payloadRef struct {
	number int
	last   time.Time
}

// result is what became of an order.
type result struct {
	an answer
	si worker.Sight
	// err is set if there is no answer.
	err error
}

func newStream(via, owner string, epoch int64, log *slog.Logger) *stream {
	return &stream{
		via: via, owner: owner, epoch: epoch, log: log, out: newOutbox[order](), openTimeout: openTimeout,
		pending: map[int64]chan<- result{}, workers: map[worker.Addr]*workerRef{}, decoders: map[int]*diffDecoder{}, payloads: map[uint64]payloadRef{},
	}
}

// run opens the stream at addr, calls opened, and serves it until it ends.
func (st *stream) run(ctx context.Context, hc *http.Client, addr string, opened func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer st.failPending()
	// The watchdog ends the stream if it does not open, or if no frame comes, for too
	// long.
	watchdog := time.AfterFunc(st.openTimeout, cancel)
	defer watchdog.Stop()
	body, in := io.Pipe()
	// The client returns only once the request is written to its end, so the context
	// has to end the body: a stream to a host that never answers would not end else. And
	// once it has returned, its goroutine that writes still waits for that end.
	closing := context.AfterFunc(ctx, func() { _ = in.Close() })
	defer func() { _ = in.Close() }()
	defer closing()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, body)
	if err != nil {
		return fmt.Errorf("request for relay %s: %w", st.via, err)
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
		return fmt.Errorf("open stream to relay %s: status %d", st.via, resp.StatusCode)
	}
	watchdog.Reset(idleTimeout)
	opened()
	return st.read(resp.Body, watchdog)
}

func (st *stream) write(ctx context.Context, cancel context.CancelFunc, in *io.PipeWriter) {
	defer cancel()
	enc := json.NewEncoder(in)
	err := st.out.sendLoop(ctx.Done(), func(list []order) error { return enc.Encode(orderFrame{Orders: list}) })
	if err != nil && ctx.Err() == nil {
		st.log.Info("stream to a relay cannot be written", "relay", st.via, "err", err)
	}
}

func (st *stream) read(body io.Reader, watchdog *time.Timer) error {
	dec := json.NewDecoder(body)
	for {
		var fr answerFrame
		if err := dec.Decode(&fr); err != nil {
			return fmt.Errorf("read frame of relay %s: %w", st.via, err)
		}
		watchdog.Reset(idleTimeout)
		for _, an := range fr.Answers {
			st.deliver(an)
		}
		if fr.Leaving {
			st.onLeaving()
		}
	}
}

// take hands an answer to who waits for it. Looks are put together also if
// nobody does any more: later ones diffEncoder from them.
func (st *stream) deliver(an answer) {
	st.mu.Lock()
	defer st.mu.Unlock()
	re := result{an: an}
	if an.Diff != nil {
		me := st.decoders[an.Worker]
		if me == nil {
			me = &diffDecoder{}
			st.decoders[an.Worker] = me
		}
		re.si = me.decode(an.Diff, an.ClockMS)
	}
	if ch := st.pending[an.N]; ch != nil {
		delete(st.pending, an.N)
		ch <- re
	}
}

// end answers all that is under way with an error.
func (st *stream) failPending() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	for n, ch := range st.pending {
		delete(st.pending, n)
		ch <- result{err: fmt.Errorf("through %s: %w", st.via, errStreamEnded)}
	}
}

// call sends an order and waits for its answer. It returns [worker.ErrNotSent] if
// the order certainly does not get to the worker.
func (st *stream) call(ctx context.Context, ad worker.Addr, or order) (result, error) {
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
		return re, re.an.asError(st.via, ad.Incarnation)
	case <-ctx.Done():
		st.dropPending(n)
		return result{}, fmt.Errorf("through %s: %w", st.via, ctx.Err())
	}
}

// send numbers an order and has it sent.
func (st *stream) send(ctx context.Context, ad worker.Addr, or order, ch chan<- result) (int64, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxOrderTimeout)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return 0, fmt.Errorf("through %s: %w", st.via, worker.ErrNotSent)
	}
	st.next++
	or.N = st.next
	or = or.withTimeout(time.Until(deadline))
	st.setWorker(ad, &or)
	if or.Kind == kindLaunch {
		st.setPayload(&or)
	}
	if !st.out.put(or) {
		return 0, fmt.Errorf("through %s, which has too much to do: %w", st.via, worker.ErrNotSent)
	}
	st.pending[or.N] = ch
	return or.N, nil
}

// name says which worker the order is for, and leaves its fencing token out if that
// is the last one.
func (st *stream) setWorker(ad worker.Addr, or *order) {
	wr := st.workers[ad]
	if wr == nil {
		wr = &workerRef{number: len(st.workers) + 1}
		st.workers[ad] = wr
		or.HostPort, or.Incarnation = ad.HostPort, ad.Incarnation
	}
	or.Worker = wr.number
	if or.Fence == wr.fence {
		or.Fence = 0
		return
	}
	wr.fence = or.Fence
}

// shorten leaves the payload out that the relay has.
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

// expirePayloads takes the relay not to have payloads that were not named for long,
// or any, if all were.
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

// lacks notes that the relay does not have a payload.
func (st *stream) resetPayloads() {
	st.mu.Lock()
	defer st.mu.Unlock()
	clear(st.payloads)
}

// forget has nobody wait for an order any more.
func (st *stream) dropPending(n int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.pending, n)
}
