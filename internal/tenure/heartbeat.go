package tenure

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// heart writes the heartbeats of one tenure.
type heartbeater struct {
	ke *Keeper
	// ctx is the tenure's.
	ctx   context.Context
	epoch int64
	// claimed is when the claim was sent.
	claimSent time.Time
	// aloneFunc reports whether all earlier owners have ceased to act.
	formerCeasedFunc func() bool
}

// last returns a moment after which the store still showed the tenure: the
// watch of the owner's row answers, and ends the tenure when it shows another.
func (he *heartbeater) lastConfirmed() time.Time {
	contact, _ := he.ke.watch.Contact()
	// The answer that ends a tenure counts as contact too, but only after it did.
	if he.ctx.Err() != nil || contact.Before(he.claimSent) {
		return he.claimSent
	}
	return contact
}

func (he *heartbeater) run() {
	ctx := he.ctx
	// The claim was just written.
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

// noteBeat notes whether a heartbeat was written.
func (ke *Keeper) recordBeat(sent time.Time, written bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if written {
		ke.missedBeats, ke.lastWritten = 0, sent
		return
	}
	ke.missedBeats++
}

// written returns when the last heartbeat was sent that the store took.
func (ke *Keeper) heartbeatWritten() time.Time {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.lastWritten
}

// beat returns the write of a heartbeat. It has no condition: it names its
// epoch, and one that is of a former owner, or comes late, tells nobody
// anything.
func (he *heartbeater) heartbeatTxn(n int64) store.Txn {
	txn := store.NewTxn()
	value, err := json.Marshal(beatRow{Epoch: he.epoch, N: n, FormerCeased: he.formerCeasedFunc()})
	if err != nil {
		he.ke.Log.Error("heartbeat cannot be encoded", "err", err)
	}
	txn.Puts = []store.Put{{Key: he.ke.beatKey(), Value: value}}
	return txn
}
