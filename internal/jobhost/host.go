package jobhost

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/door"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
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

// cellName is the one cell of a deployment.
const cellName = "c0"

// Bounds of a process.
const (
	// storeConns, workerConns and peerConns are idle connections kept to each
	// address.
	storeConns  = 6
	workerConns = 10
	peerConns   = 8
	// stopReserve is kept of the time to stop for closing connections.
	stopReserve = 1500 * time.Millisecond
	// endReserve is kept of the time to stop for the end of the process, once the cell
	// is given up.
	endReserve = 500 * time.Millisecond
	// headerMost and idleMost are the users' limits on connections.
	headerMost = 16 << 10
	idleMost   = 15 * time.Second
	headerWait = 3 * time.Second
	// bodyWait is how long a request's body may take: the 3 s that callers wait for
	// their answer, and some for a link that is full.
	bodyWait = 5 * time.Second
	// answerWait is how long a part of an answer may wait to be taken: a list of all
	// jobs is 2 MB, and a link that is full takes 100 kB a second.
	answerWait = 30 * time.Second
	// metricsPort is where the deploy file says metrics are.
	metricsPort = 9464
)

// Host is an entry host. Make one with [New], then call [Host.Run].
type Host struct {
	// Without has the mechanisms of the owner that are switched off, for trials.
	Without sched.Mechanism

	se      atomic.Pointer[Settings]
	log     *slog.Logger
	metrics *telemetry.Metrics
	scrape  http.Handler
	table   store.Table
	workers *http.Client
	keeper  *tenure.Keeper
	door    *door.FrontEnd

	relay   *relay.Server
	streams *http.Client

	config   atomic.Pointer[queue.Config]
	follow   *watch.Watch
	owner    atomic.Pointer[sched.Owner]
	stopping atomic.Bool
}

// New puts a host together.
func New(se Settings, log *slog.Logger) (*Host, error) {
	me, scrape, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	sched.ResetGauges(me)
	ho := &Host{log: log, metrics: me, scrape: scrape, workers: transport.NewClient(workerConns, log)}
	ho.se.Store(&se)
	ho.table = platform.NewTable(platform.Client{
		HTTP: transport.NewClient(storeConns, log), StoreAddrFunc: func() string { return ho.se.Load().StoreAddr },
	})
	ho.follow = ho.followConfig()
	ho.keeper = &tenure.Keeper{
		Cell: cellName, Self: se.Name, Process: se.Name + "-" + uuid.NewString()[:8], Addr: se.PeerAddr(), Cores: se.EffectiveCores(),
		Table: ho.table, Serve: ho.serveCell, BootFunc: clock.Boot, Log: log,
	}
	ho.door = &door.FrontEnd{
		Cell: cellName, Table: ho.table, Keeper: ho.keeper, Peers: transport.NewClient(peerConns, log),
		Local: ho.owner.Load, ConfigFunc: ho.config.Load, ContactFunc: ho.follow.Contact, Metrics: me, Log: log,
	}
	ho.keeper.AskFunc, ho.keeper.ConfirmFunc = ho.door.ProbeHost, ho.door.ConfirmOwner
	ho.relay = &relay.Server{Agent: platform.NewAgent(ho.workers), Log: log}
	ho.streams = transport.NewClient(1, log)
	return ho, nil
}

// ready reports whether the host takes requests.
func (ho *Host) ready() bool { return ho.config.Load() != nil && !ho.stopping.Load() }

// server is one listening address.
type server struct {
	addr string
	hs   *http.Server
}

func newServer(addr string, ha http.Handler) server {
	return server{addr: addr, hs: &http.Server{
		Handler: ha, ReadHeaderTimeout: headerWait, IdleTimeout: idleMost, MaxHeaderBytes: headerMost,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}}
}

// callers serves callers.
func (ho *Host) callers() http.Handler {
	return port.Timed(platform.CallerHandler{FrontEnd: ho.door}, bodyWait, answerWait)
}

// peers serves other entry hosts, and the product's own interface.
func (ho *Host) peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/cell/", port.Timed(ho.door.Handler(), bodyWait, answerWait))
	mux.Handle("/jobs/", port.Timed(jobapi.Handler(ho.door), bodyWait, answerWait))
	mux.Handle(relay.Path, ho.relay)
	return mux
}

// Run serves until ctx ends, and then makes a planned stop.
func (ho *Host) Run(ctx context.Context) error {
	se := ho.se.Load()
	servers := []server{
		newServer(se.CallerAddr, ho.callers()),
		newServer(se.ReadyAddr, platform.Readiness(ho.ready)),
		newServer(se.PeerAddr(), ho.peers()),
		newServer(net.JoinHostPort(se.IP, fmt.Sprint(metricsPort)), ho.scrape),
	}
	failed := make(chan error, len(servers))
	var lc net.ListenConfig
	for _, sv := range servers {
		li, err := lc.Listen(ctx, "tcp", sv.addr)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", sv.addr, err)
		}
		go func() { failed <- sv.hs.Serve(li) }()
	}
	ho.log.Info("started", "name", se.Name, "process", ho.keeper.Process, "data_centre", se.DataCentre, "callers", se.CallerAddr, "peers", se.PeerAddr())
	wctx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg sync.WaitGroup
	wg.Go(func() { ho.follow.Run(wctx) })
	wg.Go(func() { ho.keeper.Run(wctx) })
	wg.Go(func() { registry.Announce(ctx, ho.table, ho.member(), ho.log) })
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	ho.stop(wctx, servers)
	end()
	wg.Wait()
	ho.log.Info("stopped", "name", se.Name)
	return nil
}

// stop makes a planned stop: the cell goes to another host at once, and
// callers are served until most of the time to stop is over.
func (ho *Host) stop(ctx context.Context, servers []server) {
	se := ho.se.Load()
	ho.log.Info("stopping", "name", se.Name, "grace_s", se.GraceS)
	ho.stopping.Store(true)
	ho.keeper.Release(releaseTime(seconds(se.GraceS)))
	ho.relay.Leave()
	go registry.Withdraw(ctx, ho.table, se.Name, ho.log)
	callers := servers[0].hs
	callers.SetKeepAlivesEnabled(false)
	clock.Sleep(ctx, max(seconds(se.GraceS)-stopReserve, 0))
	sctx, cancel := context.WithTimeout(ctx, stopReserve/2)
	defer cancel()
	if err := callers.Shutdown(sctx); err != nil {
		ho.log.Warn("callers cut off at the end of the stop", "err", err)
	}
}

// releaseTime returns how long a host with so much time to stop tries to give its cell
// up. One with hardly any takes half of it.
func releaseTime(grace time.Duration) time.Duration { return max(grace-endReserve, grace/2) }
