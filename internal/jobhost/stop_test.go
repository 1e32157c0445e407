package jobhost

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/relay"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/transport"
	"github.com/pepperhatch/pepperhatch/internal/worker"
	"github.com/pepperhatch/pepperhatch/platform"
	"github.com/pepperhatch/pepperhatch/platform/platformtest"
)

// testEnv is an entry host with everything it connects to, each behind a proxy that can be
// stalled.
type testEnv struct {
	t       *testing.T
	table   standin.Table
	fleet   standin.Fleet
	proxies []*standin.Proxy
	host    *Host
}

// newTestEnv returns a host with a store and two workers. If relayed is set, the host
// reaches the workers through another entry host, otherwise directly.
func newTestEnv(t *testing.T, ip string, relayed bool) *testEnv {
	t.Helper()
	te := &testEnv{t: t}
	st := httptest.NewServer(platformtest.Store(&te.table))
	t.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	se := validSettings()
	// No other host uses the address, and the system assigns no ports as high as these.
	se.IP, se.Ports, se.GraceS = ip, []int{65534, 65535}, 2
	se.CallerAddr, se.ReadyAddr = net.JoinHostPort(ip, "65532"), net.JoinHostPort(ip, "65533")
	se.StoreAddr = te.proxyTo(st.Listener.Addr().String())
	if relayed {
		se.Cores = 0.001
		rs := httptest.NewServer(&relay.Server{Agent: platform.NewAgent(transport.NewClient(2, nil)), Log: slog.New(slog.DiscardHandler)})
		t.Cleanup(func() { rs.CloseClientConnections(); rs.Close() })
		me := registry.Member{Name: "e2", Process: "e2-1", Addr: te.proxyTo(rs.Listener.Addr().String()), DataCentre: "z", Cores: 1}
		qt.Assert(t, platformtest.Put(&te.table, registry.Key(me.Name), me), qt.IsNil)
	}
	te.addWorkers()
	var err error
	te.host, err = New(se, slog.New(slog.DiscardHandler))
	qt.Assert(t, err, qt.IsNil)
	return te
}

// addWorkers starts two workers and lists them under the addresses of proxies to them.
func (te *testEnv) addWorkers() {
	te.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	end, err := platformtest.Fleet(&te.fleet, &te.table, 2, "routedesk")
	te.t.Cleanup(end)
	qt.Assert(te.t, err, qt.IsNil)
	rows, err := te.table.Client().List(context.Background(), platform.WorkerPrefix)
	qt.Assert(te.t, err, qt.IsNil)
	for _, row := range rows {
		var body map[string]any
		qt.Assert(te.t, json.Unmarshal(row.Value, &body), qt.IsNil)
		body["address"] = te.proxyTo(body["address"].(string))
		qt.Assert(te.t, platformtest.Put(&te.table, row.Key, body), qt.IsNil)
	}
}

// startTasks starts two tasks that run until they are stopped.
func (te *testEnv) startTasks() {
	linetest.Eventually(te.t, "owning the cell", func() bool { return te.host.owner.Load() != nil })
	step := job.Step{Tasks: 2, Each: worker.Resources{MilliCores: 500}, EstimateMS: 900}
	ve := te.host.frontEnd.Submit(context.Background(), "0123456789abcdef", job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 1}, job.Spec{Steps: []job.Step{step}})
	qt.Assert(te.t, ve.Outcome, qt.Equals, sched.Accepted)
	linetest.Eventually(te.t, "tasks run", func() bool { return len(te.fleet.Runs()) == 2 })
}

// proxyTo returns the address of a new proxy to addr.
func (te *testEnv) proxyTo(addr string) string {
	pr := linetest.NewProxy(te.t, addr)
	te.proxies = append(te.proxies, pr)
	return pr.Addr()
}

// lastIP counts the addresses that nextIP returned.
var lastIP atomic.Int32

// nextIP returns a loopback address that neither another host of this test nor another run
// on the machine uses: each host needs its own fixed ports, and keeps the metrics port until
// the process ends.
func nextIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 65+pid>>8&63, pid&255, lastIP.Add(1))
}

// TestStopWhileOthersStall checks that a planned stop ends in time while everything that the
// owner connects to is stalled.
func TestStopWhileOthersStall(t *testing.T) {
	for _, st := range standin.Stalls {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", st, relayed), func(t *testing.T) {
				t.Parallel()
				te := newTestEnv(t, nextIP(), relayed)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				ended := make(chan error, 1)
				go func() { ended <- te.host.Run(ctx) }()
				te.startTasks()
				for _, pr := range te.proxies {
					qt.Assert(t, pr.Stall(st), qt.IsNil)
				}
				stop()
				linetest.MustReturn(t, "planned stop", func() { qt.Check(t, <-ended, qt.IsNil) })
			})
		}
	}
}

// TestReleaseTimeout checks that time is left for the exit of the process, however short the
// grace period is.
func TestReleaseTimeout(t *testing.T) {
	for _, tc := range []struct{ grace, want time.Duration }{
		{10 * time.Second, 9500 * time.Millisecond},
		{2 * time.Second, 1500 * time.Millisecond},
		{600 * time.Millisecond, 300 * time.Millisecond},
		{0, 0},
	} {
		qt.Check(t, releaseTimeout(tc.grace), qt.Equals, tc.want)
	}
}
