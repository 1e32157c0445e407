// Package entry assembles an entry host: it connects the other packages, serves
// the ports for callers, peers and operators, and runs the loops that poll the
// platform.
//
// The package has no policy of its own: routing, claims, leases and placement are
// decided by the packages that it connects.
package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/cell"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/intent"
	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/peer"
	"github.com/pepperhatch/pepperhatch/internal/port"
	"github.com/pepperhatch/pepperhatch/internal/route"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/session"
	"github.com/pepperhatch/pepperhatch/internal/settings"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/transport"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Host is one entry host. Create it with [New].
type Host struct {
	set        settings.Serve
	id         string
	log        *slog.Logger
	table      store.Table
	objects    store.Objects
	hosts      store.Hosts
	httpClient *http.Client
	// forwardClient sends requests that are forwarded to peers.
	forwardClient *http.Client
	workers       worker.Client

	metrics        *telemetry.Metrics
	metricsHandler http.Handler
	machine        port.Machine
	process        *port.Process
	mesh           *peer.Mesh
	registry       *upstream.Registry
	router         *route.Router
	relay          *session.Relay
	config         *config.Store
	ledger         *claim.Ledger
	guard          *claim.Guard
	planner        *intent.Planner

	callerPort, peerPort, adminPort *port.Port

	// keeper is nil before this host has joined as a member, owner while this
	// host does not run the cell.
	keeper atomic.Pointer[lease.Keeper]
	owner  atomic.Pointer[cell.Owner]
	// workerList has the workers on the platform's list; it is nil before the
	// first read.
	workerList atomic.Pointer[[]store.Host]
	listLoaded atomic.Bool
	// tableAnswered is when the table last answered a poll of the configuration,
	// in Unix nanoseconds.
	tableAnswered atomic.Int64
	// stopping is set, and stopBegun closed, at the start of a planned stop.
	stopping  atomic.Bool
	stopBegun chan struct{}
}

// New creates an entry host and opens its ports. It returns an error for invalid
// settings and for addresses that cannot be listened on.
func New(set settings.Serve, log *slog.Logger) (*Host, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	client := newHTTPClient(log)
	ho := &Host{
		set: set, id: set.ProcessID(), httpClient: client, forwardClient: newForwardClient(), stopBegun: make(chan struct{}),
		table:   store.NewTable(set.TableURL, client),
		objects: store.NewObjects(set.ObjectsURL, client),
		hosts:   store.NewHosts(set.HostsURL, client),
		workers: worker.NewClient(client),
	}
	ho.log = log.With("host", ho.id)
	var err error
	ho.metrics, ho.metricsHandler, err = telemetry.New()
	if err != nil {
		return nil, err
	}
	if ho.machine, err = set.Machine.Size(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ho.process = port.NewProcess(ho.machine, ho.metrics, ho.log)
	ho.buildComponents()
	return ho, ho.listen()
}

// maxIdleConns limits the idle connections to one address.
const maxIdleConns = 64

// newHTTPClient returns the client for the platform, workers and peers. It closes
// idle connections after a call has timed out: when they stall together, each one
// kept would cost another timeout, 2 s for a poll of the configuration.
func newHTTPClient(log *slog.Logger) *http.Client { return transport.NewClient(maxIdleConns, log) }

// newForwardClient returns the client for requests that are forwarded to peers. It
// keeps idle connections after a timeout, as the deadlines are those of callers and do
// not show whether the connection works.
func newForwardClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}}
}

// buildComponents creates the host's components and connects them.
func (ho *Host) buildComponents() {
	clients := runner.NewClient(runner.Limits{ConnsPerRunner: ho.set.RunnerConns})
	ho.registry = &upstream.Registry{Changed: ho.rebuild}
	ho.router = &route.Router{Runners: clients, Registry: ho.registry, Metrics: ho.metrics, Forward: ho.forward}
	ho.relay = &session.Relay{
		Runners: clients, List: ho.registry.Runners, DC: ho.set.DC,
		MaxSessions: ho.set.MaxSessions, PerRunner: ho.set.RunnerSessions,
		RunnerWait: runnerWaitLimit, Metrics: ho.metrics,
	}
	ho.config = &config.Store{Table: ho.table, Apply: ho.applyConfig}
	rules := claim.DefaultRules
	rules.MaxIDs = ho.set.MaxClaims
	ho.ledger = &claim.Ledger{
		Owns:  func(re string) bool { ke := ho.keeper.Load(); return ke != nil && ke.Owns(re) },
		Since: func(re string) lease.OwnershipStart { return ho.ownershipStart(re) },
		Rules: rules,
	}
	ho.guard = &claim.Guard{DCs: ho.set.DCs, Take: ho.takeClaim, Release: ho.releaseClaim}
	ho.planner = &intent.Planner{
		Table: ho.table, Config: ho.config,
		PlanCell: ho.planCell, ConfirmCell: ho.confirmCell, ChooseCell: ho.chooseCell,
		Members: ho.members, DeclareDead: ho.declareDead,
	}
	ho.mesh = &peer.Mesh{Self: ho.hello, Seeds: ho.set.Peers, Send: peer.NewSend(ho.httpClient), OnHello: ho.onHello}
}

// runnerWaitLimit is how long a session waits for a runner.
const runnerWaitLimit = 30 * time.Second

// ownershipStart returns the start of this host's current or last ownership of a
// resource; it is zero before the host is a member.
func (ho *Host) ownershipStart(resource string) lease.OwnershipStart {
	if ke := ho.keeper.Load(); ke != nil {
		return ke.Since(resource)
	}
	return lease.OwnershipStart{}
}

// callerLimits returns the limits of the port for callers: those of the settings, or less if the
// machine can't hold as many connections.
func (ho *Host) callerLimits() port.Limits {
	return port.Limits{
		Name: "callers", Process: ho.process, MaxConns: min(ho.set.MaxConns, ho.machine.CallerConns()), MaxInFlight: ho.set.MaxInFlight, MaxBody: ho.set.MaxBody,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, Refuse: ho.refuseCaller, SmallWindow: true,
	}
}

func (ho *Host) peerLimits() port.Limits {
	// The body of a forwarded request is in base64, and the message has other
	// fields too.
	return port.Limits{
		Name: "peers", Peers: true, Process: ho.process, MaxConns: min(ho.set.MaxConns, ho.machine.PeerConns()), MaxInFlight: ho.set.MaxInFlight, MaxBody: 2*ho.set.MaxBody + peerBodyOverhead,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
	}
}

func (ho *Host) adminLimits() port.Limits {
	return port.Limits{Name: "admin", Process: ho.process, MaxConns: min(maxAdminConns, ho.machine.PeerConns()), SmallWindow: true, MaxInFlight: maxAdminInFlight, MaxBody: maxAdminBody, ReadTimeout: readTimeout, WriteTimeout: writeTimeout}
}

// Limits of the ports that are not settings: timeouts, sizes in bytes, and counts.
const (
	readTimeout      = 10 * time.Second
	writeTimeout     = 30 * time.Second
	peerBodyOverhead = 8 << 20
	maxAdminConns    = 200
	maxAdminInFlight = 100
	maxAdminBody     = 1 << 20
)

func (ho *Host) listen() error {
	var errs [3]error
	ho.callerPort, errs[0] = port.Listen(ho.set.CallerAddr, ho.callerLimits())
	ho.peerPort, errs[1] = port.Listen(ho.set.PeerAddr, ho.peerLimits())
	ho.adminPort, errs[2] = port.Listen(ho.set.AdminAddr, ho.adminLimits())
	return errors.Join(errs[:]...)
}

// ID returns the id of this process.
func (ho *Host) ID() string { return ho.id }

// CallerAddr returns the address that serves callers.
func (ho *Host) CallerAddr() string { return ho.callerPort.Addr }

// AdminAddr returns the address that serves operators.
func (ho *Host) AdminAddr() string { return ho.adminPort.Addr }

// PeerAddr returns the address that serves other entry hosts.
func (ho *Host) PeerAddr() string { return ho.peerPort.Addr }

// Run serves until ctx ends, and then makes a planned stop. It returns the error
// of the stop, or of a port that fails before.
func (ho *Host) Run(ctx context.Context) error {
	// Loops and ports run until the planned stop is complete.
	bgCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	ports := make(chan error, 3)
	serve := func(po *port.Port, h http.Handler, lim port.Limits) {
		go func() { ports <- po.Serve(h, lim) }()
	}
	serve(ho.callerPort, ho.callerHandler(), ho.callerLimits())
	serve(ho.peerPort, ho.peerHandler(), ho.peerLimits())
	serve(ho.adminPort, ho.adminHandler(), ho.adminLimits())
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){ho.mesh.Run, ho.pollLists, ho.pollConfig, ho.maintainMembership, ho.runCell, ho.updatePeers} {
		loops.Go(func() { loop(bgCtx) })
	}
	ho.log.Info("serving", "data_centre", ho.set.DC, "callers", ho.CallerAddr(), "peers", ho.PeerAddr(), "admin", ho.AdminAddr())
	var err error
	select {
	case <-ctx.Done():
		err = ho.stop(bgCtx)
	case err = <-ports:
	}
	end()
	loops.Wait()
	ho.httpClient.CloseIdleConnections()
	ho.forwardClient.CloseIdleConnections()
	ho.log.Info("stopped", "err", err)
	return err
}

// stop makes a planned stop: the host reports that it is not ready, asks sessions
// to move, finishes requests in flight, and hands over the shards and the cell that
// it owns.
func (ho *Host) stop(bgCtx context.Context) error {
	ho.log.Info("stopping", "delay", ho.set.StopDelay, "grace", ho.set.StopGrace)
	ho.stopping.Store(true)
	close(ho.stopBegun)
	ho.mesh.SendAll()
	ho.callerPort.DisableKeepAlives()
	ho.relay.Stop()
	ho.rebuild()
	// Load balancers send requests until they see that the host is not ready;
	// these are still served.
	clock.Sleep(bgCtx, ho.set.StopDelay)
	ctx, cancel := context.WithTimeout(bgCtx, ho.set.StopGrace)
	defer cancel()
	err := ho.callerPort.Stop(ctx)
	if ke := ho.keeper.Load(); ke != nil {
		err = errors.Join(err, ke.Leave(ctx))
	}
	return errors.Join(err, ho.adminPort.Stop(ctx), ho.peerPort.Stop(ctx))
}

// ready reports whether load balancers may send requests to this host.
func (ho *Host) ready() bool {
	_, ok := ho.config.Current()
	return ok && !ho.stopping.Load()
}
