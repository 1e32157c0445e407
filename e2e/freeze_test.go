package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/jobhost"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
	"github.com/pepperhatch/pepperhatch/platform/platformtest"
)

// Sizes and times of the smallest deployment whose owner needs all other hosts as relays:
// with hostCores a host reaches 16 workers as the owner and 7 as a relay, so three relays
// are too few.
const (
	jobHosts     = 5
	fleetWorkers = 24
	hostCores    = 0.05
	// endlessTasks of 10 cores fill the workers of 32 cores, so the tasks of a worker that
	// receives no orders can't run elsewhere.
	endlessTasks = 3 * fleetWorkers
	endlessCores = 10_000
	maxLease     = 6 * time.Second
	// freezeTime outlasts the takeover, the opening of streams to relays, and the timeout
	// after which an unresponsive stream is given up.
	freezeTime = 5 * time.Second
	// metricsPort is the same on all hosts, so each needs its own IP address.
	metricsPort = "9464"
)

// jobCluster is a set of entry hosts that run as processes; the store and the workers run
// in the test process.
type jobCluster struct {
	*cluster

	table standin.Table
	fleet standin.Fleet
	hosts []*process
}

// startJobCluster starts the hosts in two data centres, submits endless tasks that fill
// all workers, and returns once all tasks run.
func startJobCluster(c *qt.C) *jobCluster {
	cl := newJobCluster(c)
	cl.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	cl.startHosts()
	cl.submitEndlessJob()
	cl.await("all tasks run", func() bool { return cl.running() == endlessTasks })
	return cl
}

func newJobCluster(c *qt.C) *jobCluster {
	return &jobCluster{cluster: &cluster{c: c, dir: c.TempDir(), web: &http.Client{}}}
}

// startHosts starts the store, the workers and the hosts, and returns once all hosts are ready.
func (cl *jobCluster) startHosts() {
	c := cl.c
	st := httptest.NewServer(platformtest.Store(&cl.table))
	c.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	end, err := platformtest.Fleet(&cl.fleet, &cl.table, fleetWorkers, "routedesk", dataCentres...)
	c.Cleanup(end)
	c.Assert(err, qt.IsNil)
	queue := map[string]any{"name": "q", "host": "depot", "path-prefix": "/depot/", "service": "routedesk", "max-attempts": 2}
	c.Assert(platformtest.Put(&cl.table, "op//config", map[string]any{"version": 1, "routes": []any{queue}}), qt.IsNil)
	for i := range jobHosts {
		cl.hosts = append(cl.hosts, cl.startHost(fmt.Sprintf("e%d", i+1), dataCentres[i*len(dataCentres)/jobHosts], st.Listener.Addr().String()))
	}
	cl.await("all hosts are listed", func() bool {
		rows, err := cl.table.Client().List(context.Background(), registry.Prefix)
		return err == nil && len(rows) == jobHosts
	})
	cl.await("all hosts are ready", cl.allReady)
}

// startHost starts an entry host. At the end of the test it is resumed before it is
// killed, and its decisive log lines are printed if the test failed.
func (cl *jobCluster) startHost(name, dc, storeAddr string) *process {
	ip := freeIP(cl.c)
	addrs := [3]string{freeAddrAt(cl.c, ip), freeAddrAt(cl.c, ip), freeAddrAt(cl.c, ip)}
	port := int(netip.MustParseAddrPort(addrs[1]).Port())
	data, err := json.Marshal(jobhost.Settings{
		Name: name, DataCentre: dc, IP: ip, Ports: []int{port, port}, CallerAddr: addrs[0], ReadyAddr: addrs[2], StoreAddr: storeAddr,
		Cores: hostCores, MaxLeaseMS: float64(maxLease.Milliseconds()), StopMS: 900, GraceS: 6, KeepEndedS: 120, HarmMS: float64(harmAfter.Milliseconds()), PaceMS: float64(paceDelay.Milliseconds()),
	})
	cl.c.Assert(err, qt.IsNil)
	path := filepath.Join(cl.dir, name+".json")
	cl.c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	pr := cl.start("pepperhatch", name, "run", "--settings", path)
	pr.addrs = addrs
	cl.c.Cleanup(func() {
		_ = pr.Process.Signal(syscall.SIGCONT)
		cl.logDecisiveLines(pr)
	})
	return pr
}

// nextIP is where the search for the next loopback IP address starts. It depends on the
// process ID, so that concurrent runs of this test start at different addresses.
var nextIP = os.Getpid() % (1 << 14) << 8

// freeIP returns a loopback IP address at which the metrics port is unused.
func freeIP(c *qt.C) string {
	for {
		nextIP++
		ip := fmt.Sprintf("127.%d.%d.%d", 1+nextIP>>16, nextIP>>8&0xff, nextIP&0xff)
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
		if err == nil {
			c.Assert(ln.Close(), qt.IsNil)
			return ip
		}
	}
}

// decisiveLine matches log lines about panics, changes of owner, and relays.
var decisiveLine = regexp.MustCompile(`^panic:|msg="(owning the cell|tenure ended|told of a new owner|opening a stream|relay |no longer relaying|worker reached another way)`)

// logDecisiveLines prints the decisive lines of a host's log if the test failed.
func (cl *jobCluster) logDecisiveLines(pr *process) {
	if !cl.c.Failed() {
		return
	}
	data, err := os.ReadFile(filepath.Join(cl.dir, pr.name+".out"))
	cl.c.Check(err, qt.IsNil)
	for line := range bytes.Lines(data) {
		if decisiveLine.Match(line) {
			cl.c.Logf("%s: %s", pr.name, bytes.TrimSpace(line))
		}
	}
}

// allReady reports whether all hosts report that they are ready.
func (cl *jobCluster) allReady() bool {
	for _, pr := range cl.hosts {
		resp, err := cl.web.Get("http://" + pr.addrs[2] + "/pepperhatch/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// submitEndlessJob submits the endless job under one ID until it is accepted.
func (cl *jobCluster) submitEndlessJob() {
	su := jobapi.Submission{ID: "0123456789abcdef", Queue: "q", Spec: job.Spec{Payload: "serve", Steps: []job.Step{{
		Tasks: endlessTasks, Each: worker.Resources{MilliCores: endlessCores, MemMB: 1000}, LongRunning: true,
	}}}}
	cl.submitUntilAccepted(su)
}

// running returns the number of tasks that run now.
func (cl *jobCluster) running() int {
	n := 0
	for _, ru := range cl.fleet.Runs() {
		if ru.Until.IsZero() {
			n++
		}
	}
	return n
}

// owner returns the host that owns the cell by the store.
func (cl *jobCluster) owner() *process {
	var row tenure.OwnerRow
	_, err := cl.table.Client().Get(context.Background(), "cells/c0/owner", &row)
	cl.c.Assert(err, qt.IsNil)
	i := slices.IndexFunc(cl.hosts, func(pr *process) bool { return pr.name == row.Owner })
	cl.c.Assert(i >= 0, qt.IsTrue, qt.Commentf("owner %q", row.Owner))
	return cl.hosts[i]
}

// workersFencedAbove returns the number of workers that have received an order with a
// fencing token above all of those given.
func (cl *jobCluster) workersFencedAbove(before map[worker.Incarnation]int64) int {
	most, n := slices.Max(slices.Collect(maps.Values(before))), 0
	for _, fence := range cl.fleet.FencingTokens() {
		if fence > most {
			n++
		}
	}
	return n
}

// assertRecovered waits until all tasks have run for longer than a lease, which takes
// orders to each worker, and all hosts are ready. It checks that no task ran twice at
// once.
func (cl *jobCluster) assertRecovered() {
	cl.c.Helper()
	since := time.Now()
	cl.await("all tasks run for longer than a lease", func() bool {
		if cl.running() < endlessTasks {
			since = time.Now()
		}
		return time.Since(since) > maxLease+time.Second
	})
	cl.await("all hosts are ready", cl.allReady)
	cl.c.Assert(standin.RunViolations(cl.fleet.Runs()), qt.HasLen, 0)
	cl.c.Logf("%d of %d tasks were started again", len(cl.fleet.Runs())-endlessTasks, endlessTasks)
}

// TestWorkersOrderedAfterOwnerFreezes guards against workers that receive no orders after a
// frozen host has resumed, so that their leases expire and their tasks are not run again
// although there is capacity. It comes about as follows: the owner's host freezes and
// another host takes over; the new owner plans to use the frozen host as a relay, whose
// kernel still accepts the connection and the request, so that opening the stream neither
// succeeds nor fails. When the host resumes, it finds that the connection was closed, and
// the new owner must not go on waiting for the stream.
//
// In that failure the new owner logs "opening a stream to a relay" and "relay does not
// answer" for the frozen host, and afterwards none of "relay answers", "relay not used for
// a while" and "worker reached another way".
func TestWorkersOrderedAfterOwnerFreezes(t *testing.T) {
	c := qt.New(t)
	cl := startJobCluster(c)
	start := time.Now()
	for range 2 {
		frozen, before := cl.owner(), cl.fleet.FencingTokens()
		cl.freeze(frozen, freezeTime, start)
		cl.await("another host owns the cell", func() bool { return cl.owner() != frozen })
		cl.await("the new owner orders all workers", func() bool { return cl.workersFencedAbove(before) == fleetWorkers })
	}
	cl.assertRecovered()
}

// randomFreezePeriod is for how long hosts are frozen at random.
const randomFreezePeriod = 20 * time.Second

// TestHostsFreezeAtRandom freezes one or two hosts at a time for 0.5 to 5 s at random
// moments, the owner more often than others, and checks that the cluster recovers.
// PEPPERHATCH_SEED sets the random seed.
func TestHostsFreezeAtRandom(t *testing.T) {
	c := qt.New(t)
	cl := startJobCluster(c)
	seed := proptest.Seed(t)
	c.Logf("seed %d", seed)
	rn := rand.New(rand.NewPCG(seed, 0))
	for start := time.Now(); time.Since(start) < randomFreezePeriod; {
		cl.freezeOneOrTwo(rn, start)
	}
	cl.assertRecovered()
}

// freezeOneOrTwo freezes one or two hosts for random times. What it samples depends on rn
// alone.
func (cl *jobCluster) freezeOneOrTwo(rn *rand.Rand, start time.Time) {
	first, second := cl.hosts[rn.IntN(jobHosts)], cl.hosts[rn.IntN(jobHosts)]
	if rn.IntN(2) == 0 {
		first = cl.owner()
	}
	single := rn.IntN(2) == 0
	after, pause := randomTime(rn, 0, 2*time.Second), randomTime(rn, 0, time.Second)
	firstTime, secondTime := randomTime(rn, 500*time.Millisecond, freezeTime), randomTime(rn, 500*time.Millisecond, freezeTime)
	var wg sync.WaitGroup
	wg.Go(func() { cl.freeze(first, firstTime, start) })
	if !single && second != first {
		time.Sleep(after)
		wg.Go(func() { cl.freeze(second, secondTime, start) })
	}
	wg.Wait()
	time.Sleep(pause)
}

// randomTime returns a random time from least to below most.
func randomTime(rn *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rn.Int64N(int64(most-least)))
}

// freeze stops a host's process for the given time.
func (cl *jobCluster) freeze(pr *process, duration time.Duration, start time.Time) {
	cl.c.Logf("%v: %s freezes for %v", time.Since(start), pr.name, duration)
	cl.c.Check(pr.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(duration)
	cl.c.Check(pr.Process.Signal(syscall.SIGCONT), qt.IsNil)
}
