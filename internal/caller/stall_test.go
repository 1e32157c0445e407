package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"

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
