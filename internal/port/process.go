package port

import (
	"context"
	"log"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Process has the limits that all ports of a process share: the bytes that requests hold. A nil
// Process has no limits. Create one with [NewProcess].
type Process struct {
	// Machine is what the limits are worked out from.
	Machine

	metrics *telemetry.Metrics
	log     *slog.Logger
	// small is for callers' requests of at most smallBody bytes only, general for all of them, and
	// peers for what other hosts send, so that callers can't keep those out.
	small, general, peers *pool

	mu    sync.Mutex
	ports []*Port
	// reported has the second in which a refusal or closing was last logged, by reason.
	reported map[string]int64
}

// NewProcess returns the shared limits of a process on a machine.
func NewProcess(ma Machine, me *telemetry.Metrics, log *slog.Logger) *Process {
	half := ma.CallerBytes() / 2
	return &Process{
		Machine: ma, metrics: me, log: log, small: newPool(half), general: newPool(half), peers: newPool(ma.PeerBytes()), reported: map[string]int64{},
	}
}

// errorLog returns the log for errors of a server, such as panics of handlers.
func (pr *Process) errorLog() *log.Logger {
	if pr == nil || pr.log == nil {
		return slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)
	}
	return slog.NewLogLogger(pr.log.Handler(), slog.LevelWarn)
}

// Cost of requests.
const (
	// smallBody is the largest body, in bytes, of a request that may use all that callers have.
	smallBody = 16 << 10
	// heldPerByte is how many bytes a request takes at most for each byte of its body: the buffer
	// while it grows, the decoded form, and what is sent on. decodeFactor of package platform's
	// tests bounds decoding.
	heldPerByte = 8
	// heldPerRequest is what a request with a body takes besides, in bytes.
	heldPerRequest = 4 << 10
	// closedWait bounds the wait for the bytes of requests that were ended for others.
	closedWait = 100 * time.Millisecond
)

// pool is a part of the budget, in bytes.
type pool struct {
	size int64
	sem  *semaphore.Weighted
	held atomic.Int64
}

func newPool(size int64) *pool { return &pool{size: size, sem: semaphore.NewWeighted(size)} }

// reservation is the bytes that a request holds.
type reservation struct {
	from  *pool
	bytes int64
}

// release gives the bytes back.
func (re *reservation) release() {
	if re != nil {
		re.from.held.Add(-re.bytes)
		re.from.sem.Release(re.bytes)
	}
}

// maxExcess is how many times the size of a pool a single reservation may be. It then takes all of
// the pool, so that there is no other: the largest body is served where little else is held.
const maxExcess = 3

// largest returns the largest reservation in bytes.
func (po *pool) largest() int64 { return maxExcess * po.size }

// take reserves n bytes of the pool, all of it if that is less, or returns nil.
func (po *pool) take(n int64) *reservation {
	if n > po.largest() {
		return nil
	}
	n = min(n, po.size)
	if !po.sem.TryAcquire(n) {
		return nil
	}
	return po.reservation(n)
}

// await is like take, but waits until ctx ends.
func (po *pool) await(ctx context.Context, n int64) *reservation {
	if n > po.largest() {
		return nil
	}
	n = min(n, po.size)
	if po.sem.Acquire(ctx, n) != nil {
		return nil
	}
	return po.reservation(n)
}

func (po *pool) reservation(n int64) *reservation {
	po.held.Add(n)
	return &reservation{from: po, bytes: n}
}

// pools returns the pools that a request with a body of n bytes may use, the preferred one first.
func (pr *Process) pools(peer bool, n int64) []*pool {
	switch {
	case peer:
		return []*pool{pr.peers}
	case n <= smallBody:
		return []*pool{pr.small, pr.general}
	}
	return []*pool{pr.general}
}

// largestBody returns the length of the largest body, in bytes, that the process can hold.
func (pr *Process) largestBody() int64 {
	if pr == nil {
		return math.MaxInt64
	}
	return (min(pr.general.largest(), pr.peers.largest()) - heldPerRequest) / heldPerByte
}

// reserveBody reserves what a request with a body of n bytes holds.
func (pr *Process) reserveBody(peer bool, n int64) (re *reservation, ok bool) {
	if pr == nil {
		return nil, true
	}
	return pr.reserve(heldPerRequest+heldPerByte*n, pr.pools(peer, n)...)
}

// reserve reserves n bytes of one of the pools. If they are not available, it first ends requests that
// make no progress with receiving their bodies and hold bytes of the first one.
func (pr *Process) reserve(n int64, pools ...*pool) (re *reservation, ok bool) {
	for _, from := range pools {
		if re := from.take(n); re != nil {
			return re, true
		}
	}
	from := pools[0]
	if !pr.closeStalled(from, n) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), closedWait)
	defer cancel()
	re = from.await(ctx, n)
	return re, re != nil
}

// ReserveForPeer reserves n bytes for something other than a body that another host sends, and returns
// a function that gives them back. The second result is false if they are not available.
func (pr *Process) ReserveForPeer(n int64) (release func(), ok bool) {
	if pr == nil {
		return func() {}, true
	}
	if n > pr.peers.size {
		return nil, false
	}
	re, ok := pr.reserve(n, pr.peers)
	return re.release, ok
}

// closeStalled closes connections whose requests stopped or are slow and hold bytes of a pool, until
// n bytes come free, and reports whether it closed any.
func (pr *Process) closeStalled(from *pool, n int64) bool {
	pr.mu.Lock()
	ports := pr.ports
	pr.mu.Unlock()
	closed := false
	for _, po := range ports {
		for n > 0 {
			held, reason := po.conns.closeHolder(from)
			if reason == "" {
				break
			}
			closed = true
			n -= held
			pr.recordClosed(po.name, reason)
		}
	}
	return closed
}

// closeHolder closes the connection with the least progress that holds bytes of a pool, unless all
// make progress, and returns how many it held.
func (ct *connTable) closeHolder(from *pool) (held int64, reason string) {
	ct.mu.Lock()
	co, reason := ct.leastProgress(func(co *conn) bool {
		re := co.held.Load()
		return re != nil && re.from == from && phase(co.phase.Load()) == phaseReceiving
	})
	if co == nil {
		ct.mu.Unlock()
		return 0, ""
	}
	delete(ct.conns, co)
	ct.mu.Unlock()
	if re := co.held.Load(); re != nil {
		held = re.bytes
	}
	_ = co.Conn.Close()
	return held, reason
}

// Reasons for refusals of a port.
const (
	refuseConns    = "connections"
	refuseInFlight = "in-flight"
	refuseBytes    = "bytes"
	refuseTooLarge = "too-large"
)

// recordRefusal counts a request or connection that was refused, and logs one a second.
func (pr *Process) recordRefusal(port, reason string) {
	pr.record(telemetry.PortRefusals, "requests refused by a limit of the port", port, reason)
}

// recordClosed counts a connection that was closed for others, and logs one a second.
func (pr *Process) recordClosed(port, reason string) {
	pr.record(telemetry.ConnectionsClosed, "connections closed for others", port, reason)
}

func (pr *Process) record(name telemetry.Name, message, port, reason string) {
	if pr == nil {
		return
	}
	pr.metrics.Add(name, 1, "port", port, "reason", reason)
	second := int64(time.Since(processStart) / time.Second)
	key := string(name) + port + reason
	pr.mu.Lock()
	last, known := pr.reported[key]
	pr.reported[key] = second
	pr.mu.Unlock()
	if pr.log == nil || known && last == second {
		return
	}
	pr.log.Warn(message, "port", port, "reason", reason, "bytes_small", pr.small.held.Load(), "bytes_general", pr.general.held.Load(), "bytes_peers", pr.peers.held.Load())
}

// phaseNames are the names of phases in metrics.
var phaseNames = []struct {
	phase phase
	name  string
}{{phaseIdle, "idle"}, {phaseReceiving, "receiving"}, {phaseServing, "serving"}}

// SetGauges sets the gauges of connections and bytes to their current values.
func (pr *Process) SetGauges() {
	if pr == nil {
		return
	}
	pr.mu.Lock()
	ports := pr.ports
	pr.mu.Unlock()
	for _, po := range ports {
		counts := po.conns.count()
		for _, ph := range phaseNames {
			pr.metrics.Set(telemetry.Connections, counts[ph.phase], "port", po.name, "state", ph.name)
		}
	}
	pr.metrics.Set(telemetry.RequestBytes, pr.small.held.Load(), "share", "small")
	pr.metrics.Set(telemetry.RequestBytes, pr.general.held.Load(), "share", "general")
	pr.metrics.Set(telemetry.RequestBytes, pr.peers.held.Load(), "share", "peers")
}
