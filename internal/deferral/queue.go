package deferral

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// queue has the deferred launches of one worker.
type queue struct {
	// endedAt is when a poll first listed the end of an attempt.
	endedAt map[worker.Attempt]time.Time
	// entries are the launches that wait and those that were sent lately.
	entries []*entry
	// pollMS is the worker's clock at the last poll, freedMS since when it has had the resources
	// of the ends that were listed last, both in milliseconds.
	pollMS, freedMS int64
	// polls counts the polls in progress. probing is set while one is scheduled.
	polls   int
	probing bool
}

// promptAnswer is the time within which a poll counts as answered at once, so that the ends that
// it lists happened before it arrived.
const promptAnswer = 10 * time.Millisecond

// entry is a deferred launch.
type entry struct {
	attempt  worker.Attempt
	deferral *worker.Deferral
	addedAt  time.Time
	// sent is set once the launch is sent, or about to be.
	sent bool
	// freedMS is since when the worker had the resources, by its clock in milliseconds, set before
	// the launch is sent.
	freedMS int64
	// probe polls the worker for as long as the launch waits.
	probe func()
	// result receives nil when the launch is to be sent, or the error with which it ends.
	result chan error
}

// recordEnds records the ends that the result of a poll lists. Those that no poll was waiting for
// are taken to have happened half way since the last poll.
func (qu *queue) recordEnds(res worker.PollResult, took time.Duration, now time.Time) {
	if res.ClockMS == 0 {
		return
	}
	for _, ea := range res.Ended {
		if _, ok := qu.endedAt[ea.Attempt]; ok {
			continue
		}
		qu.endedAt[ea.Attempt] = now
		qu.freedMS = res.ClockMS
		if took < promptAnswer && qu.pollMS != 0 {
			qu.freedMS = (qu.pollMS + res.ClockMS) / 2
		}
	}
	qu.pollMS = res.ClockMS
}

// sendReady sends the launches for which the worker has the resources by now.
func (qu *queue) sendReady() {
	for _, en := range qu.entries {
		if !en.sent && en.deferral.Need.Fits(qu.available(en)) {
			en.sent, en.freedMS = true, qu.freedMS
			en.result <- nil
		}
	}
}

// scheduleProbe has the worker polled after probeInterval if a launch waits and no poll is in
// progress.
func (qu *queue) scheduleProbe() {
	if en := qu.firstWaiting(); en != nil && qu.polls == 0 && !qu.probing {
		qu.probing = true
		time.AfterFunc(probeInterval, en.probe)
	}
}

// firstWaiting returns the launch that has waited longest, or nil.
func (qu *queue) firstWaiting() *entry {
	for _, en := range qu.entries {
		if !en.sent {
			return en
		}
	}
	return nil
}

// available returns the resources that a waiting launch may use.
func (qu *queue) available(en *entry) worker.Resources {
	free := en.deferral.Free
	for _, us := range en.deferral.Running {
		if _, ok := qu.endedAt[us.Attempt]; ok {
			free = free.Add(us.Resources)
		}
	}
	for _, other := range qu.entries {
		if other.sent && (other.deferral.Number > en.deferral.Number || slices.Contains(en.deferral.Ahead, other.attempt)) {
			free = free.Sub(other.deferral.Need)
		}
	}
	return free
}

// remove removes a launch that is not sent, so that its resources are left to the others.
func (qu *queue) remove(en *entry) {
	qu.entries = slices.DeleteFunc(qu.entries, func(other *entry) bool { return other == en })
	qu.sendReady()
}

// empty reports whether the queue holds nothing that matters.
func (qu *queue) empty() bool { return len(qu.endedAt) == 0 && len(qu.entries) == 0 && qu.polls == 0 }

// expire removes what is older than retention.
func (qu *queue) expire(now time.Time) {
	for at, ended := range qu.endedAt {
		if now.Sub(ended) > retention {
			delete(qu.endedAt, at)
		}
	}
	qu.entries = slices.DeleteFunc(qu.entries, func(en *entry) bool { return en.sent && now.Sub(en.addedAt) > retention })
}
