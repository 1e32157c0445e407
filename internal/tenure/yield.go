package tenure

import (
	"context"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// Numbers of hosts that are smaller than others.
const (
	// handicapMost is how much later at most a small host claims a cell than a
	// large one: longer than the jitter and the spread of the news.
	maxClaimDelay = 500 * time.Millisecond
	// ampleCores is the processor that the first owner is taken to want, in
	// cores: 350 workers were seen to need 0.35 on average.
	defaultCores = 0.8
	// yieldUnder is the part of the processor of the largest former owner under
	// which an owner leaves the cell to a larger host, yieldAfter how long it
	// stays before, twice as long each time that none had come, up to yieldMost:
	// each change costs some 0.5 s without an owner.
	yieldShare    = 0.5
	yieldAfter    = 2 * time.Second
	maxYieldAfter = 32 * time.Second
)

// handicap is how much later than others this host claims the cell: a host with
// less processor than former owners had, or than a first owner may need, leaves
// it to larger ones.
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

// yield ends the tenure of a host that is much smaller than former owners were,
// after a while in which larger ones may have come back. If none has, this host
// claims the cell again, and stays longer.
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

// yieldStay is how long a small owner stays after so many times that no larger
// host came.
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
