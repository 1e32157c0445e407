package jobhost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
	"github.com/pepperhatch/pepperhatch/platform/platformtest"
)

// testHost is an entry host with a fake store and fake workers, all over HTTP.
type testHost struct {
	t     testing.TB
	table standin.Table
	fleet standin.Fleet
	host  *Host
	url   string
}

// newTestHost returns a host with the given number of workers.
func newTestHost(tb testing.TB, workers int) *testHost {
	tb.Helper()
	return newTestHostOver(tb, workers, func(store string) string { return store })
}

// newTestHostOver is like newTestHost, but the host reaches the store at the address that
// storeVia returns for the store's own.
func newTestHostOver(tb testing.TB, workers int, storeVia func(store string) string) *testHost {
	tb.Helper()
	th := &testHost{t: tb}
	st := httptest.NewServer(platformtest.Store(&th.table))
	tb.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	end, err := platformtest.Fleet(&th.fleet, &th.table, workers, "routedesk")
	tb.Cleanup(end)
	qt.Assert(tb, err, qt.IsNil)
	se := validSettings()
	se.StoreAddr = storeVia(st.Listener.Addr().String())
	th.host, err = New(se, slog.New(slog.DiscardHandler))
	qt.Assert(tb, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go th.host.configWatch.Run(ctx)
	go th.host.keeper.Run(ctx)
	callers := httptest.NewServer(th.host.callerHandler())
	tb.Cleanup(func() { callers.CloseClientConnections(); callers.Close() })
	th.url = callers.URL
	return th
}

// configure puts a configuration with one queue in force and waits until the host owns the
// cell.
func (th *testHost) configure() {
	th.change(firstConfig)
	th.eventually("ready", func() bool { return th.host.config.Load() != nil && th.host.owner.Load() != nil })
}

// firstConfig is the version of the configuration that configure writes.
const firstConfig = 7

// change writes a version of the configuration to the store, as an operator does.
func (th *testHost) change(version int64) {
	_, port, err := net.SplitHostPort(th.url[len("http://"):])
	qt.Assert(th.t, err, qt.IsNil)
	err = platformtest.Put(&th.table, "op//config", map[string]any{
		"version": version, "routes": []any{map[string]any{
			"name": "q", "host": "127.0.0.1:" + port, "path-prefix": "/depot/", "service": "routedesk", "priority": 2, "max-attempts": 2,
		}},
		"limits": map[string]any{"max-body-bytes": 262144},
	})
	qt.Assert(th.t, err, qt.IsNil)
}

func (th *testHost) eventually(what string, ok func() bool) {
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	th.t.Fatalf("condition not met in 10 s: %s", what)
}

// do sends one request and returns the status and the body of the answer.
func (th *testHost) do(method, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	qt.Assert(th.t, err, qt.IsNil)
	req, err := http.NewRequest(method, th.url+path, bytes.NewReader(data))
	qt.Assert(th.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(th.t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	qt.Assert(th.t, err, qt.IsNil)
	return resp.StatusCode, answer
}

func jobBody(tasks int) map[string]any {
	return map[string]any{"spec": "load it", "steps": []any{
		map[string]any{"count": tasks, "cpu": 500, "mem-mb": 256, "estimate-ms": 900},
		map[string]any{"count": 1, "cpu": 500, "mem-mb": 256, "start-after": []int{0}},
	}}
}

func (th *testHost) state(id string) string {
	status, answer := th.do(http.MethodGet, "/depot/"+id, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var body struct {
		State string `json:"state"`
	}
	qt.Assert(th.t, json.Unmarshal(answer, &body), qt.IsNil)
	return body.State
}

func TestJobsOverHTTP(t *testing.T) {
	th := newTestHost(t, 3)
	th.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 50 * time.Millisecond, "done" }
	status, _ := th.do(http.MethodPost, "/depot/0123456789abcdef", jobBody(2))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	th.configure()

	t.Run("job from submission to its end", func(t *testing.T) {
		id := "0123456789abcdef"
		status, _ := th.do(http.MethodPost, "/depot/"+id, jobBody(4))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		status, _ = th.do(http.MethodPost, "/depot/"+id, jobBody(4))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		th.eventually("succeeded", func() bool { return th.state(id) == "succeeded" })
		qt.Assert(t, len(th.fleet.Runs()), qt.Equals, 5)
	})
	t.Run("job cancelled", func(t *testing.T) {
		id := "1123456789abcdef"
		body := jobBody(2)
		body["steps"].([]any)[0].(map[string]any)["long-running"] = true
		th.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
		status, _ := th.do(http.MethodPost, "/depot/"+id, body)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		th.eventually("running", func() bool { return th.state(id) == "running" })
		status, _ = th.do(http.MethodDelete, "/depot/"+id, nil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, th.state(id), qt.Equals, "cancelled")
	})
	t.Run("count of pending jobs", func(t *testing.T) {
		_, answer := th.do(http.MethodGet, "/depot/", nil)
		qt.Assert(t, string(answer), qt.Equals, `{"pending":0}`)
	})
	t.Run("unknown job and queue", func(t *testing.T) {
		qt.Assert(t, th.state("ffffffffffffffff"), qt.Equals, "410")
		status, _ := th.do(http.MethodPost, "/nowhere/0123456789abcdef", jobBody(1))
		qt.Assert(t, status, qt.Equals, http.StatusNotFound)
	})
}

// BenchmarkJobsOverHTTP measures the work of an entry host per job of nine attempts, over
// HTTP, including that of the fake store and workers in the same process.
func BenchmarkJobsOverHTTP(b *testing.B) {
	th := newTestHost(b, 16)
	th.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 100 * time.Millisecond, "done" }
	th.configure()
	b.ReportAllocs()
	var n atomic.Int64
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fmt.Sprintf("%016x", n.Add(1))
			status, _ := th.do(http.MethodPost, "/depot/"+id, jobBody(8))
			if status != http.StatusOK {
				b.Errorf("status %d", status)
			}
			th.eventually("succeeded", func() bool { return th.state(id) == "succeeded" })
		}
	})
}
