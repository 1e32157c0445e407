package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/hedge"
)

// errNoProgress: the table has more rows, and returns none.
var errNoProgress = errors.New("more rows, but none in the answer")

// Pages of a list. Rows of a job have up to some 6 kB, as the store writes them.
const (
	// pageMost and pageLeast bound the rows of a page; the first has the most, as a
	// store that is slow takes up to 0.5 s for each.
	pageMost  = 1000
	pageLeast = 4
	// pageTimeout bounds one page: 4 ms, up to 120 times that in bad times, and what
	// its bytes take over a link that is full of others.
	pageTimeout = 3 * time.Second
	// pageDouble is after how long without an answer a page is asked for again beside
	// itself, on another connection: over the 0.5 s of bad times.
	pageDouble = 600 * time.Millisecond
	// pageShrinks is how many times fewer rows the next page has after one that did
	// not come in time: 1 MB, the most that the store answers, takes 4 s at 2 Mbit/s.
	pageShrinks = 8
	// pageQuick is the time under which the next page has twice as many rows.
	pageQuick = pageTimeout / 3
	// pageTries is how often a page of the least size is tried.
	pageTries = 2
	// errorsMost is how many errors other than a late answer one page may have, if it
	// is not the first try of all, and errorPause the pause after each: a connection that was
	// given up has to be opened anew, which takes 0.4 s over a full link.
	errorsMost = 5
	errorPause = 200 * time.Millisecond
)

// pages reads a list page by page. No limit is on the whole: a list that is long, or
// comes over a narrow link, takes as long as it needs while pages come.
type pages struct {
	tbl    Table
	prefix string
	limit  int
	// late counts the last tries that had no answer in time, errors those that ended
	// otherwise, since the last page.
	late, errors int
}

// ListFrom reads all rows with the prefix, and returns the version of the
// table from which a feed misses no change. Pages are of different moments.
func (tbl Table) ListFrom(ctx context.Context, prefix string) ([]Row, int64, error) {
	pg := pages{tbl: tbl, prefix: prefix, limit: pageMost}
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

// read returns the page after a key, and how many rows were asked for.
func (pg *pages) read(ctx context.Context, after string) (ReadReply, int, error) {
	for {
		limit := pg.limit
		reply, took, err := pg.try(ctx, after)
		if err == nil {
			pg.came(took)
			return reply, limit, nil
		}
		if ctx.Err() != nil || !pg.again(ctx, took, after != "") {
			return reply, limit, err
		}
	}
}

// again reports whether a page is to be tried again. The first is not after an error that
// came at once: nothing was read yet, and who asks knows what else to do.
func (pg *pages) again(ctx context.Context, took time.Duration, begun bool) bool {
	if took >= pageTimeout {
		return pg.shorten()
	}
	pg.errors++
	if pg.errors > errorsMost || !begun && pg.limit == pageMost {
		return false
	}
	return clock.Sleep(ctx, errorPause)
}

func (pg *pages) try(ctx context.Context, after string) (ReadReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	sent := time.Now()
	ctx = hedge.NewContext(ctx, hedge.Policy{After: pageDouble})
	reply, err := pg.tbl.ReadFunc(ctx, ReadRequest{Prefix: pg.prefix, After: after, Limit: pg.limit})
	return reply, time.Since(sent), err
}

// came has the next page be longer if the last one was quick.
func (pg *pages) came(took time.Duration) {
	pg.late, pg.errors = 0, 0
	if took < pageQuick {
		pg.limit = min(2*pg.limit, pageMost)
	}
}

// shorten has the next try ask for less, and reports whether there is to be one.
func (pg *pages) shorten() bool {
	if pg.limit > pageLeast {
		pg.limit = max(pg.limit/pageShrinks, pageLeast)
		return true
	}
	pg.late++
	return pg.late < pageTries
}
