// Package watch follows the rows of one prefix of the store's table: it reads
// them all, then waits for changes, and reads all again if the table no longer
// knows what changed.
//
// A silent connection must not hide changes, so every wait is short and has a
// deadline.
package watch

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/hedge"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// Intervals of a watch.
const (
	// waitMost is how long one call waits for a change: a tenth of the calls a
	// second that nine hosts may make come to under one per cent.
	waitMost = 1500 * time.Millisecond
	// doubleAfter is how much longer until it is sent again beside itself, on another
	// connection: a change within trouble is then in force 1.8 s after it, of the 3 s
	// in which a host has to be back in touch.
	doubleAfter = 300 * time.Millisecond
	// answerGrace is how much longer the answer may take before the connection
	// counts as dead: 4 ms an answer, up to 120 times slower in bad times.
	answerGrace = 700 * time.Millisecond
	// patienceMost is how often the time for an answer is added to itself.
	patienceMost = 3
	// retryFirst and retryMost are the pauses after errors.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Watch follows rows. Set the fields, then call [Watch.Run].
type Watch struct {
	// Table is where the rows are.
	Table store.Table
	// Name is the part of the keys before the first "/".
	Name string
	// Under is the prefix of the keys wanted; it begins with Name and "/".
	Under string
	// Also is another prefix of which rows are wanted; empty is none.
	Also string
	// Relist has all rows read again after the table did not answer, rather than the
	// changes since: for few rows that are large and change often, of which the last
	// state is wanted. A host whose link is full may never get all the changes.
	Relist bool
	// OnRows gets rows in the order of their changes. If whole is set they are
	// all there are, and any other that was known is gone.
	OnRows func(rows []store.FeedRow, whole bool)
	// OnContact gets when the call was sent that the table answered last; nil gets none.
	OnContact func(sent time.Time)
	// Log gets lost and regained contact.
	Log *slog.Logger

	version int64
	synced  bool
	lost    bool
	// failures counts calls without an answer since the last that had one.
	failures int

	mu sync.Mutex
	// contact is when the call was sent that the table last answered, regained
	// when it first answered after a loss.
	contact  time.Time
	regained time.Time
	// answer is when the last answer came, failing is set if the last call had
	// none, and failed is when the last call was sent that the table did not answer.
	answer  time.Time
	failing bool
	failed  time.Time
}

// Contact returns when the call was sent that the table last answered, and
// since when it has answered without an error in between. What was told is true
// of some moment after the first. Both are zero before the first answer.
func (wa *Watch) Contact() (last, since time.Time) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.contact, wa.regained
}

// Answering reports whether the table answered the last call, and did so within
// the time that one call may take.
func (wa *Watch) Answering() bool {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return !wa.failing && !wa.answer.IsZero() && time.Since(wa.answer) < waitMost+answerGrace
}

// Run follows until ctx ends.
func (wa *Watch) Run(ctx context.Context) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = retryFirst, retryMost
	for ctx.Err() == nil {
		sent := time.Now()
		err := wa.step(ctx)
		if ctx.Err() != nil {
			return
		}
		wa.note(sent, err)
		// A table that forgot its history answers: after the long pauses of an outage all
		// rows were read up to 0.6 s late (50 outages of 5 s in virtual time).
		if err == nil || errors.Is(err, store.ErrHistoryGone) {
			bo.Reset()
		}
		if err != nil {
			clock.Sleep(ctx, bo.NextBackOff())
		}
	}
}

// note keeps and logs whether the table answers.
func (wa *Watch) note(sent time.Time, err error) {
	if err == nil {
		wa.answered(sent)
		wa.lost, wa.failures = false, 0
		if wa.OnContact != nil {
			wa.OnContact(sent)
		}
		return
	}
	wa.unanswered()
	wa.failures++
	if wa.Relist {
		wa.synced = false
	}
	if errors.Is(err, store.ErrHistoryGone) {
		wa.Log.Warn("store forgot its history, reading all again", "watch", wa.Under, "version", wa.version)
		wa.synced = false
		return
	}
	wa.noteFailed(sent)
	if !wa.lost {
		last, _ := wa.Contact()
		wa.Log.Warn("store does not answer", "watch", wa.Under, "version", wa.version, "took", time.Since(sent), "contact_age", Age(last), "err", err)
	}
	wa.lost = true
}

func (wa *Watch) unanswered() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.failing = true
}

func (wa *Watch) noteFailed(sent time.Time) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.failed = sent
}

// Failed returns when the last call without an answer was sent, or zero. That the table
// forgot its history is an answer.
func (wa *Watch) Failed() time.Time {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.failed
}

func (wa *Watch) answered(sent time.Time) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	last := wa.contact
	wa.contact, wa.answer, wa.failing = sent, time.Now(), false
	if wa.lost || wa.regained.IsZero() {
		wa.regained = time.Now()
		wa.Log.Info("store answers", "watch", wa.Under, "version", wa.version, "took", time.Since(sent), "contact_age", Age(last))
	}
}

// Age is the time since a contact, or -1 if there was none.
func Age(last time.Time) time.Duration {
	if last.IsZero() {
		return -1
	}
	return time.Since(last)
}

// patient returns how long an answer may take: longer after each failure, as it may
// be large and the link full.
func (wa *Watch) patient(d time.Duration) time.Duration {
	return d * time.Duration(1+min(wa.failures, patienceMost))
}

func (wa *Watch) step(ctx context.Context) error {
	if !wa.synced {
		return wa.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, waitMost+wa.patient(answerGrace))
	defer cancel()
	ctx = hedge.NewContext(ctx, hedge.Policy{Wait: waitMost, After: doubleAfter})
	reply, err := wa.Table.FeedFunc(ctx, store.FeedRequest{Prefix: wa.Name, After: wa.version, WaitMS: waitMost.Milliseconds()})
	if err != nil {
		return err
	}
	wa.version = max(wa.version, reply.Version)
	if rows := wa.within(reply.Rows); len(rows) > 0 {
		wa.OnRows(rows, false)
	}
	return nil
}

// within leaves out rows that do not begin with the prefix.
func (wa *Watch) within(rows []store.FeedRow) []store.FeedRow {
	return slices.DeleteFunc(rows, func(row store.FeedRow) bool {
		return !strings.HasPrefix(row.Key, wa.Under) && (wa.Also == "" || !strings.HasPrefix(row.Key, wa.Also))
	})
}

// list reads all rows. Pages are read at different moments; the feed goes on
// from the first, so that no change between them is missed. The pages have deadlines;
// a long list over a narrow link takes as long as it needs.
func (wa *Watch) list(ctx context.Context) error {
	rows, version, err := wa.Table.ListFrom(ctx, wa.Under)
	if err != nil {
		return err
	}
	if wa.Also != "" {
		also, err := wa.Table.List(ctx, wa.Also)
		if err != nil {
			return err
		}
		rows = append(rows, also...)
	}
	feed := make([]store.FeedRow, len(rows))
	for i, row := range rows {
		feed[i] = store.FeedRow{Row: row}
	}
	wa.version, wa.synced = version, true
	wa.OnRows(feed, true)
	return nil
}
