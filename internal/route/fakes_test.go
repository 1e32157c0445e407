package route

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// errRefused is the network error of a runner that is down.
var errRefused = errors.New("connection refused")

// fakeRunners simulates runners on the fake clock of a test.
type fakeRunners struct {
	mean time.Duration
	// sigma is the standard deviation of the logarithm of the service time.
	sigma float64
	slots int

	mu   sync.Mutex
	busy map[string]int
	// slow has factors by which service times are multiplied.
	slow map[string]float64
	down map[string]bool
	hung map[string]bool
	runs map[string]int
}

func newFakeRunners(mean time.Duration, sigma float64, slots int) *fakeRunners {
	return &fakeRunners{
		mean: mean, sigma: sigma, slots: slots, busy: map[string]int{}, slow: map[string]float64{},
		down: map[string]bool{}, hung: map[string]bool{}, runs: map[string]int{},
	}
}

// refusalTime is the delay until a refusal arrives.
const refusalTime = 200 * time.Microsecond

func (fr *fakeRunners) client() runner.Client {
	return runner.Client{RunFunc: fr.run}
}

func (fr *fakeRunners) run(ctx context.Context, addr string, req runner.Request) (runner.Answer, error) {
	fr.mu.Lock()
	down, full, hung := fr.down[addr], fr.busy[addr] >= fr.slots, fr.hung[addr]
	if down || full {
		fr.mu.Unlock()
		time.Sleep(refusalTime)
		if down {
			return runner.Answer{}, &runner.NotRunError{Step: "connect", Peer: addr, Err: errRefused}
		}
		return runner.Answer{}, &runner.NotRunError{Step: "run", Peer: addr, Reason: runner.ReasonFull}
	}
	fr.busy[addr]++
	fr.runs[req.ID]++
	took := fr.serviceTime(addr)
	fr.mu.Unlock()
	defer func() {
		fr.mu.Lock()
		fr.busy[addr]--
		fr.mu.Unlock()
	}()
	if hung {
		<-ctx.Done()
		return runner.Answer{}, &runner.UnknownError{Step: "await answer", Peer: addr, Err: ctx.Err()}
	}
	// A runner finishes the request even if the caller has left; only then is
	// its slot free.
	time.Sleep(took)
	if ctx.Err() != nil {
		return runner.Answer{}, &runner.UnknownError{Step: "await answer", Peer: addr, Err: ctx.Err()}
	}
	return runner.Answer{Body: []byte(req.ID)}, nil
}

// serviceTime samples a log-normal service time.
func (fr *fakeRunners) serviceTime(addr string) time.Duration {
	factor := max(1, fr.slow[addr])
	if fr.sigma == 0 {
		return time.Duration(float64(fr.mean) * factor)
	}
	return time.Duration(float64(fr.mean) * factor * math.Exp(fr.sigma*rand.NormFloat64()-fr.sigma*fr.sigma/2))
}

// member returns the pool member for a runner.
func member(id string, slots int) Member {
	return Member{ID: id, Addr: id, Slots: slots}
}

func ids(prefix string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("%s%02d", prefix, i)
	}
	return all
}

// hostList returns the platform's list for the runners of one service.
func hostList(runners []string, slots int) []store.Host {
	hosts := make([]store.Host, 0, len(runners))
	for _, id := range runners {
		hosts = append(hosts, store.Host{
			ID: id, Addr: id, Kind: store.KindRunner, State: store.HostLive, DC: "dc", Service: "s", Slots: slots,
		})
	}
	return hosts
}

// newRouter returns a router over the runners, with a registry that quarantines
// runners that fail.
func newRouter(fr *fakeRunners, runners []string) *Router {
	ro := &Router{Runners: fr.client()}
	reg := &upstream.Registry{}
	refresh := func() {
		var members []Member
		for _, ru := range reg.Runners() {
			if ru.State == upstream.Live || ru.State == upstream.Probing {
				members = append(members, Member{
					ID: ru.ID, Addr: ru.Addr, Slots: ru.Slots, Slow: ru.Slow, Probing: ru.State == upstream.Probing,
				})
			}
		}
		ro.SetMembers(map[string][]Member{"s": members})
	}
	ro.Registry = reg
	ro.SetPolicy(Policy{QueueLimit: 1024, BatchEvery: 8})
	reg.SetList(hostList(runners, fr.slots))
	reg.Changed = refresh
	refresh()
	return ro
}

// request returns a request of the service with an id made from n.
func request(n int, class runner.Class, left time.Duration) Request {
	return Request{Request: runner.Request{
		ID: fmt.Sprintf("id%d", n), Service: "s", Method: "m", Class: class, Deadline: time.Now().Add(left),
	}}
}

// peerDelay is the network delay to a peer, one way.
const peerDelay = 500 * time.Microsecond

// forwardTo forwards requests to routers by name.
func forwardTo(routers map[string]*Router) func(context.Context, string, Request) Result {
	return func(ctx context.Context, peer string, req Request) Result {
		time.Sleep(peerDelay)
		req.Local = true
		res := routers[peer].Do(ctx, req)
		time.Sleep(peerDelay)
		if ctx.Err() != nil && res.Outcome == Answered {
			return Result{Outcome: Unknown, Reason: reason.PeerLost, Attempts: res.Attempts}
		}
		return res
	}
}
