package tenure

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/watch"
)

// storedBeat is the heartbeat's row as read from the store.
type storedBeat struct {
	row     beatRow
	version int64
	// seenAt is when the version was first seen.
	seenAt time.Time
}

// boundsConfirmations reports whether no former owner can have been confirmed by the store
// after this heartbeat was first seen, provided that none took effect after it. The last
// owner, of the given row, wrote it when all owners before had ceased to act.
func (sb *storedBeat) boundsConfirmations(last OwnerRow) bool {
	return last.HeartbeatsConfirm && sb.row.Epoch == last.Epoch && sb.row.FormerCeased
}

// heartbeater writes the heartbeats of one tenure. Each is conditional on the one before,
// the first on that of the last owner. So the heartbeats of a former owner have no effect
// once the next one has written one.
type heartbeater struct {
	ke *Keeper
	// ctx is the context of the tenure, end ends it.
	ctx   context.Context
	end   context.CancelCauseFunc
	epoch int64
	// claimSent is when the claim was sent.
	claimSent time.Time
	// former has the owners before the tenure.
	former *formerOwners

	mu sync.Mutex
	// version is that of the row on which the next heartbeat is conditional. foreign is set
	// if the row has changed between the claim and the first heartbeat.
	version int64
	foreign bool
	// confirmed is the number of the last heartbeat known to have taken effect, or 0. sent
	// has, by number, when it and later ones were sent.
	confirmed int64
	sent      map[int64]time.Time
}

// lastRead returns when the last read of the owner's row that the store answered was sent;
// the row still named this owner after that. The watch ends the tenure when the row names
// another owner. Before the first such answer, the claim counts.
func (he *heartbeater) lastRead() time.Time {
	contact, _ := he.ke.watch.Contact()
	// The reply that ends the tenure also counts as contact, but only after it has ended
	// it.
	if he.ctx.Err() != nil || contact.Before(he.claimSent) {
		return he.claimSent
	}
	return contact
}

// lastConfirmed returns when the store last confirmed the tenure. It takes both a read and
// a heartbeat: reads end with the next claim, and heartbeats with the next owner's first
// one, before which the next owner knows when it saw the last.
func (he *heartbeater) lastConfirmed() time.Time {
	return earlierTime(he.lastRead(), he.lastWritten())
}

// lastWritten returns when the last heartbeat known to have taken effect was sent, or the
// claim if there is none.
func (he *heartbeater) lastWritten() time.Time {
	he.recordSeen()
	he.mu.Lock()
	defer he.mu.Unlock()
	if he.confirmed == 0 {
		return he.claimSent
	}
	return he.sent[he.confirmed]
}

// errHeartbeatOverwritten ends a tenure whose heartbeat was overwritten by that of an
// earlier owner, which is possible only for owners of earlier versions.
var errHeartbeatOverwritten = errors.New("heartbeat overwritten by an earlier owner")

func (he *heartbeater) run() {
	ctx := he.ctx
	// The claim has just been written and counts as a heartbeat.
	he.ke.recordBeat(time.Now(), true)
	for n := int64(1); ; n++ {
		sent := time.Now()
		err := he.write(n)
		if errors.Is(err, store.ErrConflict) && ctx.Err() == nil {
			// The conflict has shown the version on which to write.
			n++
			err = he.write(n)
		}
		if err != nil && ctx.Err() == nil {
			he.ke.Log.Warn("heartbeat not written", "cell", he.ke.Cell, "epoch", he.epoch, "n", n, "err", err)
		}
		he.ke.recordBeat(sent, err == nil)
		if !clock.Sleep(ctx, HeartbeatInterval) {
			return
		}
	}
}

// write writes the n-th heartbeat.
func (he *heartbeater) write(n int64) error {
	he.recordSeen()
	he.mu.Lock()
	version := he.version
	he.sent[n] = time.Now()
	he.mu.Unlock()
	txn, err := store.NewTxn().WithPut(he.ke.beatKey(), version, beatRow{Epoch: he.epoch, N: n, FormerCeased: he.former.allCeased(), StatesRestarts: he.former.lastRow.statesRestarts(he.claimSent)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(he.ctx, callTimeout)
	defer cancel()
	reply, err := he.ke.Table.CommitFunc(ctx, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		he.recordWritten(n, reply.Version)
	case errors.As(err, &conflict):
		he.resolveConflict(conflict.Row(he.ke.beatKey()))
	}
	return err
}

// recordSeen records the heartbeat of this tenure that the watch last saw. Its reply may
// have been lost.
func (he *heartbeater) recordSeen() {
	he.ke.mu.Lock()
	sb := he.ke.storedBeat
	he.ke.mu.Unlock()
	if sb.row.Epoch == he.epoch {
		he.recordWritten(sb.row.N, sb.version)
	}
}

// recordWritten records that the n-th heartbeat has taken effect with the given version.
func (he *heartbeater) recordWritten(n, version int64) {
	he.mu.Lock()
	defer he.mu.Unlock()
	if n <= he.confirmed {
		return
	}
	if he.confirmed == 0 && !he.foreign {
		he.former.recordSealed()
		last := he.former.lastBeat
		he.ke.Log.Info("no heartbeat between the last one seen and the claim", "cell", he.ke.Cell, "epoch", he.epoch,
			"seen_ago", watch.Age(last.seenAt), "bounds", last.boundsConfirmations(he.former.lastRow))
	}
	he.confirmed, he.version = n, version
	maps.DeleteFunc(he.sent, func(k int64, _ time.Time) bool { return k < n })
}

// resolveConflict handles the row that differs from the one on which a heartbeat was
// conditional.
func (he *heartbeater) resolveConflict(row store.Row) {
	var be beatRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &be); err != nil {
			he.ke.Log.Error("heartbeat cannot be read", "cell", he.ke.Cell, "version", row.Version, "err", err)
		}
	}
	switch {
	case be.Epoch == he.epoch:
		he.recordWritten(be.N, row.Version)
	case be.Epoch > he.epoch:
		he.end(ErrReplaced)
	default:
		he.recordForeign(row.Version)
	}
}

// recordForeign records a heartbeat of an earlier owner. The next one of this owner
// replaces it, unless this owner has already written one.
func (he *heartbeater) recordForeign(version int64) {
	he.mu.Lock()
	defer he.mu.Unlock()
	if he.confirmed > 0 {
		he.end(errHeartbeatOverwritten)
		return
	}
	he.version, he.foreign = version, true
}

func (ke *Keeper) applyBeatRow(row store.Row) {
	var be beatRow
	if err := json.Unmarshal(row.Value, &be); err != nil {
		ke.Log.Error("heartbeat cannot be read", "cell", ke.Cell, "version", row.Version, "err", err)
		return
	}
	if row.Version > ke.storedBeat.version {
		ke.storedBeat = storedBeat{row: be, version: row.Version, seenAt: time.Now()}
	}
	// A heartbeat of a former owner doesn't count for this one.
	if be.Epoch == ke.row.Epoch && be != ke.lastBeat {
		ke.lastBeat = be
		ke.recordContact()
		if be.FormerCeased {
			ke.formerCeased = time.Time{}
		}
	}
}

// recordBeat records whether a heartbeat was written.
func (ke *Keeper) recordBeat(sent time.Time, written bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if written {
		ke.missedBeats, ke.lastWritten = 0, sent
		return
	}
	ke.missedBeats++
}

// heartbeatWritten returns when the last heartbeat that the store accepted was sent.
func (ke *Keeper) heartbeatWritten() time.Time {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.lastWritten
}
