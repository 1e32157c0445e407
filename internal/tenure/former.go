package tenure

import (
	"context"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// former finds out whether the former owner may still act.
type former struct {
	ke    *Keeper
	row   OwnerRow
	epoch int64

	mu sync.Mutex
	at time.Time
}

// when returns when the former owner had certainly ceased to act, or zero.
func (fo *former) when() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.at
}

func (fo *former) ended(why string) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.at = time.Now()
	fo.ke.Log.Info("former owner has ceased to act", "cell", fo.ke.Cell, "former", fo.row.Owner, "process", fo.row.Process, "why", why)
}

// ask asks the former owner's host until it answers.
func (fo *former) ask(ctx context.Context) {
	switch fo.row.Owner {
	case "":
		fo.ended("it released the cell, or there was none")
		return
	case fo.ke.Self:
		fo.ended("it was an earlier process of this host")
		return
	}
	for {
		actx, cancel := context.WithTimeout(ctx, askEvery)
		li, err := fo.ke.AskFunc(actx, fo.row.Addr, fo.epoch)
		cancel()
		switch {
		case err != nil:
		case li.Process == fo.row.Process:
			fo.ended("it was told of its replacement")
			return
		default:
			fo.ended("another process runs on its host")
			return
		}
		if !clock.Sleep(ctx, askEvery) {
			return
		}
	}
}
