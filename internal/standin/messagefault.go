package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// MessageFaults makes answers of workers late and loses pace orders, at random. Set its fields,
// then use Wrap.
type MessageFaults struct {
	// Rand draws the messages; it must be set if any part is.
	Rand *rand.Rand
	// LateAnswers is the part of the answers to polls that arrive LateBy later.
	LateAnswers float64
	LateBy      time.Duration
	// LostPaces is the part of the pace orders that are lost, but at most MaxLostInRow in a row
	// for an attempt.
	LostPaces    float64
	MaxLostInRow int
	// LateResumes is the part of the pace orders above 0 that get no answer and are carried out
	// after the result of ResumeDelayFunc.
	LateResumes     float64
	ResumeDelayFunc func() time.Duration

	mu   sync.Mutex
	lost map[worker.Attempt]int
}

func (mf *MessageFaults) draw(part float64) bool {
	if part == 0 {
		return false
	}
	mf.mu.Lock()
	defer mf.mu.Unlock()
	return mf.Rand.Float64() < part
}

// loses reports whether a pace order is lost.
func (mf *MessageFaults) loses(at worker.Attempt) bool {
	lost := mf.draw(mf.LostPaces)
	mf.mu.Lock()
	defer mf.mu.Unlock()
	if !lost || mf.lost[at] >= mf.MaxLostInRow {
		delete(mf.lost, at)
		return false
	}
	if mf.lost == nil {
		mf.lost = map[worker.Attempt]int{}
	}
	mf.lost[at]++
	return true
}

// Wrap returns an agent with the faults.
func (mf *MessageFaults) Wrap(ag worker.Agent) worker.Agent {
	poll, pace := ag.PollFunc, ag.PaceFunc
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		res, err := poll(ctx, ad, po)
		if err == nil && mf.draw(mf.LateAnswers) {
			time.Sleep(mf.LateBy)
		}
		return res, err
	}
	ag.PaceFunc = func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
		late := pa.Percent > 0 && mf.draw(mf.LateResumes)
		if !late && !mf.loses(pa.Attempt) {
			return pace(ctx, ad, pa)
		}
		if late {
			time.AfterFunc(mf.ResumeDelayFunc(), func() { _, _ = pace(context.WithoutCancel(ctx), ad, pa) })
		}
		<-ctx.Done()
		return worker.Ack{}, ctx.Err()
	}
	return ag
}
