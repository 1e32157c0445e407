package tenure

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// storeFaults are faults between a host and the store that concern only its writes or only
// its reads.
type storeFaults struct {
	// writesRefused is set while writes are refused. writesDelayed is how late they take
	// effect, whether or not the host still waits for the answer.
	writesRefused bool
	writesDelayed time.Duration
	// readsLost is set while no answer to a read arrives. readsDelayed is how late they arrive.
	readsLost    bool
	readsDelayed time.Duration
}

func (ho *clusterHost) setFaults(sf storeFaults) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.faults = sf
}

func (ho *clusterHost) currentFaults() storeFaults {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.faults
}

// commit carries out a write subject to the host's faults.
func (ho *clusterHost) commit(ctx context.Context, tbl store.Table, txn store.Txn) (store.CommitReply, error) {
	sf := ho.currentFaults()
	switch {
	case sf.writesRefused:
		return store.CommitReply{}, store.ErrBusy
	case sf.writesDelayed == 0:
		return tbl.CommitFunc(ctx, txn)
	}
	type result struct {
		reply store.CommitReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(sf.writesDelayed)
		reply, err := tbl.CommitFunc(context.Background(), txn)
		done <- result{reply, err}
	}()
	select {
	case re := <-done:
		return re.reply, re.err
	case <-ctx.Done():
		return store.CommitReply{}, ctx.Err()
	}
}

// afterRead applies the host's faults to the answer to a read.
func (ho *clusterHost) afterRead(ctx context.Context, err error) error {
	sf := ho.currentFaults()
	switch {
	case sf.readsLost:
		<-ctx.Done()
		return ctx.Err()
	case sf.readsDelayed > 0 && !clock.Sleep(ctx, sf.readsDelayed):
		return ctx.Err()
	}
	return err
}

// newLeaseCluster returns a cluster of witnessHosts hosts whose owners extend leases. Another
// cell's rows change until ctx ends, so that reads are answered soon.
func newLeaseCluster(ctx context.Context, t *testing.T, delayFunc func() time.Duration) (*cluster, *leaseRecord) {
	t.Helper()
	lr := &leaseRecord{until: map[int64]time.Time{}, actedAt: map[int64]time.Time{}}
	cl := &cluster{t: t, serveFunc: lr.serve, partitions: map[[2]string]bool{}, delayFunc: delayFunc}
	lr.cluster = cl
	for i := range witnessHosts {
		cl.addSized(fmt.Sprint("e", i), 0)
	}
	go func() {
		for clock.Sleep(ctx, 100*time.Millisecond) {
			txn := store.NewTxn()
			txn.Puts = []store.Put{{Key: tableName + "/c1.beat/beat", Value: json.RawMessage("{}")}}
			if _, err := cl.table.Client().CommitFunc(ctx, txn); err != nil {
				return
			}
		}
	}()
	return cl, lr
}

// TestSuccessorWaitsForLeasesConfirmedByHeartbeats runs random faults in which the store
// also refuses the writes of a host, or carries them out late. No owner may act while a lease
// of a former one runs, also if it counts from the last heartbeat that it saw.
func TestSuccessorWaitsForLeasesConfirmedByHeartbeats(t *testing.T) {
	sooner, all := 0, 0
	proptest.Check(t, proptest.Size{Checks: storeFaultSequences}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "delay seed"), 1))
			var mu sync.Mutex
			ctx, end := context.WithCancel(context.Background())
			defer end()
			cl, lr := newLeaseCluster(ctx, t, func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rng.IntN(100)) * time.Millisecond
			})
			for range rapid.IntRange(3, 12).Draw(rt, "acts") {
				// Only heartbeats sent once all former owners have ceased to act bound
				// confirmations, so most faults begin in calm.
				if rapid.IntRange(0, 3).Draw(rt, "restore") > 0 {
					cl.restore()
					time.Sleep(ExtendFor + 4*time.Second)
				}
				cl.randomStoreFault(rt)
				time.Sleep(time.Duration(rapid.SampledFrom([]int{20, 400, 1500, 4000, 10_000, 10_000}).Draw(rt, "pause")) * time.Millisecond)
			}
			time.Sleep(WitnessedLeaseLimit)
			cl.stop()
			time.Sleep(maxWriteDelay)
			sooner, all = sooner+lr.sooner, all+len(lr.actedAt)
			for _, problem := range lr.problems() {
				rt.Error(problem)
			}
		})
	})
	t.Logf("%d takeovers, in %d of them the owner acted before LeaseLimit", all, sooner)
	qt.Assert(t, sooner > all/10, qt.IsTrue)
}

// storeFaultSequences is the number of random sequences; PEPPERHATCH_SEED selects others.
const storeFaultSequences = 60

// maxWriteDelay is the longest delay of a write.
const maxWriteDelay = 6 * time.Second

// randomStoreFault applies a random fault between a host, mostly the owner's, and the store,
// or another fault.
func (cl *cluster) randomStoreFault(rt *rapid.T) {
	ho := cl.likelyOwner(cl.lastProcess(fmt.Sprint("e", rapid.IntRange(0, witnessHosts-1).Draw(rt, "host"))))
	between := func(label string, least, most time.Duration) time.Duration {
		return time.Duration(rapid.IntRange(int(least.Milliseconds()), int(most.Milliseconds())).Draw(rt, label)) * time.Millisecond
	}
	switch rapid.SampledFrom([]string{"refuse writes", "delay writes", "lose", "outage", "late reads", "lost reads", "claim only", "writes after claim", "other", "other"}).Draw(rt, "act") {
	case "refuse writes":
		cl.cutOff(ho)
		ho.setFaults(storeFaults{writesRefused: true})
	case "delay writes":
		ho.setFaults(storeFaults{writesDelayed: between("delay", 300*time.Millisecond, maxWriteDelay)})
	case "lose":
		cl.kill(ho)
	case "outage":
		cl.loseInOutage(ho, rapid.IntRange(0, 1<<witnessHosts-1).Draw(rt, "restarted"))
	case "late reads":
		cl.freezeOwner(ho, between("frozen", 1500*time.Millisecond, 3*time.Second), storeFaults{}, storeFaults{readsDelayed: between("late", 300*time.Millisecond, 2*time.Second)})
	case "lost reads":
		cl.freezeOwner(ho, between("frozen", 1500*time.Millisecond, 3*time.Second), storeFaults{readsLost: true}, storeFaults{writesDelayed: between("late", 300*time.Millisecond, 1400*time.Millisecond)})
	case "claim only":
		cl.kill(ho)
		cl.onClaim(func(next *clusterHost) {
			cl.cutOff(next)
			next.setFaults(storeFaults{writesRefused: true})
		})
	case "writes after claim":
		cl.cutOff(ho)
		ho.setFaults(storeFaults{writesRefused: true})
		cl.onClaim(func(next *clusterHost) {
			if next != ho {
				ho.setFaults(storeFaults{readsLost: true})
			}
		})
	case "other":
		cl.randomWitnessFault(rt)
	}
}

// loseInOutage has the store refuse all hosts, loses a host meanwhile and restarts the hosts
// of a set, with one bit each.
func (cl *cluster) loseInOutage(ho *clusterHost, restarted int) {
	all := func(*clusterHost) bool { return true }
	cl.setGates(standin.Fault{Mode: standin.ModeDown}, all)
	time.Sleep(5 * time.Second)
	cl.kill(ho)
	for i := range witnessHosts {
		if name := fmt.Sprint("e", i); restarted&(1<<i) != 0 && name != ho.keeper.Self {
			cl.kill(cl.lastProcess(name))
			cl.add(name)
		}
	}
	time.Sleep(4 * time.Second)
	cl.setGates(standin.Fault{}, all)
}

// freezeOwner cuts a host off from the others and from the store, and from the store only for
// a while. Faults of the host and of all others remain.
func (cl *cluster) freezeOwner(ho *clusterHost, frozen time.Duration, own, others storeFaults) {
	cl.cutOff(ho)
	ho.gate.Set(standin.Fault{Mode: standin.ModeDown})
	ho.setFaults(own)
	for _, other := range cl.hosts {
		if other != ho {
			other.setFaults(others)
		}
	}
	time.Sleep(frozen)
	if ho.running() {
		ho.gate.Set(standin.Fault{})
	}
}

// cutOff partitions a host from all others.
func (cl *cluster) cutOff(ho *clusterHost) {
	for i := range witnessHosts {
		cl.partition(ho.keeper.Self, fmt.Sprint("e", i), true)
	}
}

// onClaim has fn called with the next host whose claim takes effect.
func (cl *cluster) onClaim(fn func(*clusterHost)) {
	var once sync.Once
	cl.setCommittedFunc(func(ho *clusterHost, txn store.Txn) error {
		var row OwnerRow
		if txn.Puts[0].Key == ho.keeper.ownerKey() && json.Unmarshal(txn.Puts[0].Value, &row) == nil && row.Owner != "" {
			once.Do(func() { fn(ho) })
		}
		return nil
	})
}

func (cl *cluster) setCommittedFunc(fn func(*clusterHost, store.Txn) error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.committedFunc = fn
}

// restore ends all faults and starts the hosts that were lost.
func (cl *cluster) restore() {
	cl.setCommittedFunc(nil)
	cl.setGates(standin.Fault{}, func(*clusterHost) bool { return true })
	cl.partition("", "", false)
	for _, ho := range cl.hosts {
		ho.setFaults(storeFaults{})
	}
	for i := range witnessHosts {
		if name := fmt.Sprint("e", i); !cl.lastProcess(name).running() {
			cl.add(name)
		}
	}
}

// TestLeasesCountFromLastHeartbeat guards against a successor that counts the former owner's
// leases from its own claim, although it last saw a heartbeat seconds before.
func TestLeasesCountFromLastHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(cl *cluster)
		want time.Duration
	}{
		{"the owner is lost", func(cl *cluster) { cl.kill(cl.likelyOwner(nil)) }, LeaseLimit + 100*time.Millisecond},
		{"the store refuses its writes only, and it reaches no host", func(cl *cluster) {
			owner := cl.likelyOwner(nil)
			cl.cutOff(owner)
			owner.setFaults(storeFaults{writesRefused: true})
		}, LeaseLimit + 100*time.Millisecond},
		{"the owner is lost in an outage of the store", func(cl *cluster) {
			cl.loseInOutage(cl.likelyOwner(nil), 0)
		}, 13500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, lr := newLeaseCluster(t.Context(), t, nil)
				defer cl.stop()
				time.Sleep(12 * time.Second)
				began := time.Now()
				tc.lose(cl)
				time.Sleep(WitnessedLeaseLimit)
				lr.mu.Lock()
				defer lr.mu.Unlock()
				t.Logf("the next owner acted after %v", lr.actedAt[2].Sub(began))
				qt.Check(t, lr.actedAt[2].After(lr.until[1]), qt.IsTrue)
				qt.Check(t, lr.actedAt[2].Sub(began) <= tc.want, qt.IsTrue)
			})
		})
	}
}

// TestOnlyOwnersLastHeartbeatBoundsConfirmations has the owner before the last one act on, the
// last one write no heartbeat, or be confirmed by reads alone.
func TestOnlyOwnersLastHeartbeatBoundsConfirmations(t *testing.T) {
	last := OwnerRow{Owner: "a", Epoch: 3, HeartbeatsConfirm: true}
	for _, tc := range []struct {
		name string
		last OwnerRow
		beat beatRow
		want bool
	}{
		{"all before had ceased to act", last, beatRow{Epoch: 3, N: 9, FormerCeased: true}, true},
		{"one before may act", last, beatRow{Epoch: 3, N: 9}, false},
		{"the last owner wrote none", last, beatRow{Epoch: 2, N: 9, FormerCeased: true}, false},
		{"reads confirm the last owner", OwnerRow{Owner: "a", Epoch: 3}, beatRow{Epoch: 3, N: 9, FormerCeased: true}, false},
	} {
		sb := storedBeat{row: tc.beat}
		qt.Check(t, sb.boundsConfirmations(tc.last), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestRetiredWitnessBoundsConfirmations has witnesses report when they last confirmed an owner.
func TestRetiredWitnessBoundsConfirmations(t *testing.T) {
	for _, tc := range []struct {
		name    string
		process string
		since   time.Duration
		want    time.Duration
	}{
		{"by a clock that may be fast", "a-1", 20 * time.Second, 19 * time.Second},
		{"not known", "a-1", 0, 0},
		{"another process answers", "a-2", 20 * time.Second, 0},
		{"the new owner itself", "self", 5 * time.Second, 5 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			ke := &Keeper{Process: "self", lastWitnessed: time.Now().Add(-tc.since), AskFunc: func(context.Context, string, int64) (HostStatus, error) {
				return HostStatus{Host: "a", Process: tc.process, SinceWitnessed: tc.since}, nil
			}}
			fo := &formerOwners{ke: ke}
			named := "a-1"
			if tc.process == "self" {
				named = "self"
			}
			qt.Assert(t, fo.retireWitness(t.Context(), registry.Member{Name: "a", Process: named}), qt.IsTrue)
			qt.Check(t, time.Since(fo.witnessedAt), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		})
	}
}

// TestHeartbeatConflicts has the row differ from the one on which a heartbeat is conditional.
func TestHeartbeatConflicts(t *testing.T) {
	for _, tc := range []struct {
		name      string
		confirmed int64
		row       beatRow
		version   int64
		end       error
		sealed    bool
	}{
		{"the reply to an earlier one was lost", 0, beatRow{Epoch: 4, N: 1}, 9, nil, true},
		{"a late one of the former owner", 0, beatRow{Epoch: 3, N: 7}, 9, nil, false},
		{"one of the next owner", 1, beatRow{Epoch: 5, N: 1}, 8, ErrReplaced, false},
		{"a former owner's after the first of its own", 1, beatRow{Epoch: 3, N: 7}, 8, errHeartbeatOverwritten, false},
	} {
		ctx, end := context.WithCancelCause(t.Context())
		fo := &formerOwners{}
		he := &heartbeater{ke: &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}, ctx: ctx, end: end, epoch: 4, former: fo, version: 8, confirmed: tc.confirmed, sent: map[int64]time.Time{}}
		value, err := json.Marshal(tc.row)
		qt.Assert(t, err, qt.IsNil)
		he.resolveConflict(store.Row{Value: value, Version: 9})
		qt.Check(t, he.version, qt.Equals, tc.version, qt.Commentf("%s", tc.name))
		qt.Check(t, context.Cause(ctx), qt.Equals, tc.end, qt.Commentf("%s", tc.name))
		qt.Check(t, fo.sealed, qt.Equals, tc.sealed, qt.Commentf("%s", tc.name))
		end(nil)
	}
}
