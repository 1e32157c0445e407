package tenure

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// Witnesses confirm an owner while the store is unavailable, so that it can go on to extend
// leases. Without them, leases would end in an outage of the store, or each new owner would
// have to wait for as long as a former one might extend leases in an outage.
//
// An owner names some processes of other hosts in a row. It counts as confirmed since it
// last sent a request to which half of them, rounded up, answered yes. A process that was
// notified of a later owner never confirms an earlier one, and one that has ended confirms
// nothing more. So once more than half of them were notified or have ended, the former
// owner can't be confirmed any more. Witnesses store nothing else, and the store alone
// decides who owns the cell.
//
// The row is written on condition that the owner's row is unchanged, and read after a
// claim, so that no set takes effect later. An owner names no witnesses until those
// named before can no longer confirm a former owner, so that a next owner has to ask only
// one set.

// Intervals and limits of witnesses.
const (
	// maxWitnesses is how many witnesses are named. Two of them may be lost.
	maxWitnesses = 5
	// confirmAfter is how long after the store last confirmed it an owner asks its
	// witnesses. It is longer than one call of a watch waits for a change.
	confirmAfter = 2500 * time.Millisecond
	// confirmInterval is the time between requests for confirmation; confirmTimeout bounds one
	// of them.
	confirmInterval = 500 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
	// reviewInterval is the time between checks whether the witnesses still run.
	reviewInterval = 10 * time.Second
	// maxWitnessed is how long after the store last confirmed an owner witnesses may
	// confirm it.
	maxWitnessed = 13 * time.Second
	// WitnessedLeaseLimit is how long after the store last confirmed its owner a lease may
	// run with the help of witnesses: maxWitnessed plus LeaseLimit, by the slowest clock.
	WitnessedLeaseLimit = 22 * time.Second
)

// witnessTable has the witness row.
const witnessTable = "witnesses"

// witnessRow names an owner's witnesses.
type witnessRow struct {
	Epoch     int64             `json:"epoch"`
	Witnesses []registry.Member `json:"witnesses,omitempty"`
}

// witnessKey is in the same part as the owner's row, on which its writes are conditional.
func (ke *Keeper) witnessKey() string { return witnessTable + "/" + ke.Cell + "/row" }

// confirmNeed returns how many of n witnesses have to confirm an owner. retireNeed returns
// how many must no longer be able to, so that fewer than confirmNeed are left.
func confirmNeed(n int) int { return n - n/2 }
func retireNeed(n int) int  { return n/2 + 1 }

// Confirm reports whether this process, if it is the one named, confirms the owner of an
// epoch. It doesn't while the store answers, which then confirms owners itself, nor before
// it has read the owner's row.
func (ke *Keeper) Confirm(epoch int64, process string) bool {
	ke.mu.Lock()
	known := ke.known
	ke.mu.Unlock()
	answering := known && ke.watch.Answering()
	ke.mu.Lock()
	defer ke.mu.Unlock()
	yes := known && process == ke.Process && !answering && ke.notifiedEpoch <= epoch && ke.row.Epoch <= epoch
	if yes {
		ke.lastWitnessed = time.Now()
	}
	if yes != (ke.confirmedEpoch == epoch) {
		ke.confirmedEpoch = 0
		if yes {
			ke.confirmedEpoch = epoch
		}
		ke.Log.Info("asked to confirm the owner", "cell", ke.Cell, "epoch", epoch, "known_epoch", ke.row.Epoch, "told_epoch", ke.notifiedEpoch, "store_answers", answering, "confirmed", yes)
	}
	return yes
}

// witnessed returns when this process last confirmed an owner.
func (ke *Keeper) witnessed() time.Time {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.lastWitnessed
}

// witnesses manages the witnesses of an owner during one tenure.
type witnesses struct {
	ke *Keeper
	// ctx is the context of the tenure.
	ctx context.Context
	row OwnerRow
	// version is that of the owner's row.
	version int64
	// confirmedFunc returns when the store last confirmed the tenure. retiredFunc reports
	// whether the witnesses of former owners can't confirm any of them any more.
	confirmedFunc func() time.Time
	retiredFunc   func() bool

	mu sync.Mutex
	// hosts has the known entry hosts by name, or is nil if they are not known.
	hosts map[string]registry.Member
	// sets are those that the row may name. written is set once it certainly names one of
	// them.
	sets    [][]registry.Member
	written bool
	// rowVersion is the version of the witness row; unsettled is set while it is not known.
	rowVersion int64
	unsettled  bool
	// confirmedAt has, by process, when the last request was sent that the process answered
	// with yes.
	confirmedAt map[string]time.Time
	// reviewed is when the set was last checked; changed is set when the list of hosts has
	// changed.
	reviewed time.Time
	changed  bool
	// confirming is set while witnesses confirm the tenure and the store does not.
	confirming bool
}

// setHosts applies rows of the list of entry hosts. If complete is set, listed has all
// rows.
func (wi *witnesses) setHosts(listed []registry.Member, removed []string, complete bool) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if complete || wi.hosts == nil {
		wi.hosts = map[string]registry.Member{}
	}
	for _, me := range listed {
		wi.hosts[me.Name] = me
	}
	for _, name := range removed {
		delete(wi.hosts, name)
	}
	wi.changed = true
}

// lastConfirmed returns when the store or the witnesses last confirmed the tenure.
func (wi *witnesses) lastConfirmed() time.Time {
	byStore := wi.confirmedFunc()
	if wi.ctx.Err() != nil {
		return byStore
	}
	wi.mu.Lock()
	defer wi.mu.Unlock()
	byWitnesses := wi.witnessesConfirmed()
	if latest := byStore.Add(maxWitnessed); byWitnesses.After(latest) {
		byWitnesses = latest
	}
	if byWitnesses.After(byStore) {
		return byWitnesses
	}
	return byStore
}

// witnessesConfirmed returns when the witnesses last confirmed the tenure, or zero. The row
// may name any of the sets, so all of them must have confirmed it.
func (wi *witnesses) witnessesConfirmed() time.Time {
	if !wi.written {
		return time.Time{}
	}
	earliest := time.Now()
	for _, set := range wi.sets {
		if at := wi.setConfirmed(set); at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// setConfirmed returns when the last request was sent to which enough of a set answered
// yes.
func (wi *witnesses) setConfirmed(set []registry.Member) time.Time {
	need := confirmNeed(len(set))
	if need == 0 {
		return time.Now()
	}
	times := make([]time.Time, len(set))
	for i, me := range set {
		times[i] = wi.confirmedAt[me.Process]
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// run names witnesses and asks them for confirmation, until the tenure ends.
func (wi *witnesses) run() {
	for clock.Sleep(wi.ctx, confirmInterval) {
		if wi.storeUnresponsive() {
			wi.confirm()
			continue
		}
		wi.review()
	}
}

// storeUnresponsive reports whether the store has not confirmed the tenure for
// confirmAfter, so that witnesses have to.
func (wi *witnesses) storeUnresponsive() bool { return time.Since(wi.confirmedFunc()) >= confirmAfter }

// confirm asks all witnesses whether they confirm the tenure.
func (wi *witnesses) confirm() {
	wi.mu.Lock()
	var asked []registry.Member
	for _, set := range wi.sets {
		asked = append(asked, set...)
	}
	wi.mu.Unlock()
	answers := askAll(wi.ctx, asked, func(ctx context.Context, me registry.Member) bool {
		sent := time.Now()
		yes, err := wi.ke.ConfirmFunc(ctx, me.Addr, wi.row.Epoch, me.Process)
		if err != nil || !yes {
			return false
		}
		wi.mu.Lock()
		defer wi.mu.Unlock()
		wi.confirmedAt[me.Process] = sent
		return true
	})
	yes := 0
	for _, answer := range answers {
		if answer {
			yes++
		}
	}
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if confirming := time.Since(wi.witnessesConfirmed()) < confirmAfter; confirming != wi.confirming {
		wi.confirming = confirming
		wi.ke.Log.Info("witnesses of the owner", "cell", wi.ke.Cell, "epoch", wi.row.Epoch, "asked", len(asked), "confirm", yes, "suffices", confirming, "store_silent_for", time.Since(wi.confirmedFunc()))
	}
}

// askAll calls fn for all hosts concurrently and returns the results in their order.
func askAll(ctx context.Context, hosts []registry.Member, fn func(context.Context, registry.Member) bool) []bool {
	results := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, me := range hosts {
		wg.Go(func() {
			actx, cancel := context.WithTimeout(ctx, confirmTimeout)
			defer cancel()
			results[i] = fn(actx, me)
		})
	}
	wg.Wait()
	return results
}

// review names witnesses, and replaces those that no longer run.
func (wi *witnesses) review() {
	wi.mu.Lock()
	due := wi.hosts != nil && wi.ke.AskFunc != nil && (wi.changed || wi.unsettled || time.Since(wi.reviewed) >= reviewInterval)
	hosts := slices.Collect(maps.Values(wi.hosts))
	current := wi.current()
	wi.mu.Unlock()
	if !due || !wi.retiredFunc() {
		return
	}
	wi.mu.Lock()
	wi.reviewed, wi.changed = time.Now(), false
	wi.mu.Unlock()
	next := wi.selectWitnesses(orderWitnesses(hosts, current, wi.ke.Self))
	if !wi.storeUnresponsive() && wi.ctx.Err() == nil && (wi.needsWrite() || !sameProcesses(next, current)) {
		wi.writeSet(next)
	}
}

// current returns the set that was last sent to the store. The row may not name it yet.
func (wi *witnesses) current() []registry.Member {
	if len(wi.sets) == 0 {
		return nil
	}
	return wi.sets[len(wi.sets)-1]
}

func (wi *witnesses) needsWrite() bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	return wi.unsettled || !wi.written
}

// orderWitnesses orders the hosts other than the owner's by their suitability as
// witnesses: data centres alternate, the owner's own comes last, and within each data
// centre hosts that are already named come first.
func orderWitnesses(hosts, current []registry.Member, self string) []registry.Member {
	named := map[string]bool{}
	for _, me := range current {
		named[me.Process] = true
	}
	own := ""
	byDataCentre := map[string][]registry.Member{}
	for _, me := range hosts {
		if me.Name == self {
			own = me.DataCentre
			continue
		}
		byDataCentre[me.DataCentre] = append(byDataCentre[me.DataCentre], me)
	}
	dataCentres := slices.SortedFunc(maps.Keys(byDataCentre), func(a, b string) int {
		return cmp.Or(compareBool(a == own, b == own), strings.Compare(a, b))
	})
	for _, members := range byDataCentre {
		slices.SortFunc(members, func(a, b registry.Member) int {
			return cmp.Or(compareBool(named[b.Process], named[a.Process]), strings.Compare(a.Name, b.Name))
		})
	}
	var ordered []registry.Member
	for turn := 0; len(dataCentres) > 0; turn++ {
		dataCentres = slices.DeleteFunc(dataCentres, func(dc string) bool { return turn >= len(byDataCentre[dc]) })
		for _, dc := range dataCentres {
			ordered = append(ordered, byDataCentre[dc][turn])
		}
	}
	return ordered
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// selectWitnesses returns the first hosts whose processes answer. If these are too few it
// adds others: an owner that reaches no host must not be treated as one that needs no
// confirmation. It ends early once the store is unresponsive, since most of the listed
// hosts may be lost, and each of them takes a timeout.
func (wi *witnesses) selectWitnesses(ordered []registry.Member) []registry.Member {
	var alive, unanswered []registry.Member
	for chunk := range slices.Chunk(ordered, maxWitnesses) {
		answers := askAll(wi.ctx, chunk, func(ctx context.Context, me registry.Member) bool {
			hs, err := wi.ke.AskFunc(ctx, me.Addr, wi.row.Epoch)
			return err == nil && hs.Process == me.Process
		})
		for i, me := range chunk {
			if answers[i] {
				alive = append(alive, me)
			} else {
				unanswered = append(unanswered, me)
			}
		}
		if len(alive) >= maxWitnesses || wi.storeUnresponsive() {
			break
		}
	}
	list := slices.Concat(alive, unanswered)
	return list[:min(len(list), maxWitnesses)]
}

func sameProcesses(a, b []registry.Member) bool {
	processes := func(set []registry.Member) []string {
		var list []string
		for _, me := range set {
			list = append(list, me.Process)
		}
		slices.Sort(list)
		return list
	}
	return slices.Equal(processes(a), processes(b))
}

// writeSet writes the set into the row. Until the write is known to have taken effect, the
// row may also name the sets before.
func (wi *witnesses) writeSet(set []registry.Member) {
	wi.mu.Lock()
	if len(wi.sets) == 0 || !sameProcesses(set, wi.current()) {
		wi.sets = append(wi.sets, set)
	}
	wi.unsettled = true
	version := wi.rowVersion
	wi.mu.Unlock()
	txn, err := store.NewTxn().WithPut(wi.ke.witnessKey(), version, witnessRow{Epoch: wi.row.Epoch, Witnesses: set})
	if err != nil {
		wi.ke.Log.Error("witnesses cannot be encoded", "err", err)
		return
	}
	txn.Conds = append(txn.Conds, store.Cond{Key: wi.ke.ownerKey(), Version: wi.version})
	cctx, cancel := context.WithTimeout(wi.ctx, callTimeout)
	defer cancel()
	reply, err := wi.ke.Table.CommitFunc(cctx, txn)
	wi.recordWrite(set, reply.Version, err)
}

func (wi *witnesses) recordWrite(set []registry.Member, version int64, err error) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The row was written by another owner, or by an earlier write whose answer was
		// lost.
		wi.rowVersion = conflict.Row(wi.ke.witnessKey()).Version
		return
	case err != nil:
		wi.ke.Log.Info("witnesses not written", "cell", wi.ke.Cell, "epoch", wi.row.Epoch, "err", err)
		return
	}
	wi.rowVersion, wi.unsettled, wi.written = version, false, true
	wi.sets = [][]registry.Member{set}
	names := make([]string, len(set))
	for i, me := range set {
		names[i] = me.Name
	}
	wi.ke.Log.Info("witnesses of the owner named", "cell", wi.ke.Cell, "epoch", wi.row.Epoch, "witnesses", names, "version", version)
}
