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

// errEnough ends a watch that has had its events.
var errEnough = errors.New("enough")

// plain is an entry host that knows no beats: it sends two events, with a pause.
type plain struct {
	pepperhatchv1connect.UnimplementedCallerServiceHandler

	pause time.Duration
	// opened counts watches.
	opened atomic.Int64
}

func (pl *plain) Watch(ctx context.Context, _ *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse]) error {
	pl.opened.Add(1)
	if err := out.Send(nil); err != nil {
		return err
	}
	if err := out.Send(&pb.WatchResponse{Seq: 1, ResumeToken: "1"}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pl.pause):
	}
	return out.Send(&pb.WatchResponse{Seq: 2, ResumeToken: "2"})
}

// TestEntryHostThatKnowsNoBeats is idle for longer than any bound on silence.
func TestEntryHostThatKnowsNoBeats(t *testing.T) {
	t.Parallel()
	pl := &plain{pause: openWithin + 500*time.Millisecond}
	_, ha := pepperhatchv1connect.NewCallerServiceHandler(pl)
	hs := httptest.NewServer(ha)
	t.Cleanup(hs.Close)
	cl := New(&http.Client{Transport: &http.Transport{}}, hs.Listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var seqs []uint64
	err := cl.Watch(ctx, &pb.WatchRequest{Service: "s"}, func(ev *pb.WatchResponse) error {
		seqs = append(seqs, ev.GetSeq())
		if ev.GetSeq() == 2 {
			return errEnough
		}
		return nil
	})
	qt.Assert(t, err, qt.ErrorIs, errEnough)
	qt.Assert(t, seqs, qt.DeepEquals, []uint64{1, 2})
	qt.Assert(t, pl.opened.Load(), qt.Equals, int64(1))
}

// beating is an entry host whose events all come at once, and promise more soon.
type beating struct {
	pepperhatchv1connect.UnimplementedCallerServiceHandler

	opened atomic.Int64
}

func (be *beating) Watch(ctx context.Context, _ *connect.Request[pb.WatchRequest], out *connect.ServerStream[pb.WatchResponse]) error {
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

// TestCallerThatTakesItsTime is busy with each event for longer than the entry host may
// be silent.
func TestCallerThatTakesItsTime(t *testing.T) {
	t.Parallel()
	be := &beating{}
	_, ha := pepperhatchv1connect.NewCallerServiceHandler(be)
	hs := httptest.NewServer(ha)
	t.Cleanup(hs.Close)
	cl := New(&http.Client{Transport: &http.Transport{}}, hs.Listener.Addr().String())
	err := cl.Watch(context.Background(), &pb.WatchRequest{Service: "s"}, func(ev *pb.WatchResponse) error {
		time.Sleep(500 * time.Millisecond)
		if ev.GetSeq() == 3 {
			return errEnough
		}
		return nil
	})
	qt.Assert(t, err, qt.ErrorIs, errEnough)
	qt.Assert(t, be.opened.Load(), qt.Equals, int64(1))
}

func TestSilenceMost(t *testing.T) {
	for _, tc := range []struct {
		value string
		want  time.Duration
	}{{"", 0}, {"0", 0}, {"-5", 0}, {"soon", 0}, {"99999999999", 0}, {"1000", 3 * time.Second}} {
		qt.Check(t, silenceMost(http.Header{BeatHeader: []string{tc.value}}), qt.Equals, tc.want, qt.Commentf("%q", tc.value))
	}
}

// TestTurn has other calls of the same client in between.
func TestTurn(t *testing.T) {
	cl := New(http.DefaultClient, "10.0.0.1:80", "10.0.0.2:80")
	wa := &watch{cl: cl, at: nowhere}
	for range 4 {
		last := wa.at
		wa.turn()
		qt.Check(t, wa.at, qt.Not(qt.Equals), last)
		cl.next.Add(1)
	}
}
