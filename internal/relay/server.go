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

	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Header fields of the request that opens a stream; they identify the owner.
const (
	headerOwner = "Pepperhatch-Owner"
	headerEpoch = "Pepperhatch-Epoch"
)

// Limits on the state that a relay keeps for one stream.
const (
	// maxPayloads is the maximum number of payloads, of a few kilobytes each. The owner gets
	// codeNoPayload if it refers to one that was removed.
	maxPayloads = 2000
	// maxPayloadBytes bounds their length.
	maxPayloadBytes = maxPayloads * job.MaxPayload
	// maxOrderTimeout is the upper bound on the timeout of an order.
	maxOrderTimeout = 5 * time.Second
)

// Server is the relay's side of streams. Set the exported fields, then use it as an HTTP
// handler.
type Server struct {
	// Agent reaches workers from this host.
	Agent worker.Agent
	// EvacuatedFunc reports whether a data centre is evacuated: launches to its workers are
	// refused, also those that were deferred before. Nil means that none is.
	EvacuatedFunc func(dataCentre string) bool
	// ReserveFunc reserves bytes for long frames, and returns a function that gives them back, or
	// reports that there is no memory for them. Nil means that there is no limit.
	ReserveFunc func(n int64) (release func(), ok bool)
	// Log receives messages on streams that start and end.
	Log *slog.Logger

	leaving atomic.Bool
	mu      sync.Mutex
	streams map[*ownerStream]bool
}

// ownerStream is the stream of one owner.
type ownerStream struct {
	sv  *Server
	ctx context.Context
	// end cancels ctx, which ends the stream.
	end context.CancelFunc
	out *outbox[answer]
	// agent reaches workers for this stream; it holds the deferred launches.
	agent worker.Agent

	// The remaining fields are used only by the goroutine that reads the stream.
	workers  map[int]*streamWorker
	payloads map[int]string
	// payloadBytes is the length of all payloads.
	payloadBytes int
}

// streamWorker is the state that a stream keeps on one worker.
type streamWorker struct {
	number int
	addr   worker.Addr
	// fence is the fencing token of the last order.
	fence int64

	mu      sync.Mutex
	encoder diffEncoder
}

// Leave notifies the owners that this host is about to stop; new streams are refused. An empty
// answer makes each stream send a frame at once, which carries the notice.
func (sv *Server) Leave() {
	sv.leaving.Store(true)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for se := range sv.streams {
		se.out.put(answer{})
	}
}

// ServeHTTP implements http.Handler. It serves one stream until the stream ends.
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
	se := sv.newStream(ctx, cancel)
	sv.register(se)
	defer sv.unregister(se)
	// The response must not be written after this method has returned.
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel()
	writer.Go(func() {
		if err := se.write(w, rc); err != nil {
			sv.Log.Info("cannot write to the stream of an owner", "owner", owner, "err", err)
		}
		cancel()
		se.stopReading(rc)
	})
	err := se.read(r.Body, rc)
	sv.Log.Info("no longer relaying for an owner", "owner", owner, "epoch", epoch, "workers", len(se.workers), "err", err)
}

// newStream returns the state of a stream that lasts as long as ctx, which end cancels.
func (sv *Server) newStream(ctx context.Context, end context.CancelFunc) *ownerStream {
	return &ownerStream{
		sv: sv, ctx: ctx, end: end, out: newOutbox[answer](), agent: deferral.Wrap(evacuation.Guard(sv.Agent, sv.EvacuatedFunc)),
		workers: map[int]*streamWorker{}, payloads: map[int]string{},
	}
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

// stopReading interrupts the wait for the next frame. The stream's context must have ended
// before the call.
func (se *ownerStream) stopReading(rc *http.ResponseController) {
	if err := rc.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		se.sv.Log.Warn("cannot interrupt reading a stream", "err", err)
	}
}

// maxReadStall is by how much the time between frames may exceed the idle timeout, to allow for
// scheduling delay of this process.
const maxReadStall = time.Second

// errStalled is returned if this process did not run for so long that the owner has given up
// the stream and the orders on it.
var errStalled = errors.New("this process stood still")

// read starts the orders it receives until the stream ends. It checks the context after each
// change of the read deadline, as that may overwrite the deadline set by
// [ownerStream.stopReading].
func (se *ownerStream) read(body io.Reader, rc *http.ResponseController) error {
	frames := &wire.FrameReader{Reader: body, MaxBytes: maxFrameBytes, ReserveFunc: se.sv.ReserveFunc}
	defer frames.Close()
	dec := json.NewDecoder(frames)
	last := time.Now()
	for {
		var fr orderFrame
		if err := dec.Decode(&fr); err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		frames.Next()
		got := time.Now()
		if took := got.Sub(last); took > idleTimeout+maxReadStall {
			return fmt.Errorf("read frame: %w for %v", errStalled, took)
		}
		last = got
		if err := rc.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		if err := se.ctx.Err(); err != nil {
			return fmt.Errorf("stream closed: %w", err)
		}
		for _, or := range fr.Orders {
			se.startOrder(or, got)
		}
	}
}

// startOrder starts the execution of one order, which was received at the given time.
func (se *ownerStream) startOrder(or order, got time.Time) {
	sw := se.workers[or.Worker]
	if sw == nil || or.HostPort != "" {
		sw = &streamWorker{number: or.Worker, addr: worker.Addr{HostPort: or.HostPort, Incarnation: or.Incarnation, DataCentre: or.DataCentre}}
		se.workers[or.Worker] = sw
	}
	if or.Fence == 0 {
		or.Fence = sw.fence
	}
	sw.fence = or.Fence
	if or.Kind == kindLaunch && !se.loadPayload(&or) {
		se.enqueue(answer{N: or.N, Code: codeNoPayload})
		return
	}
	go se.execute(sw, or, got)
}

// loadPayload sets the payload of a launch, and reports whether the relay has it.
func (se *ownerStream) loadPayload(or *order) bool {
	if or.PayloadID == 0 {
		return true
	}
	if or.PayloadText == "" {
		or.PayloadText = se.payloads[or.PayloadID]
		return or.PayloadText != ""
	}
	if se.payloadBytes += len(or.PayloadText); len(se.payloads) >= maxPayloads || se.payloadBytes > maxPayloadBytes {
		clear(se.payloads)
		se.payloadBytes = len(or.PayloadText)
	}
	se.payloads[or.PayloadID] = or.PayloadText
	return true
}

// execute sends an order to its worker and queues the answer. If this process did not run for as
// long as the owner waits, the order is not sent.
func (se *ownerStream) execute(sw *streamWorker, or order, got time.Time) {
	ctx, cancel := context.WithDeadline(se.ctx, got.Add(or.timeout()))
	defer cancel()
	an := answer{N: or.N}
	if err := ctx.Err(); err != nil {
		se.answer(an, err)
		return
	}
	ag, at := se.agent, or.attempt()
	var ack worker.Ack
	var err error
	switch or.Kind {
	case kindLaunch:
		ack, err = ag.LaunchFunc(ctx, sw.addr, worker.Launch{
			Attempt: at, Payload: or.PayloadText, Checkpoint: or.Checkpoint, Fence: or.Fence, LeaseUntilMS: or.LeaseUntilMS, Deferral: or.deferral(),
		})
	case kindHalt:
		ack, err = ag.HaltFunc(ctx, sw.addr, worker.Halt{Attempt: at, Fence: or.Fence})
	case kindPace:
		ack, err = ag.PaceFunc(ctx, sw.addr, worker.Pace{Attempt: at, Percent: or.Percent, Fence: or.Fence})
	case kindPoll:
		se.poll(ctx, sw, or)
		return
	default:
		err = fmt.Errorf("%w: unknown kind of order %q", worker.ErrMalformed, or.Kind)
	}
	an.ClockMS, an.FreedMS = ack.ClockMS, ack.FreedMS
	se.answer(an, err)
}

// poll polls a worker and queues the difference from the previous poll. The lock ensures that
// differences are sent in the order in which they are computed.
func (se *ownerStream) poll(ctx context.Context, sw *streamWorker, or order) {
	po := worker.Poll{Fence: or.Fence, AckedEnd: or.AckedEnd, LeaseUntilMS: or.LeaseUntilMS, Wait: time.Duration(or.WaitMS) * time.Millisecond}
	res, err := se.agent.PollFunc(ctx, sw.addr, po)
	if err != nil {
		se.answer(answer{N: or.N}, err)
		return
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	se.answer(answer{N: or.N, ClockMS: res.ClockMS, Worker: sw.number, Diff: sw.encoder.encode(res, time.Now())}, nil)
}

func (se *ownerStream) answer(an answer, err error) {
	if err != nil {
		an = an.withError(err)
	}
	se.enqueue(an)
}

// enqueue queues an answer. If the queue is full it ends the stream, as later answers would be
// relative to one that the owner never received.
func (se *ownerStream) enqueue(an answer) {
	if se.out.put(an) || se.ctx.Err() != nil {
		return
	}
	se.sv.Log.Warn("ending the stream of an owner: too many answers queued", "order", an.N)
	se.end()
}
