package wire_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

func TestStalledPeers(t *testing.T) {
	hs := httptest.NewServer(wire.Handle(func(_ context.Context, msg string) (string, error) { return msg, nil }))
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		hc := &http.Client{Transport: &http.Transport{}}
		return func(ctx context.Context) error {
			_, err := wire.Post[string, string](ctx, hc, "http://"+addr, "message")
			return err
		}
	})
}
