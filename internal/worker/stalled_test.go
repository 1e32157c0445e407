package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

func TestExchangeEndsWithStalledWorker(t *testing.T) {
	hs := httptest.NewServer(standin.NewWorker(standin.WorkerSettings{ID: "w1"}).Handler())
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		cl := worker.NewClient(&http.Client{Transport: &http.Transport{}})
		return func(ctx context.Context) error {
			_, err := cl.ExchangeFunc(ctx, addr, worker.Exchange{Owner: "o", Term: 1})
			return err
		}
	})
}
