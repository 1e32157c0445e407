package standin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// poll returns the attempts that run and the ends that are listed. If no end is listed, it
// first waits for one as long as the poll says.
func (fl *Fleet) poll(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
	fw, err := fl.lookup(ad)
	if err != nil {
		return worker.PollResult{}, err
	}
	fl.mu.Lock()
	delay := fw.PollDelay
	fl.mu.Unlock()
	if delay > 0 {
		fl.pollLater(fw, po, delay)
		<-ctx.Done()
		return worker.PollResult{}, ctx.Err()
	}
	return withFault(ctx, &fw.Faults, func() (worker.PollResult, error) {
		wake, err := fw.applyPoll(po)
		if err != nil {
			return worker.PollResult{}, cmp.Or(worker.CheckIncarnation(ad.Incarnation, fw.Addr.Incarnation.StartedMS), err)
		}
		if wake != nil && po.Wait > 0 {
			select {
			case <-wake:
			case <-time.After(po.Wait):
			case <-ctx.Done():
				return worker.PollResult{}, ctx.Err()
			}
		}
		pr, err := fw.pollResult()
		if err == nil {
			err = worker.CheckIncarnation(ad.Incarnation, fw.Addr.Incarnation.StartedMS)
		}
		return pr, err
	})
}

// applyPoll extends the lease and removes acknowledged ends as a poll says. If no end is
// listed, it returns the channel that is closed at the next one.
func (fw *FleetWorker) applyPoll(po worker.Poll) (chan struct{}, error) {
	fw.fl.mu.Lock()
	defer fw.fl.mu.Unlock()
	if fw.dead {
		return nil, errReset(fw.Addr)
	}
	if fw.isFenced(po.Fence) {
		return nil, worker.ErrFenced
	}
	fw.extendLease(po.LeaseUntilMS)
	fw.maxAckedEnd = max(fw.maxAckedEnd, po.AckedEnd)
	fw.removeAcked(po.AckedEnd)
	if len(fw.ended) > 0 {
		return nil, nil
	}
	return fw.wake, nil
}

// pollResult returns the answer to a poll. A killed process doesn't answer, not even with
// the ends that woke the poll.
func (fw *FleetWorker) pollResult() (worker.PollResult, error) {
	fw.fl.mu.Lock()
	defer fw.fl.mu.Unlock()
	if fw.dead {
		return worker.PollResult{}, errReset(fw.Addr)
	}
	pr := worker.PollResult{ClockMS: fw.clock(), Ended: slices.Clone(fw.ended[:min(len(fw.ended), worker.MaxListedEnds)])}
	for _, ta := range fw.running {
		pr.Running = append(pr.Running, worker.RunningAttempt{Attempt: ta.run.Attempt, Checkpoint: ta.checkpoint(), Percent: ta.percent(), Usage: ta.usage})
	}
	return pr, nil
}

// pollLater carries out a poll after a delay, at the process that then runs.
func (fl *Fleet) pollLater(fw *FleetWorker, po worker.Poll, delay time.Duration) {
	time.AfterFunc(delay, func() {
		if next := fl.successor(fw); next != nil {
			fw = next
		}
		_, _ = fw.applyPoll(po)
	})
}
