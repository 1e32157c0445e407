package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/load"
)

// outputOption selects the output format.
type outputOption struct {
	Output string `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"output format"`
}

func (oo outputOption) json() bool { return oo.Output == "json" }

// entryOptions select the entry hosts that the caller commands use.
type entryOptions struct {
	Entry []string `long:"entry" env:"PEPPERHATCH_ENTRY" env-delim:"," default:"127.0.0.1:7400" description:"caller address of an entry host; several are used in turn"`
}

func (eo entryOptions) client() *caller.Client {
	return caller.New(newHTTPClient(), eo.Entry...)
}

// maxIdleConnsPerHost bounds the idle connections kept open to one entry host.
const maxIdleConnsPerHost = 512

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
}

type callCommand struct {
	entryOptions
	outputOption

	Service  string        `long:"service" required:"true" description:"service to call"`
	Method   string        `long:"method" default:"call" description:"method to call"`
	ID       string        `long:"id" description:"request ID; default is a new one"`
	Batch    bool          `long:"batch" description:"send as batch class, served after latency-critical requests"`
	RunOnce  bool          `long:"run-once" description:"run at most once: not retried once it may have run"`
	Home     string        `long:"home" description:"data centre that tracks a new run-once ID"`
	Deadline time.Duration `long:"deadline" description:"deadline, from now"`
	Args     struct {
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (cc *callCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	req := &pb.CallRequest{
		Id: cc.ID, Service: cc.Service, Method: cc.Method, Body: []byte(cc.Args.Body),
		RunOnce: cc.RunOnce, DeadlineMs: uint32(cc.Deadline.Milliseconds()),
	}
	if cc.Batch {
		req.Class = pb.Class_CLASS_BATCH
	}
	if req.GetId() == "" {
		req.Id = claim.NewID(cc.Home)
	}
	resp, err := cc.client().Call(ctx, req)
	if err != nil {
		return callError(req.GetId(), err)
	}
	if cc.json() {
		return json.NewEncoder(cc.st.out).Encode(map[string]any{
			"id": resp.GetId(), "body": string(resp.GetBody()), "runner": resp.GetRunner(), "attempts": resp.GetAttempts(),
		})
	}
	_, err = fmt.Fprintf(cc.st.out, "%s\n", resp.GetBody())
	return err
}

// callError returns a failed call's error with the exit code of its outcome.
func callError(id string, err error) error {
	fa := caller.FailureOf(err)
	code, outcome := ExitUnknown, "unknown"
	if fa.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		code, outcome = ExitNotRun, "not run"
	}
	text := fmt.Sprintf("%s: %s: %s", id, outcome, fa.GetReason())
	if fa.GetRetryAfterMs() > 0 {
		text += fmt.Sprintf("; retry after %d ms", fa.GetRetryAfterMs())
	}
	return &exitError{code: code, err: errors.New(text)}
}

type loadCommand struct {
	entryOptions
	outputOption

	Service         string        `long:"service" required:"true" description:"service to call"`
	Method          string        `long:"method" default:"load" description:"method to call"`
	Rate            float64       `long:"rate" default:"100" description:"requests per second"`
	Duration        time.Duration `long:"for" default:"10s" description:"how long to send"`
	BatchFraction   float64       `long:"batch" default:"0" description:"fraction of batch requests, 0 to 1"`
	RunOnceFraction float64       `long:"run-once" default:"0" description:"fraction of run-once requests, 0 to 1"`
	Home            string        `long:"home" description:"data centre that tracks run-once IDs"`
	Deadline        time.Duration `long:"deadline" description:"deadline of each request, from when it is sent"`
	BodyBytes       int           `long:"body" default:"64" description:"size of a request body in bytes"`
	Check           bool          `long:"check" description:"compare answers with the expected ones of stand-in runners; exit code 6 on a mismatch"`

	st *streams
}

// Execute implements flags.Commander.
func (lc *loadCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	set := load.Settings{
		Rate: lc.Rate, Duration: lc.Duration, Service: lc.Service, Method: lc.Method, BatchFraction: lc.BatchFraction, RunOnceFraction: lc.RunOnceFraction,
		Home: lc.Home, Deadline: lc.Deadline, BodyBytes: lc.BodyBytes, Check: lc.Check, Progress: lc.st.err,
	}
	re := load.Run(ctx, lc.client(), set)
	write := re.WriteText
	if lc.json() {
		write = re.WriteJSON
	}
	if err := write(lc.st.out); err != nil {
		return err
	}
	if re.Wrong > 0 {
		return &exitError{code: ExitViolation, err: fmt.Errorf("%d answers did not match their request", re.Wrong)}
	}
	return nil
}

type watchCommand struct {
	entryOptions
	outputOption

	Service   string `long:"service" description:"service that provides the session"`
	Topic     string `long:"topic" default:"all" description:"topic to watch"`
	Token     string `long:"resume" description:"resume token of the last event received"`
	MaxEvents uint64 `long:"events" description:"exit after this many events; default is no limit"`

	st *streams
}

// errEventLimit ends the session once --events have been printed.
var errEventLimit = errors.New("event limit reached")

// Execute implements flags.Commander.
func (wc *watchCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	var n uint64
	req := &pb.WatchRequest{Service: wc.Service, Topic: wc.Topic, ResumeToken: wc.Token}
	err := wc.client().Watch(ctx, req, func(ev *pb.WatchResponse) error {
		if err := wc.print(ev); err != nil {
			return err
		}
		n++
		if wc.MaxEvents > 0 && n >= wc.MaxEvents {
			return errEventLimit
		}
		return nil
	})
	if errors.Is(err, errEventLimit) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (wc *watchCommand) print(ev *pb.WatchResponse) error {
	if wc.json() {
		return json.NewEncoder(wc.st.out).Encode(map[string]any{
			"session": ev.GetSessionId(), "seq": ev.GetSeq(), "body": string(ev.GetBody()), "resume": ev.GetResumeToken(),
		})
	}
	_, err := fmt.Fprintf(wc.st.out, "%d %s\n", ev.GetSeq(), ev.GetBody())
	return err
}
