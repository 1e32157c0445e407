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

// network is an owner's pool with relays over HTTP and a fleet of workers behind them.
type network struct {
	t     *testing.T
	fleet standin.Fleet
	pool  *Pool
	// relays are the hosts, and lines the ways to them.
	relays  []*Server
	lines   []*standin.Line
	members []registry.Member

	mu      sync.Mutex
	changes int
	// streams counts those that were begun to open, by host.
	streams map[string]int
}

// countStreams counts the lines that say so.
type countStreams struct {
	slog.Handler

	nt *network
}

func (cs countStreams) Enabled(context.Context, slog.Level) bool { return true }

func (cs countStreams) Handle(_ context.Context, rec slog.Record) error {
	if rec.Message != "opening a stream to a relay" {
		return nil
	}
	rec.Attrs(func(at slog.Attr) bool {
		cs.nt.mu.Lock()
		defer cs.nt.mu.Unlock()
		cs.nt.streams[at.Value.String()]++
		return false
	})
	return nil
}

// newNetwork returns an owner with so many relays, each with room for all workers.
func newNetwork(t *testing.T, relays int) *network {
	t.Helper()
	nt := &network{t: t, streams: map[string]int{}}
	log := slog.New(countStreams{slog.DiscardHandler, nt})
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
	return nt
}

// addRelays adds relays that the pool does not know yet.
func (nt *network) addRelays(n int) {
	for range n {
		i, sv := len(nt.relays), &Server{Agent: nt.fleet.Agent(), Log: nt.pool.Log}
		mux := http.NewServeMux()
		mux.Handle(Path, sv)
		hs := httptest.NewServer(mux)
		nt.t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
		ln, err := standin.NewLine(hs.Listener.Addr().String())
		qt.Assert(nt.t, err, qt.IsNil)
		nt.t.Cleanup(func() { _ = ln.Close() })
		nt.relays, nt.lines = append(nt.relays, sv), append(nt.lines, ln)
		nt.members = append(nt.members, registry.Member{Name: fmt.Sprint("r", i), Process: "p", Addr: ln.Addr(), Cores: 1})
	}
}

// told is how often the owner was told of changes.
func (nt *network) told() int {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	return nt.changes
}

// opened is how many streams to a host were begun to open.
func (nt *network) opened(name string) int {
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
	nt.t.Fatalf("not so in time: %s", what)
}

// add adds a worker and returns its address by the way the pool wants.
func (nt *network) add() worker.Addr {
	ad := worker.Addr{HostPort: "10.0.0.1:80", Incarnation: worker.Incarnation{ID: "i-0", Born: 1}}
	nt.fleet.Add(&standin.FleetWorker{Addr: ad, Holds: worker.Resources{MilliCores: 32_000, MemMB: 128_000}})
	ad.Via = nt.pool.RelayFor("i-0", "a")
	return ad
}

// usable reports whether a host may relay.
func (nt *network) usable(name string) bool {
	nt.pool.mu.Lock()
	defer nt.pool.mu.Unlock()
	return nt.pool.assigner.usable(name)
}

// drop loses the stream to a host, if there is one, and lets the host be used at once.
func (nt *network) drop(name string) {
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

// endless has attempts run until they are stopped.
func endless(worker.Attempt) (time.Duration, string) { return -1, "" }

func within() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 2*time.Second)
}

func (nt *network) launch(ad worker.Addr, task, payload string) error {
	ctx, cancel := within()
	defer cancel()
	at := worker.Attempt{Task: task, Number: 1}
	_, err := nt.pool.Agent().LaunchFunc(ctx, ad, worker.Launch{Attempt: at, Payload: payload, Fence: 7, LeaseUntilMS: 1 << 40})
	return err
}

func (nt *network) look(ad worker.Addr) (worker.Sight, error) {
	ctx, cancel := within()
	defer cancel()
	return nt.pool.Agent().LookFunc(ctx, ad, worker.Look{Fence: 7, LeaseUntilMS: 1 << 40})
}

func TestOrdersThroughARelay(t *testing.T) {
	nt := newNetwork(t, 1)
	nt.fleet.RunFunc = endless
	ad := nt.add()
	payload := strings.Repeat("load the vans ", 50)
	t.Run("launches carry their payload, also when it was sent before", func(t *testing.T) {
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
	t.Run("looks see what runs and what ended", func(t *testing.T) {
		si, err := nt.look(ad)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, si.Running, qt.HasLen, 5)
		ctx, cancel := within()
		defer cancel()
		at := worker.Attempt{Task: "a", Number: 1}
		_, err = nt.pool.Agent().PaceFunc(ctx, ad, worker.Pace{Attempt: at, Percent: 40, Fence: 7})
		qt.Assert(t, err, qt.IsNil)
		ack, err := nt.pool.Agent().HaltFunc(ctx, ad, worker.Halt{Attempt: at, Fence: 7})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ack.ClockMS > 0, qt.IsTrue)
		si, err = nt.look(ad)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, si.Running, qt.HasLen, 4)
		qt.Assert(t, si.Ended, qt.HasLen, 1)
		qt.Assert(t, si.Ended[0].Attempt, qt.Equals, at)
		qt.Assert(t, si.Ended[0].How, qt.Equals, "stopped")
	})
	t.Run("errors stay what they are", func(t *testing.T) {
		ctx, cancel := within()
		defer cancel()
		_, err := nt.pool.Agent().LookFunc(ctx, ad, worker.Look{Fence: 3})
		qt.Assert(t, errors.Is(err, worker.ErrFenced), qt.IsTrue, qt.Commentf("%v", err))
		other := ad
		other.Incarnation.ID = "i-9"
		_, err = nt.look(other)
		qt.Assert(t, errors.Is(err, worker.ErrOtherLife), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func TestRelayIsLost(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.fleet.RunFunc = endless
	ad := nt.add()
	_, err := nt.look(ad)
	qt.Assert(t, err, qt.IsNil)
	used := int(ad.Via[1] - '0')

	t.Run("a connection that goes silent is noticed, and what was under way has no answer", func(t *testing.T) {
		qt.Assert(t, nt.lines[used].Silence() > 0, qt.IsTrue)
		err := nt.launch(ad, "a", "x")
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsFalse, qt.Commentf("%v", err))
		nt.eventually("another relay is wanted", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
	})
	t.Run("orders by the old way are not sent", func(t *testing.T) {
		err := nt.launch(ad, "b", "x")
		qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("the other relay serves", func(t *testing.T) {
		ad.Via = nt.pool.RelayFor("i-0", "a")
		si, err := nt.look(ad)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, si.Running, qt.HasLen, 0)
	})
	t.Run("a relay that is about to stop is not used", func(t *testing.T) {
		nt.relays[1-used].Leave()
		nt.eventually("it is not wanted", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
		nt.mu.Lock()
		defer nt.mu.Unlock()
		qt.Assert(t, nt.changes >= 2, qt.IsTrue)
	})
}

func TestDirectWays(t *testing.T) {
	nt := newNetwork(t, 0+1)
	ad := nt.add()
	ad.Via = ""
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
	qt.Assert(t, nt.pool.links, qt.HasLen, 0)
	nt.pool.SetWorkers(nil, nil, true)
	qt.Assert(t, nt.pool.RelayFor("i-0", "a"), qt.Equals, "")
}

// TestDroppedWorkers has an owner forget most of its workers for a moment, and for good:
// only the latter is a reason to reach the others directly.
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
