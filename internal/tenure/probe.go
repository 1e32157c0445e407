package tenure

import (
	"context"
	"time"
)

// Intervals and limits of probes.
const (
	// probeAfter is the time without a heartbeat after which a host probes the owner's
	// host: two heartbeat intervals plus the time until a heartbeat is received.
	probeAfter = 1200 * time.Millisecond
	// probeInterval is the time between two probes of a silent owner, whose host may become
	// unreachable after it answered one.
	probeInterval = time.Second
	// probeTimeout bounds a probe: 3 ms on the network, and the time a host that is short
	// of processor time takes to answer.
	probeTimeout = 500 * time.Millisecond
	// UnreachableTimeout replaces HeartbeatTimeout when the owner's host neither writes
	// heartbeats nor answers probes.
	UnreachableTimeout = probeAfter + probeTimeout
	// maxMissedBeats is how many consecutive heartbeats an owner fails to write before it
	// reports that the store refuses them. A single one may fail while the store is slow.
	maxMissedBeats = 2
)

// HostStatus is a host's answer to a probe or to a notification of a new owner.
type HostStatus struct {
	// Host is the name of the host, Process that of its process.
	Host    string
	Process string
	// Refused is set if this process, as an owner, failed to write the last maxMissedBeats
	// heartbeats or more.
	Refused bool
	// SinceLease is how long ago this process or an owner before it last extended a lease.
	// It is zero if one did just now or if that is not known. A host that was stalled
	// reports that it extended none meanwhile. Otherwise the next owner would count the
	// leases from when the host resumed, and tasks of a lost worker would wait another
	// 10.5 s for a restart.
	SinceLease time.Duration
	// LeasesLeft is how long leases that this process or an owner before it extended may
	// still run, by the slowest clock, or zero if that is not known.
	LeasesLeft time.Duration
	// SinceWitnessed is how long ago this process last confirmed an owner as a witness; it has
	// not confirmed one since then. It is zero if that is not known.
	SinceWitnessed time.Duration
}

// HostStatus returns the status that this host reports when it is asked.
func (ke *Keeper) HostStatus() HostStatus {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	hs := HostStatus{Host: ke.Self, Process: ke.Process, Refused: ke.missedBeats >= maxMissedBeats}
	if !ke.lastWitnessed.IsZero() {
		hs.SinceWitnessed = time.Since(ke.lastWitnessed)
	}
	if last := ke.lastExtension(); !last.IsZero() {
		hs.SinceLease = max(time.Since(last), 0)
		hs.LeasesLeft = max(time.Until(ke.latestLeaseEnd()), time.Millisecond)
	}
	return hs
}

// lastExtension returns when this process, or possibly an owner before it, last extended a
// lease. It is zero if that is not known.
func (ke *Keeper) lastExtension() time.Time {
	if ke.lastExtended.IsZero() || ke.former == nil {
		return time.Time{}
	}
	if before := ke.former.lastExtension(); before.After(ke.lastExtended) {
		return before
	}
	return ke.lastExtended
}

// latestLeaseEnd returns the latest end of the leases that this process or an owner before
// it extended.
func (ke *Keeper) latestLeaseEnd() time.Time {
	if before := ke.former.leasesEnd(); before.After(ke.leasesEnd) {
		return before
	}
	return ke.leasesEnd
}

// recordExtension records that an owner of the given epoch, last confirmed at the given
// time, is about to extend leases. It reports false if the host was notified of a later
// owner.
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

// probe asks the host of an unresponsive owner whether the owner's process still runs,
// every probeInterval until there is a sign that the owner runs.
func (ke *Keeper) probe(ctx context.Context) {
	ke.mu.Lock()
	row := ke.row
	silent := ke.known && row.Owner != "" && row.Process != ke.Process && time.Since(ke.lastContact) > probeAfter
	due := silent && time.Since(ke.probedAt) >= probeInterval
	if due {
		ke.probedAt = time.Now()
	}
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
	running := err == nil && hs.Process == row.Process
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.row.Epoch == row.Epoch && !ke.probedAt.IsZero() {
		ke.unreachable, ke.storeRefuses = !running, running && hs.Refused
	}
}

// recordContact records a sign that the owner runs. The caller holds ke.mu.
func (ke *Keeper) recordContact() {
	ke.lastContact = time.Now()
	ke.probedAt, ke.unreachable, ke.storeRefuses = time.Time{}, false, false
}
