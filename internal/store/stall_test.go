package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

func TestStalledTable(t *testing.T) {
	var ta standin.Table
	hs := httptest.NewServer(ta.Handler())
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		tbl := store.NewTable("http://"+addr, &http.Client{Transport: &http.Transport{}})
		return func(ctx context.Context) error {
			txn, err := store.NewTxn().WithPut(store.NewTxn().ID, 0, "v")
			if err != nil {
				return err
			}
			_, err = tbl.Settle(ctx, txn)
			return err
		}
	})
}
