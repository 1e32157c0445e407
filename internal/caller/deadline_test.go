package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"

	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

// echoHost is an entry host that answers with the body of the request.
type echoHost struct {
	pepperhatchv1connect.UnimplementedCallerServiceHandler
}

func (echoHost) Call(_ context.Context, req *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	return connect.NewResponse(&pb.CallResponse{Id: req.Msg.GetId(), Body: req.Msg.GetBody()}), nil
}

func TestCallToFrozenEntryHost(t *testing.T) {
	_, ha := pepperhatchv1connect.NewCallerServiceHandler(echoHost{})
	hs := httptest.NewServer(ha)
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		cl := New(&http.Client{Transport: &http.Transport{}}, addr)
		return func(ctx context.Context) error {
			_, err := cl.Call(ctx, &pb.CallRequest{Id: "id", Body: []byte("body")})
			return err
		}
	})
}

// unansweringTransport reaches an entry host that reads requests and never answers.
type unansweringTransport struct{}

func (unansweringTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestCallEndsWithoutContextDeadline guards against calls, and so load, dev and call
// commands, that hang after an entry host freezes. The caller's context has no
// deadline, and only the frozen host enforces that of the request, so without a
// timeout of its own the client waits until the connection ends.
func TestCallEndsWithoutContextDeadline(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"stated": 2 * time.Second, "default": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				cl := New(&http.Client{Transport: unansweringTransport{}}, "10.0.0.1:80")
				_, err := cl.Call(ctx, &pb.CallRequest{Id: "id", DeadlineMs: uint32(deadline.Milliseconds())})
				qt.Assert(t, err, qt.IsNotNil)
				qt.Check(t, ctx.Err(), qt.IsNil)
				qt.Check(t, FailureOf(err).GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
			})
		})
	}
}
