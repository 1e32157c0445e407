// Package dev runs the whole path in one process, over real loopback sockets:
// stand-ins for the platform, runners and workers, and three entry hosts in
// two data centres. It is how a newcomer sees the system at work, and a
// check: it compares what callers were told with the runners' own logs.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
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
	"github.com/pepperhatch/pepperhatch/internal/settings"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Settings describe a run.
type Settings struct {
	// For ends the run by itself; zero runs until ctx ends.
	Duration time.Duration
	// Rate is requests a second.
	Rate float64
	// Out gets what people read.
	Out io.Writer
	// Log gets the entry hosts' log.
	Log *slog.Logger
}

// ErrViolation says that a promise was seen broken.
var ErrViolation = errors.New("a promise was seen broken; see above")

const service = "routedesk"

// dcs are the data centres; the first has two of the entry hosts.
var dcs = []string{"burnaby-hall", "surrey-hall"}

// Sizes of the small world.
const (
	runnersPerDC = 4
	workersPerDC = 4
	workersRack  = 2
	serviceTime  = 15 * time.Millisecond
	sessions     = 4
	batchPart    = 0.3
	oncePart     = 0.1
	readyTime    = 20 * time.Second
)

// world is everything that runs.
type world struct {
	set     Settings
	table   standin.Table
	objects standin.Objects
	hosts   standin.Hosts
	runners []*standin.Runner
	workers []*standin.Worker
	urls    [3]string
	entries []*entry.Host
	servers []*http.Server
	ended   sync.WaitGroup
}

// Run runs the small world and reports whether a promise was seen broken.
func Run(ctx context.Context, set Settings) (bool, error) {
	wo := &world{set: set}
	wo.hosts.Lag = 200 * time.Millisecond
	defer wo.close()
	if err := wo.standins(); err != nil {
		return false, err
	}
	hctx, stopHosts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHosts()
	if err := wo.startEntries(hctx); err != nil {
		return false, err
	}
	if err := wo.awaitReady(ctx); err != nil {
		return false, err
	}
	ya, err := wo.startJobs(hctx)
	if err != nil {
		return false, err
	}
	wo.printAddresses()
	wo.printf("  pepperhatch batch list --addr %s", ya.addr)
	jctx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	jobs := make(chan jobsSeen, 1)
	go func() { jobs <- ya.handIn(jctx) }()
	re, seen := wo.drive(ctx)
	stopJobs()
	jobsBroken := ya.broken(<-jobs)
	counts := wo.taskCounts()
	stopHosts()
	wo.ended.Wait()
	broken, err := wo.conclude(re, seen, counts)
	return broken || jobsBroken, err
}

// serve serves a handler on a free loopback port.
func (wo *world) serve(h http.Handler) (string, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	wo.servers = append(wo.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (wo *world) close() {
	for _, srv := range wo.servers {
		_ = srv.Close()
	}
}

func (wo *world) standins() error {
	for i, h := range []http.Handler{wo.table.Handler(), wo.objects.Handler(), wo.hosts.Handler()} {
		addr, err := wo.serve(h)
		if err != nil {
			return err
		}
		wo.urls[i] = "http://" + addr
	}
	for _, dc := range dcs {
		for i := range runnersPerDC {
			if err := wo.addRunner(dc, i); err != nil {
				return err
			}
		}
		for i := range workersPerDC {
			if err := wo.addWorker(dc, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (wo *world) addRunner(dc string, i int) error {
	id := fmt.Sprintf("%s-runner%d", dc[:1], i+1)
	ru := standin.NewRunner(standin.RunnerSettings{ID: id, Mean: serviceTime, Sigma: 0.5})
	addr, err := wo.serve(ru.Handler())
	if err != nil {
		return err
	}
	wo.runners = append(wo.runners, ru)
	wo.hosts.Put(store.Host{
		ID: id, Kind: store.KindRunner, Addr: addr, DC: dc, Rack: "r1",
		State: store.HostLive, Service: service, Slots: 8,
	})
	return nil
}

func (wo *world) addWorker(dc string, i int) error {
	id := fmt.Sprintf("%s-worker%d", dc[:1], i+1)
	holds := worker.Resources{MilliCores: 30_000, MemMB: 125_000}
	st := standin.NewWorker(standin.WorkerSettings{ID: id, Holds: holds, Lag: time.Second, CheckpointEvery: time.Second})
	addr, err := wo.serve(st.Handler())
	if err != nil {
		return err
	}
	wo.workers = append(wo.workers, st)
	wo.hosts.Put(store.Host{
		ID: id, Kind: store.KindWorker, Addr: addr, DC: dc, Rack: fmt.Sprintf("r%d", i/workersRack+1),
		State: store.HostLive, MilliCores: holds.MilliCores, MemMB: holds.MemMB,
	})
	return nil
}

func (wo *world) startEntries(ctx context.Context) error {
	var peers []string
	for i, dc := range []string{dcs[0], dcs[0], dcs[1]} {
		set := settings.Serve{
			Name: fmt.Sprintf("e%d", i+1), DC: dc, DCs: dcs,
			CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", Peers: peers,
			TableURL: wo.urls[0], ObjectsURL: wo.urls[1], HostsURL: wo.urls[2],
			MaxBody: 1 << 20, MaxConns: 2000, MaxInFlight: 2000, MaxSessions: 100, MaxClaims: 100_000,
			RunnerConns: 12, RunnerSessions: 12, CellInterval: 100 * time.Millisecond,
			LeaseTTL: 3 * time.Second, LeaseEvery: time.Second, StopDelay: 100 * time.Millisecond, StopGrace: 10 * time.Second,
		}
		ho, err := entry.New(set, wo.set.Log)
		if err != nil {
			return err
		}
		peers = append(peers, ho.PeerAddr())
		wo.entries = append(wo.entries, ho)
		wo.ended.Go(func() {
			if err := ho.Run(ctx); err != nil {
				wo.set.Log.Error("entry host ended", "host", ho.ID(), "err", err)
			}
		})
	}
	return nil
}

func (wo *world) admin() pepperhatchv1connect.OperatorServiceClient {
	return pepperhatchv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+wo.entries[0].AdminAddr())
}

// awaitReady waits until all see each other, their runners and their cells.
func (wo *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		resp, err := wo.admin().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil && wo.complete(resp.Msg) {
			return nil
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return fmt.Errorf("not ready after %v: %w", readyTime, ctx.Err())
		}
	}
}

func (wo *world) complete(msg *pb.StatusResponse) bool {
	if len(msg.GetEntries()) < len(wo.entries) || len(msg.GetRunners()) < runnersPerDC {
		return false
	}
	for _, ce := range msg.GetCells() {
		if ce.GetWorkers()["live"] < workersPerDC {
			return false
		}
	}
	return true
}

func (wo *world) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(wo.set.Out, format+"\n", args...)
}

func (wo *world) printAddresses() {
	for _, ho := range wo.entries {
		wo.printf("entry host %s: callers %s, operators %s", ho.ID(), ho.CallerAddr(), ho.AdminAddr())
	}
	first := wo.entries[0]
	wo.printf("table %s, objects %s, hosts %s", wo.urls[0], wo.urls[1], wo.urls[2])
	wo.printf("try, in another shell:")
	wo.printf("  pepperhatch status --admin %s", first.AdminAddr())
	wo.printf("  pepperhatch call --entry %s --service %s --method leg-recalc 'next turn'", first.CallerAddr(), service)
	wo.printf("  pepperhatch job add --admin %s --name depot --tasks 3 --cores 2 --run 5s", first.AdminAddr())
	wo.printf("")
}

// drive sends the load, watches sessions and adds jobs until the time is up.
func (wo *world) drive(ctx context.Context) (load.Report, *seen) {
	span := wo.set.Duration
	if span == 0 {
		span = 24 * time.Hour
	}
	lctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	se := &seen{}
	var wg sync.WaitGroup
	for i := range sessions {
		wg.Go(func() { wo.watch(lctx, se, fmt.Sprintf("traffic%d", i)) })
	}
	wg.Go(func() { wo.operate(lctx) })
	wg.Go(func() { wo.show(lctx) })
	re := load.Run(ctx, wo.client(), load.Settings{
		Rate: wo.set.Rate, Duration: span, Service: service, Method: "leg-recalc", BatchFraction: batchPart, RunOnceFraction: oncePart,
		BodyBytes: 64, Check: true, Home: dcs[0],
	})
	cancel()
	wg.Wait()
	return re, se
}

func (wo *world) client() *caller.Client {
	addrs := make([]string, 0, len(wo.entries))
	for _, ho := range wo.entries {
		addrs = append(addrs, ho.CallerAddr())
	}
	return caller.New(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, addrs...)
}
