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

// echo is an entry host that sends back what it gets.
type echo struct {
	pepperhatchv1connect.UnimplementedCallerServiceHandler
}

func (echo) Call(_ context.Context, req *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	return connect.NewResponse(&pb.CallResponse{Id: req.Msg.GetId(), Body: req.Msg.GetBody()}), nil
}

func TestEntryHostThatStandsStill(t *testing.T) {
	_, ha := pepperhatchv1connect.NewCallerServiceHandler(echo{})
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

// deaf is a way to an entry host that takes a request and never answers.
type deaf struct{}

func (deaf) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestCallsWithoutADeadlineOfTheirOwn is the story of a load that never ends.
//
// What a user would see: `pepperhatch load` and `pepperhatch dev` stand still once
// they have sent their last request, and `pepperhatch call` does so too. Order of events:
// a request is sent to an entry host that freezes; it states a deadline, or leaves that
// to the system, and the entry host is the only one who knows; the client's own
// context has none. Whoever waits for the call waits until the host's connection ends.
//
// Evidence: the calls below last until the context's hour is over.
func TestCallsWithoutADeadlineOfTheirOwn(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"stated": 2 * time.Second, "left to the system": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				cl := New(&http.Client{Transport: deaf{}}, "10.0.0.1:80")
				_, err := cl.Call(ctx, &pb.CallRequest{Id: "id", DeadlineMs: uint32(deadline.Milliseconds())})
				qt.Assert(t, err, qt.IsNotNil)
				qt.Check(t, ctx.Err(), qt.IsNil)
				qt.Check(t, FailureOf(err).GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
			})
		})
	}
}
