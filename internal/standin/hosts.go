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

// Hosts is a fake of the platform's host list. Changes become visible after a lag.
type Hosts struct {
	// Faults injects faults into requests for the list, but not into changes.
	Faults FaultInjector
	// Lag is how long a change takes to become visible.
	Lag time.Duration

	mu      sync.Mutex
	changes []hostChange
	visible map[string]store.Host
}

// hostChange is a change that becomes visible at a time.
type hostChange struct {
	due     time.Time
	host    store.Host
	removed bool
}

// Put adds or replaces a host.
func (ho *Hosts) Put(host store.Host) {
	ho.change(hostChange{host: host})
}

// Remove removes a host by its id.
func (ho *Hosts) Remove(id string) {
	ho.change(hostChange{host: store.Host{ID: id}, removed: true})
}

func (ho *Hosts) change(hc hostChange) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	hc.due = time.Now().Add(ho.Lag)
	ho.changes = append(ho.changes, hc)
}

// Client returns a client of the list in the same process. Its requests are subject to
// the fault too.
func (ho *Hosts) Client() store.Hosts {
	return store.Hosts{ListFunc: func(ctx context.Context, req store.HostsRequest) (store.HostsReply, error) {
		return withFault(ctx, &ho.Faults, func() (store.HostsReply, error) { return ho.list(ctx, req) })
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
	ho.applyDue(time.Now())
	hosts := []store.Host{}
	for _, host := range ho.visible {
		if (req.DC == "" || req.DC == host.DC) && (req.Kind == "" || req.Kind == host.Kind) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b store.Host) int { return strings.Compare(a.ID, b.ID) })
	return store.HostsReply{Hosts: hosts}, nil
}

// applyDue makes the changes visible whose lag is over; the caller holds ho.mu.
func (ho *Hosts) applyDue(now time.Time) {
	if ho.visible == nil {
		ho.visible = map[string]store.Host{}
	}
	pending := ho.changes[:0]
	for _, hc := range ho.changes {
		switch {
		case hc.due.After(now):
			pending = append(pending, hc)
		case hc.removed:
			delete(ho.visible, hc.host.ID)
		default:
			ho.visible[hc.host.ID] = hc.host
		}
	}
	ho.changes = pending
}
