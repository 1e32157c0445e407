package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// put returns a write that creates a row.
func put(c *qt.C, key string) store.Txn {
	txn, err := store.NewTxn().WithPut(key, 0, "v")
	c.Assert(err, qt.IsNil)
	return txn
}

func TestSettleFindsOutcomeOfWrite(t *testing.T) {
	run := func(name string, fn func(c *qt.C, ta *standin.Table, ctx context.Context)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				fn(qt.New(t), &standin.Table{}, ctx)
			})
		})
	}
	run("answer lost after the write", func(c *qt.C, ta *standin.Table, ctx context.Context) {
		ta.Faults.Set(standin.Fault{Mode: standin.ModeLost, Count: 3})
		version, err := ta.Client().Settle(ctx, put(c, "k"))
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, int64(1))
	})
	run("conflict with another", func(c *qt.C, ta *standin.Table, ctx context.Context) {
		_, err := ta.Client().Settle(ctx, put(c, "k"))
		c.Assert(err, qt.IsNil)
		_, err = ta.Client().Settle(ctx, put(c, "k"))
		c.Assert(errors.Is(err, store.ErrConflict), qt.IsTrue)
	})
	run("table down, then up again", func(c *qt.C, ta *standin.Table, ctx context.Context) {
		ta.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		go func() {
			time.Sleep(10 * time.Second)
			ta.Faults.Set(standin.Fault{})
		}()
		_, err := ta.Client().Settle(ctx, put(c, "k"))
		c.Assert(err, qt.IsNil)
	})
	run("table frozen, then running again", func(c *qt.C, ta *standin.Table, ctx context.Context) {
		ta.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		go func() {
			time.Sleep(10 * time.Second)
			ta.Faults.Set(standin.Fault{})
		}()
		_, err := ta.Client().Settle(ctx, put(c, "k"))
		c.Assert(err, qt.IsNil)
	})
	run("all or nothing", func(c *qt.C, ta *standin.Table, ctx context.Context) {
		_, err := ta.Client().Settle(ctx, put(c, "a"))
		c.Assert(err, qt.IsNil)
		txn, err := put(c, "b").WithPut("a", 0, "w")
		c.Assert(err, qt.IsNil)
		_, err = ta.Client().Settle(ctx, txn)
		c.Assert(errors.Is(err, store.ErrConflict), qt.IsTrue)
		var value string
		version, err := ta.Client().Get(ctx, "b", &value)
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, int64(0))
	})
}
