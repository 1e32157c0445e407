package door

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
)

// noWay fails as opening a connection does on a way that is cut.
func noWay() error { return &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded} }

// besideOwner has another host own the cell, which opening a connection to fails
// with err.
func besideOwner(t *testing.T, err error, test func(ha *hall)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ha := newHall(t)
		ha.door.Peers = &http.Client{Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, err },
		}}
		txn, terr := store.NewTxn().WithPut("cells/c0/owner", 0, tenure.OwnerRow{Owner: "e2", Process: "e2-1", Addr: "10.0.0.2:80", Epoch: 1})
		qt.Assert(t, terr, qt.IsNil)
		_, cerr := ha.table.Client().Commit(context.Background(), txn)
		qt.Assert(t, cerr, qt.IsNil)
		ke := ha.door.Keeper
		ke.Table = ha.table.Client()
		ke.AskFunc = func(context.Context, string, int64) (tenure.HostStatus, error) { return tenure.HostStatus{}, err }
		ctx, end := context.WithCancel(context.Background())
		defer end()
		go ke.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		test(ha)
		end()
		synctest.Wait()
	})
}

// TestHostCutOff has a host whose connections to the owner and to the store cannot
// be opened: a job was certainly not taken, and its caller may try elsewhere.
func TestHostCutOff(t *testing.T) {
	besideOwner(t, noWay(), func(ha *hall) {
		ha.door.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) { return store.CommitReply{}, noWay() }
		ve := ha.submit()
		qt.Assert(t, ve.Outcome, qt.Equals, sched.Refused)
		qt.Assert(t, ve.RetryAfter > 0, qt.IsTrue)
	})
}

// TestConnectionThatBreaks has one that was open: the owner may have got the job.
func TestConnectionThatBreaks(t *testing.T) {
	besideOwner(t, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, func(ha *hall) {
		ha.door.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) { return store.CommitReply{}, noWay() }
		qt.Assert(t, ha.submit().Outcome, qt.Equals, sched.Unknown)
	})
}

// TestStoreThatBreaks has the write to the store go out without an answer.
func TestStoreThatBreaks(t *testing.T) {
	besideOwner(t, noWay(), func(ha *hall) {
		ha.door.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) {
			return store.CommitReply{}, context.DeadlineExceeded
		}
		qt.Assert(t, ha.submit().Outcome, qt.Equals, sched.Unknown)
	})
}

// roundTrip is a way to other hosts.
type roundTrip func(*http.Request) (*http.Response, error)

func (rt roundTrip) RoundTrip(re *http.Request) (*http.Response, error) { return rt(re) }

// refusing answers as an owner does whose writes the store does not take.
func refusing(*http.Request) (*http.Response, error) {
	body := `{"outcome":"refused","reason":"store-away","retry_after":1000000000}`
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// TestOwnerThatTheStoreRefuses has the owner refuse a job, as the store refuses
// it, while the store answers this host.
func TestOwnerThatTheStoreRefuses(t *testing.T) {
	t.Run("the host writes the job in its place", func(t *testing.T) {
		besideOwner(t, noWay(), func(ha *hall) {
			ha.door.Peers = &http.Client{Transport: roundTrip(refusing)}
			qt.Assert(t, ha.submit().Outcome, qt.Equals, sched.Accepted)
			var row sched.IntakeRow
			version, err := ha.table.Client().Get(context.Background(), sched.IntakeKey("c0", testID), &row)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, version > 0, qt.IsTrue)
		})
	})
	t.Run("where the store refuses the host too, the job is refused", func(t *testing.T) {
		besideOwner(t, noWay(), func(ha *hall) {
			ha.door.Peers = &http.Client{Transport: roundTrip(refusing)}
			tries := 0
			ha.door.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) {
				tries++
				return store.CommitReply{}, store.ErrBusy
			}
			for range 3 {
				ve := ha.submit()
				qt.Assert(t, ve.Outcome, qt.Equals, sched.Refused)
				qt.Assert(t, ve.RetryAfter > 0, qt.IsTrue)
			}
			qt.Assert(t, tries, qt.Equals, 1)
		})
	})
}
