package peer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errCut = errors.New("cut")

// network is meshes that reach each other by address, with cuts.
type network struct {
	mu     sync.Mutex
	meshes map[string]*Mesh
	cut    map[[2]string]bool
}

func (ne *network) send(from string) func(context.Context, string, Hello) (Reply, error) {
	return func(_ context.Context, to string, he Hello) (Reply, error) {
		ne.mu.Lock()
		me, cut := ne.meshes[to], ne.cut[[2]string{from, to}]
		ne.mu.Unlock()
		if me == nil || cut {
			return Reply{}, errCut
		}
		return me.Receive(he), nil
	}
}

func (ne *network) set(from, to string, cut bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.cut[[2]string{from, to}] = cut
}

func (ne *network) add(ctx context.Context, id, dc string, seeds ...string) *Mesh {
	me := &Mesh{
		Self:  func() Hello { return Hello{ID: id, DC: dc, Addr: id} },
		Seeds: seeds, Send: ne.send(id),
	}
	ne.mu.Lock()
	ne.meshes[id] = me
	ne.mu.Unlock()
	go me.Run(ctx)
	return me
}

func ids(me *Mesh) []string {
	var all []string
	for _, he := range me.Live() {
		all = append(all, he.ID)
	}
	return all
}

func inBubble(t *testing.T, fn func(c *qt.C, ctx context.Context, ne *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fn(qt.New(t), ctx, &network{meshes: map[string]*Mesh{}, cut: map[[2]string]bool{}})
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestAllLearnOfEachOther(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, ne *network) {
		a := ne.add(ctx, "a", "one")
		b := ne.add(ctx, "b", "one", "a")
		d := ne.add(ctx, "d", "two", "a")
		time.Sleep(5 * time.Second)
		c.Assert(ids(a), qt.DeepEquals, []string{"b", "d"})
		c.Assert(ids(b), qt.DeepEquals, []string{"a", "d"})
		c.Assert(ids(d), qt.DeepEquals, []string{"a", "b"})
	})
}

func TestCutInOneDirection(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, ne *network) {
		a, b := ne.add(ctx, "a", "one"), ne.add(ctx, "b", "one", "a")
		time.Sleep(2 * time.Second)
		ne.set("a", "b", true)
		time.Sleep(2 * time.Second)
		// Greetings of b still arrive at a, but a cannot reach it.
		c.Assert(ids(a), qt.HasLen, 0)
		c.Assert(ids(b), qt.DeepEquals, []string{"a"})
		ne.set("a", "b", false)
		time.Sleep(2 * time.Second)
		c.Assert(ids(a), qt.DeepEquals, []string{"b"})
	})
}

func TestOnlySomeFarHostsAreGreeted(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, ne *network) {
		a := ne.add(ctx, "a", "one")
		for _, id := range []string{"p", "q", "r", "s", "t"} {
			ne.add(ctx, id, "two", "a")
		}
		time.Sleep(20 * time.Second)
		c.Assert(len(ids(a)) <= farHosts, qt.IsTrue, qt.Commentf("%v", ids(a)))
		c.Assert(len(ids(a)) > 0, qt.IsTrue)
	})
}
