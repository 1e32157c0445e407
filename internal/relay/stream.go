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

// payloadKept is how long an owner takes a relay to have a payload that it last
// named so long ago.
const payloadKept = 20 * time.Second

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
	// openMost is how long it may take to open.
	openMost time.Duration
	// onLeaving is called when the relay's host is about to stop.
	onLeaving func()

	mu      sync.Mutex
	ended   bool
	next    int64
	waiting map[int64]chan<- result
	workers map[worker.Addr]*peer
	mergers map[int]*merger
	// payloads are those that the relay should have, by their hash; named counts
	// those there ever were.
	payloads map[uint64]named
	named    int
}

// peer is a worker as a stream knows it: its number, and the fencing token of the
// last order to it.
type peer struct {
	number int
	fence  int64
}

// named is a payload's number on a stream, and when it was last named there.
type named struct {
	number int
	last   time.Time
}

// result is what became of an order.
type result struct {
	an answer
	si worker.PollResult
	// err is set if there is no answer.
	err error
}

func newStream(via, owner string, epoch int64, log *slog.Logger) *stream {
	return &stream{
		via: via, owner: owner, epoch: epoch, log: log, out: newOutbox[order](), openMost: openMost,
		waiting: map[int64]chan<- result{}, workers: map[worker.Addr]*peer{}, mergers: map[int]*merger{}, payloads: map[uint64]named{},
	}
}

// run opens the stream at addr, calls opened, and serves it until it ends.
func (st *stream) run(ctx context.Context, hc *http.Client, addr string, opened func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer st.end()
	// The watchdog ends the stream if it does not open, or if no frame comes, for too
	// long.
	watchdog := time.AfterFunc(st.openMost, cancel)
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
	watchdog.Reset(silentMost)
	opened()
	return st.read(resp.Body, watchdog)
}

func (st *stream) write(ctx context.Context, cancel context.CancelFunc, in *io.PipeWriter) {
	defer cancel()
	enc := json.NewEncoder(in)
	err := st.out.pump(ctx.Done(), func(list []order) error { return enc.Encode(orders{Orders: list}) })
	if err != nil && ctx.Err() == nil {
		st.log.Info("stream to a relay cannot be written", "relay", st.via, "err", err)
	}
}

func (st *stream) read(body io.Reader, watchdog *time.Timer) error {
	dec := json.NewDecoder(body)
	for {
		var fr answers
		if err := dec.Decode(&fr); err != nil {
			return fmt.Errorf("read frame of relay %s: %w", st.via, err)
		}
		watchdog.Reset(silentMost)
		for _, an := range fr.Answers {
			st.take(an)
		}
		if fr.Leaving {
			st.onLeaving()
		}
	}
}

// take hands an answer to who waits for it. Looks are put together also if
// nobody does any more: later ones differ from them.
func (st *stream) take(an answer) {
	st.mu.Lock()
	defer st.mu.Unlock()
	re := result{an: an}
	if an.Listed != nil {
		me := st.mergers[an.Worker]
		if me == nil {
			me = &merger{}
			st.mergers[an.Worker] = me
		}
		re.si = me.merge(an.Listed, an.ClockMS)
	}
	if ch := st.waiting[an.N]; ch != nil {
		delete(st.waiting, an.N)
		ch <- re
	}
}

// end answers all that is under way with an error.
func (st *stream) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	for n, ch := range st.waiting {
		delete(st.waiting, n)
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
		st.forget(n)
		return result{}, fmt.Errorf("through %s: %w", st.via, ctx.Err())
	}
}

// send numbers an order and has it sent.
func (st *stream) send(ctx context.Context, ad worker.Addr, or order, ch chan<- result) (int64, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(timeoutMost)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return 0, fmt.Errorf("through %s: %w", st.via, worker.ErrNotSent)
	}
	st.next++
	or.N = st.next
	or = or.withTimeout(time.Until(deadline))
	st.name(ad, &or)
	if or.Kind == kindLaunch {
		st.shorten(&or)
	}
	if !st.out.put(or) {
		return 0, fmt.Errorf("through %s, which has too much to do: %w", st.via, worker.ErrNotSent)
	}
	st.waiting[or.N] = ch
	return or.N, nil
}

// name says which worker the order is for, and leaves its fencing token out if that
// is the last one.
func (st *stream) name(ad worker.Addr, or *order) {
	pe := st.workers[ad]
	if pe == nil {
		pe = &peer{number: len(st.workers) + 1}
		st.workers[ad] = pe
		or.HostPort, or.Incarnation = ad.HostPort, ad.Incarnation
	}
	or.Worker = pe.number
	if or.Fence == pe.fence {
		or.Fence = 0
		return
	}
	pe.fence = or.Fence
}

// shorten leaves the payload out that the relay has.
func (st *stream) shorten(or *order) {
	if or.Text == "" {
		return
	}
	now, hash := time.Now(), xxhash.Sum64String(or.Text)
	if len(st.payloads) >= payloadsMost/2 {
		st.forgetPayloads(now)
	}
	na, ok := st.payloads[hash]
	if ok && now.Sub(na.last) < payloadKept {
		or.Text = ""
	} else {
		st.named++
		na.number = st.named
	}
	na.last = now
	st.payloads[hash] = na
	or.Payload = na.number
}

// forgetPayloads takes the relay not to have payloads that were not named for long,
// or any, if all were.
func (st *stream) forgetPayloads(now time.Time) {
	for hash, na := range st.payloads {
		if now.Sub(na.last) >= payloadKept {
			delete(st.payloads, hash)
		}
	}
	if len(st.payloads) >= payloadsMost/2 {
		clear(st.payloads)
	}
}

// lacks notes that the relay does not have a payload.
func (st *stream) lacks() {
	st.mu.Lock()
	defer st.mu.Unlock()
	clear(st.payloads)
}

// forget has nobody wait for an order any more.
func (st *stream) forget(n int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.waiting, n)
}
