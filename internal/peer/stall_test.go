package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

func TestSendToStalledPeer(t *testing.T) {
	me := &Mesh{Self: func() Hello { return Hello{ID: "a", Addr: "a"} }}
	hs := httptest.NewServer(wire.Handle(func(_ context.Context, he Hello) (Reply, error) { return me.Receive(he), nil }))
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		send := NewSend(&http.Client{Transport: &http.Transport{}})
		return func(ctx context.Context) error {
			_, err := send(ctx, addr, Hello{ID: "b", Addr: "b"})
			return err
		}
	})
}
