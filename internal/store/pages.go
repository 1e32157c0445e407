package store

import (
	"context"
	"fmt"
	"time"
)

// Pages of a list. Rows of a job have up to some 6 kB, as the store writes them.
const (
	// pageMost and pageLeast bound the rows of a page; the first has the most, as a
	// store that is slow takes up to 0.5 s for each.
	pageMost  = 1000
	pageLeast = 4
	// pageTimeout bounds one page: 4 ms, up to 120 times that in bad times, and what
	// its bytes take over a link that is full of others.
	pageTimeout = 3 * time.Second
	// pageShrinks is how many times fewer rows the next page has after one that did
	// not come in time: 1 MB, the most that the store answers, takes 4 s at 2 Mbit/s.
	pageShrinks = 8
	// pageQuick is the time under which the next page has twice as many rows.
	pageQuick = pageTimeout / 3
	// pageTries is how often a page of the least size is tried.
	pageTries = 2
)

// pages reads a list page by page. No limit is on the whole: a list that is long, or
// comes over a narrow link, takes as long as it needs while pages come.
type pages struct {
	tbl    Table
	prefix string
	limit  int
	// late counts the last tries that had no answer in time.
	late int
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
		if !reply.More && len(reply.Rows) < limit || len(reply.Rows) == 0 {
			return rows, version, nil
		}
		after = reply.Rows[len(reply.Rows)-1].Key
	}
}

// read returns the page after a key, and how many rows were asked for.
func (pg *pages) read(ctx context.Context, after string) (ReadReply, int, error) {
	for {
		limit := pg.limit
		reply, took, err := pg.try(ctx, after)
		switch {
		case err == nil:
			pg.came(took)
			return reply, limit, nil
		case took < pageTimeout || ctx.Err() != nil || !pg.shorten():
			return reply, limit, err
		}
	}
}

func (pg *pages) try(ctx context.Context, after string) (ReadReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := pg.tbl.ReadFunc(ctx, ReadRequest{Prefix: pg.prefix, After: after, Limit: pg.limit})
	return reply, time.Since(sent), err
}

// came has the next page be longer if the last one was quick.
func (pg *pages) came(took time.Duration) {
	pg.late = 0
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
