package tenure

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// heartbeater writes the heartbeats of one tenure.
type heartbeater struct {
	ke *Keeper
	// ctx is the context of the tenure.
	ctx   context.Context
	epoch int64
	// claimSent is when the claim was sent.
	claimSent time.Time
	// formerCeasedFunc reports whether all former owners have ceased to act.
	formerCeasedFunc func() bool
}

// lastConfirmed returns when the last read of the owner's row that the store answered was
// sent; the row still named this owner after that. The watch ends the tenure when the row
// names another owner. Before the first such answer, the claim counts.
func (he *heartbeater) lastConfirmed() time.Time {
	contact, _ := he.ke.watch.Contact()
	// The reply that ends the tenure also counts as contact, but only after it has ended
	// it.
	if he.ctx.Err() != nil || contact.Before(he.claimSent) {
		return he.claimSent
	}
	return contact
}

func (he *heartbeater) run() {
	ctx := he.ctx
	// The claim has just been written and counts as a heartbeat.
	he.ke.recordBeat(time.Now(), true)
	for n := int64(1); ; n++ {
		sent := time.Now()
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := he.ke.Table.CommitFunc(cctx, he.heartbeatTxn(n))
		cancel()
		if err != nil && ctx.Err() == nil {
			he.ke.Log.Warn("heartbeat not written", "cell", he.ke.Cell, "epoch", he.epoch, "n", n, "err", err)
		}
		he.ke.recordBeat(sent, err == nil)
		if !clock.Sleep(ctx, HeartbeatInterval) {
			return
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

// heartbeatTxn returns the write of the n-th heartbeat. It needs no condition: readers
// ignore a heartbeat whose epoch is not the current one.
func (he *heartbeater) heartbeatTxn(n int64) store.Txn {
	txn := store.NewTxn()
	value, err := json.Marshal(beatRow{Epoch: he.epoch, N: n, FormerCeased: he.formerCeasedFunc()})
	if err != nil {
		he.ke.Log.Error("heartbeat cannot be encoded", "err", err)
	}
	txn.Puts = []store.Put{{Key: he.ke.beatKey(), Value: value}}
	return txn
}
