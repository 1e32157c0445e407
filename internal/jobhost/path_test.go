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

// town is an entry host with stand-ins for everything outside, over HTTP.
type town struct {
	t     testing.TB
	table standin.Table
	fleet standin.Fleet
	host  *Host
	url   string
}

func newTown(tb testing.TB, workers int) *town {
	tb.Helper()
	return newTownOver(tb, workers, func(store string) string { return store })
}

// newTownOver is newTown with a store that the host reaches at another address.
func newTownOver(tb testing.TB, workers int, over func(store string) string) *town {
	tb.Helper()
	to := &town{t: tb}
	st := httptest.NewServer(platformtest.Store(&to.table))
	tb.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	end, err := platformtest.Fleet(&to.fleet, &to.table, workers, "routedesk")
	tb.Cleanup(end)
	qt.Assert(tb, err, qt.IsNil)
	se := goodSettings()
	se.StoreAddr = over(st.Listener.Addr().String())
	to.host, err = New(se, slog.New(slog.DiscardHandler))
	qt.Assert(tb, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go to.host.follow.Run(ctx)
	go to.host.keeper.Run(ctx)
	callers := httptest.NewServer(to.host.callers())
	tb.Cleanup(func() { callers.CloseClientConnections(); callers.Close() })
	to.url = callers.URL
	return to
}

// configure puts a configuration with one queue in force.
func (to *town) configure() {
	to.change(firstConfig)
	to.eventually("ready", func() bool { return to.host.config.Load() != nil && to.host.owner.Load() != nil })
}

// firstConfig is the version of the configuration that a town begins with.
const firstConfig = 7

// change has the operator write a version of the configuration.
func (to *town) change(version int64) {
	_, port, err := net.SplitHostPort(to.url[len("http://"):])
	qt.Assert(to.t, err, qt.IsNil)
	err = platformtest.Put(&to.table, "op//config", map[string]any{
		"version": version, "routes": []any{map[string]any{
			"name": "q", "host": "127.0.0.1:" + port, "path-prefix": "/depot/", "service": "routedesk", "priority": 2, "max-attempts": 2,
		}},
		"limits": map[string]any{"max-body-bytes": 262144},
	})
	qt.Assert(to.t, err, qt.IsNil)
}

func (to *town) eventually(what string, ok func() bool) {
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	to.t.Fatalf("not so in time: %s", what)
}

// do sends one request and returns status and body.
func (to *town) do(method, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	qt.Assert(to.t, err, qt.IsNil)
	req, err := http.NewRequest(method, to.url+path, bytes.NewReader(data))
	qt.Assert(to.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(to.t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	qt.Assert(to.t, err, qt.IsNil)
	return resp.StatusCode, answer
}

func jobBody(tasks int) map[string]any {
	return map[string]any{"spec": "load it", "steps": []any{
		map[string]any{"count": tasks, "cpu": 500, "mem-mb": 256, "estimate-ms": 900},
		map[string]any{"count": 1, "cpu": 500, "mem-mb": 256, "start-after": []int{0}},
	}}
}

func (to *town) state(id string) string {
	status, answer := to.do(http.MethodGet, "/depot/"+id, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var body struct {
		State string `json:"state"`
	}
	qt.Assert(to.t, json.Unmarshal(answer, &body), qt.IsNil)
	return body.State
}

func TestPath(t *testing.T) {
	to := newTown(t, 3)
	to.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 50 * time.Millisecond, "done" }
	status, _ := to.do(http.MethodPost, "/depot/0123456789abcdef", jobBody(2))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	to.configure()

	t.Run("job from hand-in to its end", func(t *testing.T) {
		id := "0123456789abcdef"
		status, _ := to.do(http.MethodPost, "/depot/"+id, jobBody(4))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		status, _ = to.do(http.MethodPost, "/depot/"+id, jobBody(4))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		to.eventually("succeeded", func() bool { return to.state(id) == "succeeded" })
		qt.Assert(t, len(to.fleet.Runs()), qt.Equals, 5)
	})
	t.Run("job cancelled", func(t *testing.T) {
		id := "1123456789abcdef"
		body := jobBody(2)
		body["steps"].([]any)[0].(map[string]any)["long-running"] = true
		to.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
		status, _ := to.do(http.MethodPost, "/depot/"+id, body)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		to.eventually("running", func() bool { return to.state(id) == "running" })
		status, _ = to.do(http.MethodDelete, "/depot/"+id, nil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, to.state(id), qt.Equals, "cancelled")
	})
	t.Run("count of what waits", func(t *testing.T) {
		_, answer := to.do(http.MethodGet, "/depot/", nil)
		qt.Assert(t, string(answer), qt.Equals, `{"pending":0}`)
	})
	t.Run("unknown job and queue", func(t *testing.T) {
		qt.Assert(t, to.state("ffffffffffffffff"), qt.Equals, "410")
		status, _ := to.do(http.MethodPost, "/nowhere/0123456789abcdef", jobBody(1))
		qt.Assert(t, status, qt.Equals, http.StatusNotFound)
	})
}

// BenchmarkPath measures the whole work of an entry host for attempts, over
// HTTP, with the stand-ins in the same process.
func BenchmarkPath(b *testing.B) {
	to := newTown(b, 16)
	to.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 100 * time.Millisecond, "done" }
	to.configure()
	b.ReportAllocs()
	var n atomic.Int64
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fmt.Sprintf("%016x", n.Add(1))
			status, _ := to.do(http.MethodPost, "/depot/"+id, jobBody(8))
			if status != http.StatusOK {
				b.Errorf("status %d", status)
			}
			to.eventually("succeeded", func() bool { return to.state(id) == "succeeded" })
		}
	})
}
