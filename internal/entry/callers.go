package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/route"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/session"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Limits on the fields of a request, in bytes, and the retry delay that is sent
// while this host is not ready.
const (
	maxID              = 128
	maxName            = 100
	notReadyRetryAfter = time.Second
)

func (ho *Host) callerHandler() http.Handler {
	mux := http.NewServeMux()
	path, h := pepperhatchv1connect.NewCallerServiceHandler(&callerService{ho: ho}, connect.WithReadMaxBytes(int(ho.set.MaxBody)))
	mux.Handle(path, h)
	ho.handleHealth(mux)
	return mux
}

// portReasons maps the codes of requests that the port refuses to reasons.
var portReasons = map[string]reason.Reason{
	wire.CodeBusy:     reason.Busy,
	wire.CodeTooLarge: reason.BodyTooLarge,
}

// refuseCaller answers a request that exceeds a limit of the port. It was not
// run.
func (ho *Host) refuseCaller(w http.ResponseWriter, r *http.Request, err *wire.Error) {
	res := route.NotRunResult(portReasons[err.Code], err.RetryAfter)
	ho.metrics.RecordRequest("unread", res.Reason, 0)
	_ = connect.NewErrorWriter().Write(w, r, failure("", res))
}

// handleHealth registers the health checks of load balancers, on the same port
// as the requests that they distribute.
func (ho *Host) handleHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ho.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// callerService implements the service for callers.
type callerService struct{ ho *Host }

// Call runs one request and returns its answer, or an error made by failure.
func (cs *callerService) Call(ctx context.Context, creq *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	start := time.Now()
	msg := creq.Msg
	id := msg.GetId()
	if id == "" && !msg.GetRunOnce() {
		id = uuid.NewString()
	}
	res := cs.ho.call(ctx, id, msg)
	cs.ho.metrics.RecordRequest(classOf(msg.GetClass()).String(), res.Reason, time.Since(start))
	if res.Outcome != route.Answered {
		return nil, failure(id, res)
	}
	return connect.NewResponse(&pb.CallResponse{
		Id: id, Body: res.Body, Runner: res.Runner, Attempts: uint32(res.Attempts),
	}), nil
}

// classOf returns the class of a request; requests without one are
// latency-critical.
func classOf(cl pb.Class) runner.Class {
	if cl == pb.Class_CLASS_BATCH {
		return runner.Batch
	}
	return runner.LatencyCritical
}

// call validates a request and routes it. Requests to be run at most once go
// through the guard, which claims their id.
func (ho *Host) call(ctx context.Context, id string, msg *pb.CallRequest) route.Result {
	doc, ok := ho.config.Current()
	switch {
	case !ok:
		return route.NotRunResult(reason.NotReady, notReadyRetryAfter)
	case len(id) > maxID, msg.GetService() == "", len(msg.GetService()) > maxName, len(msg.GetMethod()) > maxName,
		time.Duration(msg.GetDeadlineMs())*time.Millisecond > caller.MaxDeadline:
		return route.NotRunResult(reason.Malformed, 0)
	}
	left := time.Duration(msg.GetDeadlineMs()) * time.Millisecond
	cl := classOf(msg.GetClass())
	if left == 0 {
		left = doc.Duration(map[runner.Class]string{
			runner.LatencyCritical: config.DeadlineLatency, runner.Batch: config.DeadlineBatch,
		}[cl])
	}
	req := route.Request{Once: msg.GetRunOnce(), Request: runner.Request{
		ID: id, Service: msg.GetService(), Method: msg.GetMethod(), Class: cl, Body: msg.GetBody(),
		Deadline: time.Now().Add(left),
	}}
	if !req.Once {
		return ho.router.Do(ctx, req)
	}
	return ho.guard.Do(ctx, id, func(ctx context.Context) route.Result { return ho.router.Do(ctx, req) })
}

// reasonCodes maps reasons to connect codes. Other reasons get the code of their
// outcome.
var reasonCodes = map[reason.Reason]connect.Code{
	reason.Malformed:    connect.CodeInvalidArgument,
	reason.BodyTooLarge: connect.CodeInvalidArgument,
	reason.IDMalformed:  connect.CodeInvalidArgument,
	reason.SessionToken: connect.CodeInvalidArgument,
	reason.TooLate:      connect.CodeResourceExhausted,
	reason.QueueFull:    connect.CodeResourceExhausted,
	reason.SessionLimit: connect.CodeResourceExhausted,
	reason.Expired:      connect.CodeDeadlineExceeded,
	reason.CallerGone:   connect.CodeCanceled,
	reason.ClaimTaken:   connect.CodeAlreadyExists,
}

// failure returns the error of a request without an answer. Its detail has the
// outcome and the reason.
func failure(id string, res route.Result) error {
	code, ok := reasonCodes[res.Reason]
	switch {
	case ok:
	case res.Outcome == route.NotRun:
		code = connect.CodeUnavailable
	default:
		code = connect.CodeUnknown
	}
	cerr := connect.NewError(code, errors.New(string(res.Outcome)+": "+string(res.Reason)))
	outcome := pb.Outcome_OUTCOME_UNKNOWN
	if res.Outcome == route.NotRun {
		outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	detail, err := connect.NewErrorDetail(&pb.Failure{
		Id: id, Outcome: outcome, Reason: string(res.Reason), RetryAfterMs: uint32(res.RetryAfter.Milliseconds()),
	})
	if err == nil {
		cerr.AddDetail(detail)
	}
	if res.RetryAfter > 0 {
		seconds := int((res.RetryAfter + time.Second - 1) / time.Second)
		cerr.Meta().Set("Retry-After", strconv.Itoa(seconds))
	}
	return cerr
}

// Watch serves one session until the caller or the session ends it.
func (cs *callerService) Watch(ctx context.Context, creq *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse]) error {
	if !cs.ho.ready() {
		rsn := reason.NotReady
		if cs.ho.stopping.Load() {
			rsn = reason.Stopping
		}
		return failure("", route.NotRunResult(rsn, notReadyRetryAfter))
	}
	msg := creq.Msg
	if msg.GetResumeToken() == "" && (msg.GetService() == "" || len(msg.GetService()) > maxName || len(msg.GetTopic()) > maxName) {
		return failure("", route.NotRunResult(reason.Malformed, 0))
	}
	ws := &watchStream{out: out}
	if msg.GetBeats() {
		out.ResponseHeader().Set(caller.BeatHeader, strconv.FormatInt(heartbeatInterval.Milliseconds(), 10))
	}
	// Sends the headers, so that the caller knows at once that the host serves
	// the watch.
	if err := ws.send(nil); err != nil {
		return err
	}
	ctx, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	// Nothing may be written to the stream once the handler has returned.
	defer wg.Wait()
	defer end()
	if msg.GetBeats() {
		wg.Go(func() { cs.ho.sendHeartbeats(ctx, end, ws) })
	}
	req := session.Request{Service: msg.GetService(), Topic: msg.GetTopic(), Token: msg.GetResumeToken()}
	err := cs.ho.relay.Serve(ctx, req, func(ev session.Event) error {
		return ws.send(&pb.WatchResponse{
			SessionId: ev.SessionID, Seq: ev.Seq, Body: ev.Body, ResumeToken: ev.Token, Moved: ev.Moved,
		})
	})
	var refused *session.Error
	if errors.As(err, &refused) {
		cs.ho.metrics.RecordRequest("session", refused.Reason, 0)
		return failure("", route.NotRunResult(refused.Reason, refused.RetryAfter))
	}
	return err
}
