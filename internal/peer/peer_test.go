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

var errUnreachable = errors.New("unreachable")

// network connects meshes by address; sending in a given direction can be made to fail.
type network struct {
	mu      sync.Mutex
	meshes  map[string]*Mesh
	blocked map[[2]string]bool
}

func (ne *network) send(from string) func(context.Context, string, Hello) (Reply, error) {
	return func(_ context.Context, to string, he Hello) (Reply, error) {
		ne.mu.Lock()
		me, blocked := ne.meshes[to], ne.blocked[[2]string{from, to}]
		ne.mu.Unlock()
		if me == nil || blocked {
			return Reply{}, errUnreachable
		}
		return me.Receive(he), nil
	}
}

// setBlocked sets whether messages from one host to another fail.
func (ne *network) setBlocked(from, to string, blocked bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.blocked[[2]string{from, to}] = blocked
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

// liveIDs returns the ids of the hosts that are live for a mesh.
func liveIDs(me *Mesh) []string {
	var all []string
	for _, he := range me.Live() {
		all = append(all, he.ID)
	}
	return all
}

// runMeshes runs fn with an empty network and simulated time.
func runMeshes(t *testing.T, fn func(c *qt.C, ctx context.Context, ne *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fn(qt.New(t), ctx, &network{meshes: map[string]*Mesh{}, blocked: map[[2]string]bool{}})
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestHostsDiscoverEachOther(t *testing.T) {
	runMeshes(t, func(c *qt.C, ctx context.Context, ne *network) {
		a := ne.add(ctx, "a", "one")
		b := ne.add(ctx, "b", "one", "a")
		d := ne.add(ctx, "d", "two", "a")
		time.Sleep(5 * time.Second)
		c.Assert(liveIDs(a), qt.DeepEquals, []string{"b", "d"})
		c.Assert(liveIDs(b), qt.DeepEquals, []string{"a", "d"})
		c.Assert(liveIDs(d), qt.DeepEquals, []string{"a", "b"})
	})
}

func TestOneWayNetworkFailure(t *testing.T) {
	runMeshes(t, func(c *qt.C, ctx context.Context, ne *network) {
		a, b := ne.add(ctx, "a", "one"), ne.add(ctx, "b", "one", "a")
		time.Sleep(2 * time.Second)
		ne.setBlocked("a", "b", true)
		time.Sleep(2 * time.Second)
		// Messages of b still arrive at a, but a cannot reach b.
		c.Assert(liveIDs(a), qt.HasLen, 0)
		c.Assert(liveIDs(b), qt.DeepEquals, []string{"a"})
		ne.setBlocked("a", "b", false)
		time.Sleep(2 * time.Second)
		c.Assert(liveIDs(a), qt.DeepEquals, []string{"b"})
	})
}

func TestFewRemoteHostsAreContacted(t *testing.T) {
	runMeshes(t, func(c *qt.C, ctx context.Context, ne *network) {
		a := ne.add(ctx, "a", "one")
		for _, id := range []string{"p", "q", "r", "s", "t"} {
			ne.add(ctx, id, "two", "a")
		}
		time.Sleep(20 * time.Second)
		c.Assert(len(liveIDs(a)) <= remoteHostsPerDC, qt.IsTrue, qt.Commentf("%v", liveIDs(a)))
		c.Assert(len(liveIDs(a)) > 0, qt.IsTrue)
	})
}
