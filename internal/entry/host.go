// Package entry puts an entry host together: the slices, their ports, and the
// loops that keep them fed. It decides nothing itself.
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

// Host is one entry host. Make one with [New].
type Host struct {
	set        settings.Serve
	id         string
	log        *slog.Logger
	table      store.Table
	objects    store.Objects
	hosts      store.Hosts
	httpClient *http.Client
	// forwards has the connections of requests passed to peers.
	forwardClient *http.Client
	workers       worker.Client

	metrics        *telemetry.Metrics
	metricsHandler http.Handler
	mesh           *peer.Mesh
	registry       *upstream.Registry
	router         *route.Router
	relay          *session.Relay
	config         *config.Store
	ledger         *claim.Ledger
	guard          *claim.Guard
	planner        *intent.Planner

	callerPort, peerPort, adminPort *port.Port

	keeper        atomic.Pointer[lease.Keeper]
	owner         atomic.Pointer[cell.Owner]
	workerList    atomic.Pointer[[]store.Host]
	listLoaded    atomic.Bool
	tableAnswered atomic.Int64
	stopping      atomic.Bool
	stopBegun     chan struct{}
}

// New makes an entry host and opens its ports.
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
	ho.buildComponents()
	return ho, ho.listen()
}

// webConns is how many idle connections are kept to one address.
const maxIdleConns = 64

// newWeb returns the client of the platform, workers and peers. One that keeps idle
// connections after a call ran into its deadline lost as many deadlines more as it
// had, 2 s each for a look at the configuration.
func newHTTPClient(log *slog.Logger) *http.Client { return transport.NewClient(maxIdleConns, log) }

// newForwards returns the client of requests that are passed to peers. Their deadlines
// are the callers', and say nothing about the connection.
func newForwardClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}}
}

// assemble makes the slices and ties their seams together.
func (ho *Host) buildComponents() {
	clients := runner.NewClient(runner.Limits{ConnsPerRunner: ho.set.RunnerConns})
	ho.registry = &upstream.Registry{Changed: ho.rebuild}
	ho.router = &route.Router{Runners: clients, Registry: ho.registry, Metrics: ho.metrics, Forward: ho.forward}
	ho.relay = &session.Relay{
		Runners: clients, List: ho.registry.Runners, DC: ho.set.DC,
		MaxSessions: ho.set.MaxSessions, PerRunner: ho.set.RunnerSessions,
		Patience: runnerWaitLimit, Metrics: ho.metrics,
	}
	ho.config = &config.Store{Table: ho.table, Apply: ho.applyConfig}
	rules := claim.DefaultRules
	rules.Most = ho.set.MaxClaims
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

const runnerWaitLimit = 30 * time.Second

func (ho *Host) ownershipStart(resource string) lease.OwnershipStart {
	if ke := ho.keeper.Load(); ke != nil {
		return ke.Since(resource)
	}
	return lease.OwnershipStart{}
}

func (ho *Host) callerLimits() port.Limits {
	return port.Limits{
		Conns: ho.set.MaxConns, InFlight: ho.set.MaxInFlight, Body: ho.set.MaxBody, Read: readTimeout, Write: writeTimeout,
		Refuse: ho.refuseCaller,
	}
}

func (ho *Host) peerLimits() port.Limits {
	// A peer's message has the body in base64 and some words around it.
	return port.Limits{Conns: ho.set.MaxConns, InFlight: ho.set.MaxInFlight, Body: 2*ho.set.MaxBody + peerBodyOverhead, Read: readTimeout, Write: writeTimeout}
}

func (ho *Host) adminLimits() port.Limits {
	return port.Limits{Conns: maxAdminConns, InFlight: maxAdminInFlight, Body: maxAdminBody, Read: readTimeout, Write: writeTimeout}
}

// Bounds of the ports that are not settings.
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

// ID returns the id of the process.
func (ho *Host) ID() string { return ho.id }

// CallerAddr returns the address for callers.
func (ho *Host) CallerAddr() string { return ho.callerPort.Addr }

// AdminAddr returns the address for operators.
func (ho *Host) AdminAddr() string { return ho.adminPort.Addr }

// PeerAddr returns the address for other entry hosts.
func (ho *Host) PeerAddr() string { return ho.peerPort.Addr }

// Run serves until ctx ends, and then makes a planned stop.
func (ho *Host) Run(ctx context.Context) error {
	// Loops and ports outlive ctx until the stop has run.
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

// stop is the planned stop: no longer ready, sessions told to move, what is
// owned handed over, requests in flight finished.
func (ho *Host) stop(bgCtx context.Context) error {
	ho.log.Info("stopping", "delay", ho.set.StopDelay, "grace", ho.set.StopGrace)
	ho.stopping.Store(true)
	close(ho.stopBegun)
	ho.mesh.Hurry()
	ho.callerPort.Retire()
	ho.relay.Stop()
	ho.rebuild()
	// The balancer goes on sending requests until it sees the host unready;
	// they are served meanwhile.
	clock.Sleep(bgCtx, ho.set.StopDelay)
	ctx, cancel := context.WithTimeout(bgCtx, ho.set.StopGrace)
	defer cancel()
	err := ho.callerPort.Stop(ctx)
	if ke := ho.keeper.Load(); ke != nil {
		err = errors.Join(err, ke.Leave(ctx))
	}
	return errors.Join(err, ho.adminPort.Stop(ctx), ho.peerPort.Stop(ctx))
}

// ready reports whether the balancer may send requests.
func (ho *Host) ready() bool {
	_, ok := ho.config.Current()
	return ok && !ho.stopping.Load()
}
