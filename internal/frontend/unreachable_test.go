package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// dialTimeout returns the error of opening a connection on a network path that drops all
// packets.
func dialTimeout() error { return &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded} }

// withRemoteOwner runs a test on a host while another host owns the cell and connections
// to that one fail with err.
func withRemoteOwner(t *testing.T, err error, test func(th *testHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		th := newTestHost(t)
		th.frontEnd.Peers = &http.Client{Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, err },
		}}
		txn, terr := store.NewTxn().WithPut("cells/c0/owner", 0, tenure.OwnerRow{Owner: "e2", Process: "e2-1", Addr: "10.0.0.2:80", Epoch: 1})
		qt.Assert(t, terr, qt.IsNil)
		_, cerr := th.table.Client().Commit(context.Background(), txn)
		qt.Assert(t, cerr, qt.IsNil)
		ke := th.frontEnd.Keeper
		ke.Table = th.table.Client()
		ke.AskFunc = func(context.Context, string, int64) (tenure.HostStatus, error) { return tenure.HostStatus{}, err }
		ctx, end := context.WithCancel(context.Background())
		defer end()
		go ke.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		test(th)
		end()
		synctest.Wait()
	})
}

// TestHostWithoutConnections checks that a host which can open connections neither to the
// owner nor to the store refuses a job. The job was certainly not accepted, so the caller
// may try another host.
func TestHostWithoutConnections(t *testing.T) {
	withRemoteOwner(t, dialTimeout(), func(th *testHost) {
		th.frontEnd.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) { return store.CommitReply{}, dialTimeout() }
		ve := th.submit()
		qt.Assert(t, ve.Outcome, qt.Equals, sched.Refused)
		qt.Assert(t, ve.RetryAfter > 0, qt.IsTrue)
	})
}

// TestConnectionBreaksOff checks that the outcome is unknown if an open connection to the
// owner breaks off: the owner may have received the job.
func TestConnectionBreaksOff(t *testing.T) {
	withRemoteOwner(t, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, func(th *testHost) {
		th.frontEnd.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) { return store.CommitReply{}, dialTimeout() }
		qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Unknown)
	})
}

// TestStoreWriteWithoutAnswer checks that the outcome is unknown if the write of the intake
// row gets no answer: it may have taken effect.
func TestStoreWriteWithoutAnswer(t *testing.T) {
	withRemoteOwner(t, dialTimeout(), func(th *testHost) {
		th.frontEnd.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) {
			return store.CommitReply{}, context.DeadlineExceeded
		}
		qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Unknown)
	})
}

// roundTripFunc is a function that implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (rt roundTripFunc) RoundTrip(re *http.Request) (*http.Response, error) { return rt(re) }

// refuseStoreUnavailable answers as an owner does whose writes to the store fail.
func refuseStoreUnavailable(*http.Request) (*http.Response, error) {
	body := `{"outcome":"refused","reason":"store-away","retry_after":1000000000}`
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// TestStoreRefusesOwner checks that a host which the store answers writes a job itself if
// the owner refuses it because its own writes to the store fail. If the host's write fails
// too, it must not try again with each job.
func TestStoreRefusesOwner(t *testing.T) {
	t.Run("the host writes the job instead of the owner", func(t *testing.T) {
		withRemoteOwner(t, dialTimeout(), func(th *testHost) {
			th.frontEnd.Peers = &http.Client{Transport: roundTripFunc(refuseStoreUnavailable)}
			qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Accepted)
			var row sched.IntakeRow
			version, err := th.table.Client().Get(context.Background(), sched.IntakeKey("c0", testID), &row)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, version > 0, qt.IsTrue)
		})
	})
	t.Run("the job is refused if the store refuses the host too", func(t *testing.T) {
		withRemoteOwner(t, dialTimeout(), func(th *testHost) {
			th.frontEnd.Peers = &http.Client{Transport: roundTripFunc(refuseStoreUnavailable)}
			tries := 0
			th.frontEnd.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) {
				tries++
				return store.CommitReply{}, store.ErrBusy
			}
			for range 3 {
				ve := th.submit()
				qt.Assert(t, ve.Outcome, qt.Equals, sched.Refused)
				qt.Assert(t, ve.RetryAfter > 0, qt.IsTrue)
			}
			qt.Assert(t, tries, qt.Equals, 1)
		})
	})
}

// TestCapacityRefusalIsFinal guards against a host that writes a job to the intake, where it is
// accepted, after its owner refused it for lack of capacity, and against a changed time to retry.
func TestCapacityRefusalIsFinal(t *testing.T) {
	withRemoteOwner(t, dialTimeout(), func(th *testHost) {
		want := sched.Verdict{Outcome: sched.Refused, Reason: sched.ReasonNoCapacity, RetryAfter: 1234567890}
		body, err := json.Marshal(want)
		qt.Assert(t, err, qt.IsNil)
		th.frontEnd.Peers = &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
		})}
		qt.Assert(t, th.submit(), qt.Equals, want)
		rows, err := th.table.Client().List(context.Background(), sched.IntakePrefix("c0"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rows, qt.HasLen, 0)
	})
}

// busyTransport answers each request as a port does that is over a limit.
type busyTransport struct{}

func (busyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	wire.WriteError(rec, &wire.Error{Status: http.StatusServiceUnavailable, Code: wire.CodeBusy, RetryAfter: time.Second})
	_, _ = io.Copy(io.Discard, r.Body)
	return rec.Result(), nil
}

// TestBusyOwnerHasNotTakenJob guards against an unknown outcome of a job that the owner's port refused
// unread.
func TestBusyOwnerHasNotTakenJob(t *testing.T) {
	withRemoteOwner(t, dialTimeout(), func(th *testHost) {
		th.frontEnd.Peers = &http.Client{Transport: busyTransport{}}
		th.frontEnd.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) { return store.CommitReply{}, dialTimeout() }
		qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Refused)
	})
}
