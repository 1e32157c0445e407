package tenure

import (
	"context"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// Parameters of the preference for larger hosts.
const (
	// maxClaimDelay is how much later than a large host a small one claims a cell at most.
	// It is longer than the jitter plus the spread in which hosts receive changes of the
	// owner's row.
	maxClaimDelay = 500 * time.Millisecond
	// defaultCores is the number of cores that the first owner is assumed to need. The
	// owner of a cell of 350 workers uses 0.35 on average.
	defaultCores = 0.8
	// yieldShare is the share of the largest former owner's cores below which an owner
	// leaves the cell to a larger host. It does so after yieldAfter, and then after twice
	// as long each time that no larger host claimed the cell, up to maxYieldAfter: each
	// change costs some 0.5 s without an owner.
	yieldShare    = 0.5
	yieldAfter    = 2 * time.Second
	maxYieldAfter = 32 * time.Second
)

// claimDelay returns by how much this host delays its claim. A host with fewer cores than
// former owners had, or than a first owner may need, lets larger hosts claim first.
func (ke *Keeper) claimDelay(last OwnerRow) time.Duration {
	want := last.MostCores
	if want == 0 {
		want = defaultCores
	}
	if ke.Cores <= 0 || ke.Cores >= want {
		return 0
	}
	return time.Duration((1 - ke.Cores/want) * float64(maxClaimDelay))
}

// yield ends the tenure of a host that is much smaller than former owners, after a delay
// in which larger hosts may have come back. If none claims the cell, this host does so
// again and then stays longer.
func (ke *Keeper) yield(ctx context.Context, row OwnerRow, end context.CancelCauseFunc) {
	if ke.Cores <= 0 || ke.Cores >= yieldShare*row.MostCores {
		return
	}
	ke.mu.Lock()
	stay := yieldDelay(ke.yieldCount)
	ke.mu.Unlock()
	if clock.Sleep(ctx, stay) {
		ke.mu.Lock()
		ke.yieldCount++
		ke.mu.Unlock()
		ke.Log.Info("leaving the cell to a larger host", "cell", ke.Cell, "epoch", row.Epoch, "cores", ke.Cores, "most_cores", row.MostCores, "after", stay)
		end(errYielding)
	}
}

// yieldDelay returns how long a small owner stays after the given number of yields.
func yieldDelay(yields int) time.Duration {
	stay := yieldAfter
	for range yields {
		if stay >= maxYieldAfter {
			return maxYieldAfter
		}
		stay *= 2
	}
	return min(stay, maxYieldAfter)
}
