// Package tenure decides which entry host owns a cell.
//
// The owner's row in the store's table is the only authority. A host that claims the cell
// writes it with an epoch one higher, on condition that it is unchanged since it was read;
// an owner that releases the cell writes it again, without an owner. Every write of an
// owner to the cell is conditional on the version of that row, so that a replaced owner can
// write nothing, and the epoch is the fencing token that workers check. Time only decides
// when a host tries to replace an unresponsive owner: an owner writes a heartbeat to
// another row, which all hosts watch, and a host that sees no heartbeat for a while,
// although the store answers, claims the cell. A host doesn't claim a cell while the store
// doesn't answer it.
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

// Intervals and limits of ownership.
const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which an owner is replaced. A
	// store 120 times slower than usual takes 1.4 s for a write.
	HeartbeatTimeout = 2800 * time.Millisecond
	// RefusedTimeout replaces HeartbeatTimeout when the owner's port refuses connections,
	// since its process has then ended.
	RefusedTimeout = 900 * time.Millisecond
	// maxJitter spreads the claims of several hosts.
	maxJitter = 150 * time.Millisecond
	// checkInterval is the time between checks for a missing heartbeat.
	checkInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
	// ExtendFor is how long after its last confirmation, by the store or by witnesses, an
	// owner may extend leases. A new owner that can reach neither a worker nor the former
	// owner waits accordingly, see LeaseLimit.
	ExtendFor = 8 * time.Second
	// LeaseLimit is how long after the owner's last confirmation a lease may run, by the
	// slowest clock. The next owner waits this long from when nothing confirms its
	// predecessors any more, instead of ExtendFor plus a whole lease.
	LeaseLimit = 8 * time.Second
	// leaseLimitWithDrift is LeaseLimit by a worker's clock that is 2% slow, as measured by
	// an owner's clock that is 2% fast.
	leaseLimitWithDrift = 8400 * time.Millisecond
	// releaseWithin is how long a host that keeps running tries to release its cell; by
	// then the other hosts have missed its heartbeats. A host that stops uses the time
	// allowed for its stop instead.
	releaseWithin = HeartbeatTimeout
	// askInterval is the time between requests to a former owner's host.
	askInterval = 500 * time.Millisecond
)

// The table of the owner rows and heartbeats.
const (
	tableName = "cells"
)

// Tenure is the time during which one host owns the cell.
type Tenure struct {
	// Epoch is the fencing token.
	Epoch int64
	// Key and Version identify the owner's row on which writes are conditional.
	Key     string
	Version int64
	// Former is the row of the previous owner.
	Former OwnerRow
	// FormerEnded returns when all former owners will certainly have ceased to act, which
	// may be in the future. It is zero if that is not known of the last one: its host has
	// yet to answer that the process has ended or was notified of its replacement.
	FormerEnded func() time.Time
	// Confirmed returns when the store last confirmed the tenure by answering a read.
	// HeartbeatWritten returns when it last accepted a heartbeat; a store may answer reads
	// and refuse writes.
	Confirmed        func() time.Time
	HeartbeatWritten func() time.Time
	// ConfirmedByAny returns when the tenure was last confirmed, by the store, which has to
	// answer reads and accept heartbeats, or by witnesses. Leases depend on it. If it is nil,
	// Confirmed applies.
	ConfirmedByAny func() time.Time
	// FormerUnconfirmedSince returns since when nothing confirms any former owner. It is
	// zero if that is not known; none is confirmed [WitnessedLeaseLimit] after the claim.
	// If it is nil, none is confirmed from the claim on.
	FormerUnconfirmedSince func() time.Time
	// FormerLeasesEnd returns the latest end of leases that former owners extended, or zero
	// if the last one has not reported it. If it is nil, none has.
	FormerLeasesEnd func() time.Time
	// SetHosts applies rows of the list of entry hosts, some of which are chosen as
	// witnesses. If complete is set, listed has all rows. SetHosts is nil where there are no
	// witnesses.
	SetHosts func(listed []registry.Member, removed []string, complete bool)
	// End ends the tenure when something showed that it is over.
	End func(reason error)
	// MayExtend is called before leases are extended, and reports whether they may be. They
	// may not once this host was notified of a new owner, to which it reported the time of
	// its last extension.
	MayExtend func() bool
}

// LastConfirmed returns when the tenure was last confirmed, by the store or by witnesses.
func (te *Tenure) LastConfirmed() time.Time {
	if te.ConfirmedByAny == nil {
		return te.Confirmed()
	}
	return te.ConfirmedByAny()
}

// ErrReplaced is the cause when a tenure ended because another host owns the cell.
var ErrReplaced = errors.New("another entry host owns the cell")

// Keeper takes part in the election of the owner of one cell. Set the fields, then call
// [Keeper.Run].
type Keeper struct {
	// Cell names the cell; Self, Process and Addr identify this host.
	Cell    string
	Self    string
	Process string
	Addr    string
	// Cores is the number of cores of this host; 0 if not known.
	Cores float64
	// Table is the table of the store.
	Table store.Table
	// Serve runs the cell while the host owns it, until ctx ends. It returns the lapse of
	// leases for the next owner, see [OwnerRow.LeaseLapseMS].
	Serve func(ctx context.Context, te Tenure) (lapseMS map[string]int64, err error)
	// BootFunc returns the time since the host was booted, including suspensions. If it is
	// nil, suspensions are not detected.
	BootFunc func() time.Duration
	// AskFunc notifies the host at addr that the cell has an owner of the given epoch, and
	// returns the status of that host.
	AskFunc func(ctx context.Context, addr string, epoch int64) (HostStatus, error)
	// ConfirmFunc asks a process at addr whether it confirms the owner of an epoch, see
	// [Keeper.Confirm].
	ConfirmFunc func(ctx context.Context, addr string, epoch int64, process string) (bool, error)
	// Log receives events.
	Log *slog.Logger

	mu sync.Mutex
	// row is the owner's row as last read or written, version its version. known is set
	// once all rows were read.
	row     OwnerRow
	version int64
	known   bool
	// formerCeased is the latest time at which all owners before that of the row cease to
	// act, by this host's clock. It is zero once that owner has reported that they had
	// ceased.
	formerCeased time.Time
	// lastBeat is the last heartbeat of the owner of the row, lastContact when this host
	// last had a sign that this owner runs. portRefused is set once its port has refused a
	// connection.
	lastBeat    beatRow
	lastContact time.Time
	portRefused bool
	// storedBeat is the heartbeat's row as last read.
	storedBeat storedBeat
	// probedAt is when the owner's host was last probed since the last contact, or zero.
	// unreachable is set if it did not answer the last probe, or if another process did.
	// storeRefuses is set if it reported that the store refuses its heartbeats.
	probedAt     time.Time
	unreachable  bool
	storeRefuses bool
	// missedBeats counts the heartbeats that this host, as the owner, failed to write since
	// the last one that it wrote.
	missedBeats int
	// lastWritten is when the last heartbeat that the store accepted, or the claim, was
	// sent.
	lastWritten time.Time
	// notifiedEpoch is the highest epoch of any owner that another host notified this one of.
	// confirmedEpoch is the epoch of the owner that this host confirmed when it was last
	// asked, or 0.
	notifiedEpoch  int64
	confirmedEpoch int64
	// lastWitnessed is when this host last confirmed any owner, or when it began to run.
	lastWitnessed time.Time
	// lastExtended is when this process last extended a lease, or was about to.
	lastExtended time.Time
	// leasesEnd is the latest end of the leases that this process extended.
	leasesEnd time.Time
	// former has the owners before this host's last tenure.
	former *formerOwners
	// stopping is set once the host was ordered to stop.
	stopping bool
	// releaseBy is when a host that stops gives up releasing its cell.
	releaseBy time.Time
	// releaseTimer ends the last release, if that is still in progress; nil before the
	// first.
	releaseTimer *time.Timer
	// endTenure ends this host's tenure; nil if it has none.
	endTenure context.CancelCauseFunc
	watch     watch.Watch
	// stalls detects when this process was stalled.
	stalls stallDetector
	// yieldCount counts the tenures yielded to larger hosts.
	yieldCount int
	// holdBackUntil is the time before which this host does not claim the cell, as it could not
	// load it; zero if it could.
	holdBackUntil time.Time
	// unsettledClaim is the last claim whose outcome is not known.
	unsettledClaim *sentClaim
}

// OwnerKey returns the key of the owner's row of a cell.
func OwnerKey(cell string) string { return tableName + "/" + cell + "/owner" }

func (ke *Keeper) ownerKey() string { return OwnerKey(ke.Cell) }

// beatPart is separate from the part of the cell's rows: the store writes the rows of one
// part one after another, and heartbeats must not wait for the writes of a cell.
func (ke *Keeper) beatPart() string { return tableName + "/" + ke.Cell + ".beat/" }
func (ke *Keeper) beatKey() string  { return ke.beatPart() + "beat" }

// Current returns the owner last seen; ok is false if there is none.
func (ke *Keeper) Current() (row OwnerRow, ok bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.row, ke.known && ke.row.Owner != ""
}

// NotifyPortRefused records that the port of the owner's process refused a connection.
func (ke *Keeper) NotifyPortRefused(process string) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if process == ke.row.Process && !ke.portRefused {
		ke.portRefused = true
		ke.Log.Warn("owner's port refuses connections", "cell", ke.Cell, "owner", ke.row.Owner, "epoch", ke.row.Epoch)
	}
}

// Release ends the host's tenure, if it has one, and keeps it from claiming again. The
// write that releases the cell is retried for the given time.
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
	// The answer to this notification implies that all earlier tenures of this host have
	// ended. That includes one that it has claimed and not begun.
	ke.notifiedEpoch = max(ke.notifiedEpoch, epoch)
	if ke.endTenure != nil && ke.row.Epoch < epoch {
		ke.Log.Warn("told of a new owner", "cell", ke.Cell, "epoch", epoch)
		ke.endTenure(ErrReplaced)
	}
}

var (
	errStopping = errors.New("planned stop")
	errYielding = errors.New("cell left to a larger host")
)

// Run takes part in the election until ctx ends.
func (ke *Keeper) Run(ctx context.Context) {
	ke.watch = watch.Watch{Table: ke.Table, TableName: tableName, Prefix: tableName + "/" + ke.Cell + "/", ExtraPrefix: ke.beatPart(), OnRows: ke.onRows, Log: ke.Log}
	ke.mu.Lock()
	ke.lastWitnessed = time.Now()
	ke.mu.Unlock()
	go ke.watch.Run(ctx)
	go ke.watchClocks(ctx)
	for clock.Sleep(ctx, checkInterval) {
		ke.serveUnsettledClaim(ctx)
		ke.probe(ctx)
		row, version, due, why := ke.claimDue()
		if !due {
			continue
		}
		if !clock.Sleep(ctx, time.Duration(rand.Int64N(int64(maxJitter)))) {
			return
		}
		if _, latest, due, _ := ke.claimDue(); !due || latest != version {
			continue
		}
		ke.claim(ctx, row, version, why)
	}
}

// onRows applies changes of the owner's row and of the heartbeat.
func (ke *Keeper) onRows(rows []store.FeedRow, complete bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if complete && !ke.known {
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
		// From here on the store confirms none of the owners before this one.
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

// claimDue reports whether this host should claim the cell now, and why.
func (ke *Keeper) claimDue() (row OwnerRow, version int64, due bool, why string) {
	_, since := ke.watch.Contact()
	answering := ke.watch.Answering()
	ke.mu.Lock()
	defer ke.mu.Unlock()
	row, version = ke.row, ke.version
	if !ke.known || ke.stopping || !answering || time.Now().Before(ke.holdBackUntil) {
		return row, version, false, ""
	}
	if row.Owner == "" {
		return row, version, time.Since(ke.lastContact) >= ke.claimDelay(row), "cell has no owner"
	}
	if row.Owner == ke.Self && row.Process != ke.Process {
		return row, version, time.Since(ke.lastContact) >= ke.claimDelay(row), "owned by an earlier process of this host"
	}
	silent, answered, delay := time.Since(ke.lastContact), time.Since(since), ke.claimDelay(row)
	limit, answeredLimit := ke.silenceLimits()
	if silent > limit+delay && answered > answeredLimit+delay {
		return row, version, true, fmt.Sprintf("owner silent for %v, store answers for %v", silent.Round(time.Millisecond), answered.Round(time.Millisecond))
	}
	return row, version, false, ""
}

// silenceLimits returns for how long the owner may be silent, and for how long the store must
// have answered without a sign of the owner, before the owner is replaced. The caller holds
// ke.mu.
func (ke *Keeper) silenceLimits() (silent, answered time.Duration) {
	switch {
	case ke.portRefused:
		return RefusedTimeout, RefusedTimeout
	case ke.storeRefuses:
		// After an outage for all hosts, a heartbeat that was sent during it ends first.
		return probeAfter, callTimeout + HeartbeatInterval
	case ke.unreachable:
		// The probe failed during the outage, so no further one has to be waited for after it.
		return UnreachableTimeout, probeAfter
	}
	return HeartbeatTimeout, HeartbeatTimeout
}

// claim writes the owner's row and, if that took effect, serves the cell.
func (ke *Keeper) claim(ctx context.Context, last OwnerRow, version int64, why string) {
	ke.mu.Lock()
	earlier, changed, beat := ke.formerCeased, ke.version != version, ke.storedBeat
	ke.mu.Unlock()
	if changed {
		return
	}
	last.StatesRestarts = last.StatesRestarts || last.Epoch == 0 || beat.row.StatesRestarts && beat.row.Epoch == last.Epoch
	row := OwnerRow{Owner: ke.Self, Process: ke.Process, Addr: ke.Addr, MostCores: max(ke.Cores, last.MostCores), Epoch: last.Epoch + 1, Bounded: last.boundsSuccessors(), HeartbeatsConfirm: true,
		StatesRestarts: last.StatesRestarts}
	ke.Log.Info("claiming the cell", "cell", ke.Cell, "epoch", row.Epoch, "former", last.Owner, "version", version, "why", why)
	fo := ke.newFormerOwners(last, row.Epoch, earlier)
	fo.lastBeat = beat
	cl := sentClaim{row: row, former: fo, version: version, sent: time.Now()}
	newVersion, err := ke.write(ctx, row, version)
	if err != nil {
		ke.Log.Info("claim failed", "cell", ke.Cell, "epoch", row.Epoch, "err", err)
		ke.unsettledClaim = &cl
		return
	}
	ke.unsettledClaim = nil
	fo.claimedAt = time.Now()
	ke.serve(ctx, row, newVersion, fo, cl.sent)
}

// write writes the owner's row and returns its new version.
func (ke *Keeper) write(ctx context.Context, row OwnerRow, version int64) (int64, error) {
	txn, err := store.NewTxn().WithPut(ke.ownerKey(), version, row)
	if err != nil {
		return 0, err
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	newVersion, err := ke.Table.Commit(cctx, txn)
	if err == nil {
		return newVersion, nil
	}
	// The write may have taken effect although its answer was lost; the row shows that.
	rctx, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	var current OwnerRow
	currentVersion, rerr := ke.Table.Get(rctx, ke.ownerKey(), &current)
	if rerr != nil {
		return 0, fmt.Errorf("write owner's row: %w; read it back: %w", err, rerr)
	}
	if current.Epoch == row.Epoch && current.Process == row.Process {
		return currentVersion, nil
	}
	return 0, fmt.Errorf("write owner's row: %w", err)
}

// serve runs the cell and writes heartbeats until the tenure ends, and then releases the
// cell unless another host owns it.
func (ke *Keeper) serve(ctx context.Context, row OwnerRow, version int64, fo *formerOwners, sent time.Time) {
	sctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	ke.mu.Lock()
	if ke.version > version || ke.notifiedEpoch > row.Epoch {
		ke.mu.Unlock()
		return
	}
	// A host that was ordered to stop during its claim owns the cell too and must release
	// it. Its tenure ends as soon as it begins.
	if ke.stopping {
		end(errStopping)
	}
	ke.row, ke.version, ke.endTenure, ke.former = row, version, end, fo
	ke.formerCeased = fo.claimedAt.Add(WitnessedLeaseLimit)
	ke.recordContact()
	ke.mu.Unlock()
	fo.start(sctx)
	hb := &heartbeater{ke: ke, ctx: sctx, end: end, epoch: row.Epoch, claimSent: sent, former: fo, version: fo.lastBeat.version, sent: map[int64]time.Time{}}
	go hb.run()
	go ke.yield(sctx, row, end)
	wi := &witnesses{ke: ke, ctx: sctx, row: row, version: version, confirmedFunc: hb.lastConfirmed, retiredFunc: fo.witnessesRetired, confirmedAt: map[string]time.Time{}}
	go wi.run()
	ke.Log.Info("owning the cell", "cell", ke.Cell, "epoch", row.Epoch, "version", version)
	lapseMS, err := ke.Serve(sctx, Tenure{
		Epoch: row.Epoch, Key: ke.ownerKey(), Version: version, Former: fo.lastRow, FormerEnded: fo.ceasedAt, FormerUnconfirmedSince: fo.unconfirmedSince, FormerLeasesEnd: fo.reportedLeasesEnd,
		Confirmed: hb.lastRead, HeartbeatWritten: ke.heartbeatWritten, ConfirmedByAny: wi.lastConfirmed, SetHosts: wi.setHosts, End: end,
		MayExtend: func() bool {
			confirmed := wi.lastConfirmed()
			return sctx.Err() == nil && ke.mayExtend(row.Epoch, confirmed)
		},
	})
	cause := context.Cause(sctx)
	end(err)
	ke.mu.Lock()
	ke.endTenure = nil
	if errors.Is(cause, ErrNotLoaded) || errors.Is(err, ErrNotLoaded) {
		ke.holdBackUntil = time.Now().Add(holdBackAfterFailedLoad)
	}
	ke.mu.Unlock()
	ke.Log.Info("tenure ended", "cell", ke.Cell, "epoch", row.Epoch, "err", err, "cause", cause)
	if !errors.Is(cause, ErrReplaced) {
		ke.release(context.WithoutCancel(ctx), OwnerRow{Epoch: row.Epoch, MostCores: row.MostCores, LeaseLapseMS: lapseMS, FormerCeased: fo.allCeased(), Bounded: row.Bounded,
			StatesRestarts: fo.lastRow.statesRestarts(fo.claimedAt)}, version)
	}
}

// release gives up the cell, so that the other hosts need not wait for the heartbeat
// timeout.
func (ke *Keeper) release(ctx context.Context, row OwnerRow, version int64) {
	ctx, cancel := ke.releaseContext(ctx)
	defer cancel()
	// The next owner waits longer for workers that are not named.
	row.LeaseLapseMS = store.FitMap(row.LeaseLapseMS, store.MaxRowBytes-ownerRowOverhead)
	for ctx.Err() == nil {
		_, err := ke.write(ctx, row, version)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return
		}
		ke.Log.Warn("cell not released", "cell", ke.Cell, "epoch", row.Epoch, "err", err)
		clock.Sleep(ctx, checkInterval)
	}
}
