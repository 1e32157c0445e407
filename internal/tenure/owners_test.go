package tenure

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// acts notes what owners may have done, by epoch.
type acts struct {
	mu sync.Mutex
	// extended is when an owner last could extend leases, assumed the earliest moment
	// by which it took all former owners to have ceased to act, once that was past.
	extended, assumed map[int64]time.Time
}

// serve stands for an owner that extends leases whenever it may.
func (ac *acts) serve(ctx context.Context, te Tenure) (map[string]int64, error) {
	const step = 20 * time.Millisecond
	opened := time.Now()
	for {
		ac.note(te, opened)
		if !clock.Sleep(ctx, step) {
			return nil, nil
		}
	}
}

func (ac *acts) note(te Tenure, opened time.Time) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := time.Now()
	if now.Sub(te.Confirmed()) <= ExtendFor {
		ac.extended[te.Epoch] = now
	}
	ended := opened.Add(ExtendFor)
	if told := te.FormerEnded(); !told.IsZero() && told.Before(ended) {
		ended = told
	}
	was, known := ac.assumed[te.Epoch]
	if !ended.After(now) && (!known || ended.Before(was)) {
		ac.assumed[te.Epoch] = ended
	}
}

// problems lists the owners that took another for ended that acted later.
func (ac *acts) problems() []string {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	var list []string
	for epoch, ended := range ac.assumed {
		for other, last := range ac.extended {
			if other < epoch && last.After(ended) {
				list = append(list, fmt.Sprintf("owner %d could extend leases %v after owner %d took it for ended", other, last.Sub(ended), epoch))
			}
		}
	}
	return list
}

// TestOwnersThatComeAndGo plays random sequences in which owners are cut off, die, start
// again, stop and yield. None may take former owners to have ceased to act before the last
// moment at which any of them could extend leases: what it then takes for lapsed has lapsed.
func TestOwnersThatComeAndGo(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: randomOwners}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			ac := &acts{extended: map[int64]time.Time{}, assumed: map[int64]time.Time{}}
			ra := &race{t: t, serveFunc: ac.serve}
			// Small hosts leave the cell to larger ones, and claim it again if none comes.
			for i, cores := range []float64{0.8, 0.2, 0.2} {
				ra.addSized(fmt.Sprint("e", i), cores)
			}
			for range rapid.IntRange(3, 25).Draw(rt, "acts") {
				time.Sleep(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 2500, 6000}).Draw(rt, "pause")) * time.Millisecond)
				ra.act(rt)
			}
			time.Sleep(2 * ExtendFor)
			ra.stop()
			for _, problem := range ac.problems() {
				rt.Error(problem)
			}
		})
	})
}

// randomOwners is the number of sequences; PEPPERHATCH_SEED plays others.
const randomOwners = 150

// act does one random thing to a host, mostly to the owner's.
func (ra *race) act(rt *rapid.T) {
	ri := ra.last(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(rt, "host")))
	if rapid.IntRange(0, 3).Draw(rt, "owner") > 0 {
		ri = ra.likelyOwner(ri)
	}
	switch rapid.SampledFrom([]string{"cut", "cut", "refuse", "freeze", "heal", "die", "die", "reborn", "release"}).Draw(rt, "act") {
	case "cut":
		ri.gate.Set(standin.Fault{Mode: standin.ModeDown})
		ra.setDark(ri, true)
	case "refuse":
		ri.gate.Set(standin.Fault{Mode: standin.ModeDown})
	case "freeze":
		ri.gate.Set(standin.Fault{Mode: standin.ModeFreeze})
	case "heal":
		for _, ri := range ra.hosts {
			if ri.lives() {
				ri.gate.Set(standin.Fault{})
				ra.setDark(ri, false)
			}
		}
	case "die":
		ra.kill(ri)
	case "reborn":
		ra.kill(ri)
		ra.addSized(ri.keeper.Self, ri.keeper.Cores)
	case "release":
		ri.keeper.Release(SilentAfter)
	}
}

// last returns the last process of a host.
func (ra *race) last(name string) *rival {
	var last *rival
	for _, ri := range ra.hosts {
		if ri.keeper.Self == name {
			last = ri
		}
	}
	return last
}

// likelyOwner returns the process that serves with the highest epoch, or another.
func (ra *race) likelyOwner(other *rival) *rival {
	epoch := int64(0)
	for _, ri := range ra.hosts {
		if row, ok := ri.keeper.Current(); ok && row.Process == ri.keeper.Process && row.Epoch > epoch && ri.lives() {
			other, epoch = ri, row.Epoch
		}
	}
	return other
}

// kill ends a process at once: it writes nothing more.
func (ra *race) kill(ri *rival) {
	ri.gate.Set(standin.Fault{Mode: standin.ModeDown})
	ra.setDark(ri, true)
	ri.end()
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ri.dead = true
}

func (ri *rival) lives() bool {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return !ri.dead
}
