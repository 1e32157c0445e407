// Package tenure decides which entry host owns a cell.
//
// The owner's row in the store's table is the only authority: each owner
// writes it once, under the condition that it is as it was read, with an epoch
// one higher. Every write of an owner is conditional on that row's version, so
// a replaced owner can write nothing, and the epoch is the fencing token that
// workers obey. Time decides nothing but when somebody tries to replace a
// silent owner: an owner writes a heartbeat to another row, which all hosts
// watch, and a host that sees none for a while while the store answers claims
// the cell.
package tenure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/watch"
)

// Intervals of ownership.
const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the silence after which an owner is replaced: a store 120
	// times slower than usual takes 1.4 s for a write.
	HeartbeatTimeout = 2800 * time.Millisecond
	// RefusedTimeout replaces HeartbeatTimeout when the owner's port refuses
	// connections: its process has ended.
	RefusedTimeout = 900 * time.Millisecond
	// jitterMost spreads the claims of several hosts.
	maxJitter = 150 * time.Millisecond
	// checkEvery is how often silence is measured.
	checkEvery = 50 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
	// ExtendFor is how long after it was last confirmed, by the store or by witnesses, an
	// owner goes on extending the leases of what runs. A new owner that can reach neither
	// a worker nor its former owner waits for what that means for leases, see LeaseLimit.
	ExtendFor = 8 * time.Second
	// LeaseLimit is for how long after its owner was last confirmed a lease may run, by the
	// slowest clock: the next owner then waits for that from when nothing confirms its
	// predecessors any more, and not for ExtendFor and a whole lease.
	LeaseLimit = 8 * time.Second
	// lapseFor is LeaseLimit by a worker's clock that is 2% slow, as measured by an owner's
	// that is 2% fast.
	leaseLimitWithDrift = 8400 * time.Millisecond
	// releaseWithin is how long a host that goes on tries to give its cell up; by then
	// the others notice its silence. One that stops has its time to stop for that.
	releaseWithin = HeartbeatTimeout
	// askEvery is the time between questions to a former owner's host.
	askEvery = 500 * time.Millisecond
)

// Table names of the rows.
const (
	tableName = "cells"
)

// Tenure is one host's time as owner.
type Tenure struct {
	// Epoch is the fencing token.
	Epoch int64
	// Key and Version name the owner's row, on which writes are conditional.
	Key     string
	Version int64
	// Former is who had the cell before.
	Former OwnerRow
	// FormerEnded returns when all former owners will certainly have ceased to act,
	// which may be in the future, or zero if that is not known of the last one: its
	// host has yet to answer that the process is gone, or that it was told of its
	// replacement.
	FormerEnded func() time.Time
	// Confirmed returns when the store last confirmed the tenure, by an answer to a
	// read, and Written when it last took a heartbeat: it may do the one without the other.
	Confirmed        func() time.Time
	HeartbeatWritten func() time.Time
	// ConfirmedByAny returns when the tenure was last confirmed, by the store or else by witnesses:
	// leases rest on that. If nil it is as Confirmed.
	ConfirmedByAny func() time.Time
	// FormerUnconfirmedSince returns since when nothing confirms any former owner, or zero if that
	// is not known: then none is [WitnessedLeaseLimit] after the claim. If nil none is since then.
	FormerUnconfirmedSince func() time.Time
	// FormerLeasesEnd returns until when leases that former owners told run at the latest, or zero
	// if the last one has not said so. If nil none has.
	FormerLeasesEnd func() time.Time
	// SetHosts takes in rows of the list of entry hosts, of which some are named as
	// witnesses. If whole is set they are all there are. It is nil where none are.
	SetHosts func(listed []registry.Member, gone []string, whole bool)
	// End ends the tenure when something showed that it is over.
	End func(reason error)
	// Extending is called before workers are told leases, and reports whether they may
	// be: not once this host was told of a new owner, to which it said when the last was.
	MayExtend func() bool
}

// LastConfirmed returns when the tenure was last confirmed, by the store or else by witnesses.
func (te *Tenure) LastConfirmed() time.Time {
	if te.ConfirmedByAny == nil {
		return te.Confirmed()
	}
	return te.ConfirmedByAny()
}

// ErrReplaced is the cause when a tenure ended because another host has the cell.
var ErrReplaced = errors.New("another entry host owns the cell")

// Keeper takes part in the ownership of one cell. Set the fields, then call
// [Keeper.Run].
type Keeper struct {
	// Cell names the cell; Self, Process and Addr are this host's.
	Cell    string
	Self    string
	Process string
	Addr    string
	// Cores is the processor that this host has, in cores; 0 is not known.
	Cores float64
	// Table is the store's.
	Table store.Table
	// Serve runs the cell while the host owns it, until ctx ends, and returns
	// what the next owner should know: see [OwnerRow].
	Serve func(ctx context.Context, te Tenure) (silentMS map[string]int64, err error)
	// BootFunc returns the time since the host was booted, with that of suspensions; if
	// nil these are not noticed.
	BootFunc func() time.Duration
	// AskFunc tells the host at addr that the cell has a new owner, and returns
	// its process.
	AskFunc func(ctx context.Context, addr string, epoch int64) (HostStatus, error)
	// ConfirmFunc asks a process at addr whether it confirms the owner of an epoch, see
	// [Keeper.Confirm].
	ConfirmFunc func(ctx context.Context, addr string, epoch int64, process string) (bool, error)
	// Log gets events.
	Log *slog.Logger

	mu      sync.Mutex
	row     OwnerRow
	version int64
	known   bool
	// earlier is when all owners before that of the row have ceased to act at the
	// latest, by this host's clock; zero if they had when that one said so.
	formerCeased time.Time
	lastBeat     beatRow
	lastContact  time.Time
	portRefused  bool
	// probed is set once the owner's host was asked in this silence, unreachable
	// if it did not answer, or another process did, turnedAway if it said that the
	// store refuses it.
	probed       bool
	unreachable  bool
	storeRefuses bool
	// missed counts the heartbeats that this host, as the owner, failed to write
	// since the last one that it wrote.
	missedBeats int
	// beaten is when the last heartbeat was sent that was written, or the claim.
	lastWritten time.Time
	// told is the highest epoch that this host was told of by its owner, vouches that of the
	// owner which it confirmed when it was last asked, or 0.
	notifiedEpoch  int64
	confirmedEpoch int64
	// leased is when this process last told a worker a lease, or was about to.
	lastExtended time.Time
	// lapses is until when leases run at the latest that it told.
	leasesEnd time.Time
	// former are the owners before this host, in its last tenure.
	former   *formerOwners
	stopping bool
	// releaseBy is when a host that stops gives up giving its cell up.
	releaseBy time.Time
	// bound ends a release under way, or is nil.
	releaseTimer *time.Timer
	endTenure    context.CancelCauseFunc
	watch        watch.Watch
	// still tells when this process stood still.
	stalls stallDetector
	// yields counts the tenures left to larger hosts.
	yieldCount int
	// doubted is the last claim whose outcome is not known.
	unsettledClaim *sentClaim
}

func (ke *Keeper) ownerKey() string { return tableName + "/" + ke.Cell + "/owner" }

// beatPart is apart from the cell's rows: the store writes those of one part in
// turn, and heartbeats must not wait behind a cell's work.
func (ke *Keeper) beatPart() string { return tableName + "/" + ke.Cell + ".beat/" }
func (ke *Keeper) beatKey() string  { return ke.beatPart() + "beat" }

// Current returns the owner last seen; ok is false if there is none.
func (ke *Keeper) Current() (row OwnerRow, ok bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.row, ke.known && ke.row.Owner != ""
}

// NotifyPortRefused tells that the owner's port refused a connection.
func (ke *Keeper) NotifyPortRefused(process string) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if process == ke.row.Process && !ke.portRefused {
		ke.portRefused = true
		ke.Log.Warn("owner's port refuses connections", "cell", ke.Cell, "owner", ke.row.Owner, "epoch", ke.row.Epoch)
	}
}

// Release ends the host's tenure, if it has one, and keeps it from claiming. What has
// to be written for that is tried for so long.
func (ke *Keeper) Release(within time.Duration) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.stopping, ke.releaseBy = true, time.Now().Add(within)
	if ke.releaseTimer != nil {
		ke.releaseTimer.Reset(within)
	}
	if ke.endTenure != nil {
		ke.endTenure(errStopping)
	}
}

// NotifyReplaced ends the host's tenure if it is of an earlier epoch.
func (ke *Keeper) NotifyReplaced(epoch int64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	// The answer counts for the end of all earlier tenures, also of one that this host
	// has claimed and not begun.
	ke.notifiedEpoch = max(ke.notifiedEpoch, epoch)
	if ke.endTenure != nil && ke.row.Epoch < epoch {
		ke.Log.Warn("told of a new owner", "cell", ke.Cell, "epoch", epoch)
		ke.endTenure(ErrReplaced)
	}
}

var (
	errStopping = errors.New("planned stop")
	errYielding = errors.New("left to a larger host")
)

// Run takes part until ctx ends.
func (ke *Keeper) Run(ctx context.Context) {
	ke.watch = watch.Watch{Table: ke.Table, Name: tableName, Under: tableName + "/" + ke.Cell + "/", Also: ke.beatPart(), OnRows: ke.onRows, Log: ke.Log}
	go ke.watch.Run(ctx)
	go ke.watchClocks(ctx)
	for clock.Sleep(ctx, checkEvery) {
		ke.serveUnsettledClaim(ctx)
		ke.probe(ctx)
		row, version, due, why := ke.claimDue()
		if !due {
			continue
		}
		if !clock.Sleep(ctx, time.Duration(rand.Int64N(int64(maxJitter)))) {
			return
		}
		if _, still, due, _ := ke.claimDue(); !due || still != version {
			continue
		}
		ke.claim(ctx, row, version, why)
	}
}

// onRows takes in changes of the owner's row and of the heartbeat.
func (ke *Keeper) onRows(rows []store.FeedRow, whole bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if whole && !ke.known {
		ke.known = true
		ke.recordContact()
	}
	for _, row := range rows {
		switch row.Key {
		case ke.ownerKey():
			ke.applyOwnerRow(row.Row)
		case ke.beatKey():
			ke.applyBeatRow(row.Row)
		}
	}
}

func (ke *Keeper) applyOwnerRow(row store.Row) {
	if row.Version <= ke.version {
		return
	}
	var or OwnerRow
	if err := json.Unmarshal(row.Value, &or); err != nil {
		ke.Log.Error("owner's row cannot be read", "cell", ke.Cell, "version", row.Version, "err", err)
		return
	}
	switch {
	case or.FormerCeased:
		ke.formerCeased = time.Time{}
	case or.Epoch != ke.row.Epoch:
		// From here on the store confirms none of those before it.
		ke.formerCeased = time.Now().Add(WitnessedLeaseLimit)
	}
	ke.row, ke.version = or, row.Version
	ke.portRefused = false
	ke.recordContact()
	ke.Log.Info("owner of the cell", "cell", ke.Cell, "owner", or.Owner, "epoch", or.Epoch, "version", row.Version)
	if ke.endTenure != nil && or.Process != ke.Process {
		ke.endTenure(ErrReplaced)
	}
}

func (ke *Keeper) applyBeatRow(row store.Row) {
	var be beatRow
	if err := json.Unmarshal(row.Value, &be); err != nil {
		ke.Log.Error("heartbeat cannot be read", "cell", ke.Cell, "version", row.Version, "err", err)
		return
	}
	// A heartbeat of a former owner says nothing of this one.
	if be.Epoch == ke.row.Epoch && be != ke.lastBeat {
		ke.lastBeat = be
		ke.recordContact()
		if be.FormerCeased {
			ke.formerCeased = time.Time{}
		}
	}
}

// claimDue reports whether this host should claim the cell now, and why.
func (ke *Keeper) claimDue() (row OwnerRow, version int64, due bool, why string) {
	_, since := ke.watch.Contact()
	answering := ke.watch.Answering()
	ke.mu.Lock()
	defer ke.mu.Unlock()
	row, version = ke.row, ke.version
	if !ke.known || ke.stopping || !answering {
		return row, version, false, ""
	}
	if row.Owner == "" {
		return row, version, time.Since(ke.lastContact) >= ke.claimDelay(row), "nobody owns it"
	}
	if row.Owner == ke.Self && row.Process != ke.Process {
		return row, version, time.Since(ke.lastContact) >= ke.claimDelay(row), "owned by an earlier process of this host"
	}
	seen := ke.lastContact
	if since.After(seen) {
		seen = since
	}
	limit := HeartbeatTimeout
	switch {
	case ke.portRefused:
		limit = RefusedTimeout
	case ke.storeRefuses:
		limit = probeAfter
	case ke.unreachable:
		limit = UnreachableTimeout
	}
	if silent := time.Since(seen); silent > limit+ke.claimDelay(row) {
		return row, version, true, fmt.Sprintf("owner silent for %v", silent.Round(time.Millisecond))
	}
	return row, version, false, ""
}

// claim writes the owner's row and, if that took effect, serves the cell.
func (ke *Keeper) claim(ctx context.Context, last OwnerRow, version int64, why string) {
	ke.mu.Lock()
	earlier, changed := ke.formerCeased, ke.version != version
	ke.mu.Unlock()
	if changed {
		return
	}
	row := OwnerRow{Owner: ke.Self, Process: ke.Process, Addr: ke.Addr, MostCores: max(ke.Cores, last.MostCores), Epoch: last.Epoch + 1, Bounded: last.boundsSuccessors()}
	ke.Log.Info("claiming the cell", "cell", ke.Cell, "epoch", row.Epoch, "former", last.Owner, "version", version, "why", why)
	fo := ke.newFormerOwners(last, row.Epoch, earlier)
	cl := sentClaim{row: row, former: fo, version: version, sent: time.Now()}
	won, err := ke.write(ctx, row, version)
	if err != nil {
		ke.Log.Info("claim failed", "cell", ke.Cell, "epoch", row.Epoch, "err", err)
		ke.unsettledClaim = &cl
		return
	}
	ke.unsettledClaim = nil
	fo.claimedAt = time.Now()
	ke.serve(ctx, row, won, fo, cl.sent)
}

// write writes the owner's row and returns its new version.
func (ke *Keeper) write(ctx context.Context, row OwnerRow, version int64) (int64, error) {
	txn, err := store.NewTxn().WithPut(ke.ownerKey(), version, row)
	if err != nil {
		return 0, err
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	won, err := ke.Table.Commit(cctx, txn)
	if err == nil {
		return won, nil
	}
	// The answer may be lost: the row then names this process.
	rctx, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	var now OwnerRow
	have, rerr := ke.Table.Get(rctx, ke.ownerKey(), &now)
	if rerr != nil {
		return 0, fmt.Errorf("write owner's row: %w; read it back: %w", err, rerr)
	}
	if now.Epoch == row.Epoch && now.Process == row.Process {
		return have, nil
	}
	return 0, fmt.Errorf("write owner's row: %w", err)
}

// serve runs the cell and writes heartbeats until the tenure ends.
func (ke *Keeper) serve(ctx context.Context, row OwnerRow, version int64, fo *formerOwners, sent time.Time) {
	sctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	ke.mu.Lock()
	if ke.version > version || ke.notifiedEpoch > row.Epoch {
		ke.mu.Unlock()
		return
	}
	// A host that was told to stop meanwhile has the row too, and must release it: its
	// tenure ends as it begins.
	if ke.stopping {
		end(errStopping)
	}
	ke.row, ke.version, ke.endTenure, ke.former = row, version, end, fo
	ke.formerCeased = fo.claimedAt.Add(WitnessedLeaseLimit)
	ke.recordContact()
	ke.mu.Unlock()
	fo.start(sctx)
	hb := &heartbeater{ke: ke, ctx: sctx, epoch: row.Epoch, claimSent: sent, formerCeasedFunc: fo.allCeased}
	go hb.run()
	go ke.yield(sctx, row, end)
	wi := &witnesses{ke: ke, ctx: sctx, row: row, version: version, confirmedFunc: hb.lastConfirmed, retiredFunc: fo.witnessesRetired, confirmedAt: map[string]time.Time{}}
	go wi.run()
	ke.Log.Info("owning the cell", "cell", ke.Cell, "epoch", row.Epoch, "version", version)
	silent, err := ke.Serve(sctx, Tenure{
		Epoch: row.Epoch, Key: ke.ownerKey(), Version: version, Former: fo.lastRow, FormerEnded: fo.ceasedAt, FormerUnconfirmedSince: fo.unconfirmedSince, FormerLeasesEnd: fo.reportedLeasesEnd,
		Confirmed: hb.lastConfirmed, HeartbeatWritten: ke.heartbeatWritten, ConfirmedByAny: wi.lastConfirmed, SetHosts: wi.setHosts, End: end,
		MayExtend: func() bool {
			backed := wi.lastConfirmed()
			return sctx.Err() == nil && ke.mayExtend(row.Epoch, backed)
		},
	})
	cause := context.Cause(sctx)
	end(err)
	ke.mu.Lock()
	ke.endTenure = nil
	ke.mu.Unlock()
	ke.Log.Info("tenure ended", "cell", ke.Cell, "epoch", row.Epoch, "err", err, "cause", cause)
	if !errors.Is(cause, ErrReplaced) {
		ke.release(context.WithoutCancel(ctx), OwnerRow{Epoch: row.Epoch, MostCores: row.MostCores, LeaseLapseMS: silent, FormerCeased: fo.allCeased(), Bounded: row.Bounded}, version)
	}
}

// release gives the cell up, so that another host need not wait for silence.
func (ke *Keeper) release(ctx context.Context, row OwnerRow, version int64) {
	ctx, cancel := ke.releaseContext(ctx)
	defer cancel()
	for ctx.Err() == nil {
		_, err := ke.write(ctx, row, version)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return
		}
		ke.Log.Warn("cell not released", "cell", ke.Cell, "epoch", row.Epoch, "err", err)
		clock.Sleep(ctx, checkEvery)
	}
}
