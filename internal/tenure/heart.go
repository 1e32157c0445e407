package tenure

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// heart writes the heartbeats of one tenure.
type heart struct {
	ke      *Keeper
	epoch   int64
	version int64

	mu        sync.Mutex
	confirmed time.Time
}

// last returns when the store last confirmed the tenure.
func (he *heart) last() time.Time {
	he.mu.Lock()
	defer he.mu.Unlock()
	return he.confirmed
}

func (he *heart) run(ctx context.Context, end context.CancelCauseFunc) {
	var beatVersion int64
	for n := int64(1); ; n++ {
		sent := time.Now()
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := he.ke.Table.CommitFunc(cctx, he.beat(n))
		cancel()
		switch {
		case err == nil:
			beatVersion = reply.Version
			he.mu.Lock()
			he.confirmed = sent
			he.mu.Unlock()
		case errors.Is(err, store.ErrConflict):
			end(ErrOver)
			return
		default:
			he.ke.Log.Warn("heartbeat not written", "cell", he.ke.Cell, "epoch", he.epoch, "version", beatVersion, "err", err)
		}
		if !clock.Sleep(ctx, BeatEvery) {
			return
		}
	}
}

// beat returns the write of a heartbeat, conditional on the owner's row alone:
// done late, it does no harm.
func (he *heart) beat(n int64) store.Txn {
	txn := store.NewTxn()
	value, err := json.Marshal(beatRow{Epoch: he.epoch, N: n})
	if err != nil {
		he.ke.Log.Error("heartbeat cannot be encoded", "err", err)
	}
	txn.Conds = []store.Cond{{Key: he.ke.ownerKey(), Version: he.version}}
	txn.Puts = []store.Put{{Key: he.ke.beatKey(), Value: value}}
	return txn
}
