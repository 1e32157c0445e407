package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jessevdk/go-flags"
	"golang.org/x/net/netutil"

	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// maxConns is the limit of open connections of the fakes that have no setting for it.
const maxConns = 1000

// Main runs the command line of cmd/standin and returns its exit code.
func Main(args []string, errw io.Writer) int {
	pa := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, co := range []struct {
		name, short string
		data        any
	}{
		{"platform", "table, object store and host list", &platformCommand{}},
		{"runner", "one or more runners", &runnerCommand{}},
		{"worker", "one or more workers", &workerCommand{}},
	} {
		if _, err := pa.AddCommand(co.name, co.short, co.short, co.data); err != nil {
			_, _ = fmt.Fprintln(errw, err)
			return 1
		}
	}
	if _, err := pa.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(errw, err)
		return 2
	}
	return 0
}

// serveAll serves handlers by address until SIGINT or SIGTERM, or until one fails. Each
// address accepts at most conns connections at a time.
func serveAll(handlers map[string]http.Handler, conns int) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	errs := make(chan error, len(handlers))
	for addr, h := range handlers {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err != nil {
			return fmt.Errorf("serve: %w", err)
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		go func() { errs <- srv.Serve(netutil.LimitListener(ln, conns)) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return fmt.Errorf("serve: %w", err)
	}
}

type platformCommand struct {
	Table   string        `long:"table" default:"127.0.0.1:7000" description:"address of the table"`
	Objects string        `long:"objects" default:"127.0.0.1:7001" description:"address of the object store"`
	Hosts   string        `long:"hosts" default:"127.0.0.1:7002" description:"address of the host list"`
	Lag     time.Duration `long:"lag" default:"1s" description:"lag of the host list"`
}

// Execute implements flags.Commander.
func (pc *platformCommand) Execute([]string) error {
	return serveAll(map[string]http.Handler{
		pc.Table:   (&Table{}).Handler(),
		pc.Objects: (&Objects{}).Handler(),
		pc.Hosts:   (&Hosts{Lag: pc.Lag}).Handler(),
	}, maxConns)
}

// hostOptions are the flags that runners and workers have in common.
type hostOptions struct {
	Addr  string `long:"addr" required:"true" description:"IP address and port of the first"`
	Count int    `long:"count" default:"1" description:"how many to run, on consecutive ports"`
	Name  string `long:"name" required:"true" description:"name; with --count, numbers follow it"`
	DC    string `long:"data-centre" required:"true" description:"data centre"`
	Rack  string `long:"rack" default:"r1" description:"rack"`
	Hosts string `long:"hosts" default:"http://127.0.0.1:7002" description:"URL of the host list to register with"`
}

// forEachHost calls fn with the host entry of each of Count hosts.
func (ho hostOptions) forEachHost(fn func(store.Host)) error {
	ip, portText, err := net.SplitHostPort(ho.Addr)
	if err != nil {
		return fmt.Errorf("--addr: %w", err)
	}
	first, err := strconv.Atoi(portText)
	if err != nil {
		return fmt.Errorf("--addr: %w", err)
	}
	for i := range ho.Count {
		name := ho.Name
		if ho.Count > 1 {
			name += strconv.Itoa(i + 1)
		}
		fn(store.Host{
			ID: name, Addr: net.JoinHostPort(ip, strconv.Itoa(first+i)),
			DC: ho.DC, Rack: ho.Rack, State: store.HostLive,
		})
	}
	return nil
}

// register puts hosts on the host list, and retries since the list may still be
// starting.
func (ho hostOptions) register(hosts []store.Host) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var errs []error
	for _, host := range hosts {
		_, err := backoff.Retry(ctx, func() (store.Host, error) {
			return wire.Post[store.Host, store.Host](ctx, http.DefaultClient, ho.Hosts+"/hosts/put", host)
		})
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

type runnerCommand struct {
	hostOptions

	Service string        `long:"service" required:"true" description:"service"`
	Slots   int           `long:"slots" default:"8" description:"requests that run at the same time"`
	Mean    time.Duration `long:"mean" default:"20ms" description:"mean service time"`
	Sigma   float64       `long:"sigma" default:"0.5" description:"log-normal spread of the service time"`
	Tick    time.Duration `long:"tick" default:"100ms" description:"time between a session's events"`
	Conns   int           `long:"conns" default:"60" description:"open connections at most"`
	Log     string        `long:"log" description:"file to append the id of each request to when its run starts"`
}

// Execute implements flags.Commander.
func (rc *runnerCommand) Execute([]string) error {
	handlers := map[string]http.Handler{}
	var hosts []store.Host
	logWriter, err := rc.openLog()
	if err != nil {
		return err
	}
	err = rc.forEachHost(func(host store.Host) {
		host.Kind, host.Service, host.Slots = store.KindRunner, rc.Service, rc.Slots
		hosts = append(hosts, host)
		handlers[host.Addr] = NewRunner(RunnerSettings{
			ID: host.ID, Slots: rc.Slots, Mean: rc.Mean, Sigma: rc.Sigma, Tick: rc.Tick, LogWriter: logWriter,
		}).Handler()
	})
	if err != nil {
		return err
	}
	if err := rc.register(hosts); err != nil {
		return err
	}
	return serveAll(handlers, rc.Conns)
}

// openLog opens the file of --log, or returns nil if none is set. Each line is one
// write, so killing the process loses no line already written.
func (rc *runnerCommand) openLog() (io.Writer, error) {
	if rc.Log == "" {
		return nil, nil
	}
	file, err := os.OpenFile(rc.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("--log: %w", err)
	}
	return file, nil
}

type workerCommand struct {
	hostOptions

	Cores  int64         `long:"cores" default:"30" description:"cores"`
	Mem    int64         `long:"mem" default:"125000" description:"memory in MiB"`
	Accels int64         `long:"accels" default:"0" description:"accelerators"`
	Lag    time.Duration `long:"lag" default:"2s" description:"lag of reported usage"`
	Pace   float64       `long:"pace" default:"1" description:"factor on the speed of batch tasks"`
}

// Execute implements flags.Commander.
func (wc *workerCommand) Execute([]string) error {
	handlers := map[string]http.Handler{}
	var hosts []store.Host
	capacity := worker.Resources{MilliCores: wc.Cores * 1000, MemMB: wc.Mem, Accels: wc.Accels}
	err := wc.forEachHost(func(host store.Host) {
		host.Kind = store.KindWorker
		host.MilliCores, host.MemMB, host.Accels = capacity.MilliCores, capacity.MemMB, capacity.Accels
		hosts = append(hosts, host)
		handlers[host.Addr] = NewWorker(WorkerSettings{ID: host.ID, Capacity: capacity, Lag: wc.Lag, Speed: wc.Pace}).Handler()
	})
	if err != nil {
		return err
	}
	if err := wc.register(hosts); err != nil {
		return err
	}
	return serveAll(handlers, maxConns)
}
