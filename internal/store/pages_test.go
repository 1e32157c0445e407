package store

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

// slowTable returns a table of rows with one prefix. A call returns at most capped rows
// and takes the time each per row.
func slowTable(rows, capped int, each time.Duration) Table {
	return Table{ReadFunc: func(ctx context.Context, req ReadRequest) (ReadReply, error) {
		from := 0
		if req.After != "" {
			_, _ = fmt.Sscanf(req.After, "a/%d", &from)
			from++
		}
		to := min(from+min(req.Limit, capped), rows)
		var reply ReadReply
		for i := from; i < to; i++ {
			reply.Rows = append(reply.Rows, Row{Key: fmt.Sprintf("a/%06d", i)})
		}
		reply.More = to < rows
		if !clock.Sleep(ctx, each*time.Duration(to-from)) {
			return ReadReply{}, ctx.Err()
		}
		return reply, nil
	}}
}

// TestListReturnsEveryRowOnceInOrder checks that each row is read once and in order at
// any speed of the table, in a time proportional to the rows.
func TestListReturnsEveryRowOnceInOrder(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		rows, capped := rapid.IntRange(0, 1500).Draw(rt, "rows"), rapid.IntRange(1, 1200).Draw(rt, "capped")
		each := time.Duration(rapid.IntRange(0, 350).Draw(rt, "ms a row")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			got, _, err := slowTable(rows, capped, each).ListFrom(t.Context(), "a/")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.HasLen, rows)
			for i, row := range got {
				qt.Assert(t, row.Key, qt.Equals, fmt.Sprintf("a/%06d", i))
			}
			// The first page may time out, and so may each smaller one tried after it.
			qt.Assert(t, time.Since(began) <= time.Duration(rows)*each+4*pageTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		})
	})
}

// TestListOfUnresponsiveTableFails checks that a table that does not answer ends a list
// with an error.
func TestListOfUnresponsiveTableFails(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			_, _, err := slowTable(10, 10, time.Hour).ListFrom(t.Context(), "a/")
			qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, time.Since(began) <= 6*pageTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		})
	})
	t.Run("immediate error", func(t *testing.T) {
		tries := 0
		tbl := Table{ReadFunc: func(context.Context, ReadRequest) (ReadReply, error) { tries++; return ReadReply{}, ErrBusy }}
		_, err := tbl.List(t.Context(), "a/")
		qt.Assert(t, errors.Is(err, ErrBusy), qt.IsTrue)
		qt.Assert(t, tries, qt.Equals, 1)
	})
	t.Run("caller's deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := slowTable(10, 10, time.Hour).List(ctx, "a/")
			qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
			qt.Assert(t, ctx.Err(), qt.IsNotNil)
		})
	})
}

// TestListContinuesAfterErrors guards against a list that discards the rows read so far
// when a later page fails: a long list over a poor link then never completes.
func TestListContinuesAfterErrors(t *testing.T) {
	t.Run("opening a connection fails after each late answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			late := false
			tbl := slowTable(2000, 500, 20*time.Millisecond)
			read := tbl.ReadFunc
			tbl.ReadFunc = func(ctx context.Context, req ReadRequest) (ReadReply, error) {
				if late {
					late = false
					time.Sleep(400 * time.Millisecond)
					return ReadReply{}, errors.New("i/o timeout")
				}
				reply, err := read(ctx, req)
				late = err != nil
				return reply, err
			}
			rows, err := tbl.List(t.Context(), "a/")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows, qt.HasLen, 2000)
		})
	})
	t.Run("some calls are refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			tbl := slowTable(2000, 10, time.Millisecond)
			read := tbl.ReadFunc
			tbl.ReadFunc = func(ctx context.Context, req ReadRequest) (ReadReply, error) {
				if calls++; calls%12 == 0 {
					return ReadReply{}, ErrBusy
				}
				return read(ctx, req)
			}
			rows, err := tbl.List(t.Context(), "a/")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows, qt.HasLen, 2000)
		})
	})
	t.Run("more rows reported, none returned", func(t *testing.T) {
		tbl := Table{ReadFunc: func(context.Context, ReadRequest) (ReadReply, error) { return ReadReply{More: true}, nil }}
		_, err := tbl.List(t.Context(), "a/")
		qt.Assert(t, errors.Is(err, errNoProgress), qt.IsTrue)
	})
}
