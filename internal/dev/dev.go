// Package dev runs a complete small system in one process, over real loopback sockets:
// stand-ins for the platform, runners and workers, and three entry hosts in two data
// centres. It is a demonstration and an end-to-end check: it compares the answers that
// callers received with the logs of runners and workers. It does not inject faults
// into entry hosts or the platform.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/entry"
	"github.com/pepperhatch/pepperhatch/internal/load"
	"github.com/pepperhatch/pepperhatch/internal/port"
	"github.com/pepperhatch/pepperhatch/internal/settings"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Settings describes a run.
type Settings struct {
	// Machine is the size of the machine; zero means what the kernel reports.
	Machine port.Machine
	// Duration bounds the run; with zero it lasts until ctx ends.
	Duration time.Duration
	// Rate is in requests per second.
	Rate float64
	// Out receives the progress and the results.
	Out io.Writer
	// Log receives the log of the entry hosts.
	Log *slog.Logger
}

// ErrViolation says that the run violated a guarantee.
var ErrViolation = errors.New("guarantee violated; see the lines marked BROKEN and the counts of jobs above")

// service is the name of the only service.
const service = "routedesk"

// dataCentres are the data centres; the first has two of the entry hosts.
var dataCentres = []string{"burnaby-hall", "surrey-hall"}

// Sizes and times of the deployment.
const (
	runnersPerDC    = 4
	workersPerDC    = 4
	workersPerRack  = 2
	meanServiceTime = 15 * time.Millisecond
	sessionCount    = 4
	batchFraction   = 0.3
	runOnceFraction = 0.1
	entryHosts      = 3
	// maxConns bounds the connections at each stand-in and at the job API.
	maxConns = 200
	// writeTimeout bounds the time in which a client accepts one write of an answer.
	writeTimeout = 30 * time.Second
	readyTimeout = 20 * time.Second
)

// deployment holds the stand-ins and entry hosts of a run.
type deployment struct {
	set     Settings
	table   standin.Table
	objects standin.Objects
	hosts   standin.Hosts
	runners []*standin.Runner
	workers []*standin.Worker
	// urls are those of the table, the object store and the host list.
	urls    [3]string
	entries []*entry.Host
	servers []*port.Port
	// process has the limits of all servers other than those of entry hosts.
	process *port.Process
	// hostsWG counts the goroutines of entry hosts and of the batch cell.
	hostsWG sync.WaitGroup
}

// Run runs the deployment under load and reports whether a guarantee was violated.
func Run(ctx context.Context, set Settings) (bool, error) {
	if set.Machine == (port.Machine{}) {
		var err error
		if set.Machine, err = port.DetectMachine(); err != nil {
			return false, err
		}
	}
	de := &deployment{set: set}
	de.process = port.NewProcess(de.part(), nil, set.Log)
	de.hosts.Lag = 200 * time.Millisecond
	defer de.close()
	if err := de.startStandins(); err != nil {
		return false, err
	}
	hctx, stopHosts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHosts()
	if err := de.startEntries(hctx); err != nil {
		return false, err
	}
	if err := de.awaitReady(ctx); err != nil {
		return false, err
	}
	bc, err := de.startJobs(hctx)
	if err != nil {
		return false, err
	}
	de.printAddresses()
	de.printf("  pepperhatch batch list --addr %s", bc.client.Addr)
	jctx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	jobs := make(chan jobCounts, 1)
	go func() { jobs <- bc.submitJobs(jctx) }()
	re, se := de.runLoad(ctx)
	stopJobs()
	jc := <-jobs
	bc.reportJobs(jc)
	counts := de.taskCounts()
	stopHosts()
	de.hostsWG.Wait()
	return de.reportResults(re, se, counts, jc.violations)
}

// serve serves a handler on a free loopback port.
func (de *deployment) serve(h http.Handler) (string, error) {
	lim := port.Limits{Name: "dev", Process: de.process, MaxConns: maxConns, MaxBody: wire.MaxBody, WriteTimeout: writeTimeout}
	po, err := port.Listen("127.0.0.1:0", lim)
	if err != nil {
		return "", err
	}
	de.servers = append(de.servers, po)
	go func() { _ = po.Serve(h, lim) }()
	return po.Addr, nil
}

// part returns the part of the machine that each entry host and all other servers together get.
func (de *deployment) part() port.Machine { return de.set.Machine.Part(entryHosts + 1) }

func (de *deployment) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, po := range de.servers {
		_ = po.Stop(ctx)
	}
}

// startStandins starts the stand-ins of the platform, runners and workers.
func (de *deployment) startStandins() error {
	for i, h := range []http.Handler{de.table.Handler(), de.objects.Handler(), de.hosts.Handler()} {
		addr, err := de.serve(h)
		if err != nil {
			return err
		}
		de.urls[i] = "http://" + addr
	}
	for _, dc := range dataCentres {
		for i := range runnersPerDC {
			if err := de.addRunner(dc, i); err != nil {
				return err
			}
		}
		for i := range workersPerDC {
			if err := de.addWorker(dc, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (de *deployment) addRunner(dc string, i int) error {
	id := fmt.Sprintf("%s-runner%d", dc[:1], i+1)
	ru := standin.NewRunner(standin.RunnerSettings{ID: id, Mean: meanServiceTime, Sigma: 0.5})
	addr, err := de.serve(ru.Handler())
	if err != nil {
		return err
	}
	de.runners = append(de.runners, ru)
	de.hosts.Put(store.Host{
		ID: id, Kind: store.KindRunner, Addr: addr, DC: dc, Rack: "r1",
		State: store.HostLive, Service: service, Slots: 8,
	})
	return nil
}

func (de *deployment) addWorker(dc string, i int) error {
	id := fmt.Sprintf("%s-worker%d", dc[:1], i+1)
	capacity := worker.Resources{MilliCores: 30_000, MemMB: 125_000}
	st := standin.NewWorker(standin.WorkerSettings{ID: id, Capacity: capacity, Lag: time.Second, CheckpointEvery: time.Second})
	addr, err := de.serve(st.Handler())
	if err != nil {
		return err
	}
	de.workers = append(de.workers, st)
	de.hosts.Put(store.Host{
		ID: id, Kind: store.KindWorker, Addr: addr, DC: dc, Rack: fmt.Sprintf("r%d", i/workersPerRack+1),
		State: store.HostLive, MilliCores: capacity.MilliCores, MemMB: capacity.MemMB,
	})
	return nil
}

func (de *deployment) startEntries(ctx context.Context) error {
	var peers []string
	for i, dc := range []string{dataCentres[0], dataCentres[0], dataCentres[1]} {
		set := settings.Serve{
			Name: fmt.Sprintf("e%d", i+1), DC: dc, DCs: dataCentres,
			CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", Peers: peers,
			TableURL: de.urls[0], ObjectsURL: de.urls[1], HostsURL: de.urls[2],
			MaxBody: 1 << 20, MaxConns: 2000, MaxInFlight: 2000, MaxSessions: 100, MaxClaims: 100_000,
			RunnerConns: 12, RunnerSessions: 12, CellInterval: 100 * time.Millisecond,
			LeaseTTL: 3 * time.Second, LeaseEvery: time.Second, StopDelay: 100 * time.Millisecond, StopGrace: 10 * time.Second,
			Machine: settings.Machine{MemoryMB: int(de.part().Memory >> 20), MaxFDs: de.part().Descriptors},
		}
		ho, err := entry.New(set, de.set.Log)
		if err != nil {
			return err
		}
		peers = append(peers, ho.PeerAddr())
		de.entries = append(de.entries, ho)
		de.hostsWG.Go(func() {
			if err := ho.Run(ctx); err != nil {
				de.set.Log.Error("entry host ended", "host", ho.ID(), "err", err)
			}
		})
	}
	return nil
}

func (de *deployment) admin() pepperhatchv1connect.OperatorServiceClient {
	return pepperhatchv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+de.entries[0].AdminAddr())
}

// awaitReady waits until the first entry host lists all other entry hosts, the runners
// and the workers of all cells.
func (de *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		resp, err := de.admin().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil && de.allVisible(resp.Msg) {
			return nil
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return fmt.Errorf("not ready after %v: %w", readyTimeout, ctx.Err())
		}
	}
}

func (de *deployment) allVisible(msg *pb.StatusResponse) bool {
	if len(msg.GetEntries()) < len(de.entries) || len(msg.GetRunners()) < runnersPerDC {
		return false
	}
	for _, ce := range msg.GetCells() {
		if ce.GetWorkers()["live"] < workersPerDC {
			return false
		}
	}
	return true
}

func (de *deployment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(de.set.Out, format+"\n", args...)
}

func (de *deployment) printAddresses() {
	for _, ho := range de.entries {
		de.printf("entry host %s: callers %s, operators %s", ho.ID(), ho.CallerAddr(), ho.AdminAddr())
	}
	first := de.entries[0]
	de.printf("table %s, objects %s, hosts %s", de.urls[0], de.urls[1], de.urls[2])
	de.printf("try, in another shell:")
	de.printf("  pepperhatch status --admin %s", first.AdminAddr())
	de.printf("  pepperhatch call --entry %s --service %s --method leg-recalc 'next turn'", first.CallerAddr(), service)
	de.printf("  pepperhatch job add --admin %s --name depot --tasks 3 --cores 2 --run 5s", first.AdminAddr())
	de.printf("")
}

// runLoad sends requests, watches sessions and adds jobs until the run's duration has
// passed.
func (de *deployment) runLoad(ctx context.Context) (load.Report, *sessionStats) {
	span := de.set.Duration
	if span == 0 {
		// Without a duration only ctx ends the run.
		span = 24 * time.Hour
	}
	lctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	se := &sessionStats{}
	var wg sync.WaitGroup
	for i := range sessionCount {
		wg.Go(func() { de.watchSession(lctx, se, fmt.Sprintf("traffic%d", i)) })
	}
	wg.Go(func() { de.runOperator(lctx) })
	wg.Go(func() { de.printStatus(lctx) })
	re := load.Run(ctx, de.client(), load.Settings{
		Rate: de.set.Rate, Duration: span, Service: service, Method: "leg-recalc", BatchFraction: batchFraction, RunOnceFraction: runOnceFraction,
		BodyBytes: 64, Check: true, Home: dataCentres[0],
	})
	cancel()
	wg.Wait()
	return re, se
}

func (de *deployment) client() *caller.Client {
	addrs := make([]string, 0, len(de.entries))
	for _, ho := range de.entries {
		addrs = append(addrs, ho.CallerAddr())
	}
	return caller.New(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, addrs...)
}
