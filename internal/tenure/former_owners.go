package tenure

import (
	"context"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// clocksDiffer is the part by which the clocks of two hosts differ at most: a twentieth.
const clockDriftDivisor = 20

// former finds out whether former owners may still act.
type formerOwners struct {
	ke *Keeper
	// row is the last owner's, epoch that of the new one.
	lastRow OwnerRow
	epoch   int64
	// claimed is when the new owner's claim was known to have taken effect.
	claimedAt time.Time
	// earlier is when all owners before the last one have ceased to act at the
	// latest, zero if they had before it did.
	earlierCeased time.Time

	mu sync.Mutex
	// at is when the last owner had ceased to act, or last told a worker a lease if it
	// said so, zero if neither is known.
	lastCeased time.Time
	// lapse is until when the last owner said that leases run at the latest, or zero.
	reportedEnd time.Time
	// witnessed is set while witnesses may confirm a former owner, and retiredAt is when it
	// was known that they don't any more, or zero if none could.
	witnessesActive bool
	retiredAt       time.Time
}

// newFormer returns the owners before a claim of an epoch over the last one's row, of which
// those before it may act until earlier.
func (ke *Keeper) newFormerOwners(last OwnerRow, epoch int64, earlier time.Time) *formerOwners {
	witnessed := last.Owner != "" || !last.FormerCeased && last.Epoch > 0
	return &formerOwners{ke: ke, lastRow: last, epoch: epoch, earlierCeased: earlier, witnessesActive: witnessed}
}

// when returns when all former owners have certainly ceased to act, or zero if that is
// not known of the last one.
func (fo *formerOwners) ceasedAt() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.lastCeased.IsZero() || fo.lastCeased.After(fo.earlierCeased) {
		return fo.lastCeased
	}
	// The last owner may have ended before one that it replaced.
	if most := fo.retiredAt.Add(ExtendFor); !fo.retiredAt.IsZero() && most.Before(fo.earlierCeased) {
		return most
	}
	return fo.earlierCeased
}

// unconfirmedSince returns since when nothing confirms a former owner, neither the store nor
// witnesses, or zero if that is not known.
func (fo *formerOwners) unconfirmedSince() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	switch {
	case fo.witnessesActive:
		return time.Time{}
	case fo.retiredAt.IsZero():
		return fo.claimedAt
	}
	return fo.retiredAt
}

// extendsUntil returns the last moment at which a former owner can extend leases, by what is
// known of what confirms it.
func (fo *formerOwners) extendsUntil() time.Time {
	if since := fo.unconfirmedSince(); !since.IsZero() {
		return since.Add(ExtendFor)
	}
	return fo.claimedAt.Add(WitnessedLeaseLimit)
}

// last returns the last moment at which a former owner can have told a worker a lease.
func (fo *formerOwners) lastExtension() time.Time {
	if at := fo.ceasedAt(); !at.IsZero() {
		return at
	}
	return fo.extendsUntil()
}

// saidLapse returns until when leases run at the latest by what the last owner said, or zero.
func (fo *formerOwners) reportedLeasesEnd() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.reportedEnd
}

// lapses returns until when leases run at the latest that former owners told.
func (fo *formerOwners) leasesEnd() time.Time {
	most := fo.claimedAt.Add(WitnessedLeaseLimit)
	if since := fo.unconfirmedSince(); !since.IsZero() {
		most = since.Add(leaseLimitWithDrift)
	}
	if said := fo.reportedLeasesEnd(); !said.IsZero() && said.Before(most) {
		return said
	}
	return most
}

// alone reports whether all former owners have ceased to act: so they have also if
// nothing is known of them, once none can have been confirmed for long enough.
func (fo *formerOwners) allCeased() bool {
	now := time.Now()
	ended := fo.ceasedAt()
	return !ended.IsZero() && !ended.After(now) || now.After(fo.extendsUntil())
}

// retired reports whether no witness will confirm a former owner.
func (fo *formerOwners) witnessesRetired() bool {
	return !fo.unconfirmedSince().IsZero() || fo.allCeased()
}

// ended notes that the last owner has ceased to act, and what is known of the leases that it
// told.
func (fo *formerOwners) recordCeased(why string, sinceLease, leasesLeft time.Duration) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	now := time.Now()
	fo.lastCeased = now.Add(-sinceLease)
	if leasesLeft > 0 {
		fo.reportedEnd = now.Add(leasesLeft + leasesLeft/clockDriftDivisor)
	}
	fo.ke.Log.Info("former owner has ceased to act", "cell", fo.ke.Cell, "former", fo.lastRow.Owner, "process", fo.lastRow.Process, "why", why,
		"since_lease", sinceLease, "leases_left", leasesLeft, "earlier_may_act_for", max(time.Until(fo.earlierCeased), 0))
}

// begin takes in what the last owner's row says of it, or asks its host.
func (fo *formerOwners) start(ctx context.Context) {
	switch fo.lastRow.Owner {
	case "":
		fo.recordCeased("it released the cell, or there was none", 0, 0)
	case fo.ke.Self:
		fo.recordCeased("it was an earlier process of this host", 0, 0)
	default:
		go fo.askLastOwner(ctx)
	}
	if fo.witnessesActive {
		go fo.retireWitnesses(ctx)
	}
}

func (fo *formerOwners) recordRetired(at time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.witnessesActive, fo.retiredAt = false, at
}

// ask asks the former owner's host until it answers.
func (fo *formerOwners) askLastOwner(ctx context.Context) {
	for {
		actx, cancel := context.WithTimeout(ctx, askEvery)
		hs, err := fo.ke.AskFunc(actx, fo.lastRow.Addr, fo.epoch)
		cancel()
		switch {
		case err != nil:
		case hs.Process == fo.lastRow.Process:
			fo.recordCeased("it was told of its replacement", hs.SinceLease, hs.LeasesLeft)
			return
		default:
			fo.recordCeased("another process runs on its host", 0, 0)
			return
		}
		if !clock.Sleep(ctx, askEvery) {
			return
		}
	}
}

// retireWitnesses tells the witnesses that former owners named of their replacement, until
// so many were told or have ended that no former owner is confirmed any more.
func (fo *formerOwners) retireWitnesses(ctx context.Context) {
	row, ok := fo.readWitnesses(ctx)
	if !ok {
		return
	}
	asked, retired := row.Witnesses, 0
	// An owner without a row was confirmed by the store alone, which is over with the claim.
	for row.Epoch > 0 && retired < retireNeed(len(row.Witnesses)) {
		var silent []registry.Member
		for i, done := range askAll(ctx, asked, fo.retireWitness) {
			if !done {
				silent = append(silent, asked[i])
			}
		}
		retired += len(asked) - len(silent)
		asked = silent
		if retired < retireNeed(len(row.Witnesses)) && !clock.Sleep(ctx, askEvery) {
			return
		}
	}
	now := time.Now()
	fo.recordRetired(now)
	fo.ke.Log.Info("witnesses confirm no former owner", "cell", fo.ke.Cell, "epoch", fo.epoch, "named_by", row.Epoch,
		"witnesses", len(row.Witnesses), "retired", retired, "after", now.Sub(fo.claimedAt))
}

// readWitnesses reads the row of witnesses as it was at the claim, after which no former
// owner can write it.
func (fo *formerOwners) readWitnesses(ctx context.Context) (witnessRow, bool) {
	for {
		var row witnessRow
		rctx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := fo.ke.Table.Get(rctx, fo.ke.witnessKey(), &row)
		cancel()
		if err == nil {
			return row, true
		}
		fo.ke.Log.Info("witnesses of former owners not read", "cell", fo.ke.Cell, "epoch", fo.epoch, "err", err)
		if !clock.Sleep(ctx, askEvery) {
			return witnessRow{}, false
		}
	}
}

// retire tells a witness of the new owner, and reports whether it confirms no former one any
// more: also if its process has ended and another runs on its host.
func (fo *formerOwners) retireWitness(ctx context.Context, me registry.Member) bool {
	if me.Process == fo.ke.Process {
		return true
	}
	hs, err := fo.ke.AskFunc(ctx, me.Addr, fo.epoch)
	return err == nil && hs.Host == me.Name
}
