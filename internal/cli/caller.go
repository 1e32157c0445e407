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

// outputOption chooses between text and JSON.
type outputOption struct {
	Output string `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"form of what is printed"`
}

func (oo outputOption) json() bool { return oo.Output == "json" }

// entryOptions name the entry hosts that a caller's commands talk to.
type entryOptions struct {
	Entry []string `long:"entry" env:"PEPPERHATCH_ENTRY" env-delim:"," default:"127.0.0.1:7400" description:"address of an entry host for callers; several are used in turn"`
}

func (eo entryOptions) client() *caller.Client {
	return caller.New(webClient(), eo.Entry...)
}

// conns is how many idle connections the commands keep to one host.
const conns = 512

func webClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}}
}

type callCommand struct {
	entryOptions
	outputOption

	Service  string        `long:"service" required:"true" description:"service to ask"`
	Method   string        `long:"method" default:"call" description:"kind of request"`
	ID       string        `long:"id" description:"id of the request; default is a new one"`
	Batch    bool          `long:"batch" description:"batch work: goes after latency-critical requests"`
	Once     bool          `long:"run-once" description:"at most once: never sent again once it may have run"`
	Home     string        `long:"home" description:"data centre that vouches for a new run-once id"`
	Deadline time.Duration `long:"deadline" description:"time to the deadline"`
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
		RunOnce: cc.Once, DeadlineMs: uint32(cc.Deadline.Milliseconds()),
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

// callError gives the outcome an exit code.
func callError(id string, err error) error {
	fa := caller.FailureOf(err)
	code, outcome := ExitUnknown, "unknown"
	if fa.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		code, outcome = ExitNotRun, "not run"
	}
	text := fmt.Sprintf("%s: %s: %s", id, outcome, fa.GetReason())
	if fa.GetRetryAfterMs() > 0 {
		text += fmt.Sprintf("; come back in %d ms", fa.GetRetryAfterMs())
	}
	return &exitError{code: code, err: errors.New(text)}
}

type loadCommand struct {
	entryOptions
	outputOption

	Service  string        `long:"service" required:"true" description:"service to ask"`
	Method   string        `long:"method" default:"load" description:"kind of request"`
	Rate     float64       `long:"rate" default:"100" description:"requests a second"`
	For      time.Duration `long:"for" default:"10s" description:"how long to send"`
	Batch    float64       `long:"batch" default:"0" description:"part that is batch, 0 to 1"`
	Once     float64       `long:"run-once" default:"0" description:"part marked run-once, 0 to 1"`
	Home     string        `long:"home" description:"data centre that vouches for run-once ids"`
	Deadline time.Duration `long:"deadline" description:"time to the deadline"`
	Body     int           `long:"body" default:"64" description:"size of a request in bytes"`
	Check    bool          `long:"check" description:"compare answers with those of stand-in runners; exit code 6 if any is wrong"`

	st *streams
}

// Execute implements flags.Commander.
func (lc *loadCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	set := load.Settings{
		Rate: lc.Rate, Duration: lc.For, Service: lc.Service, Method: lc.Method, BatchFraction: lc.Batch, RunOnceFraction: lc.Once,
		Home: lc.Home, Deadline: lc.Deadline, BodyBytes: lc.Body, Check: lc.Check, Progress: lc.st.err,
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
		return &exitError{code: ExitViolation, err: fmt.Errorf("%d answers were not the request's own", re.Wrong)}
	}
	return nil
}

type watchCommand struct {
	entryOptions
	outputOption

	Service string `long:"service" description:"service whose session it is"`
	Topic   string `long:"topic" default:"all" description:"what to watch"`
	Token   string `long:"resume" description:"token of the last event, to resume a session"`
	Events  uint64 `long:"events" description:"end after so many events"`

	st *streams
}

// errEnough ends a session that has had its events.
var errEnough = errors.New("enough events")

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
		if wc.Events > 0 && n >= wc.Events {
			return errEnough
		}
		return nil
	})
	if errors.Is(err, errEnough) || errors.Is(err, context.Canceled) {
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
