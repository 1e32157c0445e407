// Package caller is a client of entry hosts, for the commands and for tests.
// It knows several addresses, as a balancer would, and resumes sessions by
// itself. It does not repeat requests: that decision is the caller's.
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
	// MaxDeadline is the longest that an entry host takes.
	MaxDeadline = 10 * time.Minute
	// answerGrace is how much later the answer may come: an entry host that lives
	// says at the deadline that it has passed.
	answerGrace = 5 * time.Second
)

// Client calls entry hosts in turn.
type Client struct {
	hosts []pepperhatchv1connect.CallerServiceClient
	next  atomic.Uint64
}

// New returns a client of the entry hosts at the addresses.
func New(web *http.Client, addrs ...string) *Client {
	cl := &Client{}
	for _, addr := range addrs {
		cl.hosts = append(cl.hosts, pepperhatchv1connect.NewCallerServiceClient(web, "http://"+addr))
	}
	return cl
}

// Call sends one request to the next entry host.
func (cl *Client) Call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	return cl.CallVia(ctx, int(cl.next.Add(1)), req)
}

// CallVia sends one request to the n-th entry host, counted round. It ends soon after
// the request's deadline at the latest, or after the longest one if it states none.
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

// FailureOf returns what an error of Call says of the request. Without a word
// of the entry host's, the request is unknown, unless there was no connection.
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

// The pauses between attempts to resume a session.
const (
	resumeFirst = 20 * time.Millisecond
	resumeMost  = time.Second
)

// Watch opens a session and passes its events on in order, each once. It
// resumes the session at other entry hosts whenever its stream ends or its host
// falls silent, until ctx ends or fn returns an error.
func (cl *Client) Watch(ctx context.Context, req *pb.WatchRequest, fn func(*pb.WatchResponse) error) error {
	wa := &watch{cl: cl, at: nowhere, token: req.GetResumeToken(), fn: fn}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = resumeFirst, resumeMost
	for {
		before := wa.seq
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
		if wa.seq != before || wa.moved {
			bo.Reset()
		}
		if !wa.moved {
			clock.Sleep(ctx, bo.NextBackOff())
		}
	}
}
