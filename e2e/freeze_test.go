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

// The smallest deployment whose owner needs all other hosts as relays: at hostCores a
// host reaches 16 workers as an owner and 7 as a relay, and three relays are too few.
const (
	jobHosts     = 5
	fleetWorkers = 24
	hostCores    = 0.05
	// endlessTasks of 10 cores fill the workers of 32: what a worker without orders
	// loses has no room elsewhere.
	endlessTasks = 3 * fleetWorkers
	endlessCores = 10_000
	maxLease     = 6 * time.Second
	// frozenFor outlasts the owner's replacement, the opening of streams, and the
	// time after which a silent one is given up.
	frozenFor = 5 * time.Second
	// metricsPort is the same on each host: that is why each has its own IP number.
	metricsPort = "9464"
)

// jobCluster is a set of entry hosts as processes, with store and workers in the
// process of the test.
type jobCluster struct {
	*cluster

	table standin.Table
	fleet standin.Fleet
	hosts []*process
}

// startJobCluster starts the hosts in two data centres, with endless tasks that
// fill all workers, and returns once all tasks run.
func startJobCluster(c *qt.C) *jobCluster {
	cl := &jobCluster{cluster: &cluster{c: c, dir: c.TempDir(), web: &http.Client{}}}
	cl.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	st := httptest.NewServer(platformtest.Store(&cl.table))
	c.Cleanup(func() { st.CloseClientConnections(); st.Close() })
	end, err := platformtest.Fleet(&cl.fleet, &cl.table, fleetWorkers, "routedesk", dcs...)
	c.Cleanup(end)
	c.Assert(err, qt.IsNil)
	queue := map[string]any{"name": "q", "host": "depot", "path-prefix": "/depot/", "service": "routedesk", "max-attempts": 2}
	c.Assert(platformtest.Put(&cl.table, "op//config", map[string]any{"version": 1, "routes": []any{queue}}), qt.IsNil)
	for i := range jobHosts {
		cl.hosts = append(cl.hosts, cl.startHost(fmt.Sprintf("e%d", i+1), dcs[i*len(dcs)/jobHosts], st.Listener.Addr().String()))
	}
	cl.await("all hosts are listed", func() bool {
		rows, err := cl.table.Client().List(context.Background(), registry.Prefix)
		return err == nil && len(rows) == jobHosts
	})
	cl.await("all hosts are ready", cl.allReady)
	cl.submit()
	cl.await("all tasks run", func() bool { return cl.running() == endlessTasks })
	return cl
}

// startHost starts an entry host. At the end of the test it is woken before it is
// killed.
func (cl *jobCluster) startHost(name, dc, storeAddr string) *process {
	ip := freeIP(cl.c)
	addrs := [3]string{freeAddrAt(cl.c, ip), freeAddrAt(cl.c, ip), freeAddrAt(cl.c, ip)}
	port := int(netip.MustParseAddrPort(addrs[1]).Port())
	data, err := json.Marshal(jobhost.Settings{
		Name: name, DataCentre: dc, IP: ip, Ports: []int{port, port}, CallerAddr: addrs[0], ReadyAddr: addrs[2], StoreAddr: storeAddr,
		Cores: hostCores, MaxLeaseMS: float64(maxLease.Milliseconds()), StopMS: 900, GraceS: 6, KeepEndedS: 120, HarmMS: 4000,
	})
	cl.c.Assert(err, qt.IsNil)
	path := filepath.Join(cl.dir, name+".json")
	cl.c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	pr := cl.start("pepperhatch", name, "run", "--settings", path)
	pr.addrs = addrs
	cl.c.Cleanup(func() {
		_ = pr.Process.Signal(syscall.SIGCONT)
		cl.tell(pr)
	})
	return pr
}

// nextIP is where to look for the next loopback IP number: other runs of this
// test on the machine begin elsewhere.
var nextIP = os.Getpid() % (1 << 14) << 8

// freeIP returns a loopback IP number at which nobody serves metrics.
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

// decisive are log lines of processes that end, owners that change, and relays.
var decisive = regexp.MustCompile(`^panic:|msg="(owning the cell|tenure ended|told of a new owner|opening a stream|relay |no longer relaying|worker reached another way)`)

// tell prints the decisive lines of a host's log if the test failed.
func (cl *jobCluster) tell(pr *process) {
	if !cl.c.Failed() {
		return
	}
	data, err := os.ReadFile(filepath.Join(cl.dir, pr.name+".out"))
	cl.c.Check(err, qt.IsNil)
	for line := range bytes.Lines(data) {
		if decisive.Match(line) {
			cl.c.Logf("%s: %s", pr.name, bytes.TrimSpace(line))
		}
	}
}

// allReady reports whether each host's process answers that it takes requests.
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

// submit hands the endless job in, with the same id until it is taken.
func (cl *jobCluster) submit() {
	su := jobapi.Submission{ID: "0123456789abcdef", Queue: "q", Spec: job.Spec{Payload: "serve", Steps: []job.Step{{
		Tasks: endlessTasks, Each: worker.Resources{MilliCores: endlessCores, MemMB: 1000}, LongRunning: true,
	}}}}
	cl.handIn(su)
}

// running counts the tasks that run.
func (cl *jobCluster) running() int {
	n := 0
	for _, ru := range cl.fleet.Runs() {
		if ru.Until.IsZero() {
			n++
		}
	}
	return n
}

// owner returns the host that owns the cell.
func (cl *jobCluster) owner() *process {
	var row tenure.OwnerRow
	_, err := cl.table.Client().Get(context.Background(), "cells/c0/owner", &row)
	cl.c.Assert(err, qt.IsNil)
	i := slices.IndexFunc(cl.hosts, func(pr *process) bool { return pr.name == row.Owner })
	cl.c.Assert(i >= 0, qt.IsTrue, qt.Commentf("owner %q", row.Owner))
	return cl.hosts[i]
}

// obeying counts the workers that have had an order with a fencing token above
// all that were there.
func (cl *jobCluster) obeying(before map[worker.Incarnation]int64) int {
	most, n := slices.Max(slices.Collect(maps.Values(before))), 0
	for _, fence := range cl.fleet.FencingTokens() {
		if fence > most {
			n++
		}
	}
	return n
}

// assertWhole checks that soon all tasks run and go on running for longer than a
// lease, so that each worker must be ordered; that nothing ran twice at once, and
// that all hosts' processes still answer.
func (cl *jobCluster) assertWhole() {
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
	cl.c.Logf("%d of %d tasks began again", len(cl.fleet.Runs())-endlessTasks, endlessTasks)
}

// TestOwnerFreezes is the story of services that lasted until an owner's host
// froze, and never ran again, with room for them.
//
// Users saw a third of a data centre's room given no work until the day ended. Order
// of events: the owner's host freezes for some seconds; another host owns the cell; as
// it needs relays, its plan gives workers to the host that stands still, whose kernel takes
// the connection and the request; no answer comes, and the stream neither opens nor
// fails. When the host wakes it reads the end of the connection, and the new owner
// goes on waiting: the workers get no order, and their leases lapse.
//
// Evidence: the new owner's log has "opening a stream to a relay" and "relay does not
// answer" for the frozen host, and neither "relay answers", "relay not used for a
// while" nor "worker reached another way" after it.
func TestOwnerFreezes(t *testing.T) {
	c := qt.New(t)
	cl := startJobCluster(c)
	begun := time.Now()
	for range 2 {
		frozen, before := cl.owner(), cl.fleet.FencingTokens()
		cl.freeze(frozen, frozenFor, begun)
		cl.await("another host owns the cell", func() bool { return cl.owner() != frozen })
		cl.await("the new owner orders all workers", func() bool { return cl.obeying(before) == fleetWorkers })
	}
	cl.assertWhole()
}

// freezesFor is how long hosts go on freezing at random.
const freezesFor = 20 * time.Second

// TestHostsFreezeAtRandom has one or two hosts at a time stand still for 0.5 to 5 s
// at random moments, the owner more often than others. PEPPERHATCH_SEED draws other
// freezes.
func TestHostsFreezeAtRandom(t *testing.T) {
	c := qt.New(t)
	cl := startJobCluster(c)
	seed := proptest.Seed(t)
	c.Logf("seed %d", seed)
	rn := rand.New(rand.NewPCG(seed, 0))
	for begun := time.Now(); time.Since(begun) < freezesFor; {
		cl.freezeSome(rn, begun)
	}
	cl.assertWhole()
}

// freezeSome freezes one host or two for a while. What it draws depends on rn alone.
func (cl *jobCluster) freezeSome(rn *rand.Rand, begun time.Time) {
	one, two := cl.hosts[rn.IntN(jobHosts)], cl.hosts[rn.IntN(jobHosts)]
	if rn.IntN(2) == 0 {
		one = cl.owner()
	}
	alone := rn.IntN(2) == 0
	after, pause := between(rn, 0, 2*time.Second), between(rn, 0, time.Second)
	oneFor, twoFor := between(rn, 500*time.Millisecond, frozenFor), between(rn, 500*time.Millisecond, frozenFor)
	var wg sync.WaitGroup
	wg.Go(func() { cl.freeze(one, oneFor, begun) })
	if !alone && two != one {
		time.Sleep(after)
		wg.Go(func() { cl.freeze(two, twoFor, begun) })
	}
	wg.Wait()
	time.Sleep(pause)
}

// between draws a time.
func between(rn *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rn.Int64N(int64(most-least)))
}

// freeze has a host stand still.
func (cl *jobCluster) freeze(pr *process, lasts time.Duration, begun time.Time) {
	cl.c.Logf("%v: %s freezes for %v", time.Since(begun), pr.name, lasts)
	cl.c.Check(pr.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(lasts)
	cl.c.Check(pr.Process.Signal(syscall.SIGCONT), qt.IsNil)
}
