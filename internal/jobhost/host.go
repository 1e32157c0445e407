package jobhost

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/frontend"
	"github.com/pepperhatch/pepperhatch/internal/invalidrow"
	"github.com/pepperhatch/pepperhatch/internal/port"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/relay"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/transport"
	"github.com/pepperhatch/pepperhatch/internal/watch"
	"github.com/pepperhatch/pepperhatch/platform"
)

// cellName is the name of the only cell of a deployment.
const cellName = "c0"

// Limits of a process.
const (
	// storeConns, workerConns and peerConns are the numbers of idle connections retained per
	// address.
	storeConns  = 6
	workerConns = 10
	peerConns   = 8
	// closeReserve is the part of the stop's grace period that is reserved for closing
	// connections.
	closeReserve = 1500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the
	// process after the cell was released.
	exitReserve = 500 * time.Millisecond
	// metricsPort is the port that the deployment file declares for metrics.
	metricsPort = 9464
)

// Host is an entry host for jobs. Create one with [New], then call [Host.Run].
type Host struct {
	// Without is the set of the owner's mechanisms that are disabled, for experiments.
	Without sched.Mechanism
	// Machine is the size of the machine, by default what the kernel reports.
	Machine port.Machine

	settings       atomic.Pointer[Settings]
	log            *slog.Logger
	metrics        *telemetry.Metrics
	metricsHandler http.Handler
	process        *port.Process
	table          store.Table
	workerClient   *http.Client
	keeper         *tenure.Keeper
	frontEnd       *frontend.FrontEnd

	relay       *relay.Server
	relayClient *http.Client

	config      atomic.Pointer[queue.Config]
	configWatch *watch.Watch
	owner       atomic.Pointer[sched.Owner]
	stopping    atomic.Bool
	// evacuations are the requests to evacuate data centres; evacuationMu makes the owner
	// receive their states in the order in which they come into force.
	evacuations  evacuation.Tracker
	evacuationMu sync.Mutex
	// invalidRows reports rows that cannot be decoded, members has the last entries of entry hosts.
	invalidRows invalidrow.Reporter
	members     lastMembers
}

// New returns a host with the given settings. It doesn't listen or connect yet.
func New(se Settings, log *slog.Logger) (*Host, error) {
	me, metricsHandler, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	sched.ResetGauges(me)
	ho := &Host{log: log, metrics: me, metricsHandler: metricsHandler, workerClient: transport.NewClient(workerConns, log)}
	if ho.Machine, err = port.DetectMachine(); err != nil {
		return nil, err
	}
	ho.settings.Store(&se)
	ho.evacuations.Log = log
	ho.invalidRows.Metrics, ho.invalidRows.Log = me, log
	ho.table = platform.NewTable(platform.Client{
		HTTP: transport.NewClient(storeConns, log), StoreAddrFunc: func() string { return ho.settings.Load().StoreAddr },
	})
	ho.configWatch = ho.newConfigWatch()
	ho.keeper = &tenure.Keeper{
		Cell: cellName, Self: se.Name, Process: se.Name + "-" + uuid.NewString()[:8], Addr: se.PeerAddr(), Cores: se.EffectiveCores(),
		Table: ho.table, Serve: ho.serveCell, BootFunc: clock.Boot, Log: log,
	}
	ho.frontEnd = &frontend.FrontEnd{
		Cell: cellName, Table: ho.table, Keeper: ho.keeper, Peers: transport.NewClient(peerConns, log),
		Local: ho.owner.Load, ConfigFunc: ho.config.Load, ContactFunc: ho.configWatch.Contact, Metrics: me, Log: log,
	}
	ho.keeper.AskFunc, ho.keeper.ConfirmFunc = ho.frontEnd.ProbeHost, ho.frontEnd.ConfirmOwner
	ho.relay = &relay.Server{Agent: platform.NewAgent(ho.workerClient), EvacuatedFunc: ho.evacuations.Contains, Log: log}
	ho.relayClient = transport.NewClient(1, log)
	return ho, nil
}

// ready reports whether the host accepts requests: it has a configuration and isn't
// stopping.
func (ho *Host) ready() bool { return ho.config.Load() != nil && !ho.stopping.Load() }

// Run serves until ctx ends, and then makes a planned stop. The error is that of a server
// that can't listen or serve.
func (ho *Host) Run(ctx context.Context) error {
	se := ho.settings.Load()
	ports, failed, err := ho.listen(se)
	if err != nil {
		return err
	}
	ho.log.Info("started", "name", se.Name, "process", ho.keeper.Process, "data_centre", se.DataCentre, "callers", se.CallerAddr, "peers", se.PeerAddr())
	wctx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg sync.WaitGroup
	wg.Go(func() { ho.configWatch.Run(wctx) })
	wg.Go(func() { ho.keeper.Run(wctx) })
	wg.Go(func() { registry.Announce(ctx, ho.table, ho.member(), ho.log) })
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	ho.stop(wctx, ports[0])
	end()
	wg.Wait()
	ho.log.Info("stopped", "name", se.Name)
	return nil
}

// stop makes a planned stop: the cell is released to another host at once, and callers are
// served until only closeReserve is left of the grace period.
func (ho *Host) stop(ctx context.Context, callers *port.Port) {
	se := ho.settings.Load()
	ho.log.Info("stopping", "name", se.Name, "grace_s", se.GraceS)
	ho.stopping.Store(true)
	ho.keeper.Release(releaseTimeout(seconds(se.GraceS)))
	ho.relay.Leave()
	go registry.Withdraw(ctx, ho.table, se.Name, ho.log)
	callers.Drain()
	clock.Sleep(ctx, max(seconds(se.GraceS)-closeReserve, 0))
	sctx, cancel := context.WithTimeout(ctx, closeReserve/2)
	defer cancel()
	if err := callers.Shutdown(sctx); err != nil {
		ho.log.Warn("callers' connections closed at the end of the grace period", "err", err)
	}
}

// releaseTimeout returns how long a host tries to release its cell during a stop with the
// given grace period: all but exitReserve, and at least half of it.
func releaseTimeout(grace time.Duration) time.Duration { return max(grace-exitReserve, grace/2) }
