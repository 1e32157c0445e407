package standin

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Agent returns a client of the workers.
func (fl *Fleet) Agent() worker.Agent {
	return worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			return order(ctx, fl, ad, la.Attempt, func(fw *FleetWorker) (worker.Ack, error) { return fw.launch(la) })
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			return order(ctx, fl, ad, ha.Attempt, func(fw *FleetWorker) (worker.Ack, error) { return fw.halt(ha) })
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			return order(ctx, fl, ad, pa.Attempt, func(fw *FleetWorker) (worker.Ack, error) { return fw.pace(pa) })
		},
		PollFunc: fl.look,
	}
}

// reach returns the worker that an order is for.
func (fl *Fleet) reach(ad worker.Addr) (*FleetWorker, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fw := fl.workers[ad.HostPort]
	if fw == nil || fw.dead {
		return nil, errRefused(ad)
	}
	if fw.Addr.Incarnation.ID != ad.Incarnation.ID {
		return nil, worker.ErrOtherIncarnation
	}
	return fw, nil
}

func errRefused(ad worker.Addr) error {
	return fmt.Errorf("dial %s: connection refused: %w", ad.HostPort, worker.ErrNoListener)
}

func errReset(ad worker.Addr) error {
	return fmt.Errorf("connection to %s reset: %w", ad.HostPort, worker.ErrConnectionLost)
}

// order carries out an order about an attempt, or later, or loses its answer, as the
// worker's faults will have it.
func order(ctx context.Context, fl *Fleet, ad worker.Addr, at worker.Attempt, fn func(*FleetWorker) (worker.Ack, error)) (worker.Ack, error) {
	fw, err := fl.reach(ad)
	if err != nil {
		return worker.Ack{}, err
	}
	locked := func() (worker.Ack, error) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if fw.dead {
			return worker.Ack{}, errReset(ad)
		}
		ack, err := fn(fw)
		if !fl.OmitStartTime {
			err = cmp.Or(worker.CheckIncarnation(ad.Incarnation, fw.Addr.Incarnation.StartedMS), err)
		}
		return ack, err
	}
	fl.mu.Lock()
	late := fw.OrderDelay
	fl.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() {
			if next := fl.nextLife(fw, at); next != nil {
				fw = next
			}
			_, _ = locked()
		})
		<-ctx.Done()
		return worker.Ack{}, ctx.Err()
	}
	return gated(ctx, &fw.Faults, locked)
}

// nextLife returns the process that has a dead worker's id and address, if a late order
// about an attempt may reach it: not if the dead one had taken the attempt's stop.
func (fl *Fleet) nextLife(fw *FleetWorker, at worker.Attempt) *FleetWorker {
	next, err := fl.reach(fw.Addr)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if err != nil || !fw.dead || fw.last[at.Task] >= at.Number {
		return nil
	}
	return next
}
