package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// network is an owner's pool with relays over HTTP, and a fleet of workers behind the relays.
type network struct {
	t     *testing.T
	fleet standin.Fleet
	pool  *Pool
	// relays are the relay hosts, proxies the connections to them.
	relays  []*Server
	proxies []*standin.Proxy
	members []registry.Member

	mu      sync.Mutex
	changes int
	// streams counts the attempts to open a stream, by host.
	streams map[string]int
}

// streamCounter is a log handler that counts the messages on streams being opened.
type streamCounter struct {
	slog.Handler

	nt *network
}

func (sc streamCounter) Enabled(context.Context, slog.Level) bool { return true }

func (sc streamCounter) Handle(_ context.Context, rec slog.Record) error {
	if rec.Message != "opening a stream to a relay" {
		return nil
	}
	rec.Attrs(func(at slog.Attr) bool {
		sc.nt.mu.Lock()
		defer sc.nt.mu.Unlock()
		sc.nt.streams[at.Value.String()]++
		return false
	})
	return nil
}

// newNetwork returns an owner with the given number of relays, each with capacity for all
// workers.
func newNetwork(t *testing.T, relays int) *network {
	t.Helper()
	nt := &network{t: t, streams: map[string]int{}}
	log := slog.New(streamCounter{slog.DiscardHandler, nt})
	nt.pool = &Pool{Self: "self", Cores: 0.001, Epoch: 1, HTTP: &http.Client{}, Direct: nt.fleet.Agent(), Log: log, ChangedFunc: nt.changed}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go nt.pool.Run(ctx)
	nt.eventually("running", func() bool {
		nt.pool.mu.Lock()
		defer nt.pool.mu.Unlock()
		return nt.pool.ctx != nil
	})
	nt.addRelays(relays)
	nt.pool.SetMembers(nt.members, nil, true)
	nt.pool.SetWorkers([]string{"i-0", "i-1"}, nil, true)
	// Notifications arrive asynchronously: a test that counts them must not get these two.
	nt.eventually("the owner is notified of hosts and workers", func() bool { return nt.notifications() == 2 })
	return nt
}

// addRelays adds n relays that the pool does not know yet.
func (nt *network) addRelays(n int) {
	for range n {
		i, sv := len(nt.relays), &Server{Agent: nt.fleet.Agent(), Log: nt.pool.Log}
		mux := http.NewServeMux()
		mux.Handle(Path, sv)
		hs := httptest.NewServer(mux)
		nt.t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
		ln, err := standin.NewProxy(hs.Listener.Addr().String())
		qt.Assert(nt.t, err, qt.IsNil)
		nt.t.Cleanup(func() { _ = ln.Close() })
		nt.relays, nt.proxies = append(nt.relays, sv), append(nt.proxies, ln)
		nt.members = append(nt.members, registry.Member{Name: fmt.Sprint("r", i), Process: "p", Addr: ln.Addr(), Cores: 1})
	}
}

// notifications returns how often the owner was notified of changes.
func (nt *network) notifications() int {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	return nt.changes
}

// streamsOpened returns how often opening a stream to a host was started.
func (nt *network) streamsOpened(name string) int {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	return nt.streams[name]
}

func (nt *network) changed() {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	nt.changes++
}

func (nt *network) eventually(what string, ok func() bool) {
	nt.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	nt.t.Fatalf("condition not met in time: %s", what)
}

// add adds a worker and returns its address with the relay that the pool assigns.
func (nt *network) add() worker.Addr {
	ad := worker.Addr{HostPort: "10.0.0.1:80", Incarnation: worker.Incarnation{ID: "i-0", StartedMS: 1}}
	nt.fleet.Add(&standin.FleetWorker{Addr: ad, Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000}})
	ad.Via = nt.pool.RelayFor("i-0", "a")
	return ad
}

// usable reports whether a host may relay.
func (nt *network) usable(name string) bool {
	nt.pool.mu.Lock()
	defer nt.pool.mu.Unlock()
	return nt.pool.assigner.usable(name)
}

// loseStream reports the stream to a host, if there is one, as lost, and makes the host usable
// again at once.
func (nt *network) loseStream(name string) {
	nt.pool.mu.Lock()
	li := nt.pool.links[name]
	var st *stream
	if li != nil {
		st = li.st
	}
	nt.pool.mu.Unlock()
	if st != nil {
		nt.pool.streamLost(li, st, errRelayStopping)
	}
	nt.pool.mu.Lock()
	defer nt.pool.mu.Unlock()
	delete(nt.pool.assigner.unavailable, name)
}

// runForever makes attempts run until they are stopped.
func runForever(worker.Attempt) (time.Duration, string) { return -1, "" }

func testContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 2*time.Second)
}

func (nt *network) launch(ad worker.Addr, task, payload string) error {
	ctx, cancel := testContext()
	defer cancel()
	at := worker.Attempt{Task: task, Number: 1}
	_, err := nt.pool.Agent().LaunchFunc(ctx, ad, worker.Launch{Attempt: at, Payload: payload, Fence: 7, LeaseUntilMS: 1 << 40})
	return err
}

func (nt *network) poll(ad worker.Addr) (worker.PollResult, error) {
	ctx, cancel := testContext()
	defer cancel()
	return nt.pool.Agent().PollFunc(ctx, ad, worker.Poll{Fence: 7, LeaseUntilMS: 1 << 40})
}

func TestOrdersThroughRelay(t *testing.T) {
	nt := newNetwork(t, 1)
	nt.fleet.RunFunc = runForever
	ad := nt.add()
	payload := strings.Repeat("load the vans ", 50)
	t.Run("launches carry their payload, even if it was sent before", func(t *testing.T) {
		for _, task := range []string{"a", "b", "c"} {
			qt.Assert(t, nt.launch(ad, task, payload), qt.IsNil)
		}
		qt.Assert(t, nt.launch(ad, "d", ""), qt.IsNil)
		runs := nt.fleet.Runs()
		qt.Assert(t, runs, qt.HasLen, 4)
		for _, ru := range runs[:3] {
			qt.Check(t, ru.Payload, qt.Equals, payload)
		}
		qt.Check(t, runs[3].Payload, qt.Equals, "")
	})
	t.Run("a payload that the relay lost is sent again", func(t *testing.T) {
		st := nt.pool.links["r0"].st
		st.mu.Lock()
		for hash, pr := range st.payloads {
			pr.number += 1000
			st.payloads[hash] = pr
		}
		st.mu.Unlock()
		qt.Assert(t, nt.launch(ad, "e", payload), qt.IsNil)
		qt.Assert(t, nt.fleet.Runs()[4].Payload, qt.Equals, payload)
	})
	t.Run("polls list running and ended attempts", func(t *testing.T) {
		res, err := nt.poll(ad)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Running, qt.HasLen, 5)
		ctx, cancel := testContext()
		defer cancel()
		at := worker.Attempt{Task: "a", Number: 1}
		_, err = nt.pool.Agent().PaceFunc(ctx, ad, worker.Pace{Attempt: at, Percent: 40, Fence: 7})
		qt.Assert(t, err, qt.IsNil)
		ack, err := nt.pool.Agent().HaltFunc(ctx, ad, worker.Halt{Attempt: at, Fence: 7})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ack.ClockMS > 0, qt.IsTrue)
		res, err = nt.poll(ad)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Running, qt.HasLen, 4)
		qt.Assert(t, res.Ended, qt.HasLen, 1)
		qt.Assert(t, res.Ended[0].Attempt, qt.Equals, at)
		qt.Assert(t, res.Ended[0].Outcome, qt.Equals, "stopped")
	})
	t.Run("worker errors keep their identity", func(t *testing.T) {
		ctx, cancel := testContext()
		defer cancel()
		_, err := nt.pool.Agent().PollFunc(ctx, ad, worker.Poll{Fence: 3})
		qt.Assert(t, errors.Is(err, worker.ErrFenced), qt.IsTrue, qt.Commentf("%v", err))
		other := ad
		other.Incarnation.ID = "i-9"
		_, err = nt.poll(other)
		qt.Assert(t, errors.Is(err, worker.ErrOtherIncarnation), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func TestRelayLost(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.fleet.RunFunc = runForever
	ad := nt.add()
	_, err := nt.poll(ad)
	qt.Assert(t, err, qt.IsNil)
	used := int(ad.Via[1] - '0')

	t.Run("a connection that goes silent is detected, and orders in progress get no answer", func(t *testing.T) {
		qt.Assert(t, nt.proxies[used].Blackhole() > 0, qt.IsTrue)
		err := nt.launch(ad, "a", "x")
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsFalse, qt.Commentf("%v", err))
		nt.eventually("the worker is assigned another relay", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
	})
	t.Run("orders over the former path are not sent", func(t *testing.T) {
		err := nt.launch(ad, "b", "x")
		qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("the other relay is used", func(t *testing.T) {
		ad.Via = nt.pool.RelayFor("i-0", "a")
		res, err := nt.poll(ad)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Running, qt.HasLen, 0)
	})
	t.Run("a relay that is about to stop is not used", func(t *testing.T) {
		nt.relays[1-used].Leave()
		nt.eventually("the worker is no longer assigned to it", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
		nt.mu.Lock()
		defer nt.mu.Unlock()
		qt.Assert(t, nt.changes >= 2, qt.IsTrue)
	})
}

func TestDirectPath(t *testing.T) {
	nt := newNetwork(t, 0+1)
	ad := nt.add()
	ad.Via = ""
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
	qt.Assert(t, nt.pool.links, qt.HasLen, 0)
	nt.pool.SetWorkers(nil, nil, true)
	qt.Assert(t, nt.pool.RelayFor("i-0", "a"), qt.Equals, "")
}

// TestDroppedWorkers has an owner drop most of its workers, first briefly and then permanently.
// Only the latter may make it reach the remaining workers directly.
func TestDroppedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes atomic.Int32
		po := &Pool{Self: "h0", Cores: 0.8, ChangedFunc: func() { changes.Add(1) }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go po.Run(ctx)
		synctest.Wait()
		po.SetMembers([]registry.Member{{Name: "h1", DataCentre: "a", Cores: 2}}, nil, true)
		names := make([]string, 300)
		for i := range names {
			names[i] = fmt.Sprint("i-", i)
		}
		po.SetWorkers(names, nil, true)
		synctest.Wait()
		before := changes.Load()
		drop := func() {
			for _, name := range names[:290] {
				qt.Assert(t, po.RelayFor(name, "a"), qt.Equals, "h1")
				po.Drop(name)
			}
		}
		drop()
		time.Sleep(2 * time.Second)
		po.SetWorkers(names[:290], nil, false)
		drop()
		time.Sleep(2 * time.Second)
		po.SetWorkers(names[290:], nil, false)
		qt.Assert(t, po.RelayFor(names[295], "a"), qt.Equals, "h1")
		synctest.Wait()
		qt.Assert(t, changes.Load(), qt.Equals, before)
		time.Sleep(2 * time.Second)
		po.SetWorkers(names[290:], nil, false)
		qt.Assert(t, po.RelayFor(names[295], "a"), qt.Equals, "")
		synctest.Wait()
		qt.Assert(t, changes.Load(), qt.Equals, before+1)
	})
}
