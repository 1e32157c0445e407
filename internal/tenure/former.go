package tenure

import (
	"context"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// former finds out whether former owners may still act.
type former struct {
	ke *Keeper
	// row is the last owner's, epoch that of the new one.
	row   OwnerRow
	epoch int64
	// claimed is when the new owner's claim was known to have taken effect.
	claimed time.Time
	// earlier is when all owners before the last one have ceased to act at the
	// latest, zero if they had before it did.
	earlier time.Time

	mu sync.Mutex
	// at is when the last owner had ceased to act, or last told a worker a lease if it
	// said so, zero if neither is known.
	at time.Time
}

// when returns when all former owners have certainly ceased to act, or zero if that is
// not known of the last one.
func (fo *former) when() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.at.IsZero() || fo.at.After(fo.earlier) {
		return fo.at
	}
	// The last owner may have ended before one that it replaced.
	return fo.earlier
}

// last returns the last moment at which a former owner can have told a worker a lease.
func (fo *former) last() time.Time {
	if at := fo.when(); !at.IsZero() {
		return at
	}
	return fo.claimed.Add(ExtendFor)
}

// alone reports whether all former owners have ceased to act: so they have also if
// nothing is known of them, once none can have been confirmed for long enough.
func (fo *former) alone() bool {
	now := time.Now()
	ended := fo.when()
	return !ended.IsZero() && !ended.After(now) || now.Sub(fo.claimed) > ExtendFor
}

// ended notes that the last owner has ceased to act, and how long ago it last told a
// worker a lease, as far as that is known.
func (fo *former) ended(why string, sinceLease time.Duration) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.at = time.Now().Add(-sinceLease)
	fo.ke.Log.Info("former owner has ceased to act", "cell", fo.ke.Cell, "former", fo.row.Owner, "process", fo.row.Process, "why", why,
		"since_lease", sinceLease, "earlier_may_act_for", max(time.Until(fo.earlier), 0))
}

// begin takes in what the last owner's row says of it, or asks its host.
func (fo *former) begin(ctx context.Context) {
	switch fo.row.Owner {
	case "":
		fo.ended("it released the cell, or there was none", 0)
	case fo.ke.Self:
		fo.ended("it was an earlier process of this host", 0)
	default:
		go fo.ask(ctx)
	}
}

// ask asks the former owner's host until it answers.
func (fo *former) ask(ctx context.Context) {
	for {
		actx, cancel := context.WithTimeout(ctx, askEvery)
		li, err := fo.ke.AskFunc(actx, fo.row.Addr, fo.epoch)
		cancel()
		switch {
		case err != nil:
		case li.Process == fo.row.Process:
			fo.ended("it was told of its replacement", li.SinceLease)
			return
		default:
			fo.ended("another process runs on its host", 0)
			return
		}
		if !clock.Sleep(ctx, askEvery) {
			return
		}
	}
}
