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

// Ways for a runner to misbehave, besides those of every stand-in.
const (
	// ModeRefuse refuses every request before running it.
	ModeRefuse Mode = "refuse"
	// ModeHang takes requests and never answers.
	ModeHang Mode = "hang"
	// ModeWrong answers fast, without running and without a status.
	ModeWrong Mode = "wrong"
	// ModeForeign answers under another request's id.
	ModeForeign Mode = "foreign"
	// ModeCut runs the request and cuts the answer short.
	ModeCut Mode = "cut"
	// ModeCloseUnread closes the connection before reading the body.
	ModeCloseUnread Mode = "close-unread"
	// ModeCloseRead closes the connection after reading the body, not run.
	ModeCloseRead Mode = "close-read"
	// ModeCloseRun closes the connection after running, unanswered.
	ModeCloseRun Mode = "close-run"
)

// RunnerSettings say how a runner behaves when all is well.
type RunnerSettings struct {
	// ID names the runner.
	ID string
	// Slots is how many requests run at a time.
	Slots int
	// Mean is the mean service time.
	Mean time.Duration
	// Sigma is the shape of its log-normal spread; 0 makes it constant.
	Sigma float64
	// Tick is the time between a session's events.
	Tick time.Duration
	// LogWriter gets a line with the id of each request as its run begins, for
	// trials in which the process is killed; nil gets none.
	LogWriter io.Writer
}

// Run is one entry of a runner's log.
type Run struct {
	// ID is the request's id.
	ID string `json:"id"`
	// Runner ran it.
	Runner string `json:"runner"`
	// Start is when, in Unix nanoseconds.
	Start int64 `json:"start"`
	// Done is set once it ran to its end.
	Done bool `json:"done"`
}

// Runner stands in for a runner. Make one with [NewRunner].
type Runner struct {
	// Gate is the runner's fault.
	Faults FaultInjector

	set RunnerSettings

	mu      sync.Mutex
	busy    int
	leaving chan struct{}
	left    bool
	log     []Run
	slow    float64
	refused int64
}

// NewRunner returns a runner.
func NewRunner(set RunnerSettings) *Runner {
	if set.Slots == 0 {
		set.Slots = 8
	}
	if set.Tick == 0 {
		set.Tick = 100 * time.Millisecond
	}
	return &Runner{set: set, leaving: make(chan struct{}), slow: 1}
}

// RunnerOrder is what a runner is told at /order.
type RunnerOrder struct {
	// Leave makes it take no new work.
	Leave bool `json:"leave,omitempty"`
	// Slow multiplies service times; 0 leaves them as they are.
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

// Order tells the runner something.
func (ru *Runner) Order(or RunnerOrder) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if or.Leave && !ru.left {
		ru.left = true
		close(ru.leaving)
	}
	if or.Slow > 0 {
		ru.slow = or.Slow
	}
}

// Log returns all runs begun, in order.
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

// begin takes a slot, or says why not.
func (ru *Runner) begin(id string) (entry int, service time.Duration, reason string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.left {
		ru.refused++
		return 0, 0, runner.ReasonLeaving
	}
	if ru.busy >= ru.set.Slots {
		ru.refused++
		return 0, 0, runner.ReasonFull
	}
	ru.busy++
	ru.note(id)
	if ru.set.LogWriter != nil {
		_, _ = fmt.Fprintln(ru.set.LogWriter, id)
	}
	return len(ru.log) - 1, ru.serviceTime(), ""
}

// Note enters a run into the log, as if the request had begun to run.
func (ru *Runner) RecordRun(id string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.note(id)
}

func (ru *Runner) note(id string) {
	ru.log = append(ru.log, Run{ID: id, Runner: ru.set.ID, Start: time.Now().UnixNano()})
}

func (ru *Runner) end(entry int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.busy--
	ru.log[entry].Done = true
}

// serviceTime draws a log-normal time with the mean set.
func (ru *Runner) serviceTime() time.Duration {
	mean := float64(ru.set.Mean) * ru.slow
	if ru.set.Sigma == 0 {
		return time.Duration(mean)
	}
	si := ru.set.Sigma
	return time.Duration(mean * math.Exp(si*rand.NormFloat64()-si*si/2))
}

func (ru *Runner) serveRun(w http.ResponseWriter, r *http.Request) {
	fault, _ := ru.Faults.take()
	if fault.Mode == ModeCloseUnread || fault.Mode == ModeDown {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil || fault.Mode == ModeCloseRead {
		panic(http.ErrAbortHandler)
	}
	if fault.Mode == ModeFreeze || fault.Mode == ModeHang {
		// The server sees that the client left only once the body is read.
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
	entry, service, reason := ru.begin(id)
	if reason != "" {
		refuse(w, id, reason)
		return
	}
	if service > 0 {
		time.Sleep(service)
	}
	ru.end(entry)
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

// Answer is the answer of a runner to a request, by which tests tell whose it
// is.
func Answer(id string, body []byte) []byte {
	return append([]byte(id+" "), body...)
}

// serveSession streams events from after the sequence number asked for. The
// state is the topic and number, so that any runner can go on.
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
	ti := time.NewTicker(ru.set.Tick)
	defer ti.Stop()
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	// The head goes out at once: the opener waits for it.
	_ = rc.Flush()
	for seq := req.Seq + 1; ; {
		select {
		case <-ti.C:
		case <-alive.C:
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

// SessionBody is the body of a session's event.
func SessionBody(topic string, seq uint64) []byte {
	return fmt.Appendf(nil, "%s/%d", topic, seq)
}
