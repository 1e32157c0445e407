package tenure

import (
	"context"
	"time"
)

// claimed is a claim that was sent.
type sentClaim struct {
	// row was written over the last owner's, which had the version.
	row     OwnerRow
	former  *formerOwners
	version int64
	sent    time.Time
}

// serveDoubted serves the cell if the row shows that a claim taken for failed took
// effect: the others would wait for the silence of an owner that does not serve.
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
		ke.Log.Info("claim took effect after all", "cell", ke.Cell, "epoch", row.Epoch, "version", version)
		cl.former.claimedAt = time.Now()
		ke.serve(ctx, cl.row, version, cl.former, cl.sent)
	}
}

// bounded returns a context that ends with the time in which a cell can be given up:
// the host's own once it is told to stop, be that before or later.
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
