// Package caller is a client of entry hosts for the command line and tests. It
// spreads requests over several addresses, as a load balancer would, and resumes
// sessions by itself. It doesn't retry requests: whether a retry is safe only its
// user can tell.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// Deadlines of requests.
const (
	// MaxDeadline is the longest deadline that an entry host accepts.
	MaxDeadline = 10 * time.Minute
	// answerGrace is how long after the deadline the client waits: a healthy entry
	// host reports at the deadline that it has passed.
	answerGrace = 5 * time.Second
)

// Client calls entry hosts in turn. It is safe for concurrent use.
type Client struct {
	hosts []pepperhatchv1connect.CallerServiceClient
	next  atomic.Uint64
}

// New returns a client of the entry hosts at the addresses.
func New(hc *http.Client, addrs ...string) *Client {
	cl := &Client{}
	for _, addr := range addrs {
		cl.hosts = append(cl.hosts, pepperhatchv1connect.NewCallerServiceClient(hc, "http://"+addr))
	}
	return cl
}

// Call sends one request to the next entry host.
func (cl *Client) Call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	return cl.CallVia(ctx, int(cl.next.Add(1)), req)
}

// CallVia sends one request to entry host n modulo their number. It returns by the
// request's deadline plus a short grace; without a deadline [MaxDeadline] applies.
func (cl *Client) CallVia(ctx context.Context, n int, req *pb.CallRequest) (*pb.CallResponse, error) {
	deadline := time.Duration(req.GetDeadlineMs()) * time.Millisecond
	if deadline == 0 {
		deadline = MaxDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+answerGrace)
	defer cancel()
	resp, err := cl.hosts[n%len(cl.hosts)].Call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	return resp.Msg, nil
}

// FailureOf returns the outcome and reason that an error of Call carries. If the
// entry host sent none, the request did not run if no connection was made, and its
// outcome is unknown otherwise.
func FailureOf(err error) *pb.Failure {
	var cerr *connect.Error
	if errors.As(err, &cerr) {
		for _, detail := range cerr.Details() {
			value, derr := detail.Value()
			if fa, ok := value.(*pb.Failure); derr == nil && ok {
				return fa
			}
		}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &pb.Failure{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: "entry-host-unreached"}
	}
	return &pb.Failure{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "entry-host-lost"}
}

// Backoff between attempts to resume a session.
const (
	initialResumeBackoff = 20 * time.Millisecond
	maxResumeBackoff     = time.Second
)

// Watch opens a session and passes each event to fn once, in order. It resumes the
// session at another entry host whenever the stream ends or its host stops sending,
// until ctx ends or fn returns an error.
func (cl *Client) Watch(ctx context.Context, req *pb.WatchRequest, fn func(*pb.WatchResponse) error) error {
	wa := &watch{cl: cl, host: noHost, token: req.GetResumeToken(), fn: fn}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialResumeBackoff, maxResumeBackoff
	for {
		lastSeq := wa.seq
		err := wa.stream(ctx, req)
		var stopped *stopError
		if errors.As(err, &stopped) {
			return stopped.err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("watch: %w", ctx.Err())
		}
		if connect.CodeOf(err) == connect.CodeInvalidArgument {
			return fmt.Errorf("watch: %w", err)
		}
		if wa.seq != lastSeq || wa.moved {
			bo.Reset()
		}
		if !wa.moved {
			clock.Sleep(ctx, bo.NextBackOff())
		}
	}
}
