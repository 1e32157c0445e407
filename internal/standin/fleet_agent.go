package standin

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Agent returns a client of the fleet's workers in the same process.
func (fl *Fleet) Agent() worker.Agent {
	ag := worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			return sendOrder(ctx, fl, ad, func(fw *FleetWorker) (worker.Ack, error) { return fw.launch(la) })
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			return sendOrder(ctx, fl, ad, func(fw *FleetWorker) (worker.Ack, error) { return fw.halt(ha) })
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			return sendOrder(ctx, fl, ad, func(fw *FleetWorker) (worker.Ack, error) { return fw.pace(pa) })
		},
		PollFunc: fl.poll,
	}
	if fl.Faults != nil {
		return fl.Faults.Wrap(ag)
	}
	return ag
}

// lookup returns the worker at an address. It returns [worker.ErrNoListener] if none runs
// there and [worker.ErrOtherIncarnation] if that is another incarnation.
func (fl *Fleet) lookup(ad worker.Addr) (*FleetWorker, error) {
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

// sendOrder carries out an order about an attempt subject to the faults and the
// OrderDelay of the worker.
func sendOrder(ctx context.Context, fl *Fleet, ad worker.Addr, fn func(*FleetWorker) (worker.Ack, error)) (worker.Ack, error) {
	fw, err := fl.lookup(ad)
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
	delay := fw.OrderDelay
	fl.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() {
			if next := fl.successor(fw); next != nil {
				fw = next
			}
			_, _ = locked()
		})
		<-ctx.Done()
		return worker.Ack{}, ctx.Err()
	}
	return withFault(ctx, &fw.Faults, locked)
}

// successor returns the process that replaced a dead worker at its address under the same
// id, or nil.
func (fl *Fleet) successor(fw *FleetWorker) *FleetWorker {
	next, err := fl.lookup(fw.Addr)
	if err != nil || next == fw {
		return nil
	}
	return next
}
