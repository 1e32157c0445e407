package tenure

import (
	"context"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// clockDriftDivisor bounds the clock drift between two hosts to 1/20 of the elapsed time.
const clockDriftDivisor = 20

// formerOwners tracks until when the owners before a tenure may still act.
type formerOwners struct {
	ke *Keeper
	// lastRow is the row of the last owner, epoch the epoch of the new one.
	lastRow OwnerRow
	epoch   int64
	// claimedAt is when the new owner knew that its claim had taken effect.
	claimedAt time.Time
	// lastBeat is the heartbeat that the claimant had last seen before the claim.
	lastBeat storedBeat
	// earlierCeased is the latest time at which all owners before the last one cease to
	// act. It is zero if the last one had reported that they had ceased.
	earlierCeased time.Time

	mu sync.Mutex
	// lastCeased is when the last owner ceased to act, or when it last extended a lease if
	// it reported that. It is zero if neither is known.
	lastCeased time.Time
	// reportedEnd is the latest end of any lease, as reported by the last owner, or zero.
	reportedEnd time.Time
	// witnessesActive is set while witnesses may confirm a former owner. retiredAt is when
	// they were known to have stopped, or zero if there were none that could.
	witnessesActive bool
	retiredAt       time.Time
	// witnessedAt is the latest time at which a witness can have confirmed a former owner.
	witnessedAt time.Time
	// sealed is set once a heartbeat of the new owner has replaced lastBeat, so that no
	// heartbeat of a former owner took effect in between or can any more.
	sealed bool
}

// newFormerOwners returns the state of the owners that a claim of the given epoch replaces;
// earlier is the latest time at which owners before the last one may act. Witnesses may
// confirm a former owner unless there was none, or the last one released the cell after all
// before it had ceased to act.
func (ke *Keeper) newFormerOwners(last OwnerRow, epoch int64, earlier time.Time) *formerOwners {
	witnessed := last.Owner != "" || !last.FormerCeased && last.Epoch > 0
	return &formerOwners{ke: ke, lastRow: last, epoch: epoch, earlierCeased: earlier, witnessesActive: witnessed}
}

// ceasedAt returns when all former owners have certainly ceased to act, or zero if that is
// not known of the last one.
func (fo *formerOwners) ceasedAt() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.lastCeased.IsZero() || fo.lastCeased.After(fo.earlierCeased) {
		return fo.lastCeased
	}
	// The last owner may have ceased before one that it replaced. Once no witness confirms
	// that one, it can extend leases for at most ExtendFor.
	if latest := fo.retiredAt.Add(ExtendFor); !fo.retiredAt.IsZero() && latest.Before(fo.earlierCeased) {
		return latest
	}
	return fo.earlierCeased
}

// unconfirmedSince returns since when neither the store nor witnesses confirm any former
// owner, or zero if that is not known.
func (fo *formerOwners) unconfirmedSince() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	switch {
	case fo.witnessesActive:
		return time.Time{}
	case fo.retiredAt.IsZero():
		return fo.claimedAt
	case fo.sealed && fo.lastBeat.boundsConfirmations(fo.lastRow):
		return earlierTime(fo.retiredAt, laterTime(fo.lastBeat.seenAt, fo.witnessedAt))
	}
	return fo.retiredAt
}

// recordSealed records that a heartbeat of the new owner has replaced lastBeat.
func (fo *formerOwners) recordSealed() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.sealed = true
}

// recordWitnessed records that a witness can have confirmed a former owner until the given
// time.
func (fo *formerOwners) recordWitnessed(at time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.witnessedAt = laterTime(fo.witnessedAt, at)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// extendsUntil returns the latest time at which a former owner can extend leases, given
// what may still confirm it.
func (fo *formerOwners) extendsUntil() time.Time {
	if since := fo.unconfirmedSince(); !since.IsZero() {
		return since.Add(ExtendFor)
	}
	return fo.claimedAt.Add(WitnessedLeaseLimit)
}

// lastExtension returns the latest time at which a former owner can have extended a lease.
func (fo *formerOwners) lastExtension() time.Time {
	if at := fo.ceasedAt(); !at.IsZero() {
		return at
	}
	return fo.extendsUntil()
}

// reportedLeasesEnd returns the latest end of leases as reported by the last owner, or
// zero.
func (fo *formerOwners) reportedLeasesEnd() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.reportedEnd
}

// leasesEnd returns the latest end of the leases that former owners extended.
func (fo *formerOwners) leasesEnd() time.Time {
	latest := fo.claimedAt.Add(WitnessedLeaseLimit)
	if since := fo.unconfirmedSince(); !since.IsZero() {
		latest = since.Add(leaseLimitWithDrift)
	}
	if reported := fo.reportedLeasesEnd(); !reported.IsZero() && reported.Before(latest) {
		return reported
	}
	return latest
}

// allCeased reports whether all former owners have ceased to act. If nothing is known of
// them, they have once none can have been confirmed recently enough to extend leases.
func (fo *formerOwners) allCeased() bool {
	now := time.Now()
	ceased := fo.ceasedAt()
	return !ceased.IsZero() && !ceased.After(now) || now.After(fo.extendsUntil())
}

// witnessesRetired reports whether no witness will confirm a former owner any more.
func (fo *formerOwners) witnessesRetired() bool {
	return !fo.unconfirmedSince().IsZero() || fo.allCeased()
}

// recordCeased records that the last owner has ceased to act, for the reason why. It last
// extended a lease sinceLease ago, and its leases and those of owners before it end within
// leasesLeft; 0 if that is not known.
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

// start evaluates the last owner's row, or asks its host if the row doesn't show whether
// the owner has ceased to act. It also notifies witnesses that may confirm a former owner.
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

// recordRetired records since when no witness confirms a former owner.
func (fo *formerOwners) recordRetired(at time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.witnessesActive, fo.retiredAt = false, at
}

// askLastOwner asks the last owner's host until it answers.
func (fo *formerOwners) askLastOwner(ctx context.Context) {
	for {
		actx, cancel := context.WithTimeout(ctx, askInterval)
		hs, err := fo.ke.AskFunc(actx, fo.lastRow.Addr, fo.epoch)
		cancel()
		switch {
		case err != nil:
		case hs.Process == fo.lastRow.Process:
			fo.recordCeased("it was notified of its replacement", hs.SinceLease, hs.LeasesLeft)
			return
		default:
			fo.recordCeased("another process runs on its host", 0, 0)
			return
		}
		if !clock.Sleep(ctx, askInterval) {
			return
		}
	}
}

// retireWitnesses notifies the witnesses of former owners of the new owner, until so many
// were notified or have ended that they can't confirm a former owner.
func (fo *formerOwners) retireWitnesses(ctx context.Context) {
	row, ok := fo.readWitnesses(ctx)
	if !ok {
		return
	}
	asked, retired := row.Witnesses, 0
	// An owner without a witness row was confirmed only by the store, which ends with the
	// claim.
	for row.Epoch > 0 && retired < retireNeed(len(row.Witnesses)) {
		var pending []registry.Member
		for i, done := range askAll(ctx, asked, fo.retireWitness) {
			if !done {
				pending = append(pending, asked[i])
			}
		}
		retired += len(asked) - len(pending)
		asked = pending
		if retired < retireNeed(len(row.Witnesses)) && !clock.Sleep(ctx, askInterval) {
			return
		}
	}
	now := time.Now()
	fo.recordRetired(now)
	fo.ke.Log.Info("witnesses confirm no former owner", "cell", fo.ke.Cell, "epoch", fo.epoch, "named_by", row.Epoch,
		"witnesses", len(row.Witnesses), "retired", retired, "after", now.Sub(fo.claimedAt))
}

// readWitnesses reads the witness row, until the store answers. It reports false if ctx
// ended first. No former owner can write the row after the claim.
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
		if !clock.Sleep(ctx, askInterval) {
			return witnessRow{}, false
		}
	}
}

// retireWitness notifies a witness of the new owner. It reports whether the witness no
// longer confirms a former one, which also holds if its process has ended and another runs
// on its host.
func (fo *formerOwners) retireWitness(ctx context.Context, me registry.Member) bool {
	if me.Process == fo.ke.Process {
		fo.recordWitnessed(fo.ke.witnessed())
		return true
	}
	hs, err := fo.ke.AskFunc(ctx, me.Addr, fo.epoch)
	if err != nil || hs.Host != me.Name {
		return false
	}
	since := hs.SinceWitnessed - hs.SinceWitnessed/clockDriftDivisor
	if hs.Process != me.Process {
		since = 0
	}
	fo.recordWitnessed(time.Now().Add(-since))
	return true
}
