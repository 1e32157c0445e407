package standin

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// TestRegisterRetriesUntilHostListServes guards against hosts that fail to register
// because the host list starts after them, as happens with the README's commands.
func TestRegisterRetriesUntilHostListServes(t *testing.T) {
	c := qt.New(t)
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	registered := make(chan error, 1)
	go func() {
		registered <- hostOptions{Hosts: "http://" + addr}.register([]store.Host{{ID: "a"}, {ID: "b"}})
	}()
	time.Sleep(50 * time.Millisecond)
	list := &Hosts{}
	srv := &http.Server{Addr: addr, Handler: list.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.ListenAndServe() }()
	c.Cleanup(func() { _ = srv.Close() })
	c.Assert(<-registered, qt.IsNil)
	reply, err := list.Client().ListFunc(context.Background(), store.HostsRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Hosts, qt.HasLen, 2)
}
