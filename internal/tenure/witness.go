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

// Witnesses confirm an owner while the store answers nobody, so that leases may run on
// without having each next owner wait for as long as that.
//
// An owner names some processes of other hosts in a row. It counts as confirmed when it sent
// a question to which half of them, rounded up, said yes. A process that was told of a later
// owner never says yes to an earlier one, and one that has ended says nothing more, so once
// more than a half were told or have ended, none of the confirmations that follow is of a
// former owner. Nothing else is kept, and the store alone decides who owns the cell.
//
// The row is written on condition that the owner's is unchanged, and read after a claim: no
// set takes effect later. An owner names none before those that its predecessors named can
// confirm nobody, so that one set is all that a next owner has to ask.

// Numbers of witnesses.
const (
	// witnessesMost is how many are named: two of them may be lost.
	maxWitnesses = 5
	// confirmAfter is how long after the store last confirmed it an owner asks its witnesses:
	// longer than one call of a watch waits for a change.
	confirmAfter = 2500 * time.Millisecond
	// confirmEvery is the time between questions, confirmTimeout how long an answer may take.
	confirmEvery   = 500 * time.Millisecond
	confirmTimeout = 500 * time.Millisecond
	// reviewEvery is the time between looks at whether the witnesses still run.
	reviewEvery = 10 * time.Second
	// witnessedMost is how long after the store last confirmed an owner witnesses may.
	maxWitnessed = 13 * time.Second
	// WitnessedLeaseLimit is for how long after the store last confirmed its owner a lease may run
	// with the help of witnesses: for witnessedMost and LeaseLimit, by the slowest clock.
	WitnessedLeaseLimit = 22 * time.Second
)

// witnessTable has the row.
const witnessTable = "witnesses"

// witnessRow names an owner's witnesses.
type witnessRow struct {
	Epoch     int64             `json:"epoch"`
	Witnesses []registry.Member `json:"witnesses,omitempty"`
}

// witnessKey is of the same part as the owner's row, on which its writes are conditional.
func (ke *Keeper) witnessKey() string { return witnessTable + "/" + ke.Cell + "/row" }

// confirmNeed is how many of n witnesses confirm an owner, retireNeed how many must not be
// able to any more for it to be confirmed by none.
func confirmNeed(n int) int { return n - n/2 }
func retireNeed(n int) int  { return n/2 + 1 }

// Confirm reports whether this process confirms the owner of an epoch, which asks a process by
// its name. It does not while the store answers, which then confirms owners itself, nor before
// it has read anything there.
func (ke *Keeper) Confirm(epoch int64, process string) bool {
	ke.mu.Lock()
	known := ke.known
	ke.mu.Unlock()
	answering := known && ke.watch.Answering()
	ke.mu.Lock()
	defer ke.mu.Unlock()
	yes := known && process == ke.Process && !answering && ke.notifiedEpoch <= epoch && ke.row.Epoch <= epoch
	if yes != (ke.confirmedEpoch == epoch) {
		ke.confirmedEpoch = 0
		if yes {
			ke.confirmedEpoch = epoch
		}
		ke.Log.Info("asked to confirm the owner", "cell", ke.Cell, "epoch", epoch, "known_epoch", ke.row.Epoch, "told_epoch", ke.notifiedEpoch, "store_answers", answering, "confirmed", yes)
	}
	return yes
}

// witnesses are those of an owner in one tenure.
type witnesses struct {
	ke *Keeper
	// ctx is the tenure's.
	ctx context.Context
	row OwnerRow
	// version is that of the owner's row.
	version int64
	// confirmedFunc returns when the store last confirmed the tenure, retiredFunc reports
	// whether the witnesses of former owners confirm none of them any more.
	confirmedFunc func() time.Time
	retiredFunc   func() bool

	mu sync.Mutex
	// hosts are the entry hosts that there are, by name, or nil if that is not known.
	hosts map[string]registry.Member
	// sets are those that the row may name; named is set once it surely names one of them.
	sets    [][]registry.Member
	written bool
	// rowVersion is the row's, doubtful is set while that is not known.
	rowVersion int64
	unsettled  bool
	// said is when the last question was sent that a process answered with yes, by process.
	confirmedAt map[string]time.Time
	// reviewed is when the set was last looked at, changed is set when hosts are new.
	reviewed time.Time
	changed  bool
	// leaning is set while witnesses confirm the tenure and the store does not.
	relied bool
}

// setHosts takes in rows of the list of entry hosts. If whole is set they are all there are.
func (wi *witnesses) setHosts(listed []registry.Member, gone []string, whole bool) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if whole || wi.hosts == nil {
		wi.hosts = map[string]registry.Member{}
	}
	for _, me := range listed {
		wi.hosts[me.Name] = me
	}
	for _, name := range gone {
		delete(wi.hosts, name)
	}
	wi.changed = true
}

// last returns when the store or the witnesses last confirmed the tenure.
func (wi *witnesses) lastConfirmed() time.Time {
	stored := wi.confirmedFunc()
	if wi.ctx.Err() != nil {
		return stored
	}
	wi.mu.Lock()
	defer wi.mu.Unlock()
	by := wi.witnessesConfirmed()
	if most := stored.Add(maxWitnessed); by.After(most) {
		by = most
	}
	if by.After(stored) {
		return by
	}
	return stored
}

// confirmedBy returns when the witnesses last confirmed the tenure, or zero.
func (wi *witnesses) witnessesConfirmed() time.Time {
	if !wi.written {
		return time.Time{}
	}
	by := time.Now()
	for _, set := range wi.sets {
		if at := wi.setConfirmed(set); at.Before(by) {
			by = at
		}
	}
	return by
}

// saidBy returns when the last question was sent to which enough of a set said yes.
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

// run names witnesses and asks them, until the tenure ends.
func (wi *witnesses) run() {
	for clock.Sleep(wi.ctx, confirmEvery) {
		if wi.storeUnresponsive() {
			wi.confirm()
			continue
		}
		wi.review()
	}
}

// storeSilent reports whether witnesses are to confirm the tenure.
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
	if leaning := time.Since(wi.witnessesConfirmed()) < confirmAfter; leaning != wi.relied {
		wi.relied = leaning
		wi.ke.Log.Info("witnesses of the owner", "cell", wi.ke.Cell, "epoch", wi.row.Epoch, "asked", len(asked), "confirm", yes, "suffices", leaning, "store_silent_for", time.Since(wi.confirmedFunc()))
	}
}

// askAll calls fn for each host at once, and returns the results of all.
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

// review names witnesses, and others in the place of those that run no longer.
func (wi *witnesses) review() {
	wi.mu.Lock()
	due := wi.hosts != nil && wi.ke.AskFunc != nil && (wi.changed || wi.unsettled || time.Since(wi.reviewed) >= reviewEvery)
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

// current returns the set that was last written, which the row may not name yet.
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

// orderWitnesses orders the hosts other than the owner's by how well they serve as witnesses:
// data centres take turns, the owner's own comes last, and those that are named already come
// first in each.
func orderWitnesses(hosts, current []registry.Member, self string) []registry.Member {
	named := map[string]bool{}
	for _, me := range current {
		named[me.Process] = true
	}
	own := ""
	byPlace := map[string][]registry.Member{}
	for _, me := range hosts {
		if me.Name == self {
			own = me.DataCentre
			continue
		}
		byPlace[me.DataCentre] = append(byPlace[me.DataCentre], me)
	}
	places := slices.SortedFunc(maps.Keys(byPlace), func(a, b string) int {
		return cmp.Or(compareBool(a == own, b == own), strings.Compare(a, b))
	})
	for _, members := range byPlace {
		slices.SortFunc(members, func(a, b registry.Member) int {
			return cmp.Or(compareBool(named[b.Process], named[a.Process]), strings.Compare(a.Name, b.Name))
		})
	}
	var ordered []registry.Member
	for turn := 0; len(places) > 0; turn++ {
		places = slices.DeleteFunc(places, func(place string) bool { return turn >= len(byPlace[place]) })
		for _, place := range places {
			ordered = append(ordered, byPlace[place][turn])
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

// best returns the first hosts whose processes answer, and where these are too few others: an
// owner that reaches nobody must not be taken to need nobody. It ends early once the store
// is silent, as most hosts that are listed may be gone, and each keeps it waiting.
func (wi *witnesses) selectWitnesses(ordered []registry.Member) []registry.Member {
	var alive, silent []registry.Member
	for chunk := range slices.Chunk(ordered, maxWitnesses) {
		answers := askAll(wi.ctx, chunk, func(ctx context.Context, me registry.Member) bool {
			hs, err := wi.ke.AskFunc(ctx, me.Addr, wi.row.Epoch)
			return err == nil && hs.Process == me.Process
		})
		for i, me := range chunk {
			if answers[i] {
				alive = append(alive, me)
			} else {
				silent = append(silent, me)
			}
		}
		if len(alive) >= maxWitnesses || wi.storeUnresponsive() {
			break
		}
	}
	list := slices.Concat(alive, silent)
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

// name writes the set into the row. Until that is known to have been done, the row may name
// the sets before as well.
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
		// The row is another owner's, or a write before took effect unseen.
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
