package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
)

// errEventLimit ends a watch after its last expected event.
var errEventLimit = errors.New("event limit reached")

// beatlessHost is an entry host that sends no beats, and two events with a pause between.
type beatlessHost struct {
	pepperhatchv1connect.UnimplementedCallerServiceHandler

	pause time.Duration
	// opened counts streams.
	opened atomic.Int64
}

func (bh *beatlessHost) Watch(ctx context.Context, _ *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse]) error {
	bh.opened.Add(1)
	if err := out.Send(nil); err != nil {
		return err
	}
	if err := out.Send(&pb.WatchResponse{Seq: 1, ResumeToken: "1"}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(bh.pause):
	}
	return out.Send(&pb.WatchResponse{Seq: 2, ResumeToken: "2"})
}

// TestWatchOfEntryHostWithoutBeats guards against giving up a stream that may be idle:
// a host without beats pauses for longer than any limit.
func TestWatchOfEntryHostWithoutBeats(t *testing.T) {
	t.Parallel()
	bh := &beatlessHost{pause: openTimeout + 500*time.Millisecond}
	_, ha := pepperhatchv1connect.NewCallerServiceHandler(bh)
	hs := httptest.NewServer(ha)
	t.Cleanup(hs.Close)
	cl := New(&http.Client{Transport: &http.Transport{}}, hs.Listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var seqs []uint64
	err := cl.Watch(ctx, &pb.WatchRequest{Service: "s"}, func(ev *pb.WatchResponse) error {
		seqs = append(seqs, ev.GetSeq())
		if ev.GetSeq() == 2 {
			return errEventLimit
		}
		return nil
	})
	qt.Assert(t, err, qt.ErrorIs, errEventLimit)
	qt.Assert(t, seqs, qt.DeepEquals, []uint64{1, 2})
	qt.Assert(t, bh.opened.Load(), qt.Equals, int64(1))
}

// beatingHost is an entry host that sends three events at once and announces beats, but
// sends none.
type beatingHost struct {
	pepperhatchv1connect.UnimplementedCallerServiceHandler

	opened atomic.Int64
}

func (be *beatingHost) Watch(ctx context.Context, _ *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse]) error {
	be.opened.Add(1)
	out.ResponseHeader().Set(BeatHeader, "100")
	for seq := range uint64(3) {
		if err := out.Send(&pb.WatchResponse{Seq: seq + 1}); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestWatchWithSlowHandler guards against taking a slow event handler for an
// unresponsive host: each event takes longer to handle than the limit between messages.
func TestWatchWithSlowHandler(t *testing.T) {
	t.Parallel()
	be := &beatingHost{}
	_, ha := pepperhatchv1connect.NewCallerServiceHandler(be)
	hs := httptest.NewServer(ha)
	t.Cleanup(hs.Close)
	cl := New(&http.Client{Transport: &http.Transport{}}, hs.Listener.Addr().String())
	err := cl.Watch(context.Background(), &pb.WatchRequest{Service: "s"}, func(ev *pb.WatchResponse) error {
		time.Sleep(500 * time.Millisecond)
		if ev.GetSeq() == 3 {
			return errEventLimit
		}
		return nil
	})
	qt.Assert(t, err, qt.ErrorIs, errEventLimit)
	qt.Assert(t, be.opened.Load(), qt.Equals, int64(1))
}

func TestMaxSilence(t *testing.T) {
	for _, tc := range []struct {
		value string
		want  time.Duration
	}{{"", 0}, {"0", 0}, {"-5", 0}, {"soon", 0}, {"99999999999", 0}, {"1000", 3 * time.Second}} {
		qt.Check(t, maxSilence(http.Header{BeatHeader: []string{tc.value}}), qt.Equals, tc.want, qt.Commentf("%q", tc.value))
	}
}

// TestSelectHostAvoidsTheLastOne makes other calls with the same client in between,
// which advance the shared round-robin counter.
func TestSelectHostAvoidsTheLastOne(t *testing.T) {
	cl := New(http.DefaultClient, "10.0.0.1:80", "10.0.0.2:80")
	wa := &watch{cl: cl, host: noHost}
	for range 4 {
		last := wa.host
		wa.selectHost()
		qt.Check(t, wa.host, qt.Not(qt.Equals), last)
		cl.next.Add(1)
	}
}
