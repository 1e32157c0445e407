package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Hosts stands in for the platform's host list. Changes show after the lag.
type Hosts struct {
	// Gate is the list's fault.
	Faults FaultInjector
	// Lag is how long a change takes to show.
	Lag time.Duration

	mu      sync.Mutex
	changes []hostChange
	shown   map[string]store.Host
}

type hostChange struct {
	due  time.Time
	host store.Host
	gone bool
}

// Put enters or changes a host.
func (ho *Hosts) Put(host store.Host) {
	ho.change(hostChange{host: host})
}

// Remove takes a host off the list.
func (ho *Hosts) Remove(id string) {
	ho.change(hostChange{host: store.Host{ID: id}, gone: true})
}

func (ho *Hosts) change(hc hostChange) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	hc.due = time.Now().Add(ho.Lag)
	ho.changes = append(ho.changes, hc)
}

// Client returns a client of the list in the same process.
func (ho *Hosts) Client() store.Hosts {
	return store.Hosts{ListFunc: func(ctx context.Context, req store.HostsRequest) (store.HostsReply, error) {
		return gated(ctx, &ho.Faults, func() (store.HostsReply, error) { return ho.list(ctx, req) })
	}}
}

// Handler serves the list at /hosts/list, changes at /hosts/put and
// /hosts/remove, and the fault at /fault.
func (ho *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /hosts/list", ho.Faults.Wrap(wire.Handle(ho.list)))
	mux.Handle("POST /hosts/put", wire.Handle(func(_ context.Context, host store.Host) (store.Host, error) {
		ho.Put(host)
		return host, nil
	}))
	mux.Handle("POST /hosts/remove", wire.Handle(func(_ context.Context, host store.Host) (store.Host, error) {
		ho.Remove(host.ID)
		return host, nil
	}))
	mux.Handle("POST /fault", ho.Faults.Handle())
	return mux
}

func (ho *Hosts) list(_ context.Context, req store.HostsRequest) (store.HostsReply, error) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.showDue(time.Now())
	hosts := []store.Host{}
	for _, host := range ho.shown {
		if (req.DC == "" || req.DC == host.DC) && (req.Kind == "" || req.Kind == host.Kind) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b store.Host) int { return strings.Compare(a.ID, b.ID) })
	return store.HostsReply{Hosts: hosts}, nil
}

func (ho *Hosts) showDue(now time.Time) {
	if ho.shown == nil {
		ho.shown = map[string]store.Host{}
	}
	waiting := ho.changes[:0]
	for _, hc := range ho.changes {
		switch {
		case hc.due.After(now):
			waiting = append(waiting, hc)
		case hc.gone:
			delete(ho.shown, hc.host.ID)
		default:
			ho.shown[hc.host.ID] = hc.host
		}
	}
	ho.changes = waiting
}
