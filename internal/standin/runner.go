package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Modes of a [Runner] in addition to those of every fake.
const (
	// ModeRefuse refuses every request without running it.
	ModeRefuse Mode = "refuse"
	// ModeHang reads requests and never answers them.
	ModeHang Mode = "hang"
	// ModeWrong answers at once with HTTP status 500 and no run status, without
	// running the request.
	ModeWrong Mode = "wrong"
	// ModeForeign answers with the id of another request.
	ModeForeign Mode = "foreign"
	// ModeCut runs the request and truncates the answer.
	ModeCut Mode = "cut"
	// ModeCloseUnread closes the connection before reading the body.
	ModeCloseUnread Mode = "close-unread"
	// ModeCloseRead closes the connection after reading the body, without running the
	// request.
	ModeCloseRead Mode = "close-read"
	// ModeCloseRun runs the request and closes the connection without an answer.
	ModeCloseRun Mode = "close-run"
)

// RunnerSettings configure how a runner behaves without faults.
type RunnerSettings struct {
	// ID names the runner.
	ID string
	// Slots is how many requests run at the same time; 0 means 8.
	Slots int
	// Mean is the mean service time.
	Mean time.Duration
	// Sigma is the shape of the log-normal distribution of the service time; 0 makes
	// it constant.
	Sigma float64
	// Tick is the time between a session's events; 0 means 100 ms.
	Tick time.Duration
	// LogWriter, if set, gets a line with the id of each request when its run starts,
	// for tests that kill the process.
	LogWriter io.Writer
}

// Run is one entry of a runner's log.
type Run struct {
	// ID is the request's id.
	ID string `json:"id"`
	// Runner ran it.
	Runner string `json:"runner"`
	// Start is when the run started, in Unix nanoseconds.
	Start int64 `json:"start"`
	// Done is set once the run is complete.
	Done bool `json:"done"`
}

// Runner is a fake of a runner. Create one with [NewRunner].
type Runner struct {
	// Faults injects faults into requests, but not into sessions.
	Faults FaultInjector

	settings RunnerSettings

	mu sync.Mutex
	// busy is the number of slots in use.
	busy int
	// leaving is closed, and left set, once the runner takes no new work.
	leaving chan struct{}
	left    bool
	log     []Run
	// slowdown multiplies service times.
	slowdown float64
	refused  int64
}

// NewRunner returns a runner that runs nothing yet.
func NewRunner(settings RunnerSettings) *Runner {
	if settings.Slots == 0 {
		settings.Slots = 8
	}
	if settings.Tick == 0 {
		settings.Tick = 100 * time.Millisecond
	}
	return &Runner{settings: settings, leaving: make(chan struct{}), slowdown: 1}
}

// RunnerOrder changes how a runner behaves; it is the body of requests to /order.
type RunnerOrder struct {
	// Leave makes it take no new work.
	Leave bool `json:"leave,omitempty"`
	// Slow is the factor on service times from now on; 0 leaves the one in force.
	Slow float64 `json:"slow,omitempty"`
}

// Handler serves requests at /run, sessions at /session, the log at /log,
// orders at /order and the fault at /fault.
func (ru *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", ru.serveRun)
	mux.HandleFunc("POST /session", ru.serveSession)
	mux.Handle("POST /log", wire.Handle(func(context.Context, struct{}) ([]Run, error) { return ru.Log(), nil }))
	mux.Handle("POST /order", wire.Handle(func(_ context.Context, or RunnerOrder) (RunnerOrder, error) {
		ru.Order(or)
		return or, nil
	}))
	mux.Handle("POST /fault", ru.Faults.Handle())
	return mux
}

// Order carries out an order.
func (ru *Runner) Order(or RunnerOrder) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if or.Leave && !ru.left {
		ru.left = true
		close(ru.leaving)
	}
	if or.Slow > 0 {
		ru.slowdown = or.Slow
	}
}

// Log returns all runs in the order of their starts.
func (ru *Runner) Log() []Run {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return append([]Run{}, ru.log...)
}

// Refused returns how many requests were refused.
func (ru *Runner) Refused() int64 {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.refused
}

// acquireSlot takes a slot and records the run. It returns the run's index in the log
// and its service time, or the reason why the request is refused.
func (ru *Runner) acquireSlot(id string) (entry int, service time.Duration, reason string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.left {
		ru.refused++
		return 0, 0, runner.ReasonLeaving
	}
	if ru.busy >= ru.settings.Slots {
		ru.refused++
		return 0, 0, runner.ReasonFull
	}
	ru.busy++
	ru.record(id)
	if ru.settings.LogWriter != nil {
		_, _ = fmt.Fprintln(ru.settings.LogWriter, id)
	}
	return len(ru.log) - 1, ru.serviceTime(), ""
}

// RecordRun adds a run to the log as if the request had started to run.
func (ru *Runner) RecordRun(id string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.record(id)
}

func (ru *Runner) record(id string) {
	ru.log = append(ru.log, Run{ID: id, Runner: ru.settings.ID, Start: time.Now().UnixNano()})
}

// releaseSlot frees the slot of a run and marks the run as done.
func (ru *Runner) releaseSlot(entry int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.busy--
	ru.log[entry].Done = true
}

// serviceTime draws a service time from a log-normal distribution whose mean is that of
// the settings times the slowdown.
func (ru *Runner) serviceTime() time.Duration {
	mean := float64(ru.settings.Mean) * ru.slowdown
	if ru.settings.Sigma == 0 {
		return time.Duration(mean)
	}
	si := ru.settings.Sigma
	return time.Duration(mean * math.Exp(si*rand.NormFloat64()-si*si/2))
}

func (ru *Runner) serveRun(w http.ResponseWriter, r *http.Request) {
	fault, _ := ru.Faults.next()
	if fault.Mode == ModeCloseUnread || fault.Mode == ModeDown {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil || fault.Mode == ModeCloseRead {
		panic(http.ErrAbortHandler)
	}
	if fault.Mode == ModeFreeze || fault.Mode == ModeHang {
		// The server notices that the client closed the connection only once the body
		// has been read.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(runner.HeaderID)
	switch fault.Mode {
	case ModeRefuse:
		refuse(w, id, "refuse")
		return
	case ModeWrong:
		w.Header().Set(runner.HeaderID, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case ModeForeign:
		id = "foreign-" + id
	}
	ru.runAndAnswer(w, id, body, fault.Mode)
}

// refuse answers that a request was refused and why.
func refuse(w http.ResponseWriter, id, reason string) {
	w.Header().Set(runner.HeaderID, id)
	w.Header().Set(runner.HeaderStatus, runner.StatusRefused)
	w.Header().Set(runner.HeaderReason, reason)
	if reason == runner.ReasonLeaving {
		w.Header().Set(runner.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (ru *Runner) runAndAnswer(w http.ResponseWriter, id string, body []byte, mode Mode) {
	entry, service, reason := ru.acquireSlot(id)
	if reason != "" {
		refuse(w, id, reason)
		return
	}
	if service > 0 {
		time.Sleep(service)
	}
	ru.releaseSlot(entry)
	answer := Answer(id, body)
	switch mode {
	case ModeCloseRun:
		panic(http.ErrAbortHandler)
	case ModeCut:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	w.Header().Set(runner.HeaderID, id)
	w.Header().Set(runner.HeaderStatus, runner.StatusDone)
	_, _ = w.Write(answer)
	if mode == ModeCut {
		panic(http.ErrAbortHandler)
	}
}

// Answer returns the body with which a runner answers a request. It contains the id, so
// that tests can tell to which request an answer belongs.
func Answer(id string, body []byte) []byte {
	return append([]byte(id+" "), body...)
}

// serveSession streams events after the requested sequence number. An event depends
// only on the topic and the sequence number, so any runner can continue a session.
func (ru *Runner) serveSession(w http.ResponseWriter, r *http.Request) {
	var req runner.SessionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		wire.WriteError(w, &wire.Error{Status: http.StatusBadRequest, Code: wire.CodeMalformed, Message: err.Error()})
		return
	}
	ru.mu.Lock()
	left := ru.left
	ru.mu.Unlock()
	if left {
		refuse(w, req.SessionID, runner.ReasonLeaving)
		return
	}
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	ti := time.NewTicker(ru.settings.Tick)
	defer ti.Stop()
	keepAlive := time.NewTicker(time.Second)
	defer keepAlive.Stop()
	// Send the header at once, since the client waits for it.
	_ = rc.Flush()
	for seq := req.Seq + 1; ; {
		select {
		case <-ti.C:
		case <-keepAlive.C:
			if enc.Encode(runner.SessionEvent{}) != nil || rc.Flush() != nil {
				return
			}
			continue
		case <-ru.leaving:
			_ = enc.Encode(runner.SessionEvent{Moved: true})
			return
		case <-r.Context().Done():
			return
		}
		ev := runner.SessionEvent{Seq: seq, Body: SessionBody(req.Topic, seq), State: []byte(req.Topic)}
		if enc.Encode(ev) != nil || rc.Flush() != nil {
			return
		}
		seq++
	}
}

// SessionBody returns the body of the event with a sequence number.
func SessionBody(topic string, seq uint64) []byte {
	return fmt.Appendf(nil, "%s/%d", topic, seq)
}
