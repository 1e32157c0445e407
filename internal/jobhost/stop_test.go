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

// surroundings are what an entry host talks to, each behind a line.
type surroundings struct {
	t     *testing.T
	table standin.Table
	fleet standin.Fleet
	lines []*standin.Line
	host  *Host
}

// newSurroundings returns a host with a store, another entry host that relays for it,
// and workers that it reaches through that one, or directly.
func newSurroundings(t *testing.T, ip string, relayed bool) *surroundings {
	t.Helper()
	su := &surroundings{t: t}
	st := httptest.NewServer(platformtest.Store(&su.table))
	t.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	se := goodSettings()
	// The address is the host's own, and the system gives out no such high ports itself.
	se.IP, se.Ports, se.GraceS = ip, []int{65534, 65535}, 2
	se.CallerAddr, se.ReadyAddr = net.JoinHostPort(ip, "65532"), net.JoinHostPort(ip, "65533")
	se.StoreAddr = su.line(st.Listener.Addr().String())
	if relayed {
		se.Cores = 0.001
		rs := httptest.NewServer(&relay.Server{Agent: platform.NewAgent(transport.NewClient(2, nil)), Log: slog.New(slog.DiscardHandler)})
		t.Cleanup(func() { rs.CloseClientConnections(); rs.Close() })
		me := registry.Member{Name: "e2", Process: "e2-1", Addr: su.line(rs.Listener.Addr().String()), DataCentre: "z", Cores: 1}
		qt.Assert(t, platformtest.Put(&su.table, registry.Key(me.Name), me), qt.IsNil)
	}
	su.addWorkers()
	var err error
	su.host, err = New(se, slog.New(slog.DiscardHandler))
	qt.Assert(t, err, qt.IsNil)
	return su
}

// addWorkers lists two workers by the addresses of lines to them.
func (su *surroundings) addWorkers() {
	su.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	end, err := platformtest.Fleet(&su.fleet, &su.table, 2, "routedesk")
	su.t.Cleanup(end)
	qt.Assert(su.t, err, qt.IsNil)
	rows, err := su.table.Client().List(context.Background(), platform.WorkerPrefix)
	qt.Assert(su.t, err, qt.IsNil)
	for _, row := range rows {
		var body map[string]any
		qt.Assert(su.t, json.Unmarshal(row.Value, &body), qt.IsNil)
		body["address"] = su.line(body["address"].(string))
		qt.Assert(su.t, platformtest.Put(&su.table, row.Key, body), qt.IsNil)
	}
}

// work has two tasks run until they are stopped.
func (su *surroundings) work() {
	linetest.Eventually(su.t, "owning the cell", func() bool { return su.host.owner.Load() != nil })
	step := job.Step{Tasks: 2, Each: worker.Resources{MilliCores: 500}, EstimateMS: 900}
	ve := su.host.door.Submit(context.Background(), "0123456789abcdef", job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 1}, job.Spec{Steps: []job.Step{step}})
	qt.Assert(su.t, ve.Outcome, qt.Equals, sched.Accepted)
	linetest.Eventually(su.t, "work runs", func() bool { return len(su.fleet.Runs()) == 2 })
}

// line returns the address of a line to another one.
func (su *surroundings) line(to string) string {
	ln := linetest.NewLine(su.t, to)
	su.lines = append(su.lines, ln)
	return ln.Addr()
}

// ips counts the addresses given out.
var ips atomic.Int32

// nextIP returns an address of loopback that no other host had, nor one of another run
// of this test on the machine: each wants its ports for itself, and keeps that of metrics
// until the process ends.
func nextIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 65+pid>>8&63, pid&255, ips.Add(1))
}

// TestStopWhileOthersStandStill has everything that an owner talks to stall, and stops
// its host: the process ends in time.
func TestStopWhileOthersStandStill(t *testing.T) {
	for _, st := range standin.Stalls {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", st, relayed), func(t *testing.T) {
				t.Parallel()
				su := newSurroundings(t, nextIP(), relayed)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				ended := make(chan error, 1)
				go func() { ended <- su.host.Run(ctx) }()
				su.work()
				for _, ln := range su.lines {
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				stop()
				linetest.Ends(t, "planned stop", func() { qt.Check(t, <-ended, qt.IsNil) })
			})
		}
	}
}

// TestReleaseTime leaves time for the end of the process, however short the whole is.
func TestReleaseTime(t *testing.T) {
	for _, tc := range []struct{ grace, want time.Duration }{
		{10 * time.Second, 9500 * time.Millisecond},
		{2 * time.Second, 1500 * time.Millisecond},
		{600 * time.Millisecond, 300 * time.Millisecond},
		{0, 0},
	} {
		qt.Check(t, releaseTime(tc.grace), qt.Equals, tc.want)
	}
}
