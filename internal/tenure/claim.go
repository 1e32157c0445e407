package tenure

import (
	"context"
	"errors"
	"time"
)

// holdBackAfterFailedLoad is how long a host that could not load the cell leaves it to the others,
// which claim a released cell within maxJitter plus maxClaimDelay.
const holdBackAfterFailedLoad = 3 * time.Second

// ErrNotLoaded is in the chain of the error that ends the tenure of an owner that could not read
// the state of its cell.
var ErrNotLoaded = errors.New("state of the cell cannot be read")

// sentClaim is a claim that was sent to the store.
type sentClaim struct {
	// row is the row that the claim writes, former the state of the owners that it
	// replaces.
	row    OwnerRow
	former *formerOwners
	// version is that of the last owner's row, on which the claim is conditional.
	version int64
	sent    time.Time
}

// serveUnsettledClaim serves the cell if the owner's row shows that a claim took effect
// although its outcome was not known. Otherwise the other hosts would have to wait for the
// heartbeat timeout of an owner that does not serve.
func (ke *Keeper) serveUnsettledClaim(ctx context.Context) {
	cl := ke.unsettledClaim
	if cl == nil {
		return
	}
	ke.mu.Lock()
	row, version := ke.row, ke.version
	ke.mu.Unlock()
	if version <= cl.version {
		return
	}
	ke.unsettledClaim = nil
	if row.Epoch == cl.row.Epoch && row.Process == ke.Process {
		ke.Log.Info("claim of unknown outcome took effect", "cell", ke.Cell, "epoch", row.Epoch, "version", version)
		cl.former.claimedAt = time.Now()
		ke.serve(ctx, cl.row, version, cl.former, cl.sent)
	}
}

// releaseContext returns a context that bounds the release of the cell. Once the host is
// ordered to stop, before the release or during it, the time allowed for the stop applies
// instead.
func (ke *Keeper) releaseContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	ke.mu.Lock()
	defer ke.mu.Unlock()
	within := releaseWithin
	if ke.stopping {
		within = time.Until(ke.releaseBy)
	}
	ke.releaseTimer = time.AfterFunc(within, cancel)
	return ctx, cancel
}
