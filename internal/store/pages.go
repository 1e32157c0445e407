package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/hedge"
)

// errNoProgress is returned for a page that has no rows although the table reports more.
var errNoProgress = errors.New("table reports more rows but returned none")

// Sizes and times of the pages of a list. A row of a job has up to 6 kB in the store's
// encoding.
const (
	// maxPageRows and minPageRows bound the rows of a page. The first page has the most,
	// because a slow store takes up to 0.5 s for each page.
	maxPageRows = 1000
	minPageRows = 4
	// pageTimeout bounds the time for one page or row: 4 ms in normal operation, up to 120 times
	// that with a slow store, plus the transfer over a link that other traffic fills.
	pageTimeout = 3 * time.Second
	// pageHedgeDelay is the time without an answer after which a page is requested a
	// second time, on another connection. It is longer than the 0.5 s of a slow store.
	pageHedgeDelay = 600 * time.Millisecond
	// pageShrinkFactor divides the rows of the next page after a timeout. 1 MB, the
	// store's largest answer, takes 4 s at 2 Mbit/s.
	pageShrinkFactor = 8
	// fastPage is the time below which the next page has twice as many rows.
	fastPage = pageTimeout / 3
	// maxTimeouts is the number of consecutive timeouts of a page of minPageRows after
	// which the list fails.
	maxTimeouts = 2
	// MaxListSilence is how long a list over a slow link may go on without an answer: a timeout
	// for each page size down to minPageRows, and maxTimeouts there.
	MaxListSilence = 5 * pageTimeout
	// maxPageErrors bounds the errors other than timeouts of one page, and errorDelay is
	// the delay after each, since reopening a closed connection takes 0.4 s over a full
	// link. The first request of a list is not repeated after such an error.
	maxPageErrors = 5
	errorDelay    = 200 * time.Millisecond
)

// pageReader reads a list page by page. There is no limit on the whole list: a long
// list, or one over a narrow link, takes as long as its pages keep arriving.
type pageReader struct {
	tbl    Table
	prefix string
	limit  int
	// timeouts and errors count the attempts since the last page that ended in a timeout
	// or in another error.
	timeouts, errors int
}

// ListFrom reads all rows with the prefix, in order of key. It returns the version of
// the table from which a feed misses no change. The pages are not a snapshot: each is
// read at a different time.
func (tbl Table) ListFrom(ctx context.Context, prefix string) ([]Row, int64, error) {
	pg := pageReader{tbl: tbl, prefix: prefix, limit: maxPageRows}
	var rows []Row
	var version int64
	after := ""
	for {
		reply, limit, err := pg.read(ctx, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list rows %s: %w", prefix, err)
		}
		if after == "" {
			version = reply.Version
		}
		rows = append(rows, reply.Rows...)
		if !reply.More && len(reply.Rows) < limit {
			return rows, version, nil
		}
		if len(reply.Rows) == 0 {
			return nil, 0, fmt.Errorf("list rows %s after %s: %w", prefix, after, errNoProgress)
		}
		after = reply.Rows[len(reply.Rows)-1].Key
	}
}

// read returns the page after a key, and how many rows were requested.
func (pg *pageReader) read(ctx context.Context, after string) (ReadReply, int, error) {
	for {
		limit := pg.limit
		reply, took, err := pg.try(ctx, after)
		if err == nil {
			pg.succeeded(took)
			return reply, limit, nil
		}
		if ctx.Err() != nil || !pg.retry(ctx, took, after != "") {
			return reply, limit, err
		}
	}
}

// retry reports whether a page is to be requested again. An immediate error on the first
// page is returned at once: nothing was read yet, and the caller can choose what to do.
func (pg *pageReader) retry(ctx context.Context, took time.Duration, started bool) bool {
	if took >= pageTimeout {
		return pg.shrink()
	}
	pg.errors++
	if pg.errors > maxPageErrors || !started && pg.limit == maxPageRows {
		return false
	}
	return clock.Sleep(ctx, errorDelay)
}

func (pg *pageReader) try(ctx context.Context, after string) (ReadReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	sent := time.Now()
	ctx = hedge.NewContext(ctx, hedge.Policy{After: pageHedgeDelay})
	reply, err := pg.tbl.ReadFunc(ctx, ReadRequest{Prefix: pg.prefix, After: after, Limit: pg.limit})
	return reply, time.Since(sent), err
}

// succeeded resets the counters, and increases the size of the next page if this one was
// fast.
func (pg *pageReader) succeeded(took time.Duration) {
	pg.timeouts, pg.errors = 0, 0
	if took < fastPage {
		pg.limit = min(2*pg.limit, maxPageRows)
	}
}

// shrink reduces the size of the next page, and reports whether to retry.
func (pg *pageReader) shrink() bool {
	if pg.limit > minPageRows {
		pg.limit = max(pg.limit/pageShrinkFactor, minPageRows)
		return true
	}
	pg.timeouts++
	return pg.timeouts < maxTimeouts
}
