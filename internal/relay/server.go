package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Header fields of a stream's request: who opens it.
const (
	headerOwner = "Pepperhatch-Owner"
	headerEpoch = "Pepperhatch-Epoch"
)

// Bounds on what a relay keeps for one stream.
const (
	// maxPayloads is how many payloads it keeps, each of some thousand bytes; an
	// owner is told if one it names is not there.
	maxPayloads = 2000
	// maxOrderTimeout bounds one order, whatever it says.
	maxOrderTimeout = 5 * time.Second
)

// Server is the relay's side of streams. Set the fields, then use it as a handler.
type Server struct {
	// Agent talks to workers.
	Agent worker.Agent
	// Log gets streams that begin and end.
	Log *slog.Logger

	leaving atomic.Bool
	mu      sync.Mutex
	streams map[*ownerStream]bool
}

// serving is one stream.
type ownerStream struct {
	sv  *Server
	ctx context.Context
	// end ends the stream.
	end context.CancelFunc
	out *outbox[answer]

	// The rest is the reader's alone.
	workers  map[int]*streamWorker
	payloads map[int]string
}

// streamWorker is a worker as a stream knows it.
type streamWorker struct {
	number int
	addr   worker.Addr
	// fence is that of the last order.
	fence int64

	mu          sync.Mutex
	diffEncoder diffEncoder
}

// Leave tells the owners that this host is about to stop.
func (sv *Server) Leave() {
	sv.leaving.Store(true)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for se := range sv.streams {
		se.out.put(answer{})
	}
}

// ServeHTTP implements http.Handler: it serves one stream until that ends.
func (sv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if sv.leaving.Load() {
		http.Error(w, "this host is about to stop", http.StatusServiceUnavailable)
		return
	}
	rc := http.NewResponseController(w)
	if err := errors.Join(rc.EnableFullDuplex(), rc.SetReadDeadline(time.Now().Add(idleTimeout))); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusOK)
	owner, epoch := r.Header.Get(headerOwner), r.Header.Get(headerEpoch)
	sv.Log.Info("relaying for an owner", "owner", owner, "epoch", epoch)
	ctx, cancel := context.WithCancel(r.Context())
	se := &ownerStream{sv: sv, ctx: ctx, end: cancel, out: newOutbox[answer](), workers: map[int]*streamWorker{}, payloads: map[int]string{}}
	sv.register(se)
	defer sv.unregister(se)
	// The response may not be written once this method has returned.
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel()
	writer.Go(func() {
		if err := se.write(w, rc); err != nil {
			sv.Log.Info("stream of an owner cannot be written", "owner", owner, "err", err)
		}
		cancel()
		se.stopReading(rc)
	})
	err := se.read(r.Body, rc)
	sv.Log.Info("no longer relaying for an owner", "owner", owner, "epoch", epoch, "workers", len(se.workers), "err", err)
}

func (sv *Server) register(se *ownerStream) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.streams == nil {
		sv.streams = map[*ownerStream]bool{}
	}
	sv.streams[se] = true
}

func (sv *Server) unregister(se *ownerStream) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.streams, se)
}

// write sends answers until the stream ends.
func (se *ownerStream) write(w io.Writer, rc *http.ResponseController) error {
	enc := json.NewEncoder(w)
	if err := rc.Flush(); err != nil {
		return err
	}
	return se.out.sendLoop(se.ctx.Done(), func(list []answer) error {
		fr := answerFrame{Answers: list, Leaving: se.sv.leaving.Load()}
		if err := errors.Join(rc.SetWriteDeadline(time.Now().Add(idleTimeout)), enc.Encode(fr)); err != nil {
			return fmt.Errorf("write frame: %w", err)
		}
		return rc.Flush()
	})
}

// stopReading ends the wait for the next frame. The context must have ended.
func (se *ownerStream) stopReading(rc *http.ResponseController) {
	if err := rc.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		se.sv.Log.Warn("wait for a frame cannot be ended", "err", err)
	}
}

// maxReadStall is how much longer than a frame may take its reading may, for the time that the
// process waits for a processor.
const maxReadStall = time.Second

// errStalled: the owner has given the stream up, and its orders with it.
var errStalled = errors.New("this process stood still")

// read takes orders until the stream ends. It looks at the context after each change
// of the deadline, lest it put off the one that [ownerStream.stopReading] sets.
func (se *ownerStream) read(body io.Reader, rc *http.ResponseController) error {
	dec := json.NewDecoder(body)
	for {
		asked := time.Now()
		var fr orderFrame
		if err := dec.Decode(&fr); err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		if took := time.Since(asked); took > idleTimeout+maxReadStall {
			return fmt.Errorf("read frame: %w for %v", errStalled, took)
		}
		if err := rc.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		if err := se.ctx.Err(); err != nil {
			return fmt.Errorf("stream was given up: %w", err)
		}
		for _, or := range fr.Orders {
			se.startOrder(or)
		}
	}
}

// take begins one order.
func (se *ownerStream) startOrder(or order) {
	re := se.workers[or.Worker]
	if re == nil || or.HostPort != "" {
		re = &streamWorker{number: or.Worker, addr: worker.Addr{HostPort: or.HostPort, Incarnation: or.Incarnation}}
		se.workers[or.Worker] = re
	}
	if or.Fence == 0 {
		or.Fence = re.fence
	}
	re.fence = or.Fence
	if or.Kind == kindLaunch && !se.loadPayload(&or) {
		se.enqueue(answer{N: or.N, Code: codeNoPayload})
		return
	}
	go se.execute(re, or)
}

// fill gives a launch its payload, and reports whether it is there.
func (se *ownerStream) loadPayload(or *order) bool {
	if or.PayloadID == 0 {
		return true
	}
	if or.PayloadText == "" {
		or.PayloadText = se.payloads[or.PayloadID]
		return or.PayloadText != ""
	}
	if len(se.payloads) >= maxPayloads {
		clear(se.payloads)
	}
	se.payloads[or.PayloadID] = or.PayloadText
	return true
}

// execute carries an order out and answers it.
func (se *ownerStream) execute(re *streamWorker, or order) {
	ctx, cancel := context.WithTimeout(se.ctx, or.timeout())
	defer cancel()
	an := answer{N: or.N}
	ag, at := se.sv.Agent, or.attempt()
	var ack worker.Ack
	var err error
	switch or.Kind {
	case kindLaunch:
		ack, err = ag.LaunchFunc(ctx, re.addr, worker.Launch{Attempt: at, Payload: or.PayloadText, Checkpoint: or.Checkpoint, Fence: or.Fence, LeaseUntilMS: or.LeaseUntilMS})
	case kindHalt:
		ack, err = ag.HaltFunc(ctx, re.addr, worker.Halt{Attempt: at, Fence: or.Fence})
	case kindPace:
		ack, err = ag.PaceFunc(ctx, re.addr, worker.Pace{Attempt: at, Percent: or.Percent, Fence: or.Fence})
	case kindPoll:
		se.poll(ctx, re, or)
		return
	default:
		err = fmt.Errorf("%w: order of kind %q", worker.ErrMalformed, or.Kind)
	}
	an.ClockMS = ack.ClockMS
	se.answer(an, err)
}

// look looks at a worker and answers with what is new. Differences go out in the
// order in which they are made.
func (se *ownerStream) poll(ctx context.Context, re *streamWorker, or order) {
	lo := worker.Look{Fence: or.Fence, Seen: or.AckedEnd, LeaseUntilMS: or.LeaseUntilMS, Wait: time.Duration(or.WaitMS) * time.Millisecond}
	si, err := se.sv.Agent.LookFunc(ctx, re.addr, lo)
	if err != nil {
		se.answer(answer{N: or.N}, err)
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	se.answer(answer{N: or.N, ClockMS: si.ClockMS, Worker: re.number, Diff: re.diffEncoder.encode(si, time.Now())}, nil)
}

func (se *ownerStream) answer(an answer, err error) {
	if err != nil {
		an = an.withError(err)
	}
	se.enqueue(an)
}

// put has an answer be sent. If too many wait it ends the stream: what follows would
// be differences to what the owner never had.
func (se *ownerStream) enqueue(an answer) {
	if se.out.put(an) || se.ctx.Err() != nil {
		return
	}
	se.sv.Log.Warn("ending the stream of an owner, as too many answers wait", "order", an.N)
	se.end()
}
