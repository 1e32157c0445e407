package tenure

import (
	"context"
	"time"
)

// Numbers of probes.
const (
	// suspectAfter is the silence after which a host asks the owner's host
	// whether it lives: two heartbeats, and the time that one takes to be told.
	probeAfter = 1200 * time.Millisecond
	// probeTimeout is how long the answer may take: 3 ms of way, and some
	// processor time of a host that may be short of it.
	probeTimeout = 500 * time.Millisecond
	// UnreachableTimeout replaces HeartbeatTimeout when the owner's host neither writes
	// heartbeats nor answers.
	UnreachableTimeout = probeAfter + probeTimeout
	// missedMost is how many heartbeats in a row an owner fails to write before it
	// says that the store refuses it: one may fail while the store is slow.
	maxMissedBeats = 2
)

// HostStatus is what a host says of itself when it is asked.
type HostStatus struct {
	// Host is the host's name, Process its process.
	Host    string
	Process string
	// Refused is set if the store refused its last heartbeats as an owner.
	Refused bool
	// SinceLease is how long ago this process, or an owner before it, last told a worker a
	// lease, zero if one did just now or that is not known. A host that stood still knows
	// that it told none: the next owner took its workers' leases to begin as it woke, and
	// tasks of a lost worker ran nowhere for 10.5 s more.
	SinceLease time.Duration
	// LeasesLeft is for how long leases may still run that this process or an owner before it
	// told, by the slowest clock, or zero if that is not known.
	LeasesLeft time.Duration
}

// HostStatus returns what this host says of itself.
func (ke *Keeper) HostStatus() HostStatus {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	hs := HostStatus{Host: ke.Self, Process: ke.Process, Refused: ke.missedBeats >= maxMissedBeats}
	if last := ke.lastExtension(); !last.IsZero() {
		hs.SinceLease = max(time.Since(last), 0)
		hs.LeasesLeft = max(time.Until(ke.latestLeaseEnd()), time.Millisecond)
	}
	return hs
}

// lastLease returns when this process last told a worker a lease, or an owner before it
// can have if that is later, or zero if that is not known.
func (ke *Keeper) lastExtension() time.Time {
	if ke.lastExtended.IsZero() || ke.former == nil {
		return time.Time{}
	}
	if before := ke.former.lastExtension(); before.After(ke.lastExtended) {
		return before
	}
	return ke.lastExtended
}

// lastLapse returns until when leases run at the latest that this process or an owner before
// it told.
func (ke *Keeper) latestLeaseEnd() time.Time {
	if before := ke.former.leasesEnd(); before.After(ke.leasesEnd) {
		return before
	}
	return ke.leasesEnd
}

// extending notes that workers are about to be told leases by an owner that was last
// confirmed at a moment, and reports whether they may be.
func (ke *Keeper) recordExtension(epoch int64, confirmed time.Time) bool {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.notifiedEpoch > epoch {
		return false
	}
	ke.lastExtended = time.Now()
	if lapse := confirmed.Add(leaseLimitWithDrift); lapse.After(ke.leasesEnd) {
		ke.leasesEnd = lapse
	}
	return true
}

// StoreAnswers reports whether the store answers this host.
func (ke *Keeper) StoreAnswers() bool { return ke.watch.Answering() }

// probe asks a silent owner's host, once in a silence, whether the owner's
// process lives.
func (ke *Keeper) probe(ctx context.Context) {
	ke.mu.Lock()
	row, asked := ke.row, ke.probed
	due := ke.known && row.Owner != "" && row.Process != ke.Process && !asked && time.Since(ke.lastContact) > probeAfter
	ke.probed = asked || due
	ke.mu.Unlock()
	if due {
		go ke.probeHost(ctx, row)
	}
}

func (ke *Keeper) probeHost(ctx context.Context, row OwnerRow) {
	actx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	hs, err := ke.AskFunc(actx, row.Addr, row.Epoch)
	ke.Log.Info("asked a silent owner's host", "cell", ke.Cell, "owner", row.Owner, "epoch", row.Epoch, "process", hs.Process, "refused", hs.Refused, "err", err)
	lives := err == nil && hs.Process == row.Process
	if lives && !hs.Refused {
		return
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.row.Epoch == row.Epoch && ke.probed {
		ke.unreachable, ke.storeRefuses = !lives, lives
	}
}

// heard notes a sign of life of the owner.
func (ke *Keeper) recordContact() {
	ke.lastContact = time.Now()
	ke.probed, ke.unreachable, ke.storeRefuses = false, false, false
}
